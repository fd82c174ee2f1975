//! Accepted connections of peers that have sent nothing yet.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::task::AbortHandle;

/// Connections that have sent nothing, oldest first.
///
/// Such connections make room for new ones: they would otherwise keep peers out for as long as a handshake
/// may take.
#[derive(Debug, Default)]
pub(super) struct SilentLinks {
    links: VecDeque<SilentLink>,
}

#[derive(Debug)]
struct SilentLink {
    task: AbortHandle,
    has_spoken: Arc<AtomicBool>,
}

impl SilentLinks {
    /// Adds a connection that `task` serves; the task sets `has_spoken` once bytes have arrived.
    pub(super) fn add(&mut self, task: AbortHandle, has_spoken: Arc<AtomicBool>) {
        self.links.retain(SilentLink::is_silent);
        self.links.push_back(SilentLink { task, has_spoken });
    }

    /// Ends the oldest connection that has sent nothing; returns false if there is none.
    pub(super) fn end_oldest(&mut self) -> bool {
        while let Some(link) = self.links.pop_front() {
            if link.is_silent() {
                link.task.abort();
                return true;
            }
        }
        false
    }
}

impl SilentLink {
    fn is_silent(&self) -> bool {
        !self.has_spoken.load(Ordering::Relaxed) && !self.task.is_finished()
    }
}
