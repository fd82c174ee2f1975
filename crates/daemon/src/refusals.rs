//! Last refusals of drafts for lack of capacity at this host, for operators who ask about one.

use std::sync::{Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{MonotonicTime, RequestId};
use pollendrift_coordination::limits::{RefusalLog, RefusalRecord, RefusalView};

/// The last refusals of this process, shared by the relay and the operators' interface.
#[derive(Debug, Default)]
pub struct RefusalStore {
    log: Mutex<RefusalLog>,
}

impl RefusalStore {
    /// Adds a refusal.
    pub(crate) fn record(&self, record: RefusalRecord) {
        self.lock().record(record);
    }

    /// Returns the refusals of a request, oldest first.
    pub(crate) fn find(&self, now: MonotonicTime, request: &RequestId) -> Vec<RefusalView> {
        self.lock().find(now, request)
    }

    /// Drops the refusals that are no longer kept.
    pub(crate) fn expire(&self, now: MonotonicTime) {
        self.lock().expire(now);
    }

    fn lock(&self) -> MutexGuard<'_, RefusalLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
