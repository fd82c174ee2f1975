//! Which hosts are keepers: those of the settings, or those that were found.

use std::collections::BTreeSet;
use std::sync::Arc;

use pollendrift_coordination::base::HostName;

use crate::peers::PeerDiscovery;

/// The keepers; clones see the same.
#[derive(Clone, Debug)]
pub enum KeeperList {
    /// Those that the settings name.
    Fixed(Arc<[HostName]>),
    /// Those that were found, from seed addresses on.
    Discovered(Arc<PeerDiscovery>),
}

impl KeeperList {
    /// Keepers that are known now, by name.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostName> {
        match self {
            Self::Fixed(hosts) => hosts.to_vec(),
            Self::Discovered(discovery) => discovery.keepers(),
        }
    }

    /// Keepers that `own`, this host, is to ask first, and the others: itself, else those of its data
    /// centre. All are equally near where that is not known.
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

    /// Keepers that found the group together; `None` until all of them are known.
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
