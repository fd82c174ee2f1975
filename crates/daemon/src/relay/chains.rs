//! Chains of engines that run a draft: what the planner knows of them, and which one is taken.

mod following;
mod repair;

pub(super) use following::run_chains;
pub(super) use repair::ChainRepair;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{
    DataCentreName, Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber, ServerName,
};
use pollendrift_coordination::leases::WorkerLayers;
use pollendrift_coordination::routes::{RouteTable, SpecGeneration, SpecGenerations};
use pollendrift_coordination::routing::{
    ByteRate, DegradedLinks, DegradedSettings, EngineFilter, EngineRecord, FleetPlanner, FlightKey,
    LinkFigures, LoadFigures, LoadReport, NoRoute, NoRouteReason, RoutePlan, RoutePlanner,
    RoutePriority, RouteQuery, RoutingSettings, SurveyedEngine, TokenCount, is_complete_chain,
};
use pollendrift_dialect::StageHop;

use super::engine_estimates::{
    MEGABIT, announcement_for, pool_name, routing_settings, slowness_of,
};
use super::request::RelayRequest;
use crate::fleet::{BackendFleet, WorkerView};

/// Time between two looks at the fleet. A server that leaves is asked about right before each send
/// as well, so this only bounds how soon a new one is used. Of 98 engines a look takes 1.1 ms of a
/// host's processor, which at 100 ms was nearly all that a host with 0.12 cores did on a calm day.
const CHAIN_TICK: Duration = Duration::from_millis(200);
/// Age of what an engine tells of its load.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Prompt tokens that a waiting request counts for.
///
/// It waits for memory, not for its turn to be read: with 45 drafts of 3 s each on an engine, one ends
/// every 65 ms, in which the engine would read so many. Counted by its own 760 tokens, a full data
/// centre was predicted to answer within 30 ms and took 3 s, and all entries sent there together.
const WAITING_TOKENS: u64 = 13_000;
/// Part of the expected answer that room is asked for: over its time a draft that grows holds half
/// of it, and many drafts of all ages share an engine.
const GROWTH_PART: u32 = 2;
/// Part of the time from first to last event that counts like the wait for the first: a slow stream
/// holds memory that others wait for.
const STREAM_PART: u32 = 8;

/// A chain that was taken, and counts as running until it is ended.
#[derive(Clone, Debug)]
pub(super) struct ReservedChain {
    pub(super) plan: RoutePlan,
    pub(super) flight: FlightKey,
    pub(super) hops: Vec<StageHop>,
    /// Server of the first stage, which takes the request.
    pub(super) first: ServerName,
    /// Data centre of all its engines, where that is another than this host's.
    pub(super) remote_data_centre: Option<DataCentreName>,
}

impl ReservedChain {
    /// Servers of all stages.
    pub(super) fn servers(&self) -> impl Iterator<Item = &ServerName> {
        self.plan.stages.iter().map(|stage| &stage.server)
    }

    /// Address of a stage's server.
    pub(super) fn address_of(&self, server: &ServerName) -> Option<SocketAddr> {
        let mut stages = self.plan.stages.iter().zip(&self.hops);
        let found = stages.find(|(stage, _)| stage.server == *server);
        found.map(|(_, hop)| hop.address)
    }

    /// Server of the stage at `address`.
    pub(super) fn server_at(&self, address: SocketAddr) -> Option<&ServerName> {
        let stages = self.plan.stages.iter().zip(&self.hops);
        let mut found = stages.filter(|(_, hop)| hop.address == address);
        found.next().map(|(stage, _)| &stage.server)
    }
}

/// What the planner was told of an engine.
#[derive(Clone, Debug, PartialEq)]
struct KnownEngine {
    incarnation: Incarnation,
    layers: WorkerLayers,
    address: SocketAddr,
    /// Specification that its figures were made from.
    edition: Option<SpecGeneration>,
    /// How many times slower than its kind it is.
    slowness: u32,
}

/// Engines that hold layers, and the planner over them.
pub(super) struct ChainTable {
    planner: FleetPlanner,
    known: BTreeMap<ServerName, KnownEngine>,
    data_centre: DataCentreName,
    /// How streams over other data centres fared.
    links: DegradedLinks,
    /// Data centres with engines.
    centres: BTreeSet<DataCentreName>,
    /// Specifications that the planner's figures were made from.
    editions: SpecGenerations,
    sequence: u64,
}

impl ChainTable {
    /// A table of a host in `data_centre` that knows no engine.
    pub(super) fn new(data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            planner: FleetPlanner::new(routing_settings(), seed),
            known: BTreeMap::new(),
            data_centre,
            links: DegradedLinks::new(DegradedSettings::default()),
            centres: BTreeSet::new(),
            editions: SpecGenerations::default(),
            sequence: 0,
        }
    }

    /// Brings the planner in line with what engines announced and operators published.
    pub(super) fn sync_engines(
        &mut self,
        now: MonotonicTime,
        table: &RouteTable,
        workers: &[Arc<WorkerView>],
        fleet: &BackendFleet,
    ) {
        self.centres = workers.iter().map(|w| w.data_centre.clone()).collect();
        if self.editions.follow(table) {
            self.set_links(table, workers);
        }
        let mut held = BTreeSet::new();
        for worker in workers {
            let surveyed = fleet.surveyed(now, worker);
            if self.follow_one(now, table, worker, surveyed) {
                held.insert(worker.server.clone());
                self.report(worker, surveyed);
            }
        }
        let gone: Vec<ServerName> = self
            .known
            .keys()
            .filter(|server| !held.contains(*server))
            .cloned()
            .collect();
        for server in gone {
            self.known.remove(&server);
            self.planner.remove(&server);
        }
        self.planner.tick(now);
    }

    /// Tells the planner of one engine where it changed; false if it holds nothing to run.
    fn follow_one(
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
            edition: self.editions.get(&worker.offer.service),
            slowness: slowness_of(surveyed),
        };
        if self.known.get(&worker.server) == Some(&known) {
            return true;
        }
        self.sequence += 1;
        let sequence = SequenceNumber(self.sequence);
        let Some(announcement) = announcement_for(worker, layers, spec, sequence, known.slowness)
        else {
            log::warn!(server:% = worker.server, kind = worker.offer.kind.as_str(); "engine of a kind that is not published");
            return false;
        };
        // A life that is told anew must not look older than the one before it.
        if let Err(findings) = self.planner.announce(now, announcement) {
            log::warn!(server:% = worker.server, findings:% = findings; "engine not routed to");
            return false;
        }
        self.known.insert(worker.server.clone(), known);
        true
    }

    /// Passes on what a survey found of an engine's load.
    fn report(&mut self, worker: &WorkerView, surveyed: Option<SurveyedEngine>) {
        let Some(surveyed) = surveyed else {
            return;
        };
        let Some(load) = surveyed.load else {
            return;
        };
        self.planner.report(&LoadReport {
            server: worker.server.clone(),
            incarnation: worker.incarnation,
            sequence: SequenceNumber(surveyed.taken.as_micros()),
            taken: surveyed.taken.before(REPORT_LAG),
            figures: LoadFigures {
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
        let Some(rate) = engines.map(|spec| spec.pipe_mbps).reduce(f64::min) else {
            return;
        };
        let centres: BTreeSet<&DataCentreName> = workers.iter().map(|w| &w.data_centre).collect();
        let figures = LinkFigures {
            rate: ByteRate((rate * MEGABIT) as u64),
            latency: RoutingSettings::default().default_link.latency,
        };
        for one in &centres {
            for other in centres.iter().filter(|other| *other != one) {
                self.planner.set_link(one, other, figures);
            }
        }
    }

    /// Takes a chain for a request: the one that is predicted to end first, among those that lie in
    /// one data centre each. This data centre's own is preferred unless another is much quicker.
    ///
    /// A chain that crosses data centres carries 20 to 30 MB of activations for each request, and
    /// the pipe that all share takes about 40 of those a second; a caller's request and events are a
    /// few kilobytes. So whole requests go to another data centre, and chains cross only where none
    /// lies in one.
    pub(super) fn reserve<F, H>(
        &mut self,
        now: MonotonicTime,
        request: &RelayRequest,
        excluded: &[ServerName],
        is_resume: bool,
        may_take_work: F,
        is_healthy: H,
    ) -> Result<ReservedChain, NoRoute>
    where
        F: Fn(&ServerName) -> bool,
        H: Fn(&ServerName) -> bool,
    {
        let is_good = |engine: &EngineRecord| {
            let server = &engine.announcement.server;
            may_take_work(server) && is_healthy(server)
        };
        let model = pool_name(&request.service);
        let query = RouteQuery {
            excluded,
            // The caller of a broken stream holds a part already, which would be lost.
            priority: if is_resume {
                RoutePriority::Urgent
            } else {
                RoutePriority::Normal
            },
            ..query_of(request, &model, &is_good)
        };
        let mut best: Option<(Duration, RoutePlan, Option<DataCentreName>)> = None;
        for centre in self.centres.clone() {
            let query = RouteQuery {
                within: Some(&centre),
                ..query
            };
            let Ok(plan) = self.planner.choose(now, &query) else {
                continue;
            };
            let remote_data_centre = (centre != self.data_centre).then_some(centre);
            let penalty = remote_data_centre
                .as_ref()
                .map(|centre| self.links.penalty(now, centre));
            let stream = plan.finish.saturating_sub(plan.first_token);
            let cost = plan.first_token + stream / STREAM_PART + penalty.unwrap_or_default();
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

    /// A stream over a chain in another data centre broke its pauses.
    pub(super) fn record_late(&mut self, now: MonotonicTime, centre: &DataCentreName) {
        self.links.late(now, centre);
    }

    /// Counts a chain as running, once it is proved whole.
    ///
    /// Engines run the stages that they are named and report no chain of layers with their tokens,
    /// so a gap would go unseen, and the caller would get words of a model with layers left out.
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
            log::error!(stages:? = plan.stages; "chain with a gap was not sent");
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

    /// The first event of a running chain came.
    pub(super) fn record_first_event(&mut self, now: MonotonicTime, flight: FlightKey) {
        self.planner.first_token(now, flight);
    }

    /// A chain ended well, or its caller went away.
    pub(super) fn record_finished(&mut self, now: MonotonicTime, flight: FlightKey) {
        self.planner.finished(now, flight);
    }

    /// An engine declined a draft: it is full, whatever it last told.
    pub(super) fn record_declined(&mut self, now: MonotonicTime, server: &ServerName) {
        self.planner.declined(now, server);
    }

    /// A chain failed, by the fault of `culprit` where that is known.
    pub(super) fn record_failed(
        &mut self,
        now: MonotonicTime,
        flight: FlightKey,
        culprit: Option<&ServerName>,
    ) {
        self.planner.failed(now, flight, culprit);
    }
}

/// What a request asks of its chain; the model is its service's, and no engine is excluded.
fn query_of<'query>(
    request: &RelayRequest,
    model: &'query ModelName,
    allowed: &'query dyn EngineFilter,
) -> RouteQuery<'query> {
    let draft = request.draft.as_ref();
    let expected = draft.map_or(1, |draft| {
        draft.expected_tokens.unwrap_or(draft.answer_tokens)
    });
    RouteQuery {
        model,
        version: None,
        adapter: None,
        within: None,
        allowed,
        excluded: &[],
        prompt_tokens: draft.map_or(0, |draft| draft.prompt_tokens),
        expected_tokens: (expected / GROWTH_PART).max(1),
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
    }
}
