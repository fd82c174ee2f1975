//! Settings of a keeper.

use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;
use pollendrift_store::{CommitSettings, StoreSettings};

use super::schedule::SnapshotThresholds;

/// Settings of one keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// The agreement core.
    pub agreement: AgreementSettings,
    /// The store's files.
    pub store: StoreSettings,
    /// The store's thread.
    pub commit: CommitSettings,
    /// When a snapshot is taken by what is behind the last one, beside the core's count of entries.
    pub snapshots: SnapshotThresholds,
    /// Requests of this host and of peers that wait for the keeper; more are refused.
    pub queue: usize,
    /// Time between two attempts to found or find the group, and to join it.
    pub join_pause: Duration,
    /// Time without a leader after which a voter asks whether it still belongs.
    pub stranded_timeout: Duration,
    /// Whether this host may found a group together with all other keepers of the settings, where
    /// none of them has one. Off, an empty group stays empty until an operator turns it on.
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
            stranded_timeout: Duration::from_secs(3),
            may_found: true,
            seed: 0,
        }
    }
}
