//! What the log is made of; the store writes these types and the agreement core decides on them.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation, number_type, shared_bytes};

number_type!(
    /// Number of a leadership period; at most one leader exists in each.
    Term(u64)
);

number_type!(
    /// Position in the log, from 1; 0 stands before the first entry.
    LogIndex(u64)
);

impl LogIndex {
    /// The index before this one; 0 stays 0.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
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

impl Membership {
    /// Voters that make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a quorum of the voters is among `reached` hosts.
    ///
    /// Voters that were retired do not count. Counting every keeper that was ever heard of, the
    /// majority of five that had outlived a sixth took itself for cut off, turned all heartbeats
    /// away, and the leases of all backend servers ended at once.
    pub fn is_quorum(&self, reached: &BTreeSet<HostName>) -> bool {
        let voters = self.voters.iter();
        let reached = voters.filter(|voter| reached.contains(&voter.host)).count();
        reached >= self.quorum()
    }

    /// Whether the keeper is a voter or a learner.
    #[must_use]
    pub fn contains(&self, keeper: &KeeperId) -> bool {
        self.voters.contains(keeper) || self.learners.contains(keeper)
    }

    /// Voters and learners.
    pub fn keepers(&self) -> impl Iterator<Item = &KeeperId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether a later incarnation of the keeper's host is a member while the keeper is none.
    #[must_use]
    pub fn supersedes(&self, keeper: &KeeperId) -> bool {
        let is_later =
            |other: &KeeperId| other.host == keeper.host && other.incarnation > keeper.incarnation;
        !self.contains(keeper) && self.keepers().any(is_later)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Opens a leader's term; commits what earlier terms left.
    Noop,
    /// Command for the state machine, in its own encoding.
    Command(#[serde(with = "shared_bytes")] Arc<[u8]>),
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
pub struct SnapshotMetadata {
    /// Last entry that the snapshot contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in force at that entry.
    pub membership: Membership,
}
