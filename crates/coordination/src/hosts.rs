//! Hosts that find each other: who is there, where, and when that was last known.
//!
//! No list of hosts is given. A host knows a few seed addresses; whoever answers there says who
//! else is a keeper. Knowledge travels with its age, so what is said of a host that died grows old
//! everywhere at once and is forgotten, however often it is passed on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, HostName, MonotonicTime};
use crate::leases::HeartbeatHost;

/// Where a host takes links, and what it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReach {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Whether it has a disk and keeps a replica of the agreed state.
    pub keeper: bool,
    /// Where it stands; `None` where its settings don't say so.
    pub data_centre: Option<DataCentreName>,
    /// Where it takes heartbeats of backend servers that keepers send there; `None` where it takes none.
    #[serde(default)]
    pub heartbeats: Option<SocketAddr>,
}

/// What one host tells another of a third.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostGossip {
    /// The host that is spoken of.
    pub host: HostName,
    /// Where it is.
    pub reach: HostReach,
    /// Time since it was last heard by anyone.
    pub age: Duration,
}

/// Settings of a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Silence after which a host is forgotten. Longer than a restart and a short partition, so
    /// that links are not torn down for them; a host that is forgotten too early is back with its
    /// next hello.
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
    /// A host is new, or is reached elsewhere than before.
    Reach {
        /// The host.
        host: HostName,
        /// Where it is now.
        reach: HostReach,
    },
    /// A host was not heard of for the retention.
    Forgotten {
        /// The host.
        host: HostName,
    },
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    reach: HostReach,
    heard_at: MonotonicTime,
}

/// Hosts that one host knows of, itself left out.
#[derive(Clone, Debug)]
pub struct HostDirectory {
    own: HostName,
    settings: DirectorySettings,
    entries: BTreeMap<HostName, DirectoryEntry>,
}

impl HostDirectory {
    /// A directory of `own` that knows nobody.
    pub fn new(own: HostName, settings: DirectorySettings) -> Self {
        Self {
            own,
            settings,
            entries: BTreeMap::new(),
        }
    }

    /// A host spoke for itself. It moves to where it says it is.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        host: &HostName,
        reach: HostReach,
    ) -> Option<DirectoryChange> {
        self.merge(host, reach, now)
    }

    /// A host spoke of another. An older word than what is known changes nothing: a host that was
    /// replaced at another address would else be sent back to the old one.
    pub fn observe_gossip(
        &mut self,
        now: MonotonicTime,
        note: &HostGossip,
    ) -> Option<DirectoryChange> {
        if note.age >= self.settings.retention {
            return None;
        }
        let heard_at = now.before(note.age);
        let known = self.entries.get(&note.host);
        if known.is_some_and(|known| known.heard_at >= heard_at) {
            return None;
        }
        self.merge(&note.host, note.reach.clone(), heard_at)
    }

    /// A link to the host works.
    pub fn confirm(&mut self, now: MonotonicTime, host: &HostName) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.heard_at = entry.heard_at.max(now);
        }
    }

    /// Forgets hosts that were silent for the retention.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<DirectoryChange> {
        let retention = self.settings.retention;
        let silent = |entry: &DirectoryEntry| now.since(entry.heard_at) >= retention;
        let gone: Vec<HostName> = self
            .entries
            .iter()
            .filter(|(_, entry)| silent(entry))
            .map(|(host, _)| host.clone())
            .collect();
        for host in &gone {
            self.entries.remove(host);
        }
        gone.into_iter()
            .map(|host| DirectoryChange::Forgotten { host })
            .collect()
    }

    /// What to tell others: keepers only, since entries are linked to keepers and to nobody else.
    pub fn gossip(&self, now: MonotonicTime) -> Vec<HostGossip> {
        let keepers = self.entries.iter().filter(|(_, entry)| entry.reach.keeper);
        keepers
            .map(|(host, entry)| HostGossip {
                host: host.clone(),
                reach: entry.reach.clone(),
                age: now.since(entry.heard_at),
            })
            .collect()
    }

    /// Hosts that take heartbeats for keepers: who, in which data centre, and where.
    pub fn heartbeat_hosts(&self) -> Vec<HeartbeatHost> {
        let hosts = self.entries.iter().filter_map(|(host, entry)| {
            Some(HeartbeatHost {
                host: host.clone(),
                data_centre: entry.reach.data_centre.clone()?,
                address: entry.reach.heartbeats?,
            })
        });
        hosts.collect()
    }

    /// Number of hosts that are no keepers: they take callers.
    pub fn entry_count(&self) -> u32 {
        let entries = self.entries.values().filter(|entry| !entry.reach.keeper);
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    /// The host that is reached at `address`.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&HostName> {
        let mut entries = self.entries.iter();
        let found = entries.find(|(_, entry)| entry.reach.address == address);
        found.map(|(host, _)| host)
    }

    /// Whether a host is known to stand in `data_centre`.
    pub fn is_in(&self, host: &HostName, data_centre: &DataCentreName) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| entry.reach.data_centre.as_ref() == Some(data_centre))
    }

    /// Whether a host is a known keeper.
    pub fn is_keeper(&self, host: &HostName) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| entry.reach.keeper)
    }

    /// Known keepers, by name.
    pub fn keepers(&self) -> impl Iterator<Item = &HostName> {
        let keepers = self.entries.iter().filter(|(_, entry)| entry.reach.keeper);
        keepers.map(|(host, _)| host)
    }

    fn merge(
        &mut self,
        host: &HostName,
        reach: HostReach,
        heard_at: MonotonicTime,
    ) -> Option<DirectoryChange> {
        if *host == self.own {
            return None;
        }
        let former = self.entries.get(host);
        let is_known = former.is_some_and(|former| former.reach == reach);
        let entry = DirectoryEntry {
            reach: reach.clone(),
            heard_at,
        };
        self.entries.insert(host.clone(), entry);
        if is_known {
            return None;
        }
        Some(DirectoryChange::Reach {
            host: host.clone(),
            reach,
        })
    }
}
