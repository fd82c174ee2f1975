//! List of the hosts that are keepers, from the settings or from discovery.

use std::collections::BTreeSet;
use std::sync::Arc;

use pollendrift_coordination::base::HostName;

use crate::peers::PeerDiscovery;

/// Hosts that are keepers; clones share the discovered list.
#[derive(Clone, Debug)]
pub enum KeeperList {
    /// Keepers named in the settings.
    Fixed(Arc<[HostName]>),
    /// Keepers that discovery finds from the seed addresses.
    Discovered(Arc<PeerDiscovery>),
}

impl KeeperList {
    /// Currently known keepers; discovered ones are sorted by name.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostName> {
        match self {
            Self::Fixed(hosts) => hosts.to_vec(),
            Self::Discovered(discovery) => discovery.keepers(),
        }
    }

    /// Splits the keepers into near and far ones, as seen from `own`, this host. Near is the host
    /// itself if it is a keeper, otherwise the keepers of its data centre; with a fixed list, all
    /// keepers are near.
    pub(crate) fn by_distance(&self, own: &HostName) -> (Vec<HostName>, Vec<HostName>) {
        let hosts = self.hosts();
        if hosts.contains(own) {
            return hosts.into_iter().partition(|host| host == own);
        }
        match self {
            Self::Fixed(_) => (hosts, Vec::new()),
            Self::Discovered(discovery) => {
                let is_near = |host: &HostName| discovery.is_in_own_data_centre(host);
                hosts.into_iter().partition(is_near)
            }
        }
    }

    /// Hosts that found the group together, sorted by name; `None` until all of them are known.
    pub(super) fn founders(&self) -> Option<Vec<HostName>> {
        let hosts = match self {
            Self::Fixed(hosts) => hosts.to_vec(),
            Self::Discovered(discovery) => discovery.seed_hosts()?,
        };
        let sorted: BTreeSet<HostName> = hosts.into_iter().collect();
        Some(sorted.into_iter().collect())
    }
}

impl From<Vec<HostName>> for KeeperList {
    fn from(hosts: Vec<HostName>) -> Self {
        Self::Fixed(hosts.into())
    }
}
