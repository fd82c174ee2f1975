//! When a keeper takes a snapshot by itself.

use std::time::Duration;

use pollendrift_coordination::agreement::LogIndex;

/// Work at the log that is behind a snapshot, as a multiple of the work of the snapshot, below which
/// none is taken: at most a fifth of a keeper's work goes into snapshots.
const LEAST_WORK_RATIO: u32 = 4;

/// Bounds of what a start has to read and apply again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotThresholds {
    /// Bytes of log since the last snapshot after which the next one is taken.
    pub log_bytes: u64,
    /// Work of applying the log since the last snapshot after which the next one is taken.
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

/// Weighs the log since the last snapshot, however few entries it is.
///
/// Failure: a keeper that starts again applies its log before it answers a read, and a change of a
/// large configuration takes as long as many small commands. Symptom: after all keepers had been
/// killed no host knew which routes were in force for seconds, longer with each change that the group
/// had ever accepted. The time that applying took says what a start will take on the same host,
/// whatever the entries are, so a snapshot at that bound keeps the next start within it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SnapshotSchedule {
    bounds: SnapshotThresholds,
    /// Last entry in the snapshot.
    taken_at: LogIndex,
    /// Bytes of log when the last snapshot was taken; falls with the log.
    log_bytes_then: u64,
    /// Work of applying what is behind the snapshot.
    replay_work: Duration,
    /// Work of the last snapshot that this process took.
    snapshot_work: Duration,
}

impl SnapshotSchedule {
    /// The schedule of a keeper that holds a snapshot up to `taken_at`.
    pub(super) fn new(bounds: SnapshotThresholds, taken_at: LogIndex, log_bytes: u64) -> Self {
        Self {
            bounds,
            taken_at,
            log_bytes_then: log_bytes,
            replay_work: Duration::ZERO,
            snapshot_work: Duration::ZERO,
        }
    }

    /// Counts the work of an entry that was applied.
    pub(super) fn record_work(&mut self, work: Duration) {
        self.replay_work += work;
    }

    /// Whether a snapshot up to `applied` is due.
    pub(super) fn is_due(&mut self, applied: LogIndex, log_bytes: u64) -> bool {
        self.log_bytes_then = self.log_bytes_then.min(log_bytes);
        if applied <= self.taken_at {
            return false;
        }
        let worth_it = self.snapshot_work * LEAST_WORK_RATIO;
        log_bytes - self.log_bytes_then >= self.bounds.log_bytes
            || self.replay_work >= self.bounds.replay_work.max(worth_it)
    }

    /// Notes a snapshot up to `applied`, taken here with `work`.
    pub(super) fn record_taken(&mut self, applied: LogIndex, log_bytes: u64, work: Duration) {
        self.record_installed(applied, log_bytes);
        self.snapshot_work = work;
    }

    /// Notes a snapshot up to `applied` that a peer sent.
    pub(super) fn record_installed(&mut self, applied: LogIndex, log_bytes: u64) {
        self.taken_at = applied;
        self.log_bytes_then = log_bytes;
        self.replay_work = Duration::ZERO;
    }
}
