//! Route planner: the [`RoutePlanner`] trait and its implementation over the announced fleet.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::allotment::{AllotmentRounding, assign_lanes};
use super::bound::{FlowBound, find_bound, refresh_flow};
use super::choice::{ChoiceTables, choose_route, repair_in_tables};
use super::engine::EngineAnnouncement;
use super::fleet::{EngineKey, FleetTable, GraphKey, UpsertOutcome};
use super::flight::{FlightKey, FlightTable};
use super::graph::LayerGraph;
use super::link::LinkProperties;
use super::load::{LoadReport, LoadValues};
use super::outliers::{EngineOutliers, PeerClass};
use super::plan::{NoRoute, RoutePlan, RouteQuery};
use super::policy::RoutePolicy;
use super::pool_capacity::{PoolCapacity, PoolSettings};
use super::prefix::{CacheEvent, CacheOutcome, PrefixIndex};
use super::remaining::refresh_remaining_times;
use super::settings::RoutingSettings;
use crate::base::{
    AdapterName, DataCentreName, FindingList, ModelName, MonotonicTime, ServerName, VersionName,
};
use crate::retries::OutlierTable;

/// Plans routes from engine announcements, load reports and the outcomes of earlier plans.
pub trait RoutePlanner: Send {
    /// Applies an announcement unless the planner already has one that is as new or newer.
    ///
    /// # Errors
    /// Returns every finding of an invalid announcement, which changes nothing.
    fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: EngineAnnouncement,
    ) -> Result<UpsertOutcome, FindingList>;

    /// Applies a load report. Returns `false` and ignores it if it is not newer.
    fn report(&mut self, report: &LoadReport) -> bool;

    /// Applies a cache event. The outcome says whether the engine must send a snapshot.
    fn cache_event(&mut self, event: &CacheEvent) -> CacheOutcome;

    /// Removes an engine that left or whose lease ended. Returns whether it was present.
    fn remove(&mut self, server: &ServerName) -> bool;

    /// Sets the figures of the link between two data centres, for both directions.
    fn set_link(&mut self, one: &DataCentreName, other: &DataCentreName, figures: LinkProperties);

    /// Ends expired ejections, draws the rounding of allotments, and refreshes the flow weights if
    /// the flow interval has passed.
    fn tick(&mut self, now: MonotonicTime);

    /// Chooses a route for `query`.
    ///
    /// # Errors
    /// Returns every reason why no route exists, after checking every engine.
    fn choose(&mut self, now: MonotonicTime, query: &RouteQuery<'_>) -> Result<RoutePlan, NoRoute>;

    /// Replaces the engines of `plan` that `query` excludes, while its request is running.
    ///
    /// The prompt of `query` includes all tokens that the engines of the request have processed.
    ///
    /// # Errors
    /// Fails if `query` excludes the first engine, or if no other engines can replace the excluded
    /// ones.
    fn repair(
        &mut self,
        now: MonotonicTime,
        plan: &RoutePlan,
        query: &RouteQuery<'_>,
    ) -> Result<RoutePlan, NoRoute>;

    /// Records the start of a request over `plan`.
    fn started(&mut self, now: MonotonicTime, plan: &RoutePlan) -> FlightKey;

    /// Records the arrival of the first token of a started request.
    fn first_token(&mut self, now: MonotonicTime, flight: FlightKey);

    /// Records that a started request succeeded or that its caller cancelled it.
    fn finished(&mut self, now: MonotonicTime, flight: FlightKey);

    /// Records that a started request failed, and that `culprit` caused it if the cause is known.
    fn failed(&mut self, now: MonotonicTime, flight: FlightKey, culprit: Option<&ServerName>);

    /// Records that an engine declined a request for lack of KV memory.
    fn declined(&mut self, now: MonotonicTime, server: &ServerName);

    /// Computes the maximum throughput of the engines of a model, adapter and version.
    fn bound(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        version: &VersionName,
    ) -> FlowBound;

    /// Returns the settings, the engines and the number of running requests.
    fn dump(&self, now: MonotonicTime) -> RoutingDump;
}

/// State of one engine in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineDump {
    /// Latest announcement of the engine.
    pub announcement: EngineAnnouncement,
    /// Estimated current load.
    pub load: LoadValues,
    /// Running own requests on the engine.
    pub own_sequences: u64,
    /// Whether the engine is ejected because of failures.
    pub ejected: bool,
}

/// State of the planner in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoutingDump {
    /// Current settings.
    pub settings: RoutingSettings,
    /// Engines, sorted by name.
    pub engines: Vec<EngineDump>,
    /// Running own requests.
    pub flights: usize,
}

/// Planner over the engines whose announcements this process has received.
#[derive(Debug)]
pub struct FleetPlanner {
    settings: RoutingSettings,
    fleet: FleetTable,
    prefixes: PrefixIndex,
    outliers: EngineOutliers,
    flights: FlightTable,
    policy: Box<dyn RoutePolicy>,
    rng: ChaCha8Rng,
    rounding: AllotmentRounding,
    last_refresh: Option<MonotonicTime>,
}

impl FleetPlanner {
    /// Creates a planner without engines; `seed` initialises its random number generator.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        Self {
            settings,
            fleet: FleetTable::new(settings),
            prefixes: PrefixIndex::new(settings.max_prefixes),
            outliers: OutlierTable::new(settings.outlier),
            flights: FlightTable::default(),
            policy: settings.policy.build(settings.candidates),
            rng: ChaCha8Rng::seed_from_u64(seed),
            rounding: AllotmentRounding::new(seed),
            last_refresh: None,
        }
    }

    /// Returns the table of announced engines.
    pub fn fleet(&self) -> &FleetTable {
        &self.fleet
    }

    /// Measures the KV memory of the engines of `model`; `None` if none of them reported recently.
    pub fn pool_capacity(
        &self,
        now: MonotonicTime,
        model: &ModelName,
        settings: &PoolSettings,
    ) -> Option<PoolCapacity> {
        PoolCapacity::measure(now, &self.fleet, model, settings)
    }

    /// Ends all ejections and forgets the failures that led to them, because their cause was not the
    /// engines.
    pub fn clear_ejections(&mut self) {
        self.outliers.clear();
    }

    fn tables(&self) -> ChoiceTables<'_> {
        ChoiceTables {
            settings: &self.settings,
            fleet: &self.fleet,
            prefixes: &self.prefixes,
            outliers: &self.outliers,
            rounding: &self.rounding,
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
            .last_refresh
            .is_none_or(|last| now.since(last) >= interval);
        if !is_due {
            return;
        }
        self.last_refresh = Some(now);
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
            assign_lanes(&mut self.fleet, &graph);
            refresh_flow(&self.fleet, &mut graph, &self.settings);
        }
        refresh_remaining_times(&self.fleet, &mut graph, &self.settings);
        if let Some(slot) = self.fleet.graphs.get_mut(key) {
            *slot = graph;
        }
    }

    fn record_failure(&mut self, now: MonotonicTime, server: &ServerName) {
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

    fn set_link(&mut self, one: &DataCentreName, other: &DataCentreName, figures: LinkProperties) {
        self.fleet.set_link(one, other, figures);
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.end_ejections(now);
        self.rounding.tick(now);
        if self.settings.time_correction {
            for engine in self.fleet.engines.values_mut() {
                engine.correction.tick(now);
            }
        }
        self.refresh_graphs(now);
    }

    fn choose(&mut self, now: MonotonicTime, query: &RouteQuery<'_>) -> Result<RoutePlan, NoRoute> {
        let tables = ChoiceTables {
            settings: &self.settings,
            fleet: &self.fleet,
            prefixes: &self.prefixes,
            outliers: &self.outliers,
            rounding: &self.rounding,
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
        let is_observed = self.settings.time_correction;
        self.flights.start(now, &mut self.fleet, plan, is_observed)
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
            self.record_failure(now, server);
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
