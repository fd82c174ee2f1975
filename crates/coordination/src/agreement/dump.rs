//! Snapshot of the core's state for process dumps and for `status`.

use serde::{Deserialize, Serialize};

use super::entry::{KeeperId, LogIndex, Membership};
use super::interface::RoleStatus;
use super::node::{AgreementNode, RoleState};
use super::progress::{PeerProgress, SendMode};
use super::redundancy::RedundancyReport;
use crate::base::MonotonicTime;

/// State of one keeper, without the entries of its log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementDump {
    /// Identity of this keeper.
    pub keeper: KeeperId,
    /// Role, term and known leader.
    pub status: RoleStatus,
    /// Membership in effect at this keeper.
    pub membership: Membership,
    /// Index of the entry that contains this membership.
    pub membership_index: LogIndex,
    /// Index of the last entry that the latest snapshot covers.
    pub snapshot_index: LogIndex,
    /// Index before the first entry that the log still contains.
    pub base_index: LogIndex,
    /// Highest index delivered to the state machine.
    pub delivered_index: LogIndex,
    /// Highest index known to be committed.
    pub commit_index: LogIndex,
    /// Index of the last synced entry.
    pub durable_index: LogIndex,
    /// Index of the last entry, synced or not.
    pub last_index: LogIndex,
    /// Number of messages and actions that wait for a sync.
    pub held_actions: usize,
    /// State of the leadership; `None` unless this keeper leads.
    pub leadership: Option<LeadershipDump>,
}

/// State of a keeper's leadership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipDump {
    /// Time on the leader's clock at which it steps down unless a quorum answers.
    pub leads_until: MonotonicTime,
    /// Number of proposals that wait for their commit.
    pub pending_proposals: usize,
    /// Number of reads that wait for their quorum check.
    pub pending_reads: usize,
    /// Redundancy of the group.
    pub redundancy: RedundancyReport,
    /// Replication state of each other keeper.
    pub peers: Vec<PeerDump>,
}

/// Replication state of one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDump {
    /// Identity of the peer.
    pub keeper: KeeperId,
    /// Highest index up to which the peer's synced log matches the leader's.
    pub matched: LogIndex,
    /// Index of the next entry that the leader sends.
    pub next: LogIndex,
    /// Number of unanswered append messages.
    pub inflight: usize,
    /// Whether the leader is sending a snapshot to the peer.
    pub receives_snapshot: bool,
    /// Sending time, on the leader's clock, of the latest heartbeat that the peer answered.
    pub contact_at: MonotonicTime,
}

impl AgreementNode {
    /// Returns the current state of this keeper.
    #[must_use]
    pub fn dump(&self) -> AgreementDump {
        AgreementDump {
            keeper: self.id.clone(),
            status: self.status(),
            membership: self.log.membership().clone(),
            membership_index: self.log.membership_index(),
            snapshot_index: self.log.snapshot_index(),
            base_index: self.log.base_index(),
            delivered_index: self.delivered,
            commit_index: self.commit,
            durable_index: self.writes.durable_index(),
            last_index: self.log.last_index(),
            held_actions: self.writes.pending_len(),
            leadership: self.dump_leadership(),
        }
    }

    fn dump_leadership(&self) -> Option<LeadershipDump> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        Some(LeadershipDump {
            leads_until: self.leadership_end(leader),
            pending_proposals: leader.proposals.len(),
            pending_reads: leader.reads.len(),
            redundancy: self.redundancy().unwrap_or_default(),
            peers: leader.peers.iter().map(dump_peer).collect(),
        })
    }
}

fn dump_peer((keeper, progress): (&KeeperId, &PeerProgress)) -> PeerDump {
    PeerDump {
        keeper: keeper.clone(),
        matched: progress.matched,
        next: progress.next,
        inflight: progress.inflight.len(),
        receives_snapshot: matches!(progress.mode, SendMode::Snapshot { .. }),
        contact_at: progress.contact_at,
    }
}
