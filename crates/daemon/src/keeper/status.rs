//! Status of a keeper.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    KeeperId, KeeperRole, LogIndex, Membership, RedundancyReport, Term,
};
use pollendrift_store::{StoreUsage, SyncMark, TornTail};

use super::replay::ReplayReport;

/// Status of one keeper, for the dump, the operators' status and tasks that wait for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperStatus {
    /// This keeper; `None` until it has found its group.
    pub keeper: Option<KeeperId>,
    /// Role in the agreement group.
    pub role: KeeperRole,
    /// Current term.
    pub term: Term,
    /// Leader of that term, if known.
    pub leader: Option<KeeperId>,
    /// Last entry known to be committed.
    pub commit: LogIndex,
    /// Last entry that the state machine has applied.
    pub applied: LogIndex,
    /// Last entry of the log.
    pub last: LogIndex,
    /// Current membership.
    pub membership: Arc<Membership>,
    /// Number of failures that the group tolerates; only known to a leader.
    pub redundancy: Option<Arc<RedundancyReport>>,
    /// Disk usage of the store.
    pub usage: StoreUsage,
    /// Mark of the last sync.
    pub mark: SyncMark,
    /// Incomplete record at the end of the log that the start truncated.
    pub torn_tail: Option<TornTail>,
    /// Statistics of the log entries that the start applied again; `None` until all are applied.
    pub replay: Option<ReplayReport>,
    /// Reason why the keeper stopped; `None` while it runs.
    pub stopped: Option<Arc<str>>,
    /// Whether it stopped because its disk is full.
    pub is_disk_full: bool,
}

impl Default for KeeperStatus {
    fn default() -> Self {
        Self {
            keeper: None,
            role: KeeperRole::Outsider,
            term: Term::default(),
            leader: None,
            commit: LogIndex::default(),
            applied: LogIndex::default(),
            last: LogIndex::default(),
            membership: Arc::default(),
            redundancy: None,
            usage: StoreUsage::default(),
            mark: SyncMark::default(),
            torn_tail: None,
            replay: None,
            stopped: None,
            is_disk_full: false,
        }
    }
}

impl KeeperStatus {
    /// Whether this keeper is a voter of the current membership.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        let own = self.keeper.as_ref();
        own.is_some_and(|keeper| self.membership.voters.contains(keeper))
    }
}
