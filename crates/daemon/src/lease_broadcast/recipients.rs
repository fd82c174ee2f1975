//! Who is told of which leases.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{HostName, MonotonicTime};
use pollendrift_coordination::leases::{LeaseScope, LeaseSource};
use pollendrift_coordination::revision_follower::FollowerTable;

use crate::feed::ConfigurationFeed;
use crate::keeper::KeeperList;
use crate::peers::PeerHub;

/// The hosts around this one: keepers, those that follow it, and the keeper that it follows.
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

    /// Whether this host passes on what others tell it: a keeper, where hosts find each other.
    pub(super) fn is_keeper(&self) -> bool {
        match &self.keepers {
            KeeperList::Fixed(_) => false,
            KeeperList::Discovered(discovery) => discovery.own_reach().keeper,
        }
    }

    /// What `host` is to the leases that it tells of.
    pub(super) fn kind_of(&self, host: &HostName) -> LeaseSource {
        match &self.keepers {
            KeeperList::Discovered(discovery) if discovery.is_keeper(host) => LeaseSource::Keeper,
            _ => LeaseSource::Peer,
        }
    }

    /// A host asked this one for the configuration.
    pub(super) fn record_follower(&self, now: MonotonicTime, host: &HostName) {
        self.table().record_question(now, host);
    }

    /// Hosts that follow this keeper and are no keepers themselves.
    pub(super) fn followers(&self, now: MonotonicTime) -> Vec<HostName> {
        let mut hosts = self.table().hosts(now);
        hosts.retain(|host| self.kind_of(host) != LeaseSource::Keeper);
        hosts
    }

    /// Keepers besides this host.
    pub(super) fn other_keepers(&self, hub: &PeerHub) -> Vec<HostName> {
        let mut keepers = self.keepers.hosts();
        keepers.retain(|keeper| keeper != hub.host());
        keepers
    }

    /// Hosts that are to be told now, and what.
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
