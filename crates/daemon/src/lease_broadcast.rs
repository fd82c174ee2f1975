//! Spreads backend servers' leases and surveys of engines between hosts.
//!
//! Where the settings list the hosts, each tells every other what it heard itself. Where hosts find
//! each other, an entry tells the keeper that it follows, a keeper tells the other keepers what it and
//! its followers heard, and its followers all that it knows. Frames so grow with keepers and followers,
//! not with pairs of hosts. That a server leaves, every keeper tells every host at once.
//!
//! News go out on every tick in which some were heard, renewals on every few. Hosts that were told as
//! much get the same frame, encoded once. A peer is told again from the start when its link comes up,
//! since what was queued for the broken link is lost, and asks for what it turns out to lack.

mod recipients;
mod surveys;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::leases::{
    DeltaCursor, InitialSync, LeaseBatch, LeaseDelta, LeaseNumber, LeaseScope, NamedLease,
    PackedRenewals,
};
use pollendrift_coordination::routing::SurveyResult;

use crate::clock::TimeSource;
use crate::feed::ConfigurationFeed;
use crate::fleet::BackendFleet;
use crate::keeper::KeeperList;
use crate::peers::{PeerFrame, PeerHub};

use recipients::LeaseRecipients;
use surveys::SurveyRelay;

/// Time between two ticks; adds to the time in which a leave is known everywhere.
pub const BROADCAST_TICK: Duration = Duration::from_millis(200);
/// Ticks between two tellings of what only renews leases: a third of a usual heartbeat, as renewals
/// pass through three hosts.
const RENEWAL_TICKS: u32 = 2;
/// Time after its link came up for which a host is taken to hold no leases.
const NEW_LINK_TIME: Duration = Duration::from_secs(5);
/// Leases in one frame by name.
const FRAME_LEASES: usize = 256;
/// Longest time that a frame is taken to have travelled; a link that is silent for longer breaks.
///
/// Failure: a frame that waited in a stalled connection would renew the lease of a server that
/// died meanwhile. Its age grows by this much on arrival, so the lease ends no later than it
/// would by a frame that came at once.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(200);

/// Tells peers what this host heard.
pub struct LeaseBroadcaster {
    fleet: Arc<BackendFleet>,
    clock: Arc<dyn TimeSource>,
    recipients: LeaseRecipients,
    cursors: Mutex<BTreeMap<HostName, ToldHost>>,
    /// When the link to each host came up last.
    linked: Mutex<BTreeMap<HostName, MonotonicTime>>,
    /// Version of the lease table up to which every host was told of servers that leave.
    left_told: Mutex<u64>,
    surveys: SurveyRelay,
}

/// How far a host was told what it is to know.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ToldHost {
    scope: LeaseScope,
    first: InitialSync,
    cursor: DeltaCursor,
}

impl LeaseBroadcaster {
    /// A broadcaster that has told nobody anything.
    pub fn new(
        fleet: Arc<BackendFleet>,
        clock: Arc<dyn TimeSource>,
        keepers: KeeperList,
        feed: Arc<ConfigurationFeed>,
    ) -> Self {
        Self {
            fleet,
            recipients: LeaseRecipients::new(keepers, feed),
            clock,
            cursors: Mutex::default(),
            linked: Mutex::default(),
            left_told: Mutex::default(),
            surveys: SurveyRelay::default(),
        }
    }

    /// Takes what the peer `from` knows, and asks for what it takes to be known here and is not.
    ///
    /// A question or its answer that is lost is made up for by the next renewal.
    pub fn receive_leases(&self, hub: &PeerHub, from: &HostName, batch: LeaseBatch) {
        let now = self.clock.now();
        let sender = (from, self.recipients.kind_of(from));
        let outcome = self
            .fleet
            .merge_batch(now, sender, batch, TRANSIT_ALLOWANCE);
        if let Some(fault) = outcome.renewal_error {
            log::warn!(host:% = from, reason:% = fault; "renewals not taken");
        }
        if !outcome.unknown_servers.is_empty() {
            let _ = hub.send(from, &PeerFrame::LeaseQuestion(outcome.unknown_servers));
        }
        if !outcome.unknown_numbers.is_empty() {
            let _ = hub.send(from, &PeerFrame::LeaseNumbers(outcome.unknown_numbers));
        }
    }

    /// A host asked this keeper for the configuration: it follows this one.
    pub fn record_follower(&self, host: &HostName) {
        self.recipients.record_follower(self.clock.now(), host);
    }

    /// Tells keepers what this one's survey of engines found; those that follow it hear it with the
    /// next tick.
    pub fn broadcast_survey(&self, hub: &PeerHub, notes: &[SurveyResult]) {
        let keepers = self.recipients.other_keepers(hub);
        self.surveys.send_to_keepers(hub, &keepers, notes);
        self.surveys.enqueue(self.clock.now(), notes.to_vec());
    }

    /// Takes what another keeper's survey found, and passes it on with the next tick.
    pub fn receive_survey(&self, notes: Vec<SurveyResult>, pass_on: bool) {
        let now = self.clock.now();
        if pass_on {
            self.surveys.enqueue(now, notes.clone());
        }
        self.fleet.take_survey(now, notes);
    }

    /// Answers a peer's question for full announcements.
    pub fn answer_lease_question(&self, hub: &PeerHub, from: &HostName, servers: &[ServerName]) {
        let now = self.clock.now();
        for servers in servers.chunks(FRAME_LEASES) {
            let named = self.fleet.full_leases(now, servers);
            self.tell_named(hub, std::slice::from_ref(from), named);
        }
    }

    /// Answers a peer's question for the names of leases that it was told by number.
    pub fn answer_number_question(&self, hub: &PeerHub, from: &HostName, numbers: &[LeaseNumber]) {
        let now = self.clock.now();
        let named = self.fleet.leases_by_number(now, numbers);
        for named in named.chunks(FRAME_LEASES) {
            self.tell_named(hub, std::slice::from_ref(from), named.to_vec());
        }
    }

    /// The link to `host` came up: it is told everything again.
    pub fn reset_peer(&self, host: &HostName) {
        self.lock().remove(host);
        let mut linked = self.linked.lock().unwrap_or_else(PoisonError::into_inner);
        linked.insert(host.clone(), self.clock.now());
    }

    /// How `host` is told of leases for the first time: one that was linked long before it is to be told
    /// turns to this keeper from another one.
    fn first_telling(&self, now: MonotonicTime, host: &HostName) -> InitialSync {
        let linked = self.linked.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = linked
            .get(host)
            .is_none_or(|at| now.since(*at) < NEW_LINK_TIME);
        if is_new {
            InitialSync::Full
        } else {
            InitialSync::NamesOnly
        }
    }

    /// Spreads for as long as the host runs.
    pub async fn run(self: Arc<Self>, hub: PeerHub) {
        let mut ticks = tokio::time::interval(BROADCAST_TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for tick in 0_u32.. {
            ticks.tick().await;
            let has_renewals = tick % RENEWAL_TICKS == 0;
            self.tick(&hub, self.clock.now(), has_renewals);
        }
    }

    fn tick(&self, hub: &PeerHub, now: MonotonicTime, has_renewals: bool) {
        let told = self.recipients.hosts(hub, now);
        for (told, hosts) in self.group(now, &told) {
            self.tell(hub, now, told, &hosts, has_renewals);
        }
        let others = hub.hosts().into_iter();
        let others: Vec<HostName> = others.filter(|host| !told.contains_key(host)).collect();
        self.tell_left(hub, now, &others);
        let followers = self.recipients.followers(now);
        self.surveys.send_to_followers(hub, now, &followers);
    }

    /// Hosts that are to be told, grouped by what they were told so far. One that is to be told another
    /// scope than before begins anew.
    fn group(
        &self,
        now: MonotonicTime,
        hosts: &BTreeMap<HostName, LeaseScope>,
    ) -> Vec<(ToldHost, Vec<HostName>)> {
        let mut cursors = self.lock();
        cursors.retain(|host, told| hosts.get(host) == Some(&told.scope));
        let mut groups: Vec<(ToldHost, Vec<HostName>)> = Vec::new();
        for (host, scope) in hosts {
            let told = cursors.get(host).copied().unwrap_or_else(|| ToldHost {
                scope: *scope,
                first: self.first_telling(now, host),
                cursor: DeltaCursor::default(),
            });
            match groups.iter_mut().find(|(other, _)| *other == told) {
                Some((_, group)) => group.push(host.clone()),
                None => groups.push((told, vec![host.clone()])),
            }
        }
        groups
    }

    /// Tells `hosts`, which were all told as much, what they weren't told, in as many frames as it
    /// takes. What only renews waits for a tick with `has_renewals`.
    fn tell(
        &self,
        hub: &PeerHub,
        now: MonotonicTime,
        mut told: ToldHost,
        hosts: &[HostName],
        has_renewals: bool,
    ) {
        let mut hosts = hosts.to_vec();
        loop {
            let (batch, reached) =
                self.fleet
                    .batch(now, told.cursor, FRAME_LEASES, told.scope, told.first);
            let is_frame_full = batch.named.len() >= FRAME_LEASES;
            if !batch.is_empty() {
                let is_news = |named: &NamedLease| matches!(named.delta, LeaseDelta::Full(_));
                if !has_renewals && !is_frame_full && !batch.named.iter().any(is_news) {
                    return;
                }
                let queued = hub.send_to(&hosts, &PeerFrame::Leases(batch));
                hosts = queued.into_iter().cloned().collect();
            }
            told.cursor = reached;
            self.lock()
                .extend(hosts.iter().map(|host| (host.clone(), told)));
            if !is_frame_full || hosts.is_empty() {
                return;
            }
        }
    }

    /// Tells hosts that follow other keepers of servers that leave.
    ///
    /// Failure: the keeper that a host follows stands still for seconds, and the host hears no news until
    /// it has turned to another one. Symptom: it sent work to a server whose leave had been acknowledged
    /// long before. A leave is a frame of one lease, so every keeper tells it to everyone.
    fn tell_left(&self, hub: &PeerHub, now: MonotonicTime, hosts: &[HostName]) {
        if !self.recipients.is_keeper() {
            return;
        }
        let left = {
            let mut told = self
                .left_told
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let (left, version) = self.fleet.leaving_since(now, *told);
            *told = version;
            left
        };
        for left in left.chunks(FRAME_LEASES) {
            self.tell_named(hub, hosts, left.to_vec());
        }
    }

    fn tell_named(&self, hub: &PeerHub, hosts: &[HostName], named: Vec<NamedLease>) {
        if named.is_empty() || hosts.is_empty() {
            return;
        }
        let batch = LeaseBatch {
            table: self.fleet.table_incarnation(),
            named,
            renewals: PackedRenewals::default(),
        };
        hub.send_to(hosts, &PeerFrame::Leases(batch));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostName, ToldHost>> {
        self.cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
