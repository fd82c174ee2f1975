//! Types of the log, which the store persists and the agreement core decides on.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation, number_type, shared_bytes};

number_type!(
    /// Number of a leadership period; at most one leader exists in each term.
    Term(u64)
);

number_type!(
    /// Position in the log, from 1; 0 is the position before the first entry.
    LogIndex(u64)
);

impl LogIndex {
    /// Returns the preceding index; 0 stays 0.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identity of a keeper: its host, and the incarnation of the disk that stores its votes.
///
/// Invariant: a disk that was emptied, restored from an old copy or moved from another host never
/// has the incarnation under which an earlier vote was granted.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}#{incarnation}")]
pub struct KeeperId {
    /// Host on which the keeper runs.
    pub host: HostName,
    /// Incarnation of the keeper's disk.
    pub incarnation: Incarnation,
}

/// The voters of the group, and the learners that catch up before they vote.
///
/// Invariant: `voters` and `learners` share no keeper, and successive memberships in the log differ
/// by at most one voter, so any two successive majorities overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Keepers whose votes and syncs count towards the quorum.
    pub voters: BTreeSet<KeeperId>,
    /// Keepers that receive the log and count towards no quorum.
    pub learners: BTreeSet<KeeperId>,
}

impl Membership {
    /// Number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `reached` contains the hosts of a quorum of the voters.
    ///
    /// Removed voters don't count. If every keeper ever known counted, a majority of five that has
    /// outlived a sixth would consider itself cut off and reject all heartbeats, and the leases of
    /// all backend servers would expire at once.
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

    /// Iterates over voters, then learners.
    pub fn keepers(&self) -> impl Iterator<Item = &KeeperId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether a later incarnation of the keeper's host is a member and the keeper itself isn't.
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
    /// First entry of a leader's term; its commit also commits the entries of earlier terms.
    Noop,
    /// Command for the state machine, in the state machine's encoding.
    Command(#[serde(with = "shared_bytes")] Arc<[u8]>),
    /// New membership, in effect as soon as the entry is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position; indices in a log have no gaps.
    pub index: LogIndex,
    /// Term of the leader that appended the entry; never decreases along the log.
    pub term: Term,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// State that a keeper must sync before it answers a vote request or an append.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen; never decreases.
    pub term: Term,
    /// Candidate that this keeper voted for in `term`; set at most once per term.
    pub voted_for: Option<KeeperId>,
}

/// Log position and membership that a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// Index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
}
