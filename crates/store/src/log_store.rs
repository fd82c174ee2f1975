//! Interface between a keeper and the storage of its log.

use pollendrift_coordination::agreement::{HardState, LogEntry, LogIndex, SnapshotMetadata};

use crate::error::StoreError;

/// Changes that one sync makes durable, applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// New hard state; `None` keeps the current one.
    pub hard: Option<HardState>,
    /// First index to remove before appending.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append, without gaps.
    pub entries: Vec<LogEntry>,
}

impl PersistBatch {
    /// Whether the batch changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }

    /// Appends `later` to this batch, so that both become durable in one sync.
    pub fn merge(&mut self, later: Self) {
        if later.hard.is_some() {
            self.hard = later.hard;
        }
        if let Some(from) = later.truncate_from {
            self.entries.retain(|entry| entry.index < from);
            let earlier = self.truncate_from.unwrap_or(from);
            self.truncate_from = Some(earlier.min(from));
        }
        self.entries.extend(later.entries);
    }
}

/// A snapshot of the state machine and its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSnapshot {
    /// Index and term of the last entry that the snapshot covers, and the membership at that entry.
    pub mark: SnapshotMetadata,
    /// Encoded state of the state machine.
    pub state: Vec<u8>,
}

/// Position in the write history of a data folder; increases with every sync.
///
/// Peers store the highest mark that a keeper has reported. A keeper that restarts with a lower
/// mark runs on an old copy of its disk.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct SyncMark {
    /// Frames written to the log since the folder was formatted.
    pub frame: u64,
    /// Number of times that the folder was opened.
    pub opens: u64,
}

/// Disk usage of the store and its number of syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Size of all log segments in bytes.
    pub log_bytes: u64,
    /// Size of the snapshot in bytes; 0 without a snapshot.
    pub snapshot_bytes: u64,
    /// Number of log segments.
    pub segments: u64,
    /// Number of file and folder syncs since the store was opened.
    pub syncs: u64,
}

/// A durable log; each call blocks until the disk operation has finished.
///
/// Invariant: after any error the store refuses all further writes. A failed sync may have dropped
/// the dirty pages, so that a second sync would report success for lost data. Only a restart, which
/// reads the disk again, shows which data survived.
pub trait LogStore: Send {
    /// Makes `batch` durable with one sync.
    ///
    /// # Errors
    /// Fails if the batch leaves a gap in the log or is too large, or if the disk failed.
    fn persist(&mut self, batch: &PersistBatch) -> Result<SyncMark, StoreError>;

    /// Makes a snapshot of the keeper's own applied state durable, then removes the log up to the
    /// snapshot. Entries after the snapshot remain.
    ///
    /// # Errors
    /// Fails if the disk failed; the earlier snapshot is still complete.
    fn save_snapshot(&mut self, snapshot: &StoreSnapshot) -> Result<SyncMark, StoreError>;

    /// Makes a snapshot from the leader durable and restarts the log after it.
    ///
    /// # Errors
    /// Fails if the disk failed; a restart then recovers either the earlier state or the complete
    /// snapshot.
    fn install_snapshot(&mut self, snapshot: &StoreSnapshot) -> Result<SyncMark, StoreError>;

    /// Index of the next entry to append.
    fn next_index(&self) -> LogIndex;

    /// Current disk usage and number of syncs.
    fn usage(&self) -> StoreUsage;
}
