//! Messages between keepers.

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

/// State of the sender's disk when its process started.
///
/// Receivers compare it with the acknowledgements that they observed from the same keeper: a disk
/// restored from an old copy starts behind its own acknowledgements and isn't counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Random number drawn at each start; distinguishes processes of one keeper.
    pub nonce: u64,
    /// Term stored on the disk.
    pub term: Term,
    /// Index of the last entry on the disk.
    pub last_index: LogIndex,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementEnvelope {
    /// Keeper that sent the message.
    pub from: KeeperId,
    /// Receiver; a keeper ignores messages that aren't addressed to its current incarnation.
    pub to: KeeperId,
    /// Start of the sender's process.
    pub start: ProcessStart,
    /// Content of the message.
    pub message: AgreementMessage,
}

/// Content of a message between keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// Requests a vote, or asks whether it would be granted.
    VoteRequest(VoteRequest),
    /// Answers a vote request.
    VoteReply(VoteReply),
    /// Carries entries, or only the commit index.
    Append(AppendRequest),
    /// Answers an append after the state that the reply reports is synced.
    AppendReply(AppendReply),
    /// Announces leadership and carries quorum checks.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat, without waiting for any sync.
    HeartbeatReply(HeartbeatReply),
    /// Part of a snapshot for a peer that needs entries which the leader has compacted.
    SnapshotChunk(SnapshotChunk),
    /// Answers a snapshot chunk.
    SnapshotReply(SnapshotReply),
    /// Requests an immediate election from a caught-up voter, for a planned hand-over.
    TimeoutNow(Term),
    /// Reports to a keeper that its disk is older than what it acknowledged before.
    IdentityRejected(IdentityRejected),
}

impl AgreementMessage {
    /// Name of the kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::VoteRequest(_) => "agreement-vote-request",
            Self::VoteReply(_) => "agreement-vote-reply",
            Self::Append(_) => "agreement-append",
            Self::AppendReply(_) => "agreement-append-reply",
            Self::Heartbeat(_) => "agreement-heartbeat",
            Self::HeartbeatReply(_) => "agreement-heartbeat-reply",
            Self::SnapshotChunk(_) => "agreement-snapshot",
            Self::SnapshotReply(_) => "agreement-snapshot-reply",
            Self::TimeoutNow(_) => "agreement-timeout-now",
            Self::IdentityRejected(_) => "agreement-identity-rejected",
        }
    }

    /// Term of the message; `None` if it has none.
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

/// Purpose of a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Asks whether the vote would be granted; changes no state at either keeper.
    PreVote,
    /// Requests the vote after the leader was lost.
    Election,
    /// Requests the vote for a hand-over by the old leader; valid although that leader is active.
    HandOver,
}

/// Request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Kind of vote requested.
    pub kind: VoteKind,
    /// Term in which the sender would lead.
    pub term: Term,
    /// Index of the sender's last entry.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
}

/// Answer to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Kind of vote that was requested.
    pub kind: VoteKind,
    /// The requested term if granted, otherwise the term of the answering keeper.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Request of a leader to append entries.
///
/// Invariant: `entries` continue `prev_index` without a gap, and their terms are between
/// `prev_term` and `term` and never decrease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// Index of the entry before `entries`.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: Term,
    /// Entries to append; may be empty.
    pub entries: Vec<LogEntry>,
    /// The leader's commit index.
    pub commit: LogIndex,
}

/// Answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Term of the answering keeper.
    pub term: Term,
    /// Result of the append.
    pub outcome: AppendOutcome,
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The synced log matches the leader's log up to this index.
    Matched(LogIndex),
    /// The entry at `prev_index` is missing or differs.
    Mismatch {
        /// `prev_index` of the refused request.
        refused: LogIndex,
        /// Highest index at which the logs can still match.
        hint_index: LogIndex,
        /// Term of the answering keeper's entry there.
        hint_term: Term,
    },
    /// The term of the request is over.
    StaleTerm,
}

/// Periodic message by which a leader announces that it is active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader's term.
    pub term: Term,
    /// Round; a reply proves that the sender still led when the round began.
    pub round: HeartbeatRound,
    /// Sending time on the leader's clock, returned in the reply and used by the leader only.
    pub sent_at: MonotonicTime,
    /// Acknowledgements of other keepers that the leader observed.
    pub witnessed: Vec<ObservedAck>,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Term of the answering keeper.
    pub term: Term,
    /// Round of the answered heartbeat.
    pub round: HeartbeatRound,
    /// `sent_at` of the answered heartbeat.
    pub sent_at: MonotonicTime,
    /// Commit index of the answering keeper.
    pub commit: LogIndex,
}

/// The highest acknowledgement observed from one keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedAck {
    /// The keeper.
    pub keeper: KeeperId,
    /// Latest known start of its process.
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
    /// Log position and membership that the snapshot covers.
    pub mark: SnapshotMetadata,
    /// Offset of `bytes` in the snapshot, in bytes.
    pub offset: u64,
    /// Size of the complete snapshot in bytes.
    pub total: u64,
    /// Content of this part.
    #[serde(with = "shared_bytes")]
    pub bytes: Arc<[u8]>,
}

/// Answer to a snapshot chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Term of the answering keeper.
    pub term: Term,
    /// Index of the snapshot in transfer.
    pub index: LogIndex,
    /// State of the transfer.
    pub outcome: SnapshotOutcome,
}

/// State of a snapshot transfer at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotOutcome {
    /// The receiver expects this byte offset next.
    Continue(u64),
    /// The receiver has synced everything up to this index.
    Installed(LogIndex),
}

/// Rejection of a process start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentityRejected {
    /// Nonce of the rejected start; a keeper ignores the rejection of any start but its own.
    pub nonce: u64,
    /// Term of the keeper's highest observed acknowledgement.
    pub witnessed_term: Term,
    /// Index of that acknowledgement.
    pub witnessed_index: LogIndex,
}
