//! What keepers send each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::entry::{KeeperId, LogEntry, LogIndex, SnapshotMetadata, Term};
use crate::base::{MonotonicTime, shared_bytes};

/// Number of a heartbeat round within one leader's term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HeartbeatRound(pub u64);

/// Where the sender's disk stood when its process started.
///
/// Receivers compare it with what they saw the same keeper acknowledge before: a disk that was put
/// back from an old copy starts behind its own acknowledgements and is not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Drawn at random at each start; tells the lives of one process apart.
    pub nonce: u64,
    /// Term that the disk held.
    pub term: Term,
    /// Last entry that the disk held.
    pub last_index: LogIndex,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementEnvelope {
    /// Sender.
    pub from: KeeperId,
    /// Receiver; a keeper drops what is not addressed to its present incarnation.
    pub to: KeeperId,
    /// Start of the sender's process.
    pub start: ProcessStart,
    /// Content.
    pub message: AgreementMessage,
}

/// Content of a message between keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// Asks for a vote, or whether a vote would be given.
    VoteRequest(VoteRequest),
    /// Answers a vote request.
    VoteReply(VoteReply),
    /// Carries entries, or only the commit index.
    Append(AppendRequest),
    /// Answers an append, once what it says is synced.
    AppendReply(AppendReply),
    /// Keeps leadership known and carries quorum checks.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat, without waiting for any sync.
    HeartbeatReply(HeartbeatReply),
    /// Part of a snapshot for a peer that needs entries which the leader no longer holds.
    SnapshotChunk(SnapshotChunk),
    /// Answers a snapshot chunk.
    SnapshotReply(SnapshotReply),
    /// Tells a caught-up voter to ask for votes at once: the planned hand-over of leadership.
    TimeoutNow(Term),
    /// Tells a keeper that its disk is older than what it acknowledged before.
    IdentityRejected(IdentityRejected),
}

impl AgreementMessage {
    /// Term that the message speaks in; `None` where it carries none.
    pub fn term(&self) -> Option<Term> {
        match self {
            Self::VoteRequest(request) => Some(request.term),
            Self::VoteReply(reply) => Some(reply.term),
            Self::Append(request) => Some(request.term),
            Self::AppendReply(reply) => Some(reply.term),
            Self::Heartbeat(heartbeat) => Some(heartbeat.term),
            Self::HeartbeatReply(reply) => Some(reply.term),
            Self::SnapshotChunk(chunk) => Some(chunk.term),
            Self::SnapshotReply(reply) => Some(reply.term),
            Self::TimeoutNow(term) => Some(*term),
            Self::IdentityRejected(_) => None,
        }
    }
}

/// What a vote is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Would the vote be given? Changes nothing at either side.
    PreVote,
    /// The vote itself, after the leader was lost.
    Election,
    /// The vote itself, on the old leader's order; it holds although that leader was just heard.
    HandOver,
}

/// Request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Kind of vote.
    pub kind: VoteKind,
    /// Term that the sender wants to lead.
    pub term: Term,
    /// Last entry of the sender.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
}

/// Answer to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Kind of vote that was asked for.
    pub kind: VoteKind,
    /// The asked term where granted, else the term of the answering keeper.
    pub term: Term,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Entries from a leader.
///
/// Invariant: `entries` continue `prev_index` without a gap, and their terms lie between
/// `prev_term` and `term` and never fall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// Entry before the first carried one.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<LogEntry>,
    /// The leader's commit index.
    pub commit: LogIndex,
}

/// Answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Term of the answering keeper.
    pub term: Term,
    /// Result.
    pub outcome: AppendOutcome,
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to here, synced.
    Matched(LogIndex),
    /// The entry before the carried ones is missing or differs.
    Mismatch {
        /// The `prev_index` that was refused.
        refused: LogIndex,
        /// Highest index at which the logs can still agree.
        hint_index: LogIndex,
        /// Term of the answering keeper's entry there.
        hint_term: Term,
    },
    /// The request's term is over.
    StaleTerm,
}

/// Sign of life from a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader's term.
    pub term: Term,
    /// Round; an answer proves that the sender still led when the round began.
    pub round: HeartbeatRound,
    /// The leader's own time at sending, given back in the answer and read by no one else.
    pub sent_at: MonotonicTime,
    /// What the leader saw other keepers acknowledge.
    pub witnessed: Vec<ObservedAck>,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Term of the answering keeper.
    pub term: Term,
    /// Round that is answered.
    pub round: HeartbeatRound,
    /// `sent_at` of the heartbeat.
    pub sent_at: MonotonicTime,
    /// Commit index of the answering keeper.
    pub commit: LogIndex,
}

/// What was seen of one keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedAck {
    /// The keeper.
    pub keeper: KeeperId,
    /// Its latest known start.
    pub start: ProcessStart,
    /// Term in which it acknowledged.
    pub term: Term,
    /// Index that it acknowledged in that term.
    pub index: LogIndex,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// What the snapshot stands for.
    pub mark: SnapshotMetadata,
    /// Position of `bytes` in the snapshot.
    pub offset: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// The part.
    #[serde(with = "shared_bytes")]
    pub bytes: Arc<[u8]>,
}

/// Answer to a snapshot chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Term of the answering keeper.
    pub term: Term,
    /// Index of the snapshot that is being received.
    pub index: LogIndex,
    /// State of the transfer.
    pub outcome: SnapshotOutcome,
}

/// State of a snapshot transfer at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotOutcome {
    /// The next byte that is wanted.
    Continue(u64),
    /// The receiver holds everything up to this index, synced.
    Installed(LogIndex),
}

/// A start that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentityRejected {
    /// Start that is refused; a keeper ignores the refusal of another start than its own.
    pub nonce: u64,
    /// Term in which the keeper acknowledged before.
    pub witnessed_term: Term,
    /// Index that it acknowledged.
    pub witnessed_index: LogIndex,
}
