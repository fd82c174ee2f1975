//! The route planner: tables, policy and feedback behind one trait object.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::bound::{FlowBound, find_bound, refresh_flow};
use super::choice::{ChoiceTables, choose_route, repair_in_tables};
use super::engine::EngineAnnouncement;
use super::fleet::{EngineKey, FleetTable, GraphKey, UpsertOutcome};
use super::flight::{FlightKey, FlightTable};
use super::graph::LayerGraph;
use super::link::LinkFigures;
use super::load::{LoadFigures, LoadReport};
use super::outliers::{EngineOutliers, PeerClass};
use super::plan::{NoRoute, RoutePlan, RouteQuery};
use super::policy::RoutePolicy;
use super::prefix::{CacheEvent, CacheOutcome, PrefixIndex};
use super::remaining::refresh_remaining_times;
use super::settings::RoutingSettings;
use crate::base::{
    AdapterName, DataCentreName, FindingList, ModelName, MonotonicTime, ServerName, VersionName,
};
use crate::retries::OutlierTable;

/// Plans routes from what engines announce and report, and from what became of earlier plans.
pub trait RoutePlanner: Send {
    /// Takes an announcement; one that is not newer than the one in force changes nothing.
    ///
    /// # Errors
    /// All findings about the announcement.
    fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: EngineAnnouncement,
    ) -> Result<UpsertOutcome, FindingList>;

    /// Takes a load report; says if it was newer.
    fn report(&mut self, report: &LoadReport) -> bool;

    /// Takes a cache event; says if a snapshot must be asked for.
    fn cache_event(&mut self, event: &CacheEvent) -> CacheOutcome;

    /// Removes an engine that leaves or whose lease ended; says if it was known.
    fn remove(&mut self, server: &ServerName) -> bool;

    /// Sets the link between two data centres, both ways.
    fn set_link(&mut self, one: &DataCentreName, other: &DataCentreName, figures: LinkFigures);

    /// Refreshes flow weights and ends ejections.
    fn tick(&mut self, now: MonotonicTime);

    /// Chooses a route.
    ///
    /// # Errors
    /// All reasons why there is none; no engine was left unseen.
    fn choose(&mut self, now: MonotonicTime, query: &RouteQuery<'_>) -> Result<RoutePlan, NoRoute>;

    /// The route `plan`, in use, with other engines in place of those that `query` excludes; its prompt
    /// is all that the request's engines have worked through.
    ///
    /// # Errors
    /// The first engine is excluded, or there are no others.
    fn repair(
        &mut self,
        now: MonotonicTime,
        plan: &RoutePlan,
        query: &RouteQuery<'_>,
    ) -> Result<RoutePlan, NoRoute>;

    /// The request is being sent over `plan`.
    fn started(&mut self, now: MonotonicTime, plan: &RoutePlan) -> FlightKey;

    /// The first token of a started request came.
    fn first_token(&mut self, now: MonotonicTime, flight: FlightKey);

    /// A started request ended well, or its caller cancelled it.
    fn finished(&mut self, now: MonotonicTime, flight: FlightKey);

    /// A started request failed, by the fault of `culprit` where that is known.
    fn failed(&mut self, now: MonotonicTime, flight: FlightKey, culprit: Option<&ServerName>);

    /// An engine declined a request for want of room.
    fn declined(&mut self, now: MonotonicTime, server: &ServerName);

    /// Throughput that the engines of a model, adapter and version allow.
    fn bound(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: &VersionName,
    ) -> FlowBound;

    /// What the planner knows, for a dump.
    fn dump(&self, now: MonotonicTime) -> RoutingDump;
}

/// State of one engine in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineDump {
    /// What it announced.
    pub announcement: EngineAnnouncement,
    /// Load expected now.
    pub load: LoadFigures,
    /// Own requests on it that have not ended.
    pub own_sequences: u64,
    /// Whether it is ejected.
    pub ejected: bool,
}

/// State of the planner in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoutingDump {
    /// Settings in force.
    pub settings: RoutingSettings,
    /// Engines by name.
    pub engines: Vec<EngineDump>,
    /// Own requests under way.
    pub flights: usize,
}

/// Planner over the fleet that announced itself to this process.
#[derive(Debug)]
pub struct FleetPlanner {
    settings: RoutingSettings,
    fleet: FleetTable,
    prefixes: PrefixIndex,
    outliers: EngineOutliers,
    flights: FlightTable,
    policy: Box<dyn RoutePolicy>,
    rng: ChaCha8Rng,
    refreshed: Option<MonotonicTime>,
}

impl FleetPlanner {
    /// A planner without engines; `seed` fixes what it picks by chance.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        Self {
            settings,
            fleet: FleetTable::new(settings),
            prefixes: PrefixIndex::new(settings.max_prefixes),
            outliers: OutlierTable::new(settings.outlier),
            flights: FlightTable::default(),
            policy: settings.policy.build(settings.candidates),
            rng: ChaCha8Rng::seed_from_u64(seed),
            refreshed: None,
        }
    }

    /// Engines known.
    pub fn fleet(&self) -> &FleetTable {
        &self.fleet
    }

    fn tables(&self) -> ChoiceTables<'_> {
        ChoiceTables {
            settings: &self.settings,
            fleet: &self.fleet,
            prefixes: &self.prefixes,
            outliers: &self.outliers,
        }
    }

    fn end_ejections(&mut self, now: MonotonicTime) {
        for key in self.outliers.tick(now) {
            if let Some(engine) = self.fleet.engines.get_mut(key) {
                engine.joined = now;
            }
        }
    }

    fn refresh_graphs(&mut self, now: MonotonicTime) {
        let interval = self.settings.flow_interval;
        let is_due = self
            .refreshed
            .is_none_or(|last| now.since(last) >= interval);
        if !is_due {
            return;
        }
        self.refreshed = Some(now);
        let keys: Vec<_> = self.fleet.graphs.keys().collect();
        for key in keys {
            self.refresh_graph(key);
        }
    }

    fn refresh_graph(&mut self, key: GraphKey) {
        let Some(slot) = self.fleet.graphs.get_mut(key) else {
            return;
        };
        let empty = LayerGraph::new(slot.id.clone());
        let mut graph = std::mem::replace(slot, empty);
        if !graph.stale.is_empty() {
            refresh_flow(&self.fleet, &mut graph, &self.settings);
        }
        refresh_remaining_times(&self.fleet, &mut graph, &self.settings);
        if let Some(slot) = self.fleet.graphs.get_mut(key) {
            *slot = graph;
        }
    }

    fn note_failure(&mut self, now: MonotonicTime, server: &ServerName) {
        let Some(key) = self.fleet.find(server) else {
            return;
        };
        let Some(class) = self.fleet.get(key).map(PeerClass::of) else {
            return;
        };
        let peers = self.count_peers(&class);
        self.outliers.failed(now, key, class, peers);
    }

    fn count_peers(&self, class: &PeerClass) -> usize {
        let adapter = class.graph.adapter.as_ref();
        self.fleet
            .graphs_of(&class.graph.model, adapter)
            .find(|(_, graph)| graph.id == class.graph)
            .map_or(0, |(_, graph)| graph.count_peers(class.layers))
    }

    fn dump_engine(&self, now: MonotonicTime, key: EngineKey) -> Option<EngineDump> {
        let engine = self.fleet.get(key)?;
        Some(EngineDump {
            announcement: engine.announcement.clone(),
            load: engine.load.estimate(),
            own_sequences: engine.load.own_sequences(),
            ejected: self.outliers.is_ejected(now, key),
        })
    }
}

impl RoutePlanner for FleetPlanner {
    fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: EngineAnnouncement,
    ) -> Result<UpsertOutcome, FindingList> {
        self.fleet.upsert(now, announcement)
    }

    fn report(&mut self, report: &LoadReport) -> bool {
        self.fleet.report(report)
    }

    fn cache_event(&mut self, event: &CacheEvent) -> CacheOutcome {
        match self.fleet.find(&event.server) {
            Some(key) => self.prefixes.apply(key, event),
            None => CacheOutcome::Ignored,
        }
    }

    fn remove(&mut self, server: &ServerName) -> bool {
        let Some(key) = self.fleet.remove(server) else {
            return false;
        };
        self.prefixes.remove(key);
        self.outliers.remove(key);
        true
    }

    fn set_link(&mut self, one: &DataCentreName, other: &DataCentreName, figures: LinkFigures) {
        self.fleet.set_link(one, other, figures);
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.end_ejections(now);
        self.refresh_graphs(now);
    }

    fn choose(&mut self, now: MonotonicTime, query: &RouteQuery<'_>) -> Result<RoutePlan, NoRoute> {
        let tables = ChoiceTables {
            settings: &self.settings,
            fleet: &self.fleet,
            prefixes: &self.prefixes,
            outliers: &self.outliers,
        };
        choose_route(now, tables, self.policy.as_mut(), &mut self.rng, query)
    }

    fn repair(
        &mut self,
        now: MonotonicTime,
        plan: &RoutePlan,
        query: &RouteQuery<'_>,
    ) -> Result<RoutePlan, NoRoute> {
        repair_in_tables(now, self.tables(), plan, query)
    }

    fn started(&mut self, now: MonotonicTime, plan: &RoutePlan) -> FlightKey {
        self.flights.start(now, &mut self.fleet, plan)
    }

    fn first_token(&mut self, now: MonotonicTime, flight: FlightKey) {
        self.flights.first_token(now, &mut self.fleet, flight);
    }

    fn finished(&mut self, now: MonotonicTime, flight: FlightKey) {
        for key in self.flights.end(now, &mut self.fleet, flight) {
            self.outliers.succeeded(key);
        }
    }

    fn failed(&mut self, now: MonotonicTime, flight: FlightKey, culprit: Option<&ServerName>) {
        self.flights.end(now, &mut self.fleet, flight);
        if let Some(server) = culprit {
            self.note_failure(now, server);
        }
    }

    fn declined(&mut self, now: MonotonicTime, server: &ServerName) {
        let key = self.fleet.find(server);
        if let Some(engine) = key.and_then(|key| self.fleet.engines.get_mut(key)) {
            engine.load.decline(now);
        }
    }

    fn bound(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: &VersionName,
    ) -> FlowBound {
        self.fleet
            .graphs_of(model, adapter)
            .filter(|(_, graph)| graph.id.version == *version)
            .map(|(_, graph)| find_bound(&self.fleet, graph, &self.settings.workload))
            .next()
            .unwrap_or_default()
    }

    fn dump(&self, now: MonotonicTime) -> RoutingDump {
        let mut engines: Vec<EngineDump> = self
            .fleet
            .iter()
            .filter_map(|(key, _)| self.dump_engine(now, key))
            .collect();
        engines.sort_by(|a, b| a.announcement.server.cmp(&b.announcement.server));
        RoutingDump {
            settings: self.settings,
            engines,
            flights: self.flights.len(),
        }
    }
}
