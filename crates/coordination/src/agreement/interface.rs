//! What goes into the agreement core and what comes out of it.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::entry::{HardState, KeeperId, LogEntry, LogIndex, Membership, SnapshotMetadata, Term};
use super::message::AgreementEnvelope;
use super::redundancy::RedundancyReport;
use crate::base::{HostName, number_type};

number_type!(
    /// Token of one request, chosen by the caller and returned with the outcome.
    RequestToken(u64)
);

number_type!(
    /// Number of a persist order, from 1, without gaps.
    PersistSequence(u64)
);

/// A snapshot with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// What it stands for.
    pub mark: SnapshotMetadata,
    /// The state machine's encoding.
    pub bytes: Arc<[u8]>,
}

/// What a keeper's disk held at start.
///
/// Invariant: `entries` above the snapshot's index follow it without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Last synced hard state.
    pub hard_state: HardState,
    /// Last synced snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// Synced entries; those up to the snapshot's index may be missing or present.
    pub entries: Vec<LogEntry>,
}

/// What the caller tells the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementInput {
    /// A message of a peer arrived.
    Message(AgreementEnvelope),
    /// Append a command. All proposals of one tick share a persist order and its sync.
    Propose {
        /// Returned with the outcome.
        token: RequestToken,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Find an index up to which the state must be applied for a read to be linearizable.
    Read {
        /// Returned with the outcome.
        token: RequestToken,
    },
    /// Everything up to this persist order is synced.
    Persisted(PersistSequence),
    /// Give leadership to the voter on a host.
    HandOver {
        /// Returned with the outcome.
        token: RequestToken,
        /// Host of the next leader.
        target: HostName,
    },
    /// Change the membership by one keeper.
    ChangeMembership {
        /// Returned with the outcome.
        token: RequestToken,
        /// The change.
        change: MembershipChange,
    },
    /// The state machine's state after applying `index` was encoded.
    SnapshotTaken {
        /// Last entry that the snapshot contains.
        index: LogIndex,
        /// The encoded state.
        bytes: Arc<[u8]>,
    },
}

/// One step of a membership change.
///
/// A replacement is `AddLearner` under the new incarnation, then `Promote` once it has caught up;
/// the leader removes the host's former incarnation itself as soon as the promotion is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Bring a keeper up to date without counting it.
    AddLearner(KeeperId),
    /// Count a caught-up learner.
    Promote(KeeperId),
    /// Take a keeper out.
    Remove(KeeperId),
}

/// What the core tells the caller to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementEffect {
    /// Send a message. It may be lost, delayed or doubled.
    Send(AgreementEnvelope),
    /// Write and sync, then report [`AgreementInput::Persisted`].
    Persist(PersistRequest),
    /// Apply these entries, in order; each index is delivered once in the life of a process. Only
    /// [`EntryPayload::Command`](super::EntryPayload::Command) carries something for the state
    /// machine; the others still move the applied index.
    Committed(Vec<LogEntry>),
    /// Replace the whole state by this snapshot; it is already synced.
    InstallSnapshot(StoredSnapshot),
    /// What became of a proposal.
    Proposal {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: ProposalOutcome,
    },
    /// What became of a read.
    Read {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: ReadOutcome,
    },
    /// What became of a hand-over.
    HandOver {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: HandOverOutcome,
    },
    /// What became of a membership change.
    MembershipChange {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: ProposalOutcome,
    },
    /// Role, term or known leader changed.
    RoleChanged(RoleStatus),
    /// Another membership is in force.
    MembershipChanged {
        /// Entry that carries it.
        index: LogIndex,
        /// The membership.
        membership: Membership,
    },
    /// What the group can lose changed; only a leader tells.
    RedundancyChanged(RedundancyReport),
    /// Enough entries were delivered since the last snapshot: encode the state.
    SnapshotRequested {
        /// Entry that the snapshot should contain at least.
        index: LogIndex,
    },
    /// The disk is older than what this keeper acknowledged; it takes no further part. The caller
    /// sets the data aside and returns under a new incarnation.
    IdentityLost {
        /// Keeper that noticed.
        detected_by: KeeperId,
        /// Term in which more was acknowledged.
        term: Term,
        /// Index that was acknowledged.
        index: LogIndex,
    },
    /// A message was not acted on.
    MessageDropped {
        /// Its sender.
        from: KeeperId,
        /// Why.
        reason: DropReason,
    },
}

/// What must be synced, in this order: hard state, snapshot, truncation, entries.
///
/// A crash may leave any prefix of that order; nothing that depends on the order was sent yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Number to report.
    pub sequence: PersistSequence,
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// New snapshot; entries up to its index may be dropped, and the log goes on after it.
    pub snapshot: Option<StoredSnapshot>,
    /// Remove this entry and all that follow it.
    pub truncate_from: Option<LogIndex>,
    /// Append these. The first follows what is left, or, where what is left ends before the
    /// snapshot's index, the snapshot; none stands at or below the latest snapshot's index.
    pub entries: Vec<LogEntry>,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Synced by a quorum at this index; it was delivered before this effect.
    Committed(LogIndex),
    /// It is in no log and will never be.
    NotAppended(RefusalReason),
    /// It is in this keeper's log, but leadership ended before it was committed.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// This keeper does not lead.
    #[display("not the leader")]
    NotLeader {
        /// Who does, where known.
        leader: Option<KeeperId>,
    },
    /// Leadership is being given away.
    #[display("leadership is being handed over")]
    HandingOver,
    /// A bounded queue is full; try again later.
    #[display("too many requests are waiting")]
    Busy,
    /// The command exceeds the bound.
    #[display("command of {size} bytes exceeds {limit}")]
    TooLarge {
        /// Its bytes.
        size: usize,
        /// Bytes that are accepted.
        limit: usize,
    },
    /// Another membership change, or the first entry of the term, is not committed yet.
    #[display("another membership change is under way")]
    ChangePending,
    /// The keeper is not a learner.
    #[display("keeper is no learner")]
    NotLearner,
    /// The keeper is already a member, or a later incarnation of its host is.
    #[display("keeper or a later incarnation of it is already a member")]
    AlreadyMember,
    /// The keeper is no member.
    #[display("keeper is no member")]
    NotMember,
    /// The learner lacks committed entries.
    #[display("learner has not caught up")]
    NotCaughtUp,
    /// The keeper that should lead does not answer now.
    #[display("keeper does not answer")]
    NotAnswering,
    /// The leader would remove itself; hand leadership over first.
    #[display("hand leadership over before removing its holder")]
    HandOverFirst,
    /// The voters that answer would be no quorum after the change.
    #[display("the voters that answer would no longer be a quorum")]
    QuorumAtRisk,
}

/// What became of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A state that contains this entry is current; all entries up to it were delivered.
    Ready(LogIndex),
    /// Nothing was read.
    Refused(RefusalReason),
}

/// What became of a hand-over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandOverOutcome {
    /// This keeper no longer leads.
    Done,
    /// The target did not take over in time; this keeper leads on.
    TimedOut,
    /// Not started.
    Refused(RefusalReason),
}

/// Part that a keeper plays.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeeperRole {
    /// In no membership that it knows: an empty disk waiting to be added.
    #[display("outsider")]
    Outsider,
    /// Receives the log without counting.
    #[display("learner")]
    Learner,
    /// Votes and follows.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
    /// Its disk is older than its acknowledgements; takes no part.
    #[display("retired")]
    Retired,
}

/// Role with what goes with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Role.
    pub role: KeeperRole,
    /// Present term.
    pub term: Term,
    /// Leader of that term, where known.
    pub leader: Option<KeeperId>,
}

/// Why a message was not acted on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DropReason {
    /// Addressed to another keeper or another incarnation.
    #[display("not addressed to this incarnation")]
    OtherReceiver,
    /// Its sender claims to be this keeper.
    #[display("sent under this keeper's own identity")]
    OwnIdentity,
    /// A later incarnation of the sender's host is a member.
    #[display("sent by a former incarnation")]
    FormerIncarnation,
    /// The sender's disk is older than its acknowledgements.
    #[display("sender's disk is older than what it acknowledged")]
    OldDisk,
    /// Its content contradicts itself or what is known to be committed.
    #[display("content is malformed")]
    Malformed,
    /// This keeper takes no part any more.
    #[display("this keeper is retired")]
    Retired,
}
