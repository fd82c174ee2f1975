//! Inputs and outputs of the agreement core.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::entry::{HardState, KeeperId, LogEntry, LogIndex, Membership, SnapshotMetadata, Term};
use super::message::AgreementEnvelope;
use super::redundancy::RedundancyReport;
use crate::base::{HostName, number_type};

number_type!(
    /// Token of one request; the caller chooses it and the outcome returns it.
    RequestToken(u64)
);

number_type!(
    /// Number of a persist request, from 1, without gaps.
    PersistSequence(u64)
);

/// A snapshot with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Log position and membership that the snapshot covers.
    pub mark: SnapshotMetadata,
    /// The state machine's encoding.
    pub bytes: Arc<[u8]>,
}

/// Content of a keeper's disk at start.
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

/// Input of the core: a message, a request or a completed action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementInput {
    /// A message from a peer arrived.
    Message(AgreementEnvelope),
    /// Append a command. All proposals of one tick share a persist request and its sync.
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
    /// Every persist request up to this one is synced.
    Persisted(PersistSequence),
    /// Hand leadership over to the voter on a host.
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
    /// The caller encoded the state of the state machine after applying `index`.
    SnapshotTaken {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// The encoded state.
        bytes: Arc<[u8]>,
    },
}

/// One step of a membership change.
///
/// A replacement is `AddLearner` with the new incarnation, then `Promote` once it has caught up;
/// the leader removes the host's former incarnation by itself once the promotion is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Add a keeper that receives the log and doesn't vote.
    AddLearner(KeeperId),
    /// Make a caught-up learner a voter.
    Promote(KeeperId),
    /// Remove a keeper from the membership.
    Remove(KeeperId),
}

/// Action that the caller must perform; effects of a tick are performed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementEffect {
    /// Send a message. It may be lost, delayed or duplicated.
    Send(AgreementEnvelope),
    /// Write and sync, then report [`AgreementInput::Persisted`].
    Persist(PersistRequest),
    /// Apply these entries in order; a process delivers each index once. Only
    /// [`EntryPayload::Command`](super::EntryPayload::Command) contains input for the state
    /// machine; the other payloads only advance the applied index.
    Committed(Vec<LogEntry>),
    /// Replace the complete state by this snapshot, which is already synced.
    InstallSnapshot(StoredSnapshot),
    /// Outcome of a proposal.
    Proposal {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: ProposalOutcome,
    },
    /// Outcome of a read.
    Read {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: ReadOutcome,
    },
    /// Outcome of a hand-over.
    HandOver {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: HandOverOutcome,
    },
    /// Outcome of a membership change.
    MembershipChange {
        /// The caller's token.
        token: RequestToken,
        /// Outcome.
        outcome: ProposalOutcome,
    },
    /// The role, the term or the known leader changed.
    RoleChanged(RoleStatus),
    /// A different membership is in effect.
    MembershipChanged {
        /// Index of the entry that contains it.
        index: LogIndex,
        /// The membership.
        membership: Membership,
    },
    /// The redundancy of the group changed; only a leader reports this.
    RedundancyChanged(RedundancyReport),
    /// Enough entries were delivered since the last snapshot: encode the state.
    SnapshotRequested {
        /// Lowest index that the snapshot must cover.
        index: LogIndex,
    },
    /// The disk is older than what this keeper acknowledged; the keeper stops taking part. The
    /// caller moves the data aside and restarts under a new incarnation.
    IdentityLost {
        /// Keeper that detected it.
        detected_by: KeeperId,
        /// Term of the highest observed acknowledgement.
        term: Term,
        /// Index of that acknowledgement.
        index: LogIndex,
    },
    /// The core ignored a message.
    MessageDropped {
        /// Sender of the message.
        from: KeeperId,
        /// Reason for ignoring it.
        reason: MessageDropReason,
    },
}

/// State to write and sync, in this order: hard state, snapshot, truncation, entries.
///
/// A crash may leave any prefix of these writes; no message that depends on them was sent yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Number to report in [`AgreementInput::Persisted`].
    pub sequence: PersistSequence,
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// New snapshot; entries up to its index may be removed, and the log continues after it.
    pub snapshot: Option<StoredSnapshot>,
    /// Remove this entry and all that follow it.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append. The first follows the last remaining entry, or the snapshot if the last
    /// remaining entry precedes the snapshot's index; none is at or below the index of the latest
    /// snapshot.
    pub entries: Vec<LogEntry>,
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A quorum synced it at this index; the core delivered it before this effect.
    Committed(LogIndex),
    /// No log contains it, and none ever will.
    NotAppended(RefusalReason),
    /// It is in this keeper's log, but the leadership ended before the commit.
    Unknown,
}

/// Reason for refusing a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// This keeper does not lead.
    #[display("not the leader")]
    NotLeader {
        /// Current leader, if known.
        leader: Option<KeeperId>,
    },
    /// A hand-over of leadership is in progress.
    #[display("leadership is being handed over")]
    HandingOver,
    /// A bounded queue is full; try again later.
    #[display("too many requests are waiting")]
    Busy,
    /// The command exceeds the size limit.
    #[display("command of {size} bytes exceeds {limit}")]
    TooLarge {
        /// Size of the command in bytes.
        size: usize,
        /// Largest accepted size in bytes.
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
    /// The keeper that should lead doesn't answer at present.
    #[display("keeper does not answer")]
    NotAnswering,
    /// The leader would remove itself; hand leadership over first.
    #[display("hand leadership over before removing its holder")]
    HandOverFirst,
    /// The voters that answer would not form a quorum after the change.
    #[display("the voters that answer would no longer be a quorum")]
    QuorumAtRisk,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A state that includes this entry is current; all entries up to it were delivered.
    Ready(LogIndex),
    /// The core refused the read.
    Refused(RefusalReason),
}

/// Outcome of a hand-over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandOverOutcome {
    /// This keeper no longer leads.
    Done,
    /// The target did not take over in time; this keeper continues to lead.
    TimedOut,
    /// The hand-over did not start.
    Refused(RefusalReason),
}

/// Role of a keeper in the group.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeeperRole {
    /// In no membership that it knows: an empty disk that waits to be added.
    #[display("outsider")]
    Outsider,
    /// Receives the log and doesn't vote.
    #[display("learner")]
    Learner,
    /// Votes, and follows the leader.
    #[display("follower")]
    Follower,
    /// Requests votes.
    #[display("candidate")]
    Candidate,
    /// Leads the group.
    #[display("leader")]
    Leader,
    /// Its disk is older than its acknowledgements; it doesn't take part.
    #[display("retired")]
    Retired,
}

/// Role of a keeper with its term and leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Role of the keeper.
    pub role: KeeperRole,
    /// Current term.
    pub term: Term,
    /// Leader of that term, if known.
    pub leader: Option<KeeperId>,
}

/// Reason for ignoring a message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MessageDropReason {
    /// Addressed to another keeper or another incarnation.
    #[display("not addressed to this incarnation")]
    OtherReceiver,
    /// The sender uses this keeper's identity.
    #[display("sent under this keeper's own identity")]
    OwnIdentity,
    /// A later incarnation of the sender's host is a member.
    #[display("sent by a former incarnation")]
    FormerIncarnation,
    /// The sender's disk is older than its acknowledgements.
    #[display("sender's disk is older than what it acknowledged")]
    OldDisk,
    /// The content contradicts itself or entries that are known to be committed.
    #[display("content is malformed")]
    Malformed,
    /// This keeper is retired.
    #[display("this keeper is retired")]
    Retired,
}
