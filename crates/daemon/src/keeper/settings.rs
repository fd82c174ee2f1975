//! Settings of a keeper.

use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;
use pollendrift_store::{CommitSettings, StoreSettings};

use super::schedule::SnapshotThresholds;

/// Settings of one keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Settings of the agreement core.
    pub agreement: AgreementSettings,
    /// Settings of the store's files.
    pub store: StoreSettings,
    /// Settings of the store's thread.
    pub commit: CommitSettings,
    /// Thresholds for snapshots by log size and replay time, in addition to the core's entry count.
    pub snapshots: SnapshotThresholds,
    /// Capacity of the queue of requests of this host and of peers; further ones are refused.
    pub queue: usize,
    /// Time between two attempts to find or found the group, and between two join requests.
    pub join_pause: Duration,
    /// Time without a leader after which a voter sends a join request, in case it was removed.
    pub leaderless_timeout: Duration,
    /// Whether this host may found a group together with the other founders if none of them has a
    /// group. If false, no group is founded until an operator enables it.
    pub may_found: bool,
    /// Seed of the election timeouts.
    pub seed: u64,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            agreement: AgreementSettings::default(),
            store: StoreSettings::default(),
            commit: CommitSettings::default(),
            snapshots: SnapshotThresholds::default(),
            queue: 8_192,
            join_pause: Duration::from_millis(200),
            leaderless_timeout: Duration::from_secs(3),
            may_found: true,
            seed: 0,
        }
    }
}
