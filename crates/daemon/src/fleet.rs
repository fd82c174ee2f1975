//! Backend servers known to this host: their leases, their offers, and the planner that chooses
//! pipelines of engines.

mod announcement;
mod route;
mod service_index;
mod worker;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use pollendrift_border::{Announcement, EngineOffer, ServerOffer};
use pollendrift_coordination::backpressure::{BackOffTable, LeavingTable, RateSettings, RateTable};
use pollendrift_coordination::base::{
    HostName, Incarnation, MonotonicTime, ServerName, ServiceName,
};
use pollendrift_coordination::configuration::ServerFacts;
use pollendrift_coordination::demand::{DemandSettings, DemandTable};
use pollendrift_coordination::leases::{
    AnnouncedLoad, BackendLeaseSettings, BatchOutcome, DeltaCursor, InitialSync, LeaseBatch,
    LeaseEvent, LeaseNumber, LeaseScope, LeaseSource, LeaseTable, MergeVerdict, NamedLease,
    ServerAnnounce, ServerLease, ServerState,
};
use pollendrift_coordination::routing::{
    FleetPlanner, RoutePlanner, RoutingDump, RoutingSettings, SurveyTable,
};

pub use route::{DraftQuery, DraftRoute, PlannedStage};
pub use worker::WorkerView;

use announcement::{check_announcement, decode, encode, engine_announcement, load_report};
use service_index::ServiceIndex;

/// Reason why an announcement was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnnounceError {
    /// A field is invalid; the text names the field and the accepted values.
    #[display("{reason}")]
    Malformed {
        /// Names of the invalid fields and their errors.
        reason: String,
    },
    /// The lease table has no free slot.
    #[display("this host holds as many backend servers as it may; retry later")]
    Full,
}

/// Decoded announcement of a backend server, for requests.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Facts matched against labels and selectors.
    pub facts: ServerFacts,
    /// `ip:port` for requests.
    pub address: Arc<str>,
    /// Engine or plain service that it offers.
    pub offer: ServerOffer,
    /// Last reported load.
    pub load: AnnouncedLoad,
}

/// A model engine that may get new work, for placement.
#[derive(Clone, Debug)]
pub(crate) struct FleetEngine {
    /// Its decoded announcement.
    pub(crate) view: Arc<ServerView>,
    /// Whether it refuses orders with an outdated fencing number.
    pub(crate) checks_fencing: bool,
}

/// Number of the newest stored announcement of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncementNumber {
    /// Incarnation of the server's process.
    pub incarnation: u64,
    /// Sequence number within that incarnation.
    pub sequence: u64,
}

/// All backend servers known to this host.
pub struct BackendFleet {
    inner: Mutex<FleetState>,
    /// Request rates that servers of published services accept.
    rates: Mutex<RateTable>,
    /// Back-offs that servers of published services asked this host for.
    back_offs: Mutex<BackOffTable>,
    /// Demand for services.
    demand: Mutex<DemandTable>,
}

struct FleetState {
    leases: LeaseTable,
    /// Views of the servers in `leases` whose offers could be decoded.
    views: BTreeMap<ServerName, Arc<ServerView>>,
    /// Servers in `leases` that serve a published service.
    workers: BTreeMap<ServerName, Arc<WorkerView>>,
    /// Survey results of the engines in `workers`.
    survey: SurveyTable,
    /// Servers of `workers` that state in their answers that they leave.
    leaving: LeavingTable,
    /// Servers of `views` that offer a plain service.
    services: ServiceIndex,
    /// Contains only the engines of `views` that may take work as of the last tick.
    planner: Box<dyn RoutePlanner>,
}

impl BackendFleet {
    /// Creates a fleet without servers. `seed` becomes the incarnation of the lease table and seeds
    /// the planner.
    pub fn new(settings: BackendLeaseSettings, routing: RoutingSettings, seed: u64) -> Self {
        let inner = FleetState {
            leases: LeaseTable::with_incarnation(settings, Incarnation(seed)),
            views: BTreeMap::new(),
            workers: BTreeMap::new(),
            survey: SurveyTable::default(),
            leaving: LeavingTable::default(),
            services: ServiceIndex::default(),
            planner: Box::new(FleetPlanner::new(routing, seed)),
        };
        Self {
            inner: Mutex::new(inner),
            rates: Mutex::new(RateTable::new(RateSettings::default(), seed)),
            back_offs: Mutex::default(),
            demand: Mutex::new(DemandTable::new(DemandSettings::default())),
        }
    }

    /// Checks an announcement sent to this host and merges it into the lease table.
    ///
    /// # Errors
    /// The announcement is malformed or the table is full.
    pub fn announce(
        &self,
        now: MonotonicTime,
        announcement: &Announcement,
    ) -> Result<MergeVerdict, AnnounceError> {
        check_announcement(announcement)?;
        let announce = encode(announcement)?;
        match self.lock().merge(now, announce) {
            MergeVerdict::Full => Err(AnnounceError::Full),
            verdict => Ok(verdict),
        }
    }

    /// Merges leases that another host sent; `transit` is the time that the batch was under way.
    pub fn merge_batch(
        &self,
        now: MonotonicTime,
        sender: (&HostName, LeaseSource),
        batch: LeaseBatch,
        transit: Duration,
    ) -> BatchOutcome {
        let mut state = self.lock();
        let outcome = state.leases.merge_batch(now, sender, batch, transit);
        for (server, verdict) in &outcome.merged {
            state.apply_verdict(now, server, *verdict);
        }
        outcome
    }

    /// Returns the leases of `scope` that changed or were renewed after `cursor`, at most `limit`
    /// of them by name.
    pub fn batch(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
        scope: LeaseScope,
        first: InitialSync,
    ) -> (LeaseBatch, DeltaCursor) {
        self.lock().leases.batch(now, cursor, limit, scope, first)
    }

    /// Returns the servers that announced after `version` of the lease table that they leave, and
    /// the current version.
    pub(crate) fn leaving_since(&self, now: MonotonicTime, version: u64) -> (Vec<NamedLease>, u64) {
        self.lock().leases.leaving_since(now, version)
    }

    /// Returns the full leases of the known servers among `servers`.
    pub(crate) fn full_leases(
        &self,
        now: MonotonicTime,
        servers: &[ServerName],
    ) -> Vec<NamedLease> {
        self.lock().leases.full_leases(now, servers)
    }

    /// Returns the leases with `numbers`, which must be in ascending order, by name.
    pub(crate) fn leases_by_number(
        &self,
        now: MonotonicTime,
        numbers: &[LeaseNumber],
    ) -> Vec<NamedLease> {
        self.lock().leases.leases_by_number(now, numbers)
    }

    /// Incarnation of the lease table, which its batches carry.
    pub(crate) fn table_incarnation(&self) -> Incarnation {
        self.lock().leases.table_incarnation()
    }

    /// Ends expired leases and returns their events.
    pub fn tick(&self, now: MonotonicTime) -> Vec<LeaseEvent> {
        let mut state = self.lock();
        let events = state.leases.tick(now);
        for event in &events {
            state.handle_lease_event(event);
        }
        state.planner.tick(now);
        state.leaving.tick(now);
        drop(state);
        self.tick_backpressure(now, &events);
        self.demand().tick(now);
        events
    }

    /// Locks the request rates that servers accept.
    pub(crate) fn rates(&self) -> MutexGuard<'_, RateTable> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the back-offs that servers asked this host for.
    pub(crate) fn back_offs(&self) -> MutexGuard<'_, BackOffTable> {
        self.back_offs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the demand for services.
    pub(crate) fn demand(&self) -> MutexGuard<'_, DemandTable> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick_backpressure(&self, now: MonotonicTime, events: &[LeaseEvent]) {
        let (mut rates, mut back_offs) = (self.rates(), self.back_offs());
        rates.tick(now);
        back_offs.tick(now);
        for event in events {
            if let LeaseEvent::Forgotten { server } = event {
                rates.remove(server);
                back_offs.remove(server);
            }
        }
    }

    /// Whether `server` may receive new work now; callers check again right before each send.
    pub fn may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.lock().leases.may_take_work(now, server)
    }

    /// Returns the servers that may receive new work now.
    pub fn serving(&self, now: MonotonicTime) -> Vec<Arc<ServerView>> {
        let state = self.lock();
        let serving = state.leases.iter().filter(|lease| lease.is_serving(now));
        serving
            .filter_map(|lease| state.views.get(&lease.announce.server))
            .cloned()
            .collect()
    }

    /// Returns the model engines that may receive new work now.
    pub(crate) fn engines(&self, now: MonotonicTime) -> Vec<FleetEngine> {
        let state = self.lock();
        let serving = state.leases.iter().filter(|lease| lease.is_serving(now));
        let engines = serving.filter_map(|lease| {
            let view = state.views.get(&lease.announce.server)?;
            matches!(view.offer, ServerOffer::Engine(_)).then(|| FleetEngine {
                view: Arc::clone(view),
                checks_fencing: lease.announce.checks_fencing,
            })
        });
        engines.collect()
    }

    /// Returns the servers of a plain service that may receive new work now.
    pub fn serving_service(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
    ) -> Vec<Arc<ServerView>> {
        let state = self.lock();
        let servers = state.services.servers(service);
        servers
            .filter(|server| state.leases.may_take_work(now, server))
            .filter_map(|server| state.views.get(server))
            .cloned()
            .collect()
    }

    /// Returns the view of `server`, if its offer could be decoded.
    pub fn view(&self, server: &ServerName) -> Option<Arc<ServerView>> {
        self.lock().views.get(server).cloned()
    }

    /// Returns the number of the newest stored announcement of `server`.
    pub fn announcement_number(&self, server: &str) -> Option<AnnouncementNumber> {
        let state = self.lock();
        let announce = &state.leases.get(&ServerName::from(server))?.announce;
        Some(AnnouncementNumber {
            incarnation: announce.incarnation.0,
            sequence: announce.sequence.0,
        })
    }

    /// Returns all leases, for the dump.
    pub fn dump(&self) -> Vec<ServerLease> {
        self.lock().leases.iter().cloned().collect()
    }

    /// Returns the state of the planner, for the dump.
    pub fn dump_routing(&self, now: MonotonicTime) -> RoutingDump {
        self.lock().planner.dump(now)
    }

    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.lock().leases.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetState {
    fn merge(&mut self, now: MonotonicTime, announce: ServerAnnounce) -> MergeVerdict {
        let server = announce.server.clone();
        let verdict = self.leases.merge(now, announce);
        self.apply_verdict(now, &server, verdict)
    }

    /// Updates views and planner after a lease was merged.
    fn apply_verdict(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        verdict: MergeVerdict,
    ) -> MergeVerdict {
        match verdict {
            MergeVerdict::Changed => self.update_offer(now, server),
            MergeVerdict::Renewed => self.update_load(server),
            MergeVerdict::Stale
            | MergeVerdict::Left
            | MergeVerdict::Unknown
            | MergeVerdict::Full => {}
        }
        verdict
    }

    fn update_offer(&mut self, now: MonotonicTime, server: &ServerName) {
        let Some(lease) = self.leases.get(server).cloned() else {
            return;
        };
        if let Some(worker) = WorkerView::decode(&lease.announce) {
            self.workers.insert(server.clone(), Arc::new(worker));
            return;
        }
        match decode(&lease.announce) {
            Some(view) => self.store_view(now, &lease, view),
            None => self.remove_server(server),
        }
    }

    /// Updates the load after a renewal. A renewal changes only the load, so the offer isn't
    /// decoded again.
    fn update_load(&mut self, server: &ServerName) {
        let Some(lease) = self.leases.get(server) else {
            return;
        };
        if let Some(view) = self.views.get_mut(server) {
            Arc::make_mut(view).load = lease.announce.load;
        }
        self.planner
            .report(&load_report(&lease.announce, lease.received_at));
    }

    fn store_view(&mut self, now: MonotonicTime, lease: &ServerLease, view: ServerView) {
        if let ServerOffer::Engine(offer) = &view.offer {
            self.announce_to_planner(now, lease, offer);
        }
        let server = &lease.announce.server;
        self.services
            .set_service(server, view.facts.service.as_ref());
        self.views.insert(server.clone(), Arc::new(view));
    }

    fn announce_to_planner(
        &mut self,
        now: MonotonicTime,
        lease: &ServerLease,
        offer: &EngineOffer,
    ) {
        if lease.announce.state == ServerState::Leaving {
            self.planner.remove(&lease.announce.server);
            return;
        }
        let announcement = engine_announcement(&lease.announce, offer);
        if let Err(findings) = self.planner.announce(now, announcement) {
            log::warn!(server:% = lease.announce.server, findings:% = findings; "engine excluded from routing: announcement refused");
            return;
        }
        self.planner
            .report(&load_report(&lease.announce, lease.received_at));
    }

    fn remove_server(&mut self, server: &ServerName) {
        self.views.remove(server);
        self.workers.remove(server);
        self.services.set_service(server, None);
        self.planner.remove(server);
    }

    fn handle_lease_event(&mut self, event: &LeaseEvent) {
        match event {
            LeaseEvent::Ended { server } => {
                self.planner.remove(server);
            }
            LeaseEvent::Forgotten { server } => self.remove_server(server),
        }
    }
}

impl std::fmt::Debug for BackendFleet {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("BackendFleet")
            .field("servers", &self.len())
            .finish_non_exhaustive()
    }
}
