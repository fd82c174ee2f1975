//! When a keeper takes a snapshot and drops the log before it.

use std::time::Duration;

use super::reader::SectionReader;

/// Settings of snapshots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// Entries after which a snapshot is taken.
    pub every_entries: u64,
    /// Bytes of log after which a snapshot is taken, however few entries they are.
    pub every_bytes: u64,
    /// Work of applying the log after which a snapshot is taken: a start on the same host has to do
    /// that work again before the keeper answers.
    pub replay_within: Duration,
    /// Snapshots that are kept, so that a damaged one has a predecessor.
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
