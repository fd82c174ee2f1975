//! Selects the chain of engines for a draft, with a planner that knows the announced engines.

mod refresh;
mod repair;

pub(super) use refresh::run_chains;
pub(super) use repair::ChainRepair;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{
    DataCentreName, Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber, ServerName,
    ServiceName,
};
use pollendrift_coordination::leases::BackendLayers;
use pollendrift_coordination::quarantine::PartDigest;
use pollendrift_coordination::routes::{RouteTable, SpecGeneration, SpecGenerations};
use pollendrift_coordination::routing::{
    ByteRate, DegradedLinks, DegradedSettings, EngineFilter, EngineRecord, FleetPlanner, FlightKey,
    LinkProperties, LoadReport, LoadValues, NoRoute, NoRouteReason, PoolCapacity, PoolSettings,
    RoutePlan, RoutePlanner, RoutePriority, RouteQuery, RoutingSettings, SurveyedEngine,
    TokenCount, is_complete_chain,
};
use pollendrift_dialect::StageHop;

use super::engine_estimates::{
    MEGABIT, announcement_for, pool_name, routing_settings, slowness_of,
};
use super::request::RelayRequest;
use crate::fleet::{BackendFleet, WorkerView};

/// Time between two updates from the fleet. Each send also checks that its servers may take work,
/// so this period only bounds how soon a new engine is used. An update of 98 engines takes 1.1 ms
/// of CPU time; at a period of 100 ms that was most of the load of an otherwise idle host with 0.12
/// cores.
const CHAIN_TICK: Duration = Duration::from_millis(200);
/// Age of the load in an engine's report when the engine sends it.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Prompt tokens that the planner assumes for each waiting request.
///
/// A waiting request waits for KV memory rather than for prefill: an engine with 45 drafts of 3 s
/// each finishes one every 65 ms, in which it could prefill 13,000 tokens. With the 760 tokens of
/// an actual prompt, a full data centre was predicted to answer within 30 ms but took 3 s, and all
/// entries sent their requests to this full data centre at the same time.
const WAITING_TOKENS: u64 = 13_000;
/// Predicted cost = time to the first event + (time from the first to the last event) / this
/// divisor. The stream's time counts because a slow stream holds memory that other requests wait
/// for.
const STREAM_TIME_DIVISOR: u32 = 8;

/// Penalty of all data centres but one for a draft with a part that no engine is known to have
/// answered. If the part crashes engines, the drafts with it that are sent before the first crash is
/// known crash those of one data centre, and not of all.
const UNPROVEN_PENALTY: Duration = Duration::from_millis(250);

/// A chain that the planner counts as running until it is recorded as finished or failed.
#[derive(Clone, Debug)]
pub(super) struct ReservedChain {
    pub(super) plan: RoutePlan,
    pub(super) flight: FlightKey,
    pub(super) hops: Vec<StageHop>,
    /// Server of the first stage, which receives the request.
    pub(super) first: ServerName,
    /// Data centre of all engines of the chain if it is not this host's; `None` too if the chain
    /// crosses data centres.
    pub(super) remote_data_centre: Option<DataCentreName>,
}

impl ReservedChain {
    /// Servers of all stages, in order of the stages.
    pub(super) fn servers(&self) -> impl Iterator<Item = &ServerName> {
        self.plan.stages.iter().map(|stage| &stage.server)
    }

    /// Address of `server`, if it runs a stage of the chain.
    pub(super) fn address_of(&self, server: &ServerName) -> Option<SocketAddr> {
        let mut stages = self.plan.stages.iter().zip(&self.hops);
        let found = stages.find(|(stage, _)| stage.server == *server);
        found.map(|(_, hop)| hop.address)
    }

    /// Engines after the first one, with their addresses.
    pub(super) fn later_stages(&self) -> impl Iterator<Item = (ServerName, SocketAddr)> {
        let stages = self.plan.stages.iter().zip(&self.hops);
        let stages = stages.map(|(stage, hop)| (stage.server.clone(), hop.address));
        stages.skip(1)
    }

    /// Server of the first stage at `address`.
    pub(super) fn server_at(&self, address: SocketAddr) -> Option<&ServerName> {
        let stages = self.plan.stages.iter().zip(&self.hops);
        let mut found = stages.filter(|(_, hop)| hop.address == address);
        found.next().map(|(stage, _)| &stage.server)
    }
}

/// What a chain is searched for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChainQuery<'query> {
    pub(super) request: &'query RelayRequest,
    /// Engines that the chain must not contain.
    pub(super) excluded: &'query [ServerName],
    /// Whether the caller has received a part of the answer.
    pub(super) is_resume: bool,
    /// Share of this host in the demand of all hosts; `None` if it does not limit the choice.
    pub(super) share: Option<f64>,
    /// A part of the prompt that no engine is known to have answered.
    pub(super) unproven: Option<PartDigest>,
}

/// State of an engine as last announced to the planner.
#[derive(Clone, Debug, PartialEq)]
struct KnownEngine {
    incarnation: Incarnation,
    layers: BackendLayers,
    address: SocketAddr,
    /// Generation of the service specification that the announcement was computed from.
    generation: Option<SpecGeneration>,
    /// Factor by which the engine is slower than its kind.
    slowness: u32,
}

/// Engines with loaded layers, and the planner that selects chains of them.
pub(super) struct ChainTable {
    planner: FleetPlanner,
    known: BTreeMap<ServerName, KnownEngine>,
    data_centre: DataCentreName,
    /// Penalties of other data centres, raised when streams from there are late.
    links: DegradedLinks,
    /// Data centres that have engines.
    centres: BTreeSet<DataCentreName>,
    /// Generations of the service specifications that the planner uses.
    generations: SpecGenerations,
    sequence: u64,
}

impl ChainTable {
    /// Creates a table without engines for a host in `data_centre`; `seed` seeds the planner.
    pub(super) fn new(data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            planner: FleetPlanner::new(routing_settings(), seed),
            known: BTreeMap::new(),
            data_centre,
            links: DegradedLinks::new(DegradedSettings::default()),
            centres: BTreeSet::new(),
            generations: SpecGenerations::default(),
            sequence: 0,
        }
    }

    /// Updates the planner with announced engines, published routes and survey results, and removes
    /// engines that no longer hold layers.
    pub(super) fn sync_engines(
        &mut self,
        now: MonotonicTime,
        table: &RouteTable,
        workers: &[Arc<WorkerView>],
        fleet: &BackendFleet,
    ) {
        self.centres = workers.iter().map(|w| w.data_centre.clone()).collect();
        if self.generations.update(table) {
            self.set_links(table, workers);
        }
        let mut announced = BTreeSet::new();
        for worker in workers {
            let surveyed = fleet.surveyed(now, worker);
            if self.sync_engine(now, table, worker, surveyed) {
                announced.insert(worker.server.clone());
                self.report_load(worker, surveyed);
            }
        }
        let removed: Vec<ServerName> = self
            .known
            .keys()
            .filter(|server| !announced.contains(*server))
            .cloned()
            .collect();
        for server in removed {
            self.known.remove(&server);
            self.planner.remove(&server);
        }
        self.planner.tick(now);
    }

    /// Announces an engine to the planner if it changed. Returns false if the engine holds no
    /// layers, its service or kind is not published, or the planner rejects it.
    fn sync_engine(
        &mut self,
        now: MonotonicTime,
        table: &RouteTable,
        worker: &WorkerView,
        surveyed: Option<SurveyedEngine>,
    ) -> bool {
        let Some(layers) = &worker.offer.layers else {
            return false;
        };
        let spec = table.service_named(&worker.offer.service);
        let Some(spec) = spec.and_then(|service| service.engine.as_ref()) else {
            return false;
        };
        let known = KnownEngine {
            incarnation: worker.incarnation,
            layers: layers.clone(),
            address: worker.address,
            generation: self.generations.get(&worker.offer.service),
            slowness: slowness_of(surveyed),
        };
        if self.known.get(&worker.server) == Some(&known) {
            return true;
        }
        self.sequence += 1;
        let sequence = SequenceNumber(self.sequence);
        let Some(announcement) = announcement_for(worker, layers, spec, sequence, known.slowness)
        else {
            log::warn!(server:% = worker.server, kind = worker.offer.kind.as_str(); "engine ignored: its kind is not published");
            return false;
        };
        // A repeated announcement of an incarnation needs a higher sequence number than the one
        // before, or it would count as older.
        if let Err(findings) = self.planner.announce(now, announcement) {
            log::warn!(server:% = worker.server, findings:% = findings; "engine ignored: the planner rejected its announcement");
            return false;
        }
        self.known.insert(worker.server.clone(), known);
        true
    }

    /// Reports an engine's surveyed load to the planner.
    fn report_load(&mut self, worker: &WorkerView, surveyed: Option<SurveyedEngine>) {
        let Some(surveyed) = surveyed else {
            return;
        };
        let Some(load) = surveyed.load else {
            return;
        };
        self.planner.report(&LoadReport {
            server: worker.server.clone(),
            incarnation: worker.incarnation,
            sequence: SequenceNumber(surveyed.measured_at.as_micros()),
            measured_at: surveyed.measured_at.before(REPORT_LAG),
            figures: LoadValues {
                prefill: TokenCount(u64::from(load.waiting) * WAITING_TOKENS),
                sequences: load.running.saturating_add(load.waiting),
                kv: TokenCount(load.kv_tokens),
            },
        });
    }

    fn set_links(&mut self, table: &RouteTable, workers: &[Arc<WorkerView>]) {
        let engines = table
            .services()
            .filter_map(|service| service.engine.as_ref());
        let Some(rate) = engines.map(|spec| spec.inter_centre_mbps).reduce(f64::min) else {
            return;
        };
        let centres: BTreeSet<&DataCentreName> = workers.iter().map(|w| &w.data_centre).collect();
        let figures = LinkProperties {
            rate: ByteRate((rate * MEGABIT) as u64),
            latency: RoutingSettings::default().default_link.latency,
        };
        for one in &centres {
            for other in centres.iter().filter(|other| *other != one) {
                self.planner.set_link(one, other, figures);
            }
        }
    }

    /// Reserves a chain for a request: the one with the lowest predicted cost among the best chains
    /// of each data centre. Other data centres get a penalty, so this host's own is preferred
    /// unless another is much faster. Drafts with the same `unproven` part prefer the same data centre
    /// at all hosts.
    ///
    /// A chain that crosses data centres sends 20 to 30 MB of activations per request over a shared
    /// link that carries about 40 such requests a second, whereas a caller's request and events are
    /// a few kilobytes. So a request is preferably sent as a whole to another data centre, and a
    /// chain crosses data centres only if no data centre has a complete one.
    pub(super) fn reserve<F, H>(
        &mut self,
        now: MonotonicTime,
        wanted: &ChainQuery<'_>,
        may_take_work: F,
        is_healthy: H,
    ) -> Result<ReservedChain, NoRoute>
    where
        F: Fn(&ServerName) -> bool,
        H: Fn(&ServerName) -> bool,
    {
        let ChainQuery {
            request, excluded, ..
        } = *wanted;
        let is_eligible = |engine: &EngineRecord| {
            let server = &engine.announcement.server;
            may_take_work(server) && is_healthy(server)
        };
        let model = pool_name(&request.service);
        let query = RouteQuery {
            excluded,
            // The caller of a broken stream has received part of the answer, which would be lost.
            priority: if wanted.is_resume {
                RoutePriority::Urgent
            } else {
                RoutePriority::Normal
            },
            share: wanted.share,
            continues_answer: wanted.is_resume,
            ..query_of(request, &model, &is_eligible)
        };
        let preferred = wanted
            .unproven
            .and_then(|part| part.choose(self.centres.len()));
        let mut best: Option<(Duration, RoutePlan, Option<DataCentreName>)> = None;
        for (index, centre) in self.centres.clone().into_iter().enumerate() {
            let query = RouteQuery {
                within: Some(&centre),
                ..query
            };
            let Ok(plan) = self.planner.choose(now, &query) else {
                continue;
            };
            let remote_data_centre = (centre != self.data_centre).then_some(centre);
            let distance = remote_data_centre
                .as_ref()
                .map(|centre| self.links.penalty(now, centre));
            let penalty = match preferred {
                Some(preferred) if preferred == index => None,
                Some(_) => Some(distance.unwrap_or_default() + UNPROVEN_PENALTY),
                None => distance,
            };
            let stream = plan.finish.saturating_sub(plan.first_token);
            let cost =
                plan.first_token + stream / STREAM_TIME_DIVISOR + penalty.unwrap_or_default();
            if best.as_ref().is_none_or(|(other, ..)| cost < *other) {
                best = Some((cost, plan, remote_data_centre));
            }
        }
        let (plan, remote_data_centre) = match best {
            Some((_, plan, remote_data_centre)) => (plan, remote_data_centre),
            None => (self.planner.choose(now, &query)?, None),
        };
        let layers = request
            .service
            .engine
            .as_ref()
            .map_or(0, |spec| spec.layers);
        let chain = self.start(now, plan, layers)?;
        if let Some(centre) = &remote_data_centre {
            self.links.started(now, centre);
        }
        Ok(ReservedChain {
            remote_data_centre,
            ..chain
        })
    }

    /// Whether an engine of `chain` is the only one that holds some of its layers, among those that are
    /// `usable`.
    pub(super) fn has_sole_holder<F>(&self, chain: &ReservedChain, usable: F) -> bool
    where
        F: Fn(&ServerName) -> bool,
    {
        let version = chain.servers().find_map(|server| self.known.get(server));
        let Some(version) = version.map(|known| &known.layers.version) else {
            return false;
        };
        chain.plan.stages.iter().any(|stage| {
            let others = self.known.iter().filter(|(other, known)| {
                **other != stage.server && known.layers.version == *version && usable(other)
            });
            let mut ranges: Vec<LayerRange> = others.map(|(_, known)| known.layers.range).collect();
            ranges.sort_by_key(|range| range.first);
            !covers(&ranges, stage.layers)
        })
    }

    /// Measures the KV memory of the engines of `service`.
    pub(super) fn pool_capacity(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        settings: &PoolSettings,
    ) -> Option<PoolCapacity> {
        let model = ModelName::from(service.as_str());
        self.planner.pool_capacity(now, &model, settings)
    }

    /// Ends all ejections of engines; see [`FleetPlanner::clear_ejections`].
    pub(super) fn clear_ejections(&mut self) {
        self.planner.clear_ejections();
    }

    /// Records that a stream from `centre` paused for longer than its route allows.
    pub(super) fn record_late(&mut self, now: MonotonicTime, centre: &DataCentreName) {
        self.links.late(now, centre);
    }

    /// Counts a planned chain as running, after a check that its stages cover all `layers`.
    ///
    /// Engines run the stages that a request names and do not report the layers that their tokens
    /// passed through. An undetected gap would therefore give the caller output of a model with
    /// missing layers.
    fn start(
        &mut self,
        now: MonotonicTime,
        plan: RoutePlan,
        layers: u32,
    ) -> Result<ReservedChain, NoRoute> {
        let hops = plan.stages.iter().filter_map(|stage| {
            let known = self.known.get(&stage.server)?;
            Some(StageHop {
                address: known.address,
                layers: stage.layers,
            })
        });
        let hops: Vec<StageHop> = hops.collect();
        let ranges: Vec<LayerRange> = hops.iter().map(|hop| hop.layers).collect();
        let first = plan.stages.first().map(|stage| stage.server.clone());
        let (Some(first), true) = (first, is_complete_chain(&ranges, layers)) else {
            log::error!(stages:? = plan.stages; "planned chain rejected: its stages do not cover all layers");
            let reasons = vec![NoRouteReason::NotServed];
            return Err(NoRoute { reasons });
        };
        let flight = self.planner.started(now, &plan);
        Ok(ReservedChain {
            hops,
            flight,
            first,
            plan,
            remote_data_centre: None,
        })
    }

    /// Records the first event of a running chain.
    pub(super) fn record_first_event(&mut self, now: MonotonicTime, flight: FlightKey) {
        self.planner.first_token(now, flight);
    }

    /// Records that a chain finished or that its caller disconnected.
    pub(super) fn record_finished(&mut self, now: MonotonicTime, flight: FlightKey) {
        self.planner.finished(now, flight);
    }

    /// Records that an engine declined a draft: it is full, whatever load it last reported.
    pub(super) fn record_declined(&mut self, now: MonotonicTime, server: &ServerName) {
        self.planner.declined(now, server);
    }

    /// Records that a chain failed; `culprit` is the engine at fault, if known.
    pub(super) fn record_failed(
        &mut self,
        now: MonotonicTime,
        flight: FlightKey,
        culprit: Option<&ServerName>,
    ) {
        self.planner.failed(now, flight, culprit);
    }
}

/// Whether `ranges`, sorted by their first layers, contain all of `layers`.
fn covers(ranges: &[LayerRange], layers: LayerRange) -> bool {
    let mut next = layers.first;
    for range in ranges {
        if range.first <= next {
            next = next.max(range.end);
        }
    }
    next >= layers.end
}

/// Route query of a request, with normal priority and without excluded engines. `model` must be the
/// pool name of the request's service.
fn query_of<'query>(
    request: &RelayRequest,
    model: &'query ModelName,
    allowed: &'query dyn EngineFilter,
) -> RouteQuery<'query> {
    let draft = request.draft.as_ref();
    RouteQuery {
        model,
        version: None,
        adapter: None,
        within: None,
        allowed,
        excluded: &[],
        prompt_tokens: draft.map_or(0, |draft| draft.prompt_tokens),
        expected_tokens: request.expected_tokens(),
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
        share: None,
        continues_answer: false,
        connected: &[],
    }
}
