//! What the log is made of; the store writes these types and the agreement core decides on them.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation};

/// Number of a leadership period; at most one leader exists in each.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Position in the log, from 1; 0 stands before the first entry.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The index that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Identity of a keeper: its host, and the life of the disk that its votes are written on.
///
/// Invariant: a disk that came back empty, old or from another host never carries the incarnation
/// under which an earlier vote was given.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}#{incarnation}")]
pub struct KeeperId {
    /// Host that the keeper runs on.
    pub host: HostName,
    /// Life of the keeper's disk.
    pub incarnation: Incarnation,
}

/// Who votes, and who is being brought up to date before voting.
///
/// Invariant: `voters` and `learners` share no keeper, and successive memberships in the log differ
/// by at most one voter, so any two successive majorities overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Keepers whose votes and syncs count towards the quorum.
    pub voters: BTreeSet<KeeperId>,
    /// Keepers that receive the log without counting.
    pub learners: BTreeSet<KeeperId>,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Opens a leader's term; commits what earlier terms left.
    Noop,
    /// Command for the state machine, in its own encoding.
    Command(Arc<[u8]>),
    /// New membership, in force from the moment the entry is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position; entries of a log have no gaps.
    pub index: LogIndex,
    /// Term of the leader that appended the entry; never falls along the log.
    pub term: Term,
    /// Content.
    pub payload: EntryPayload,
}

/// What a keeper must have synced before it answers a vote or an append.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen; never falls.
    pub term: Term,
    /// Whom this keeper voted for in `term`; set at most once a term.
    pub voted_for: Option<KeeperId>,
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Last entry that the snapshot contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in force at that entry.
    pub membership: Membership,
}
