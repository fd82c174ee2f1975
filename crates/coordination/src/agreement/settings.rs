//! Settings of the agreement core.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How one keeper takes part in agreement; all keepers of a group carry the same values.
///
/// Invariant after [`AgreementSettings::checked`]: `heartbeat_interval` is at most a third of
/// `election_timeout`, and no bound is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgreementSettings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader after which a keeper asks for votes. The time that is used
    /// lies at random between this and twice this. A leader that reaches no quorum for this long
    /// steps down.
    pub election_timeout: Duration,
    /// Time without progress after which unanswered entries or snapshot chunks are sent again.
    pub resend_timeout: Duration,
    /// Entries that one append message carries at most.
    pub max_append_entries: usize,
    /// Payload bytes that one append message carries at most, unless its first entry is larger.
    pub max_append_bytes: usize,
    /// Append messages to one peer that may be unanswered.
    pub max_inflight_appends: usize,
    /// Bytes of one command; a larger one is refused.
    pub max_command_bytes: usize,
    /// Entries that a leader holds uncommitted before it refuses proposals.
    pub max_uncommitted_entries: usize,
    /// Payload bytes that a leader holds uncommitted before it refuses proposals.
    pub max_uncommitted_bytes: usize,
    /// Reads that wait for their quorum check before further ones are refused.
    pub max_pending_reads: usize,
    /// Bytes of a snapshot that one message carries.
    pub snapshot_chunk_bytes: usize,
    /// Bytes of a snapshot that is accepted from a peer.
    pub max_snapshot_bytes: usize,
    /// Delivered entries after which a new snapshot is asked for.
    pub snapshot_after_entries: u64,
    /// Entries kept in memory behind a snapshot, so that a peer that lags a little needs none.
    pub retained_entries: u64,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            resend_timeout: Duration::from_millis(150),
            max_append_entries: 256,
            max_append_bytes: 256 * 1024,
            max_inflight_appends: 16,
            max_command_bytes: 1024 * 1024,
            max_uncommitted_entries: 4096,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            max_pending_reads: 4096,
            snapshot_chunk_bytes: 256 * 1024,
            max_snapshot_bytes: 256 * 1024 * 1024,
            snapshot_after_entries: 10_000,
            retained_entries: 1_000,
        }
    }
}

impl AgreementSettings {
    /// The same settings with each value raised or lowered to what the core can work with.
    #[must_use]
    pub fn checked(mut self) -> Self {
        const SHORTEST_HEARTBEAT: Duration = Duration::from_millis(1);
        self.heartbeat_interval = self.heartbeat_interval.max(SHORTEST_HEARTBEAT);
        self.election_timeout = self.election_timeout.max(self.heartbeat_interval * 3);
        self.resend_timeout = self.resend_timeout.max(SHORTEST_HEARTBEAT);
        self.max_append_entries = self.max_append_entries.max(1);
        self.max_append_bytes = self.max_append_bytes.max(1);
        self.max_inflight_appends = self.max_inflight_appends.max(1);
        self.max_command_bytes = self.max_command_bytes.max(1);
        self.max_uncommitted_entries = self.max_uncommitted_entries.max(1);
        self.max_uncommitted_bytes = self.max_uncommitted_bytes.max(self.max_command_bytes);
        self.max_pending_reads = self.max_pending_reads.max(1);
        self.snapshot_chunk_bytes = self.snapshot_chunk_bytes.max(1);
        self.max_snapshot_bytes = self.max_snapshot_bytes.max(1);
        self.snapshot_after_entries = self.snapshot_after_entries.max(1);
        self
    }
}
