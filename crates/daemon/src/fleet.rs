//! Backend servers that this host has heard of: their leases, what they offer, and the planner
//! that chooses pipelines over them.

mod announcement;
mod route;
mod service_index;
mod worker;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use pollendrift_border::{Announcement, EngineOffer, ServerOffer};
use pollendrift_coordination::base::{
    HostName, Incarnation, MonotonicTime, ServerName, ServiceName,
};
use pollendrift_coordination::configuration::ServerFacts;
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

/// Why an announcement was not taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnnounceError {
    /// A field is wrong; the text names it and what is accepted.
    #[display("{reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The table of backend servers is full.
    #[display("this host holds as many backend servers as it may; retry later")]
    Full,
}

/// A backend server as requests see it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Facts that labels and selectors are matched on.
    pub facts: ServerFacts,
    /// `ip:port` that takes requests.
    pub address: Arc<str>,
    /// What it offers.
    pub offer: ServerOffer,
    /// Last load that it reported.
    pub load: AnnouncedLoad,
}

/// A model engine that may get new work, as placement looks at it.
#[derive(Clone, Debug)]
pub(crate) struct FleetEngine {
    /// Its view.
    pub(crate) view: Arc<ServerView>,
    /// Whether it refuses orders with an old fencing number.
    pub(crate) checks_fencing: bool,
}

/// Number of the newest announcement that is held of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncementNumber {
    /// Life of the server's process.
    pub incarnation: u64,
    /// Number within that life.
    pub sequence: u64,
}

/// All backend servers that this host has heard of.
pub struct BackendFleet {
    inner: Mutex<FleetState>,
}

struct FleetState {
    leases: LeaseTable,
    /// Decoded offers of servers in `leases`; only those that decoded.
    views: BTreeMap<ServerName, Arc<ServerView>>,
    /// Servers in `leases` that serve a published service.
    workers: BTreeMap<ServerName, Arc<WorkerView>>,
    /// What surveys found of engines in `workers`.
    survey: SurveyTable,
    /// Servers of `views` that offer a plain service, each once.
    services: ServiceIndex,
    /// Holds just the engines of `views` that may take work by the last tick.
    planner: Box<dyn RoutePlanner>,
}

impl BackendFleet {
    /// An empty fleet.
    pub fn new(settings: BackendLeaseSettings, routing: RoutingSettings, seed: u64) -> Self {
        let inner = FleetState {
            leases: LeaseTable::with_incarnation(settings, Incarnation(seed)),
            views: BTreeMap::new(),
            workers: BTreeMap::new(),
            survey: SurveyTable::default(),
            services: ServiceIndex::default(),
            planner: Box::new(FleetPlanner::new(routing, seed)),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Takes an announcement that came to this host.
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

    /// Takes what another host told of leases.
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
            state.follow(now, server, *verdict);
        }
        outcome
    }

    /// Leases of `scope` that changed or were renewed after `cursor`, at most `limit` by name.
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

    /// Servers that said since `version` of the lease table that they leave, and the present version.
    pub(crate) fn leaving_since(&self, now: MonotonicTime, version: u64) -> (Vec<NamedLease>, u64) {
        self.lock().leases.leaving_since(now, version)
    }

    /// Full announcements of those of `servers` that are held.
    pub(crate) fn full_leases(
        &self,
        now: MonotonicTime,
        servers: &[ServerName],
    ) -> Vec<NamedLease> {
        self.lock().leases.full_leases(now, servers)
    }

    /// Names of the leases with `numbers`, which rise.
    pub(crate) fn leases_by_number(
        &self,
        now: MonotonicTime,
        numbers: &[LeaseNumber],
    ) -> Vec<NamedLease> {
        self.lock().leases.leases_by_number(now, numbers)
    }

    /// Number of the lease table, which batches of it carry.
    pub(crate) fn table_incarnation(&self) -> Incarnation {
        self.lock().leases.table_incarnation()
    }

    /// Ends leases that ran out.
    pub fn tick(&self, now: MonotonicTime) -> Vec<LeaseEvent> {
        let mut state = self.lock();
        let news = state.leases.tick(now);
        for item in &news {
            state.end(item);
        }
        state.planner.tick(now);
        news
    }

    /// Whether `server` may get new work now; asked again right before each send.
    pub fn may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.lock().leases.may_take_work(now, server)
    }

    /// Servers that may get new work now.
    pub fn serving(&self, now: MonotonicTime) -> Vec<Arc<ServerView>> {
        let state = self.lock();
        let serving = state.leases.iter().filter(|lease| lease.is_serving(now));
        serving
            .filter_map(|lease| state.views.get(&lease.announce.server))
            .cloned()
            .collect()
    }

    /// Model engines that may get new work now.
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

    /// Servers of a plain service that may get new work now.
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

    /// The view of one server.
    pub fn view(&self, server: &ServerName) -> Option<Arc<ServerView>> {
        self.lock().views.get(server).cloned()
    }

    /// Number of the newest announcement that is held of `server`.
    pub fn announcement_number(&self, server: &str) -> Option<AnnouncementNumber> {
        let state = self.lock();
        let held = &state.leases.get(&ServerName::from(server))?.announce;
        Some(AnnouncementNumber {
            incarnation: held.incarnation.0,
            sequence: held.sequence.0,
        })
    }

    /// All leases, for the dump.
    pub fn dump(&self) -> Vec<ServerLease> {
        self.lock().leases.iter().cloned().collect()
    }

    /// State of the planner, for the dump.
    pub fn dump_routing(&self, now: MonotonicTime) -> RoutingDump {
        self.lock().planner.dump(now)
    }

    /// Number of servers held.
    pub fn len(&self) -> usize {
        self.lock().leases.len()
    }

    /// Whether no server is held.
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
        self.follow(now, &server, verdict)
    }

    /// Brings views and planner in line with a lease that was merged.
    fn follow(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        verdict: MergeVerdict,
    ) -> MergeVerdict {
        match verdict {
            MergeVerdict::Changed => self.take_change(now, server),
            MergeVerdict::Renewed => self.take_load(server),
            MergeVerdict::Stale
            | MergeVerdict::Left
            | MergeVerdict::Unknown
            | MergeVerdict::Full => {}
        }
        verdict
    }

    fn take_change(&mut self, now: MonotonicTime, server: &ServerName) {
        let Some(lease) = self.leases.get(server).cloned() else {
            return;
        };
        if let Some(worker) = WorkerView::decode(&lease.announce) {
            self.workers.insert(server.clone(), Arc::new(worker));
            return;
        }
        match decode(&lease.announce) {
            Some(view) => self.take_view(now, &lease, view),
            None => self.drop_view(server),
        }
    }

    /// A renewal changes nothing but the load, so the offer isn't decoded again.
    fn take_load(&mut self, server: &ServerName) {
        let Some(lease) = self.leases.get(server) else {
            return;
        };
        if let Some(view) = self.views.get_mut(server) {
            Arc::make_mut(view).load = lease.announce.load;
        }
        self.planner
            .report(&load_report(&lease.announce, lease.heard_at));
    }

    fn take_view(&mut self, now: MonotonicTime, lease: &ServerLease, view: ServerView) {
        if let ServerOffer::Engine(offer) = &view.offer {
            self.tell_planner(now, lease, offer);
        }
        let server = &lease.announce.server;
        self.services.place(server, view.facts.service.as_ref());
        self.views.insert(server.clone(), Arc::new(view));
    }

    fn tell_planner(&mut self, now: MonotonicTime, lease: &ServerLease, offer: &EngineOffer) {
        if lease.announce.state == ServerState::Leaving {
            self.planner.remove(&lease.announce.server);
            return;
        }
        let announcement = engine_announcement(&lease.announce, offer);
        if let Err(findings) = self.planner.announce(now, announcement) {
            log::warn!(server:% = lease.announce.server, findings:% = findings; "engine not routed to");
            return;
        }
        self.planner
            .report(&load_report(&lease.announce, lease.heard_at));
    }

    fn drop_view(&mut self, server: &ServerName) {
        self.views.remove(server);
        self.workers.remove(server);
        self.services.place(server, None);
        self.planner.remove(server);
    }

    fn end(&mut self, news: &LeaseEvent) {
        match news {
            LeaseEvent::Ended { server } => {
                self.planner.remove(server);
            }
            LeaseEvent::Forgotten { server } => self.drop_view(server),
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
