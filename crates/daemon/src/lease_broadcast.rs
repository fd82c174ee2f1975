//! Broadcasts backend servers' leases, surveys of engines, the demand for rate-limited servers and for
//! services, and the quarantine of prompt parts between hosts.
//!
//! With a fixed list of hosts in the settings, each host sends every other host the leases that it
//! received itself. With discovery, a host without a keeper follows one keeper: it gets the
//! configuration from that keeper and sends its leases to it. A keeper sends the other keepers its
//! own and its followers' leases, and sends its followers all leases. Here a follower is such a
//! host, not a Raft follower. The number of frames therefore grows with keepers and followers
//! instead of with pairs of hosts. Each keeper sends the leave of a server to every host at once.
//!
//! Changes are sent on the next tick, and renewals on every second tick. Hosts in the same sync
//! state get the same frame, encoded once. When the link to a peer comes up, the peer gets
//! everything again, since frames queued for the broken link are lost. A peer requests the leases
//! that it turns out to lack.

mod demand;
mod quarantine;
mod recipients;
mod surveys;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::leases::{
    BatchOutcome, DeltaCursor, InitialSync, LeaseBatch, LeaseDelta, LeaseNumber, LeaseScope,
    MergeVerdict, NamedLease, PackedRenewals,
};
use pollendrift_coordination::routing::SurveyResult;

use crate::clock::TimeSource;
use crate::feed::ConfigurationFeed;
use crate::fleet::BackendFleet;
use crate::keeper::KeeperList;
use crate::peers::{CallNumber, PeerAnswer, PeerFrame, PeerHub};
use crate::poison::PoisonState;
use crate::quarantine::QuarantineState;

use quarantine::{CHANGE_TICKS, FULL_NOTICE_TICKS};
use recipients::LeaseRecipients;
use surveys::SurveyRelay;

/// Time between two ticks; adds to the time until every host knows of a leave.
pub const BROADCAST_TICK: Duration = Duration::from_millis(200);
/// Ticks between two sends of renewals: a third of the usual heartbeat period of a backend server,
/// as renewals pass through three hosts.
const RENEWAL_TICKS: u32 = 2;
/// Time after its link came up during which a host is assumed to have no leases.
const NEW_LINK_TIME: Duration = Duration::from_secs(5);
/// Maximum number of named leases in one frame.
pub(crate) const FRAME_LEASES: usize = 256;
/// Assumed transit time of a frame, its upper bound: a link that is silent for longer breaks.
///
/// Without this allowance, a frame that waited in a stalled connection would renew the lease of a
/// server that failed in the meantime. The receiver adds this time to the age of the renewal, so
/// the lease ends no later than after a frame without delay.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(200);

/// Sends leases and surveys to peers, and merges those that peers send.
pub struct LeaseBroadcaster {
    fleet: Arc<BackendFleet>,
    clock: Arc<dyn TimeSource>,
    recipients: LeaseRecipients,
    cursors: Mutex<BTreeMap<HostName, SyncState>>,
    /// Time at which the link to each host last came up.
    linked_at: Mutex<BTreeMap<HostName, MonotonicTime>>,
    /// Version of the lease table up to which the leaves of servers were sent to every host.
    leaves_sent: Mutex<u64>,
    /// Hosts that got the last reports of this host's demand.
    reported_to: Mutex<Vec<HostName>>,
    surveys: SurveyRelay,
    quarantine: Arc<QuarantineState>,
    poison: Arc<PoisonState>,
}

/// Leases that a host is to receive, and how far they were sent to it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct SyncState {
    scope: LeaseScope,
    initial_sync: InitialSync,
    cursor: DeltaCursor,
}

impl LeaseBroadcaster {
    /// Creates a broadcaster that has sent nothing to any host.
    pub(crate) fn new(
        fleet: Arc<BackendFleet>,
        quarantine: Arc<QuarantineState>,
        poison: Arc<PoisonState>,
        clock: Arc<dyn TimeSource>,
        keepers: KeeperList,
        feed: Arc<ConfigurationFeed>,
    ) -> Self {
        Self {
            fleet,
            recipients: LeaseRecipients::new(keepers, feed),
            clock,
            cursors: Mutex::default(),
            linked_at: Mutex::default(),
            leaves_sent: Mutex::default(),
            reported_to: Mutex::default(),
            surveys: SurveyRelay::default(),
            quarantine,
            poison,
        }
    }

    /// Merges a batch of the peer `from`, confirms it if that host waits for it, and requests leases
    /// that the batch refers to and this host lacks.
    ///
    /// If the request or its answer is lost, the next renewal causes another request.
    pub fn receive_leases(&self, hub: &PeerHub, from: &HostName, batch: LeaseBatch) {
        let now = self.clock.now();
        let source = (from, self.recipients.kind_of(from));
        let receipt = batch.receipt;
        let outcome = self
            .fleet
            .merge_batch(now, source, batch, TRANSIT_ALLOWANCE);
        if let Some(error) = outcome.renewal_error {
            log::warn!(host:% = from, reason:% = error; "renewals rejected");
        }
        if let Some(receipt) = receipt {
            // The sender of a batch that is not confirmed asks other hosts.
            let _ = hub.answer(from, CallNumber(receipt.0), confirmation_of(&outcome));
        }
        if !outcome.unknown_servers.is_empty() {
            let _ = hub.send(from, &PeerFrame::LeaseQuestion(outcome.unknown_servers));
        }
        if !outcome.unknown_numbers.is_empty() {
            let _ = hub.send(from, &PeerFrame::LeaseNumbers(outcome.unknown_numbers));
        }
    }

    /// Records that `host` asked this keeper for the configuration, and therefore follows it.
    pub fn record_follower(&self, host: &HostName) {
        self.recipients.record_follower(self.clock.now(), host);
    }

    /// Sends the results of this keeper's survey of engines to the other keepers; its followers get
    /// them on the next tick.
    pub fn broadcast_survey(&self, hub: &PeerHub, results: &[SurveyResult]) {
        let keepers = self.recipients.other_keepers(hub);
        self.surveys.send_to_keepers(hub, &keepers, results);
        self.surveys.enqueue(self.clock.now(), results.to_vec());
    }

    /// Applies another keeper's survey results; with `forward`, forwards them on the next tick.
    pub fn receive_survey(&self, results: Vec<SurveyResult>, forward: bool) {
        let now = self.clock.now();
        if forward {
            self.surveys.enqueue(now, results.clone());
        }
        self.fleet.merge_survey(now, results);
    }

    /// Sends a peer the full announcements that it requested.
    pub fn answer_lease_question(&self, hub: &PeerHub, from: &HostName, servers: &[ServerName]) {
        let now = self.clock.now();
        for servers in servers.chunks(FRAME_LEASES) {
            let named = self.fleet.full_leases(now, servers);
            self.send_named(hub, std::slice::from_ref(from), named);
        }
    }

    /// Sends a peer the server names of leases that it received by number only.
    pub fn answer_number_question(&self, hub: &PeerHub, from: &HostName, numbers: &[LeaseNumber]) {
        let now = self.clock.now();
        let named = self.fleet.leases_by_number(now, numbers);
        for named in named.chunks(FRAME_LEASES) {
            self.send_named(hub, std::slice::from_ref(from), named.to_vec());
        }
    }

    /// Records that the link to `host` came up; the host then gets everything again.
    pub fn reset_peer(&self, host: &HostName) {
        self.lock().remove(host);
        let mut linked_at = self
            .linked_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        linked_at.insert(host.clone(), self.clock.now());
    }

    /// Returns the form in which `host` gets each lease for the first time. A host whose link has
    /// been up for longer than [`NEW_LINK_TIME`] followed another keeper before, and already has
    /// the content.
    fn choose_initial_sync(&self, now: MonotonicTime, host: &HostName) -> InitialSync {
        let linked_at = self
            .linked_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_new = linked_at
            .get(host)
            .is_none_or(|at| now.since(*at) < NEW_LINK_TIME);
        if is_new {
            InitialSync::Full
        } else {
            InitialSync::NamesOnly
        }
    }

    /// Sends leases, surveys and notices of the quarantine, for as long as the host runs.
    pub async fn run(self: Arc<Self>, hub: PeerHub) {
        let ticks = hub
            .work()
            .track("broadcast", Box::pin(self.run_ticks(&hub)));
        let notices = Box::pin(self.run_quarantine(&hub));
        let notices = hub.work().defer("notices", notices);
        tokio::join!(ticks, notices);
    }

    async fn run_ticks(&self, hub: &PeerHub) {
        let mut ticks = tokio::time::interval(BROADCAST_TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for tick in 0_u32.. {
            ticks.tick().await;
            let has_renewals = tick % RENEWAL_TICKS == 0;
            let now = self.clock.now();
            self.tick(hub, now, has_renewals);
            if tick % CHANGE_TICKS == 0 {
                self.poison.tick();
                self.send_quarantine_changes(hub, now, 0);
            }
            if tick % FULL_NOTICE_TICKS == 0 {
                self.send_whole_quarantine(hub, now);
            }
        }
    }

    fn tick(&self, hub: &PeerHub, now: MonotonicTime, has_renewals: bool) {
        let recipients = self.recipients.hosts(hub, now);
        for (state, hosts) in self.group(now, &recipients) {
            self.send_batches(hub, now, state, &hosts, has_renewals);
        }
        let other_hosts = hub.hosts().into_iter();
        let other_hosts: Vec<HostName> = other_hosts
            .filter(|host| !recipients.contains_key(host))
            .collect();
        self.send_leaves(hub, now, &other_hosts);
        let followers = self.recipients.followers(now);
        self.surveys.send_to_followers(hub, now, &followers);
        if has_renewals {
            self.send_demand(hub, now);
        }
    }

    /// Groups recipients by sync state. A host whose scope changed starts again from the initial
    /// sync.
    fn group(
        &self,
        now: MonotonicTime,
        hosts: &BTreeMap<HostName, LeaseScope>,
    ) -> Vec<(SyncState, Vec<HostName>)> {
        let mut cursors = self.lock();
        cursors.retain(|host, state| hosts.get(host) == Some(&state.scope));
        let mut groups: Vec<(SyncState, Vec<HostName>)> = Vec::new();
        for (host, scope) in hosts {
            let state = cursors.get(host).copied().unwrap_or_else(|| SyncState {
                scope: *scope,
                initial_sync: self.choose_initial_sync(now, host),
                cursor: DeltaCursor::default(),
            });
            match groups.iter_mut().find(|(other, _)| *other == state) {
                Some((_, group)) => group.push(host.clone()),
                None => groups.push((state, vec![host.clone()])),
            }
        }
        groups
    }

    /// Sends the leases after `state` to `hosts`, which all have that sync state, in as many frames
    /// as needed. Leases without changed content wait for a tick with `has_renewals`.
    fn send_batches(
        &self,
        hub: &PeerHub,
        now: MonotonicTime,
        mut state: SyncState,
        hosts: &[HostName],
        has_renewals: bool,
    ) {
        let mut hosts = hosts.to_vec();
        loop {
            let (batch, next_cursor) = self.fleet.batch(
                now,
                state.cursor,
                FRAME_LEASES,
                state.scope,
                state.initial_sync,
            );
            let is_frame_full = batch.named.len() >= FRAME_LEASES;
            if !batch.is_empty() {
                let has_content = |named: &NamedLease| matches!(named.delta, LeaseDelta::Full(_));
                if !has_renewals && !is_frame_full && !batch.named.iter().any(has_content) {
                    return;
                }
                let queued = hub.send_to(&hosts, &PeerFrame::Leases(batch));
                hosts = queued.into_iter().cloned().collect();
            }
            state.cursor = next_cursor;
            self.lock()
                .extend(hosts.iter().map(|host| (host.clone(), state)));
            if !is_frame_full || hosts.is_empty() {
                return;
            }
        }
    }

    /// Sends the leaves of servers to hosts that follow other keepers.
    ///
    /// When the keeper that a host follows stalls for seconds, the host gets no changes until it
    /// follows another keeper. Otherwise the host would send requests to a server long after its
    /// leave was acknowledged. A leave is a frame of one lease, so every keeper sends it to every
    /// host.
    fn send_leaves(&self, hub: &PeerHub, now: MonotonicTime, hosts: &[HostName]) {
        if !self.recipients.is_keeper() {
            return;
        }
        let leaving = {
            let mut sent_version = self
                .leaves_sent
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let (leaving, version) = self.fleet.leaving_since(now, *sent_version);
            *sent_version = version;
            leaving
        };
        for leaving in leaving.chunks(FRAME_LEASES) {
            self.send_named(hub, hosts, leaving.to_vec());
        }
    }

    fn send_named(&self, hub: &PeerHub, hosts: &[HostName], named: Vec<NamedLease>) {
        if named.is_empty() || hosts.is_empty() {
            return;
        }
        let batch = LeaseBatch {
            table: self.fleet.table_incarnation(),
            named,
            renewals: PackedRenewals::default(),
            receipt: None,
        };
        hub.send_to(hosts, &PeerFrame::Leases(batch));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostName, SyncState>> {
        self.cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answer to a batch whose sender waits until its leases are stored.
fn confirmation_of(outcome: &BatchOutcome) -> PeerAnswer {
    let is_stored = |(_, verdict): &(ServerName, MergeVerdict)| *verdict != MergeVerdict::Full;
    if outcome.merged.iter().all(is_stored) && outcome.unknown_servers.is_empty() {
        return PeerAnswer::Stored;
    }
    PeerAnswer::NotRun {
        reason: "not all leases of the batch are stored".to_owned(),
    }
}
