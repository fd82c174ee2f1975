//! Servers that state in their answers that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::base::{Incarnation, MonotonicTime, ServerName};

/// Time for which a statement is remembered: longer than any server takes to leave.
const MEMORY: Duration = Duration::from_secs(600);

/// Statement of one incarnation of a server.
#[derive(Clone, Copy, Debug)]
struct LeavingRecord {
    incarnation: Incarnation,
    stated_at: MonotonicTime,
}

/// Servers that stated to this host that they leave. The statement is final for an incarnation.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    records: BTreeMap<ServerName, LeavingRecord>,
}

impl LeavingTable {
    /// Records that this incarnation of `server` leaves. Returns whether that is new.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        incarnation: Incarnation,
    ) -> bool {
        let is_new = !self.is_leaving(server, incarnation);
        let record = LeavingRecord {
            incarnation,
            stated_at: now,
        };
        self.records.insert(server.clone(), record);
        is_new
    }

    /// Whether this incarnation of `server` leaves. A later incarnation is a new start of the server
    /// under the same name.
    pub fn is_leaving(&self, server: &ServerName, incarnation: Incarnation) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.incarnation >= incarnation)
    }

    /// Number of servers that leave.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no server leaves.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes statements that are older than any leave takes.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.records
            .retain(|_, record| now.since(record.stated_at) < MEMORY);
    }
}
