//! Settings of discovery: how hosts find each other without a peer list.

use std::net::SocketAddr;

use super::reader::SectionReader;

/// Seeds and addresses for discovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Addresses of the hosts that a starting host contacts first; empty if `peers` lists the
    /// hosts.
    pub seeds: Vec<SocketAddr>,
    /// Advertised address, at which peers reach this host, if it differs from the one that it
    /// listens on, such as behind a proxy or network address translation.
    pub announce: Option<SocketAddr>,
    /// Port on which all hosts listen for peers; replaces the ports of `seeds`.
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

    /// Whether discovery is on: at least one seed is set.
    pub fn is_on(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Addresses of the seeds with `peer_port` applied.
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
