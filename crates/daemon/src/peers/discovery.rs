//! Finding peers from a few seed addresses, and passing on who is there.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::HostName;
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

/// Time between two looks at seeds that are not known yet, and between two tellings of keepers while
/// those change: a new keeper is known to every host two tellings after it came.
const DISCOVERY_TICK: Duration = Duration::from_millis(250);
/// First wait before a seed that is not known is asked again; each further one is twice as long, up to a
/// tick. Hosts of a fleet start within a moment of each other, and none waits for its seeds.
const FIRST_SEED_WAIT: Duration = Duration::from_millis(30);
/// Ticks between two tellings of the same keepers, as every keeper tells every host.
const TICKS_UNCHANGED: u32 = 12;

/// What discovery starts from.
#[derive(Clone, Debug)]
pub struct DiscoveryStart {
    /// This host.
    pub host: HostName,
    /// Where it takes links, and what it is.
    pub reach: HostReach,
    /// Addresses for peers of the hosts that were there first.
    pub seeds: Vec<SocketAddr>,
}

/// What was told last, and for how many ticks it has not changed.
#[derive(Debug, Default)]
struct ToldHosts {
    keepers: Vec<(HostName, HostReach)>,
    /// Sorted.
    peers: Vec<HostName>,
    ticks: u32,
}

impl ToldHosts {
    /// Who of `peers` is to be told now: all if keepers changed, who has just come, and all once in a while.
    fn due(&mut self, keepers: &[HostGossip], peers: Vec<HostName>) -> Vec<HostName> {
        let known = keepers.iter().map(|note| (&note.host, &note.reach));
        let is_same = known.eq(self.keepers.iter().map(|(host, reach)| (host, reach)));
        self.ticks += 1;
        if is_same && self.ticks < TICKS_UNCHANGED {
            let is_new = |peer: &&HostName| self.peers.binary_search(peer).is_err();
            let new = peers.iter().filter(is_new).cloned().collect();
            self.peers = peers;
            return new;
        }
        let keepers = keepers.iter();
        self.keepers = keepers
            .map(|note| (note.host.clone(), note.reach.clone()))
            .collect();
        self.peers = peers.clone();
        self.ticks = 0;
        peers
    }
}

/// Finds peers; every method is safe to call at any time.
pub struct PeerDiscovery {
    reach: HostReach,
    seeds: Vec<SocketAddr>,
    host: HostName,
    directory: Mutex<HostDirectory>,
    /// Hosts that take callers, as a keeper told last; 0 before.
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
    /// A discovery that knows nobody.
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

    /// Where this host takes links.
    pub fn own_reach(&self) -> HostReach {
        self.reach.clone()
    }

    /// Hosts that take callers, this one included; `None` before a keeper told of them.
    pub fn entry_count(&self) -> Option<u32> {
        Some(self.entries.load(Ordering::Relaxed)).filter(|entries| *entries > 0)
    }

    /// Known keepers, this host included if it is one, by name.
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

    /// Hosts that take heartbeats for keepers.
    pub fn heartbeat_hosts(&self) -> Vec<HeartbeatHost> {
        self.lock().heartbeat_hosts()
    }

    /// Whether `host` stands in this host's data centre.
    pub fn is_in_own_data_centre(&self, host: &HostName) -> bool {
        let own = self.reach.data_centre.as_ref();
        *host == self.host || own.is_some_and(|own| self.lock().is_in(host, own))
    }

    /// Hosts at the seed addresses; `None` until each of them is known.
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

    /// A host said hello.
    pub(super) fn record_hello(&self, hub: &PeerHub, host: &HostName, reach: HostReach) {
        let news = self.lock().observe(self.clock.now(), host, reach);
        self.apply(hub, news);
    }

    /// A host told of others.
    pub(super) fn receive_hosts(&self, hub: &PeerHub, notes: &[HostGossip], entries: u32) {
        let now = self.clock.now();
        self.entries.store(entries, Ordering::Relaxed);
        for note in notes {
            let news = self.lock().observe_gossip(now, note);
            self.apply(hub, news);
        }
    }

    /// Looks for peers for as long as the process runs.
    pub(super) async fn run(self: Arc<Self>, hub: PeerHub) {
        let mut seeds = JoinSet::new();
        if self.reach.keeper {
            for seed in &self.seeds {
                seeds.spawn(Arc::clone(&self).seek(hub.clone(), *seed));
            }
        } else {
            seeds.spawn(Arc::clone(&self).seek_any(hub.clone()));
        }
        let mut ticks = interval(DISCOVERY_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut told = ToldHosts::default();
        loop {
            ticks.tick().await;
            self.tell(&hub, &mut told);
        }
    }

    /// Asks who is at a seed address whenever no known host is.
    async fn seek(self: Arc<Self>, hub: PeerHub, seed: SocketAddr) {
        let mut wait = FIRST_SEED_WAIT;
        loop {
            if self.is_known(seed) {
                wait = DISCOVERY_TICK;
            } else {
                self.ask_seed(&hub, seed).await;
            }
            sleep(wait).await;
            wait = (wait * 2).min(DISCOVERY_TICK);
        }
    }

    /// Asks one seed address after the other while no keeper is known: one keeper tells of all. All hosts
    /// of a fleet that asked every seed would keep those from founding the group.
    async fn seek_any(self: Arc<Self>, hub: PeerHub) {
        let mut seeds = self.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        let mut wait = FIRST_SEED_WAIT;
        for seed in seeds.iter().cycle() {
            while self.knows_keeper() {
                sleep(DISCOVERY_TICK).await;
                wait = FIRST_SEED_WAIT;
            }
            self.ask_seed(&hub, *seed).await;
            sleep(wait).await;
            wait = (wait * 2).min(DISCOVERY_TICK);
        }
    }

    async fn ask_seed(&self, hub: &PeerHub, seed: SocketAddr) {
        // A certificate would have to name the host, which is what is asked; seeds are for networks
        // that are protected otherwise.
        let nameless = HostName::from("seed");
        match request_hello(hub, &nameless, seed).await {
            Ok(hello) => {
                if let Some(reach) = hello.reach {
                    self.record_hello(hub, &hello.host, reach);
                }
            }
            Err(error) => log::debug!(seed:% = seed, error:% = error; "seed does not answer"),
        }
    }

    /// Confirms hosts whose links work, forgets those that are gone, and tells peers of keepers.
    fn tell(&self, hub: &PeerHub, told: &mut ToldHosts) {
        let now = self.clock.now();
        let up = hub.status().into_iter().filter(|peer| peer.up);
        let news = {
            let mut directory = self.lock();
            for peer in up {
                directory.confirm(now, &peer.host);
            }
            directory.tick(now)
        };
        for item in news {
            self.apply(hub, Some(item));
        }
        if !self.reach.keeper {
            return;
        }
        let (keepers, entries) = {
            let directory = self.lock();
            (directory.gossip(now), directory.entry_count())
        };
        let due = told.due(&keepers, hub.up_hosts());
        if !due.is_empty() {
            // A frame that is lost is made up for by the next telling.
            hub.send_to(&due, &PeerFrame::Hosts { keepers, entries });
        }
    }

    fn apply(&self, hub: &PeerHub, news: Option<DirectoryChange>) {
        match news {
            Some(DirectoryChange::Reach { host, reach }) => {
                log::info!(host:% = host, address:% = reach.address, keeper = reach.keeper; "peer found");
                let address = reach.address;
                hub.add_peer(PeerAddress { host, address });
            }
            Some(DirectoryChange::Forgotten { host }) => {
                log::info!(host:% = host; "peer forgotten");
                hub.remove_peer(&host);
            }
            None => {}
        }
    }

    /// Tells a host whose link has just come up which keepers there are, where this host is one. By the
    /// next tick it would have waited for half a second, after each start of the whole system.
    pub(super) fn send_keepers(&self, hub: &PeerHub, host: &HostName) {
        if !self.reach.keeper {
            return;
        }
        let (keepers, entries) = {
            let directory = self.lock();
            (directory.gossip(self.clock.now()), directory.entry_count())
        };
        // It is told again with the next tick.
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
