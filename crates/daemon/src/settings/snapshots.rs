//! When a keeper takes a snapshot and drops the log before it.

use super::reader::SectionReader;

/// Settings of snapshots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// Entries after which a snapshot is taken.
    pub every_entries: u64,
    /// Bytes of log after which a snapshot is taken, however few entries they are.
    pub every_bytes: u64,
    /// Snapshots that are kept, so that a damaged one has a predecessor.
    pub keep: u64,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            every_entries: 10_000,
            every_bytes: 64 << 20,
            keep: 2,
        }
    }
}

impl SnapshotSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            every_entries: section.count("every_entries", default.every_entries, 10..=10_000_000),
            every_bytes: section.size("every_bytes", default.every_bytes, 64 << 10..=1 << 34),
            keep: section.count("keep", default.keep, 1..=16),
        }
    }
}
