//! Discovery of peers from seed addresses, and gossip of the known keepers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{DataCentreName, HostName};
use pollendrift_coordination::hosts::{
    DirectoryChange, DirectorySettings, HostDirectory, HostGossip, HostReach,
};
use pollendrift_coordination::leases::HeartbeatHost;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::frame::PeerFrame;
use super::hub::{PeerAddress, PeerHub};
use super::outbound::request_hello;

/// Maximum time between two queries of an unknown seed, and interval at which keepers send changes
/// of the list of keepers. Every host knows a new keeper after two such intervals.
const DISCOVERY_TICK: Duration = Duration::from_millis(250);
/// First wait before an unknown seed is queried again; doubles with each query up to
/// [`DISCOVERY_TICK`]. The hosts of a fleet start at almost the same time and none waits for its
/// seeds, so the first query often comes shortly too early.
const SEED_BASE_BACKOFF: Duration = Duration::from_millis(30);
/// Ticks after which an unchanged list of keepers is sent again. The interval is long because every
/// keeper sends the list to every host.
const RESEND_TICKS: u32 = 12;

/// Parameters of [`PeerDiscovery`].
#[derive(Clone, Debug)]
pub struct DiscoveryStart {
    /// Name of this host.
    pub host: HostName,
    /// Endpoint of this host, its data centre and whether it is a keeper.
    pub reach: HostReach,
    /// Addresses on which the founding hosts accept links of peers.
    pub seeds: Vec<SocketAddr>,
}

/// Last sent list of keepers, its receivers, and the ticks since it was sent to all peers.
#[derive(Debug, Default)]
struct SentHosts {
    keepers: Vec<(HostName, HostReach)>,
    /// Sorted.
    peers: Vec<HostName>,
    ticks: u32,
}

impl SentHosts {
    /// Returns the peers that the list is due for: all if `keepers` changed or after
    /// [`RESEND_TICKS`], otherwise the peers that were not up at the last call.
    fn due(&mut self, keepers: &[HostGossip], peers: Vec<HostName>) -> Vec<HostName> {
        let known = keepers.iter().map(|gossip| (&gossip.host, &gossip.reach));
        let is_same = known.eq(self.keepers.iter().map(|(host, reach)| (host, reach)));
        self.ticks += 1;
        if is_same && self.ticks < RESEND_TICKS {
            let is_new = |peer: &&HostName| self.peers.binary_search(peer).is_err();
            let new = peers.iter().filter(is_new).cloned().collect();
            self.peers = peers;
            return new;
        }
        let keepers = keepers.iter();
        self.keepers = keepers
            .map(|gossip| (gossip.host.clone(), gossip.reach.clone()))
            .collect();
        self.peers = peers.clone();
        self.ticks = 0;
        peers
    }
}

/// Directory of discovered hosts and the tasks that fill it.
pub struct PeerDiscovery {
    reach: HostReach,
    seeds: Vec<SocketAddr>,
    host: HostName,
    directory: Mutex<HostDirectory>,
    /// Number of hosts that accept callers, from the last list of a keeper; 0 before the first.
    entries: AtomicU32,
    clock: Arc<dyn crate::clock::TimeSource>,
}

impl std::fmt::Debug for PeerDiscovery {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PeerDiscovery")
            .field("reach", &self.reach)
            .field("seeds", &self.seeds)
            .finish_non_exhaustive()
    }
}

impl PeerDiscovery {
    /// Creates a discovery that knows no other host.
    pub fn new(start: DiscoveryStart, clock: Arc<dyn crate::clock::TimeSource>) -> Self {
        let directory = HostDirectory::new(start.host.clone(), DirectorySettings::default());
        Self {
            reach: start.reach,
            seeds: start.seeds,
            host: start.host,
            directory: Mutex::new(directory),
            entries: AtomicU32::new(0),
            clock,
        }
    }

    /// Endpoint of this host.
    pub fn own_reach(&self) -> HostReach {
        self.reach.clone()
    }

    /// Number of hosts that accept callers, including this one if it does; `None` before the first
    /// list of a keeper.
    pub fn entry_count(&self) -> Option<u32> {
        Some(self.entries.load(Ordering::Relaxed)).filter(|entries| *entries > 0)
    }

    /// Known keepers, including this host if it is one, sorted by name.
    pub fn keepers(&self) -> Vec<HostName> {
        let mut keepers: Vec<HostName> = self.lock().keepers().cloned().collect();
        if self.reach.keeper {
            keepers.push(self.host.clone());
        }
        keepers.sort();
        keepers
    }

    /// Whether `host` is a known keeper.
    pub fn is_keeper(&self, host: &HostName) -> bool {
        if *host == self.host {
            return self.reach.keeper;
        }
        self.lock().is_keeper(host)
    }

    /// Known hosts that accept heartbeats for the keepers.
    pub fn heartbeat_hosts(&self) -> Vec<HeartbeatHost> {
        self.lock().heartbeat_hosts()
    }

    /// Whether `host` is this host or known to be in its data centre.
    pub fn is_in_own_data_centre(&self, host: &HostName) -> bool {
        let own = self.reach.data_centre.as_ref();
        *host == self.host || own.is_some_and(|own| self.lock().is_in(host, own))
    }

    /// Known hosts without a keeper, which accept callers, with their endpoints; sorted by name.
    pub fn entries(&self) -> Vec<(HostName, HostReach)> {
        self.lock().entries()
    }

    /// Data centre of a known host.
    pub fn data_centre_of(&self, host: &HostName) -> Option<DataCentreName> {
        self.lock().data_centre_of(host).cloned()
    }

    /// Hosts at the seed addresses, sorted by name; `None` until all of them are known.
    pub fn seed_hosts(&self) -> Option<Vec<HostName>> {
        let directory = self.lock();
        let mut hosts = self
            .seeds
            .iter()
            .map(|seed| self.host_at(&directory, *seed))
            .collect::<Option<Vec<HostName>>>()?;
        hosts.sort();
        hosts.dedup();
        Some(hosts)
    }

    /// Records the endpoint from a host's hello.
    pub(super) fn record_hello(&self, hub: &PeerHub, host: &HostName, reach: HostReach) {
        let change = self.lock().observe(self.clock.now(), host, reach);
        self.apply(hub, change);
    }

    /// Merges a list of keepers and the number of other hosts, as a peer sent them.
    pub(super) fn receive_hosts(&self, hub: &PeerHub, gossip_list: &[HostGossip], entries: u32) {
        let now = self.clock.now();
        self.entries.store(entries, Ordering::Relaxed);
        for gossip in gossip_list {
            let change = self.lock().observe_gossip(now, gossip);
            self.apply(hub, change);
        }
    }

    /// Queries seeds and refreshes the directory on each tick; never returns.
    pub(super) async fn run(self: Arc<Self>, hub: PeerHub) {
        let mut seeds = JoinSet::new();
        if self.reach.keeper {
            for seed in &self.seeds {
                seeds.spawn(Arc::clone(&self).watch_seed(hub.clone(), *seed));
            }
        } else {
            seeds.spawn(Arc::clone(&self).find_keeper(hub.clone()));
        }
        let mut ticks = interval(DISCOVERY_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sent = SentHosts::default();
        loop {
            ticks.tick().await;
            self.refresh(&hub, &mut sent);
        }
    }

    /// Queries the host at a seed address while no known host has that address; never returns.
    async fn watch_seed(self: Arc<Self>, hub: PeerHub, seed: SocketAddr) {
        let mut wait = SEED_BASE_BACKOFF;
        loop {
            if self.is_known(seed) {
                wait = DISCOVERY_TICK;
            } else {
                self.query_seed(&hub, seed).await;
            }
            sleep(wait).await;
            wait = (wait * 2).min(DISCOVERY_TICK);
        }
    }

    /// Queries the seeds in turn while no keeper is known, since one keeper sends the list of all.
    /// If all hosts of a fleet queried every seed, the seeds would be too busy to found the group.
    async fn find_keeper(self: Arc<Self>, hub: PeerHub) {
        let mut seeds = self.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        let mut wait = SEED_BASE_BACKOFF;
        for seed in seeds.iter().cycle() {
            while self.knows_keeper() {
                sleep(DISCOVERY_TICK).await;
                wait = SEED_BASE_BACKOFF;
            }
            self.query_seed(&hub, *seed).await;
            sleep(wait).await;
            wait = (wait * 2).min(DISCOVERY_TICK);
        }
    }

    async fn query_seed(&self, hub: &PeerHub, seed: SocketAddr) {
        // The dialer needs a host name to check a certificate, but this query has yet to find out
        // the name. So seeds are only for networks that are protected otherwise.
        let placeholder = HostName::from("seed");
        match request_hello(hub, &placeholder, seed).await {
            Ok(hello) => {
                if let Some(reach) = hello.reach {
                    self.record_hello(hub, &hello.host, reach);
                }
            }
            Err(error) => log::debug!(seed:% = seed, error:% = error; "seed query failed"),
        }
    }

    /// Confirms hosts with an outbound link that is up, removes hosts that are not confirmed any
    /// more and, on a keeper, sends the list of keepers to the peers that it is due for.
    fn refresh(&self, hub: &PeerHub, sent: &mut SentHosts) {
        let now = self.clock.now();
        let up = hub.status().into_iter().filter(|peer| peer.up);
        let changes = {
            let mut directory = self.lock();
            for peer in up {
                directory.confirm(now, &peer.host);
            }
            directory.tick(now)
        };
        for change in changes {
            self.apply(hub, Some(change));
        }
        if !self.reach.keeper {
            return;
        }
        let (keepers, entries) = {
            let directory = self.lock();
            (directory.gossip(now), directory.entry_count())
        };
        let due = sent.due(&keepers, hub.up_hosts());
        if !due.is_empty() {
            // The next list corrects the loss of a frame.
            hub.send_to(&due, &PeerFrame::Hosts { keepers, entries });
        }
    }

    fn apply(&self, hub: &PeerHub, change: Option<DirectoryChange>) {
        match change {
            Some(DirectoryChange::Reach { host, reach }) => {
                log::info!(host:% = host, address:% = reach.address, keeper = reach.keeper; "peer's address learned");
                let address = reach.address;
                hub.add_peer(PeerAddress { host, address });
            }
            Some(DirectoryChange::Forgotten { host }) => {
                log::info!(host:% = host; "peer removed");
                hub.remove_peer(&host);
            }
            None => {}
        }
    }

    /// Sends the list of keepers to a host whose link has just come up, if this host is a keeper.
    /// Without it, hosts waited half a second for the next tick after each start of the system.
    pub(super) fn send_keepers(&self, hub: &PeerHub, host: &HostName) {
        if !self.reach.keeper {
            return;
        }
        let (keepers, entries) = {
            let directory = self.lock();
            (directory.gossip(self.clock.now()), directory.entry_count())
        };
        // If this fails, the next tick sends the list again.
        let _ = hub.send(host, &PeerFrame::Hosts { keepers, entries });
    }

    fn knows_keeper(&self) -> bool {
        self.lock().keepers().next().is_some()
    }

    fn is_known(&self, seed: SocketAddr) -> bool {
        self.host_at(&self.lock(), seed).is_some()
    }

    fn host_at(&self, directory: &HostDirectory, address: SocketAddr) -> Option<HostName> {
        if address == self.reach.address {
            return Some(self.host.clone());
        }
        directory.find_by_address(address).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, HostDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
