//! Decides when a keeper takes a snapshot.

use std::time::Duration;

use pollendrift_coordination::agreement::LogIndex;

/// Minimum time spent applying entries since the last snapshot, as a multiple of the time that the
/// last snapshot took. With 4, snapshots take at most a fifth of a keeper's work.
const MIN_WORK_RATIO: u32 = 4;

/// Limits of the log that a start reads and applies again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotThresholds {
    /// Growth of the log in bytes after which the next snapshot is taken.
    pub log_bytes: u64,
    /// Time spent applying entries since the last snapshot after which the next one is taken.
    pub replay_work: Duration,
}

impl Default for SnapshotThresholds {
    fn default() -> Self {
        Self {
            log_bytes: 16 * 1024 * 1024,
            replay_work: Duration::from_millis(500),
        }
    }
}

/// Tracks the size of the log since the last snapshot and the time that applying it took.
///
/// A restarted keeper applies its log before it answers a read, and a change of a large
/// configuration takes as long as many small commands. After all keepers were killed, no host knew
/// the routes in force for seconds, and longer with each change that the group had ever accepted.
/// The time that applying took predicts the time of a start on the same host, whatever the entries
/// are, so a snapshot at that threshold limits the next start, even with few entries.
#[derive(Clone, Copy, Debug)]
pub(super) struct SnapshotSchedule {
    thresholds: SnapshotThresholds,
    /// Last entry in the last snapshot.
    snapshot_index: LogIndex,
    /// Size of the log in bytes at the last snapshot; decreases when the log shrinks.
    log_bytes_at_snapshot: u64,
    /// Time spent applying entries after the snapshot.
    replay_work: Duration,
    /// Time that the last snapshot of this process took; zero before the first one.
    snapshot_work: Duration,
}

impl SnapshotSchedule {
    /// Creates the schedule of a keeper whose snapshot ends at `snapshot_index` and whose log has
    /// `log_bytes` bytes.
    pub(super) fn new(
        thresholds: SnapshotThresholds,
        snapshot_index: LogIndex,
        log_bytes: u64,
    ) -> Self {
        Self {
            thresholds,
            snapshot_index,
            log_bytes_at_snapshot: log_bytes,
            replay_work: Duration::ZERO,
            snapshot_work: Duration::ZERO,
        }
    }

    /// Adds the time that applying an entry took.
    pub(super) fn record_work(&mut self, work: Duration) {
        self.replay_work += work;
    }

    /// Whether a snapshot up to `applied` is due, with a log of `log_bytes` bytes.
    pub(super) fn is_due(&mut self, applied: LogIndex, log_bytes: u64) -> bool {
        self.log_bytes_at_snapshot = self.log_bytes_at_snapshot.min(log_bytes);
        if applied <= self.snapshot_index {
            return false;
        }
        let min_replay_work = self.snapshot_work * MIN_WORK_RATIO;
        log_bytes - self.log_bytes_at_snapshot >= self.thresholds.log_bytes
            || self.replay_work >= self.thresholds.replay_work.max(min_replay_work)
    }

    /// Records a snapshot up to `applied` that this process took in the time `work`.
    pub(super) fn record_taken(&mut self, applied: LogIndex, log_bytes: u64, work: Duration) {
        self.record_installed(applied, log_bytes);
        self.snapshot_work = work;
    }

    /// Records a snapshot up to `applied` that a peer sent.
    pub(super) fn record_installed(&mut self, applied: LogIndex, log_bytes: u64) {
        self.snapshot_index = applied;
        self.log_bytes_at_snapshot = log_bytes;
        self.replay_work = Duration::ZERO;
    }
}
