//! Selects the hosts that receive leases, and the leases that each receives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::leases::{LeaseScope, LeaseSource};
use pollendrift_coordination::revision_follower::FollowerTable;

use crate::feed::ConfigurationFeed;
use crate::keeper::KeeperList;
use crate::peers::PeerHub;

/// Hosts that this host exchanges leases with: keepers, followers of this host, and the keeper that
/// this host follows.
pub(super) struct LeaseRecipients {
    keepers: KeeperList,
    feed: Arc<ConfigurationFeed>,
    followers: Mutex<FollowerTable>,
}

impl LeaseRecipients {
    pub(super) fn new(keepers: KeeperList, feed: Arc<ConfigurationFeed>) -> Self {
        Self {
            keepers,
            feed,
            followers: Mutex::default(),
        }
    }

    /// Whether this host forwards other hosts' leases: with discovery, keepers do.
    pub(super) fn is_keeper(&self) -> bool {
        match &self.keepers {
            KeeperList::Fixed(_) => false,
            KeeperList::Discovered(discovery) => discovery.own_reach().keeper,
        }
    }

    /// Returns the kind of source that `host` is for the leases it sends.
    pub(super) fn kind_of(&self, host: &HostName) -> LeaseSource {
        match &self.keepers {
            KeeperList::Discovered(discovery) if discovery.is_keeper(host) => LeaseSource::Keeper,
            _ => LeaseSource::Peer,
        }
    }

    /// Records that `host` asked this host for the configuration.
    pub(super) fn record_follower(&self, now: MonotonicTime, host: &HostName) {
        self.table().record_question(now, host);
    }

    /// Returns the hosts that follow this keeper and are not keepers themselves.
    pub(super) fn followers(&self, now: MonotonicTime) -> Vec<HostName> {
        let mut hosts = self.table().hosts(now);
        hosts.retain(|host| self.kind_of(host) != LeaseSource::Keeper);
        hosts
    }

    /// Returns the keepers other than this host.
    pub(super) fn other_keepers(&self, hub: &PeerHub) -> Vec<HostName> {
        let mut keepers = self.keepers.hosts();
        keepers.retain(|keeper| keeper != hub.host());
        keepers
    }

    /// Returns the hosts that receive leases now, with the scope of leases for each.
    pub(super) fn hosts(
        &self,
        hub: &PeerHub,
        now: MonotonicTime,
    ) -> BTreeMap<HostName, LeaseScope> {
        if matches!(self.keepers, KeeperList::Fixed(_)) {
            let hosts = hub.hosts().into_iter();
            return hosts.map(|host| (host, LeaseScope::Own)).collect();
        }
        if !self.is_keeper() {
            let followed = self.feed.followed_keeper();
            return followed
                .map(|host| (host, LeaseScope::Own))
                .into_iter()
                .collect();
        }
        let followers = self.followers(now).into_iter();
        let mut hosts: BTreeMap<HostName, LeaseScope> =
            followers.map(|host| (host, LeaseScope::All)).collect();
        let keepers = self.other_keepers(hub).into_iter();
        hosts.extend(keepers.map(|host| (host, LeaseScope::OwnAndFollowers)));
        hosts
    }

    fn table(&self) -> MutexGuard<'_, FollowerTable> {
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
