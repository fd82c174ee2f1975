//! Settings of snapshots: when a keeper takes one and drops the log before it.

use std::time::Duration;

use super::reader::SectionReader;

/// Thresholds for snapshots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// Number of log entries after which a snapshot is taken.
    pub every_entries: u64,
    /// Log size in bytes after which a snapshot is taken, independently of the number of entries.
    pub every_bytes: u64,
    /// Total time for applying the log entries since the last snapshot after which a new one is
    /// taken: a restart on the same host applies them again before the keeper answers.
    pub replay_within: Duration,
    /// Number of retained snapshots, so that an older one can replace a damaged one.
    pub keep: u64,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            every_entries: 10_000,
            every_bytes: 64 << 20,
            replay_within: Duration::from_millis(500),
            keep: 2,
        }
    }
}

impl SnapshotSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let times = Duration::from_millis(10)..=Duration::from_secs(600);
        Self {
            every_entries: section.count("every_entries", default.every_entries, 10..=10_000_000),
            every_bytes: section.size("every_bytes", default.every_bytes, 64 << 10..=1 << 34),
            replay_within: section.duration("replay_within", default.replay_within, times),
            keep: section.count("keep", default.keep, 1..=16),
        }
    }
}
