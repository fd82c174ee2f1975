//! Tracks the log entries that a keeper applies again after its start.

use std::time::Duration;

use pollendrift_coordination::agreement::LogIndex;

/// Counts the log entries from before the start that were applied, and the time this took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogReplay {
    /// Last entry of the log at the start.
    last_index: LogIndex,
    entries: u64,
    work: Duration,
}

/// Statistics of the log entries that a start applied again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayReport {
    /// Entries after the snapshot.
    pub entries: u64,
    /// Time that applying them took, without the time between the slices (`APPLY_SLICE` in the
    /// keeper's runtime).
    pub work: Duration,
}

impl LogReplay {
    /// Creates a replay of the entries after `applied` up to `last_index`; `None` without any.
    pub(super) fn new(applied: LogIndex, last_index: LogIndex) -> Option<Self> {
        (applied < last_index).then_some(Self {
            last_index,
            entries: 0,
            work: Duration::ZERO,
        })
    }

    /// Records one applied entry; returns the report after the last one.
    pub(super) fn record_entry(&mut self, index: LogIndex, work: Duration) -> Option<ReplayReport> {
        self.entries += 1;
        self.work += work;
        (index >= self.last_index).then_some(ReplayReport {
            entries: self.entries,
            work: self.work,
        })
    }
}
