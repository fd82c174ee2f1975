//! The border between a keeper and whatever keeps its log.

use pollendrift_coordination::agreement::{HardState, LogEntry, LogIndex, SnapshotMetadata};

use crate::error::StoreError;

/// What one sync must make durable, applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// New hard state; `None` leaves the last one in force.
    pub hard: Option<HardState>,
    /// First index to drop before appending.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append, without gaps.
    pub entries: Vec<LogEntry>,
}

impl PersistBatch {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }

    /// Adds `later` to this batch, so that both become durable in one sync.
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

/// A snapshot and what it stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSnapshot {
    /// Last entry, its term and the membership in force there.
    pub mark: SnapshotMetadata,
    /// Encoded state of the state machine.
    pub state: Vec<u8>,
}

/// Point in the life of a data folder; rises with every sync.
///
/// Peers remember the highest mark a keeper has told them: a keeper that returns with a lower one
/// runs on an old copy of its disk.
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
    /// Times the folder was opened.
    pub opens: u64,
}

/// What the store takes up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Bytes of all log segments.
    pub log_bytes: u64,
    /// Bytes of the snapshot; 0 where none was taken.
    pub snapshot_bytes: u64,
    /// Log segments.
    pub segments: u64,
    /// Syncs of files and folders since the store was opened.
    pub syncs: u64,
}

/// A durable log; calls block until the disk has answered.
///
/// Invariant: after any error the store refuses all further writes. A failed sync may have dropped
/// the dirty pages, so that a second sync would report success for data that is gone; only a
/// restart, which reads the disk again, tells what survived.
pub trait LogStore: Send {
    /// Makes `batch` durable with one sync.
    ///
    /// # Errors
    /// The batch leaves a gap in the log, is too large, or the disk failed.
    fn persist(&mut self, batch: &PersistBatch) -> Result<SyncMark, StoreError>;

    /// Makes a snapshot of the store's own applied state durable, then drops the log up to it.
    /// Entries after the snapshot stay.
    ///
    /// # Errors
    /// The disk failed; the earlier snapshot is still whole.
    fn save_snapshot(&mut self, snapshot: &StoreSnapshot) -> Result<SyncMark, StoreError>;

    /// Makes a snapshot that came from the leader durable and restarts the log after it.
    ///
    /// # Errors
    /// The disk failed; either the earlier state or the whole snapshot is in force at restart.
    fn install_snapshot(&mut self, snapshot: &StoreSnapshot) -> Result<SyncMark, StoreError>;

    /// Index at which the log goes on.
    fn next_index(&self) -> LogIndex;

    /// What the store takes up now.
    fn usage(&self) -> StoreUsage;
}
