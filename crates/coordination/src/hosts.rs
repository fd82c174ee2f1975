//! Host discovery: a directory of known hosts with their addresses and last confirmation.
//!
//! There is no configured list of hosts. A host knows a few seed addresses, and the hosts there
//! send it gossip about the keepers. Gossip carries its age, so information about a failed host
//! expires on all hosts at the same time, regardless of how often they forward it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, HostName, MonotonicTime};
use crate::leases::HeartbeatHost;

/// Address, role and location of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReach {
    /// Address that accepts connections of peers.
    pub address: SocketAddr,
    /// Whether the host is a keeper, which has a disk and stores a replica of the replicated state.
    pub keeper: bool,
    /// Data centre of the host; `None` if its settings don't name one.
    pub data_centre: Option<DataCentreName>,
    /// Address for heartbeats of backend servers that a keeper assigned to the host; `None` if the
    /// host accepts none.
    #[serde(default)]
    pub heartbeats: Option<SocketAddr>,
}

/// Information about a host that one host sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostGossip {
    /// Host that the information describes.
    pub host: HostName,
    /// Address, role and location of the host.
    pub reach: HostReach,
    /// Time since any host last confirmed it.
    pub age: Duration,
}

/// Settings of a [`HostDirectory`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Time without confirmation after which a host is removed. It is longer than a restart or a
    /// short partition, so that these don't close links. A host that is removed too early is added
    /// again by its next hello.
    pub retention: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(30),
        }
    }
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A host is new, or its address, role or location has changed.
    Reach {
        /// Name of the host.
        host: HostName,
        /// New address, role and location.
        reach: HostReach,
    },
    /// A host was removed after the retention without confirmation.
    Forgotten {
        /// Name of the host.
        host: HostName,
    },
}

#[derive(Clone, Debug)]
struct KnownHost {
    reach: HostReach,
    confirmed_at: MonotonicTime,
}

/// Hosts known to one host, without itself.
#[derive(Clone, Debug)]
pub struct HostDirectory {
    own: HostName,
    settings: DirectorySettings,
    hosts: BTreeMap<HostName, KnownHost>,
}

impl HostDirectory {
    /// Creates a directory for host `own` without other hosts.
    pub fn new(own: HostName, settings: DirectorySettings) -> Self {
        Self {
            own,
            settings,
            hosts: BTreeMap::new(),
        }
    }

    /// Records information that a host sent about itself. It replaces any earlier information.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        host: &HostName,
        reach: HostReach,
    ) -> Option<DirectoryChange> {
        self.merge(host, reach, now)
    }

    /// Records information that a host sent about another. Information that is not newer than the
    /// stored value is ignored; otherwise a host that was replaced at a new address would be reset
    /// to its old address.
    pub fn observe_gossip(
        &mut self,
        now: MonotonicTime,
        gossip: &HostGossip,
    ) -> Option<DirectoryChange> {
        if gossip.age >= self.settings.retention {
            return None;
        }
        let confirmed_at = now.before(gossip.age);
        let known = self.hosts.get(&gossip.host);
        if known.is_some_and(|known| known.confirmed_at >= confirmed_at) {
            return None;
        }
        self.merge(&gossip.host, gossip.reach.clone(), confirmed_at)
    }

    /// Records that a link to `host` works at `now`.
    pub fn confirm(&mut self, now: MonotonicTime, host: &HostName) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.confirmed_at = known.confirmed_at.max(now);
        }
    }

    /// Removes hosts without confirmation during the retention.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<DirectoryChange> {
        let retention = self.settings.retention;
        let silent = |known: &KnownHost| now.since(known.confirmed_at) >= retention;
        let expired: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(_, known)| silent(known))
            .map(|(host, _)| host.clone())
            .collect();
        for host in &expired {
            self.hosts.remove(host);
        }
        expired
            .into_iter()
            .map(|host| DirectoryChange::Forgotten { host })
            .collect()
    }

    /// Returns the gossip for other hosts. It contains only keepers, because hosts connect only to
    /// keepers.
    pub fn gossip(&self, now: MonotonicTime) -> Vec<HostGossip> {
        let keepers = self.hosts.iter().filter(|(_, known)| known.reach.keeper);
        keepers
            .map(|(host, known)| HostGossip {
                host: host.clone(),
                reach: known.reach.clone(),
                age: now.since(known.confirmed_at),
            })
            .collect()
    }

    /// Returns the hosts to which keepers can assign heartbeats: those with a data centre and a
    /// heartbeat address.
    pub fn heartbeat_hosts(&self) -> Vec<HeartbeatHost> {
        let hosts = self.hosts.iter().filter_map(|(host, known)| {
            Some(HeartbeatHost {
                host: host.clone(),
                data_centre: known.reach.data_centre.clone()?,
                address: known.reach.heartbeats?,
            })
        });
        hosts.collect()
    }

    /// Number of entries: known hosts that are not keepers; these accept requests of callers.
    pub fn entry_count(&self) -> u32 {
        let hosts = self.hosts.values().filter(|known| !known.reach.keeper);
        u32::try_from(hosts.count()).unwrap_or(u32::MAX)
    }

    /// Returns the entries with their endpoints, sorted by name.
    pub fn entries(&self) -> Vec<(HostName, HostReach)> {
        let entries = self.hosts.iter().filter(|(_, known)| !known.reach.keeper);
        entries
            .map(|(host, known)| (host.clone(), known.reach.clone()))
            .collect()
    }

    /// Returns the data centre of a host, if known.
    pub fn data_centre_of(&self, host: &HostName) -> Option<&DataCentreName> {
        self.hosts.get(host)?.reach.data_centre.as_ref()
    }

    /// Returns the host whose peer address is `address`.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&HostName> {
        let mut hosts = self.hosts.iter();
        let found = hosts.find(|(_, known)| known.reach.address == address);
        found.map(|(host, _)| host)
    }

    /// Whether a host is known to be in `data_centre`.
    pub fn is_in(&self, host: &HostName, data_centre: &DataCentreName) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.reach.data_centre.as_ref() == Some(data_centre))
    }

    /// Whether a host is a known keeper.
    pub fn is_keeper(&self, host: &HostName) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.reach.keeper)
    }

    /// Iterates over the known keepers in the order of their names.
    pub fn keepers(&self) -> impl Iterator<Item = &HostName> {
        let keepers = self.hosts.iter().filter(|(_, known)| known.reach.keeper);
        keepers.map(|(host, _)| host)
    }

    fn merge(
        &mut self,
        host: &HostName,
        reach: HostReach,
        confirmed_at: MonotonicTime,
    ) -> Option<DirectoryChange> {
        if *host == self.own {
            return None;
        }
        let former = self.hosts.get(host);
        let is_known = former.is_some_and(|former| former.reach == reach);
        let known = KnownHost {
            reach: reach.clone(),
            confirmed_at,
        };
        self.hosts.insert(host.clone(), known);
        if is_known {
            return None;
        }
        Some(DirectoryChange::Reach {
            host: host.clone(),
            reach,
        })
    }
}
