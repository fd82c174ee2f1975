//! The part of its log that a keeper applies again as it starts.

use std::time::Duration;

use pollendrift_coordination::agreement::LogIndex;

/// Counts the entries that were in the log at the start, and the work of applying them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogReplay {
    /// Last entry of the log at the start.
    until: LogIndex,
    entries: u64,
    work: Duration,
}

/// What a start had to apply again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayReport {
    /// Entries behind the snapshot.
    pub entries: u64,
    /// Time that applying them took, without the pauses in between.
    pub work: Duration,
}

impl LogReplay {
    /// A replay up to `until`; `None` where the snapshot holds all of the log.
    pub(super) fn new(applied: LogIndex, until: LogIndex) -> Option<Self> {
        (applied < until).then_some(Self {
            until,
            entries: 0,
            work: Duration::ZERO,
        })
    }

    /// Counts one entry; gives the report with the last one.
    pub(super) fn record_entry(&mut self, index: LogIndex, work: Duration) -> Option<ReplayReport> {
        self.entries += 1;
        self.work += work;
        (index >= self.until).then_some(ReplayReport {
            entries: self.entries,
            work: self.work,
        })
    }
}
