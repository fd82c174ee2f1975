//! How hosts find each other where no list names them.

use std::net::SocketAddr;

use super::reader::SectionReader;

/// Settings of discovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Addresses of hosts that were there first; empty where `peers` lists the hosts.
    pub seeds: Vec<SocketAddr>,
    /// Address at which peers are told to reach this host, where it differs from the one that it
    /// listens on: behind a proxy or a translated address.
    pub announce: Option<SocketAddr>,
    /// Port on which all hosts listen for peers, in place of the ports of `seeds`.
    pub peer_port: Option<u16>,
}

impl DiscoverySettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let port = section.optional::<u16>("peer_port", "a port from 1 to 65535");
        let announce = section.optional::<SocketAddr>("announce", "an IP address with a port");
        Self {
            announce: announce.map(|announce| announce.value),
            seeds: section.addresses("seeds"),
            peer_port: port.map(|port| port.value),
        }
    }

    /// Whether hosts find each other.
    pub fn is_on(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Addresses of the seeds for peers.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds
            .map(|mut seed| {
                seed.set_port(self.peer_port.unwrap_or(seed.port()));
                seed
            })
            .collect()
    }
}
