//! Tells other hosts which services this host does not reach, and which hosts may send its requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollendrift_coordination::base::{HostName, ServiceName};
use pollendrift_coordination::forwarding::{ForwardHost, ForwardTable, PartitionTable};
use pollendrift_coordination::hosts::HostReach;
use rand::seq::SliceRandom;
use tokio::sync::Notify;

use crate::clock::TimeSource;
use crate::peers::{PartitionNotice, PeerAddress, PeerDiscovery, PeerFrame, PeerHub};

/// Keepers that are asked for hosts at the same time: one of them may have failed.
const ASKED_KEEPERS: usize = 2;
/// Hosts of the requester's data centre, and of all others, in the answer of a keeper.
const LISTED_HOSTS: usize = 8;

/// What this host knows about forwarding: on a host that accepts callers, the hosts that it may
/// forward requests to; on a keeper, the hosts that are cut off from servers.
pub(crate) struct ForwardingState {
    table: Mutex<ForwardTable>,
    partitions: Mutex<PartitionTable>,
    /// Wakes requests that wait for the list of hosts.
    pub(crate) hosts_listed: Notify,
    clock: Arc<dyn TimeSource>,
}

impl ForwardingState {
    /// Creates a state that knows no other host.
    pub(crate) fn new(table: ForwardTable, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            table: Mutex::new(table),
            partitions: Mutex::default(),
            hosts_listed: Notify::new(),
            clock,
        }
    }

    /// Locks the table of hosts that requests may be forwarded to.
    pub(crate) fn table(&self) -> MutexGuard<'_, ForwardTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the keepers which services this host does not reach and, if there are any, asks for
    /// hosts to forward requests to. A lost notice is corrected by the next one.
    pub(crate) fn report(&self, hub: &PeerHub, services: &[ServiceName]) {
        let Some(discovery) = hub.discovery() else {
            let peers = hub.peer_addresses();
            self.set_hosts(peers.into_iter().map(host_of_peer).collect());
            return;
        };
        let mut keepers = hub.up_hosts();
        keepers.retain(|host| discovery.is_keeper(host));
        keepers.shuffle(&mut rand::rng());
        let (asked, told) = keepers.split_at(ASKED_KEEPERS.min(keepers.len()));
        for (hosts, is_asked) in [(asked, true), (told, false)] {
            let notice = PartitionNotice::Unreachable {
                services: services.to_vec(),
                wants_hosts: is_asked && !services.is_empty(),
            };
            hub.send_to(hosts, &frame_of(notice));
        }
    }

    /// Applies a notice of the peer `from`, and answers it if it asks for hosts.
    pub(crate) fn receive_notice(&self, hub: &PeerHub, from: &HostName, notice: PartitionNotice) {
        match notice {
            PartitionNotice::Unreachable {
                services,
                wants_hosts,
            } => {
                let now = self.clock.now();
                self.partitions().record(now, from, services.clone());
                if let Some(discovery) = hub.discovery().filter(|_| wants_hosts) {
                    let hosts = self.list_hosts(hub, discovery, from, &services);
                    // The requester asks again while it needs hosts.
                    let _ = hub.send(from, &frame_of(PartitionNotice::Hosts(hosts)));
                }
            }
            PartitionNotice::Hosts(hosts) => {
                log::info!(keeper:% = from, hosts = hosts.len(); "hosts to forward requests to received");
                self.set_hosts(hosts);
            }
        }
    }

    /// Hosts with a link to this keeper that have not reported to be cut off from `services`: some in
    /// the data centre of `requester`, and some elsewhere.
    fn list_hosts(
        &self,
        hub: &PeerHub,
        discovery: &PeerDiscovery,
        requester: &HostName,
        services: &[ServiceName],
    ) -> Vec<ForwardHost> {
        let now = self.clock.now();
        let linked = hub.up_hosts();
        let partitions = self.partitions();
        let may_help = |host: &HostName| {
            host != requester
                && linked.binary_search(host).is_ok()
                && !partitions.is_cut_off(now, host, services)
        };
        let mut entries = discovery.entries();
        entries.retain(|(host, _)| may_help(host));
        entries.shuffle(&mut rand::rng());
        let centre = discovery.data_centre_of(requester);
        let is_near = |entry: &(HostName, HostReach)| entry.1.data_centre == centre;
        let (near, far): (Vec<_>, Vec<_>) = entries.into_iter().partition(is_near);
        let near = near.into_iter().take(LISTED_HOSTS);
        let listed = near.chain(far.into_iter().take(LISTED_HOSTS));
        listed
            .map(|(host, reach)| ForwardHost {
                host,
                address: reach.address,
                data_centre: reach.data_centre,
            })
            .collect()
    }

    fn set_hosts(&self, hosts: Vec<ForwardHost>) {
        self.table().set_hosts(hosts);
        self.hosts_listed.notify_waiters();
    }

    fn partitions(&self) -> MutexGuard<'_, PartitionTable> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn frame_of(notice: PartitionNotice) -> PeerFrame {
    PeerFrame::Survey {
        notes: Vec::new(),
        pass_on: false,
        rates: None,
        partition: Some(notice),
        quarantine: None,
        poison: None,
        demand: None,
    }
}

fn host_of_peer(peer: PeerAddress) -> ForwardHost {
    ForwardHost {
        host: peer.host,
        address: peer.address,
        data_centre: None,
    }
}
