//! Settings of the agreement core.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{FindingList, Place};

const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1);

/// Minimum ratio of election timeout to heartbeat interval, so that one lost heartbeat starts no
/// election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// Settings of one keeper; all keepers of a group use the same values.
///
/// Invariant after [`AgreementSettings::checked`]: `heartbeat_interval` is at most a third of
/// `election_timeout`, and no limit is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgreementSettings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader after which a keeper requests votes. The actual time is
    /// random, between this and one and a half times this. A leader that reaches no quorum for
    /// this long steps down.
    pub election_timeout: Duration,
    /// Time without an answer after which the leader removes a voter; `None` leaves removal to
    /// operators. It must be much longer than a restart, which would otherwise cost two membership
    /// changes.
    pub lost_voter_timeout: Option<Duration>,
    /// Time without progress after which unanswered entries or snapshot chunks are sent again.
    pub resend_timeout: Duration,
    /// Maximum entries in one append message.
    pub max_append_entries: usize,
    /// Maximum payload bytes in one append message, unless its first entry is larger.
    pub max_append_bytes: usize,
    /// Maximum unanswered append messages to one peer.
    pub max_inflight_appends: usize,
    /// Maximum bytes of one command; a larger one is refused.
    pub max_command_bytes: usize,
    /// Uncommitted entries at which a leader refuses further proposals.
    pub max_uncommitted_entries: usize,
    /// Uncommitted payload bytes at which a leader refuses further proposals.
    pub max_uncommitted_bytes: usize,
    /// Reads waiting for their quorum check at which further reads are refused.
    pub max_pending_reads: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Maximum bytes of a snapshot accepted from a peer.
    pub max_snapshot_bytes: usize,
    /// Delivered entries after which a new snapshot is requested.
    pub snapshot_after_entries: u64,
    /// Entries kept in memory before a snapshot, so that a peer with a small lag needs no snapshot.
    pub retained_entries: u64,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            lost_voter_timeout: None,
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
    /// Reports each value that [`AgreementSettings::checked`] would change, as an error at the
    /// place that `place_of` returns for the option's name.
    #[must_use]
    pub fn findings<F>(&self, place_of: F) -> FindingList
    where
        F: Fn(&str) -> Place,
    {
        let mut findings = FindingList::default();
        if self.heartbeat_interval < MIN_HEARTBEAT_INTERVAL {
            let place = place_of("heartbeat_interval");
            findings.error(place, "heartbeat_interval is too short", "at least 1 ms");
        }
        if self.election_timeout
            < self
                .heartbeat_interval
                .saturating_mul(MIN_HEARTBEATS_PER_ELECTION)
        {
            let place = place_of("election_timeout");
            let accepted = "at least three times heartbeat_interval";
            findings.error(place, "election_timeout is too short", accepted);
        }
        if self.resend_timeout < MIN_HEARTBEAT_INTERVAL {
            let place = place_of("resend_timeout");
            findings.error(place, "resend_timeout is too short", "at least 1 ms");
        }
        if self.max_uncommitted_bytes < self.max_command_bytes {
            let place = place_of("max_uncommitted_bytes");
            let accepted = "at least max_command_bytes";
            findings.error(place, "max_uncommitted_bytes is too small", accepted);
        }
        for (name, value) in self.limits() {
            if value == 0 {
                findings.error(place_of(name), format!("{name} is 0"), "at least 1");
            }
        }
        findings
    }

    fn limits(&self) -> [(&'static str, usize); 9] {
        let snapshot_after = usize::try_from(self.snapshot_after_entries).unwrap_or(usize::MAX);
        [
            ("max_append_entries", self.max_append_entries),
            ("max_append_bytes", self.max_append_bytes),
            ("max_inflight_appends", self.max_inflight_appends),
            ("max_command_bytes", self.max_command_bytes),
            ("max_uncommitted_entries", self.max_uncommitted_entries),
            ("max_pending_reads", self.max_pending_reads),
            ("snapshot_chunk_bytes", self.snapshot_chunk_bytes),
            ("max_snapshot_bytes", self.max_snapshot_bytes),
            ("snapshot_after_entries", snapshot_after),
        ]
    }

    /// Returns the settings with each value raised to the minimum that the core supports.
    #[must_use]
    pub fn checked(mut self) -> Self {
        self.heartbeat_interval = self.heartbeat_interval.max(MIN_HEARTBEAT_INTERVAL);
        self.election_timeout = self.election_timeout.max(
            self.heartbeat_interval
                .saturating_mul(MIN_HEARTBEATS_PER_ELECTION),
        );
        self.resend_timeout = self.resend_timeout.max(MIN_HEARTBEAT_INTERVAL);
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

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::{AgreementSettings, Duration, Place};

    fn place_of(name: &str) -> Place {
        Place {
            file: Arc::from(name),
            line: 0,
            column: 0,
        }
    }

    #[test]
    fn all_invalid_values_are_reported_at_once() {
        let settings = AgreementSettings {
            heartbeat_interval: Duration::MAX,
            resend_timeout: Duration::ZERO,
            max_uncommitted_bytes: 10,
            snapshot_after_entries: 0,
            ..AgreementSettings::default()
        };
        insta::assert_snapshot!(settings.findings(place_of), @"
        election_timeout:0:0: error: election_timeout is too short (accepted: at least three times heartbeat_interval)
        resend_timeout:0:0: error: resend_timeout is too short (accepted: at least 1 ms)
        max_uncommitted_bytes:0:0: error: max_uncommitted_bytes is too small (accepted: at least max_command_bytes)
        snapshot_after_entries:0:0: error: snapshot_after_entries is 0 (accepted: at least 1)
        ");
        assert!(settings.checked().findings(place_of).is_empty());
        assert!(AgreementSettings::default().findings(place_of).is_empty());
    }
}
