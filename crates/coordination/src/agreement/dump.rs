//! State of the core for the dump of a process and for `status`.

use serde::{Deserialize, Serialize};

use super::entry::{KeeperId, LogIndex, Membership};
use super::interface::RoleStatus;
use super::node::{AgreementNode, RoleState};
use super::progress::{PeerProgress, SendMode};
use super::redundancy::RedundancyReport;
use crate::base::MonotonicTime;

/// Everything that tells how a keeper stands, without the log's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementDump {
    /// This keeper.
    pub keeper: KeeperId,
    /// Role, term, leader.
    pub status: RoleStatus,
    /// Membership in force here.
    pub membership: Membership,
    /// Entry that carries it.
    pub membership_index: LogIndex,
    /// Last entry that the latest snapshot contains.
    pub snapshot_index: LogIndex,
    /// Index before the first entry that is still held.
    pub base_index: LogIndex,
    /// Highest index delivered to the state machine.
    pub delivered_index: LogIndex,
    /// Highest index known to be committed.
    pub commit_index: LogIndex,
    /// Last entry that is synced.
    pub durable_index: LogIndex,
    /// Last entry.
    pub last_index: LogIndex,
    /// Messages and steps that wait for a sync.
    pub held_actions: usize,
    /// What a leader knows besides; `None` elsewhere.
    pub leadership: Option<LeadershipDump>,
}

/// What only a leader knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipDump {
    /// When it steps down unless a quorum answers, in its own time.
    pub leads_until: MonotonicTime,
    /// Proposals that wait for their commit.
    pub pending_proposals: usize,
    /// Reads that wait for their quorum check.
    pub pending_reads: usize,
    /// What the group can lose.
    pub redundancy: RedundancyReport,
    /// The other keepers.
    pub peers: Vec<PeerDump>,
}

/// How far a peer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDump {
    /// The peer.
    pub keeper: KeeperId,
    /// Up to here it holds what the leader holds, synced.
    pub matched: LogIndex,
    /// Next entry that it is sent.
    pub next: LogIndex,
    /// Messages that it has not answered.
    pub inflight: usize,
    /// Whether it is being sent a snapshot.
    pub receives_snapshot: bool,
    /// When the latest heartbeat that it answered was sent, in the leader's time.
    pub contact_at: MonotonicTime,
}

impl AgreementNode {
    /// How this keeper stands now.
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
            held_actions: self.writes.held_len(),
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
