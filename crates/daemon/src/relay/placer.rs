//! Placement of layers on the engines of published services.
//!
//! Each data centre is placed by itself, so that it serves its own callers: a chain that crosses
//! data centres costs more on the pipe between them than anything that it could save.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use pollendrift_coordination::base::{
    DataCentreName, HostName, Incarnation, ModelName, MonotonicTime, SequenceNumber, ServerName,
    ServiceName, VersionName,
};
use pollendrift_coordination::placement::{
    DraftLoad, EngineMemory, EngineObservation, HeldWeights, LoadOrder, PlacementSettings,
    PlacementTable, PlacementTarget, WeightsId,
};
use pollendrift_coordination::routes::{AcceleratorSpec, EngineSpec, RouteTable};
use pollendrift_dialect::{OrderOutcome, PlaceOrder, ServerDialect};
use pollendrift_http::{ConnectionPool, PoolSettings, read_bounded};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::context::RelayContext;
use super::survey::{survey, survey_period};
use crate::agreed::AgreedState;
use crate::clock::since_boot;
use crate::fleet::WorkerView;
use crate::lease_broadcast::LeaseBroadcaster;
use crate::peers::PeerHub;
use crate::placement::RightKeeper;

/// Time between two ticks.
const PLACE_TICK: Duration = Duration::from_millis(200);
/// Longest wait for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Questions in a row without an answer after which an engine is taken for lost. One may be lost on
/// the way.
const LOST_QUESTIONS: u32 = 2;
/// Largest answer to an order or a question.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Usual drafts for which an engine must have request memory beside its layers, to be of use in a
/// chain: with less it would decline most of what it is sent.
const LEAST_DRAFTS: u64 = 16;
/// Bytes in a megabyte, as operators publish them.
const MEGABYTE: f64 = 1e6;
/// Version under which published layers are placed; engines name none before they hold some.
const PLACED_VERSION: &str = "published";

/// What the placer works with.
pub(crate) struct PlacerParts {
    pub(crate) host: HostName,
    pub(crate) lease: Duration,
    pub(crate) context: Arc<RelayContext>,
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) hub: PeerHub,
    pub(crate) broadcaster: Arc<LeaseBroadcaster>,
}

/// Places layers for as long as the process lives.
pub(crate) async fn run_placer(parts: PlacerParts) {
    let mut placer = LayerPlacer::new(parts);
    let mut ticks = interval(PLACE_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        placer.tick().await;
    }
}

/// A pool of engines that hold one model together.
type PoolKey = (ServiceName, DataCentreName);

struct LayerPlacer {
    parts: PlacerParts,
    right: RightKeeper,
    pools: BTreeMap<PoolKey, EnginePool>,
    orders: BTreeMap<ServerName, OrderCount>,
    client: ConnectionPool,
    /// End of the right to order engines, on this host's clock.
    right_until: MonotonicTime,
    surveyed_at: MonotonicTime,
    /// Questions of this host in a row that an engine left unanswered.
    unanswered: BTreeMap<ServerName, u32>,
}

struct EnginePool {
    table: PlacementTable,
    seen: BTreeSet<ServerName>,
}

/// Orders that an engine has taken in its present life.
#[derive(Clone, Copy)]
struct OrderCount {
    incarnation: Incarnation,
    /// `None` where it must be asked for.
    taken: Option<SequenceNumber>,
}

impl LayerPlacer {
    fn new(parts: PlacerParts) -> Self {
        let right = RightKeeper::new(parts.host.clone(), parts.lease);
        Self {
            parts,
            right,
            pools: BTreeMap::new(),
            orders: BTreeMap::new(),
            client: ConnectionPool::new(PoolSettings::default(), since_boot),
            right_until: MonotonicTime::START,
            surveyed_at: MonotonicTime::START,
            unanswered: BTreeMap::new(),
        }
    }

    async fn tick(&mut self) {
        let context = Arc::clone(&self.parts.context);
        let Ok(table) = context.routes.current(context.clock.now()) else {
            return;
        };
        let workers = context.fleet.workers(context.clock.now());
        self.survey(&workers).await;
        let workers: Vec<Arc<WorkerView>> = workers
            .into_iter()
            .filter(|worker| !self.is_lost(worker))
            .collect();
        self.look(&table, &workers);
        let right = self
            .right
            .keep(self.parts.agreed.as_ref(), context.clock.as_ref())
            .await;
        let now = context.clock.now();
        if let Some(right) = right {
            self.right_until = right.until;
        }
        let mut orders = Vec::new();
        for pool in self.pools.values_mut() {
            if let Some(right) = right {
                pool.table.grant(now, right);
            }
            orders.extend(pool.table.tick(now).orders);
        }
        for order in orders {
            let worker = workers.iter().find(|worker| worker.server == order.server);
            if let Some(worker) = worker {
                self.send(worker, &order).await;
            }
        }
    }

    /// Asks engines for their state: those of this host's area when it is time, and where it holds the right
    /// to order engines, those that another keeper had no answer of.
    ///
    /// A keeper that can't reach an engine is no proof that the engine is lost; its layers are placed
    /// elsewhere only once the one that orders them had no answer either.
    async fn survey(&mut self, workers: &[Arc<WorkerView>]) {
        let context = Arc::clone(&self.parts.context);
        let now = context.clock.now();
        let area = context.fleet.in_area(workers);
        let mut asked = Vec::new();
        if now < self.right_until {
            let mine: BTreeSet<&ServerName> = area.iter().map(|worker| &worker.server).collect();
            let others = workers.iter().filter(|w| !mine.contains(&w.server));
            asked.extend(others.filter(|w| self.is_doubtful(now, w)).cloned());
        }
        if now.since(self.surveyed_at) >= survey_period(area.len()) {
            self.surveyed_at = now;
            asked.extend(area);
        }
        if asked.is_empty() {
            return;
        }
        let notes = survey(&context, &self.client, &asked).await;
        let hub = &self.parts.hub;
        self.parts.broadcaster.broadcast_survey(hub, &notes);
        for note in &notes {
            match note.load {
                Some(_) => {
                    let missed = self.unanswered.remove(&note.server).unwrap_or_default();
                    if missed >= LOST_QUESTIONS {
                        log::info!(server:% = note.server, questions = missed; "engine answers again");
                    }
                }
                None => {
                    let missed = self.unanswered.entry(note.server.clone()).or_default();
                    *missed += 1;
                    if *missed == LOST_QUESTIONS {
                        log::warn!(server:% = note.server, questions = *missed; "engine taken for lost");
                    }
                }
            }
        }
        context.fleet.take_survey(context.clock.now(), notes);
    }

    /// Whether another keeper had no answer of an engine, or this host had none before.
    fn is_doubtful(&self, now: MonotonicTime, worker: &WorkerView) -> bool {
        let surveyed = self.parts.context.fleet.surveyed(now, worker);
        surveyed.is_some_and(|surveyed| surveyed.missed > 0)
    }

    /// Whether an engine that still has its lease is gone. Its layers are placed elsewhere at once:
    /// a crash sends nothing, and the lease runs on for seconds in which a data centre would have no
    /// whole chain.
    fn is_lost(&self, worker: &WorkerView) -> bool {
        let missed = self.unanswered.get(&worker.server);
        missed.is_some_and(|missed| *missed >= LOST_QUESTIONS)
    }

    /// Takes what operators published and engines announced.
    fn look(&mut self, table: &RouteTable, workers: &[Arc<WorkerView>]) {
        let now = self.parts.context.clock.now();
        let mut seen: BTreeMap<PoolKey, BTreeSet<ServerName>> = BTreeMap::new();
        for worker in workers {
            let service = table.service_named(&worker.offer.service);
            let Some(spec) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let Some(kind) = spec.kind(&worker.offer.kind) else {
                continue;
            };
            let key = (worker.offer.service.clone(), worker.data_centre.clone());
            let pool = self
                .pools
                .entry(key.clone())
                .or_insert_with(|| EnginePool::new(&key.0, spec, now));
            pool.table.observe(observe(worker, spec, kind));
            seen.entry(key).or_default().insert(worker.server.clone());
        }
        for (key, pool) in &mut self.pools {
            let here = seen.remove(key).unwrap_or_default();
            for gone in pool.seen.difference(&here) {
                pool.table.remove(gone);
            }
            pool.seen = here;
        }
    }

    async fn send(&mut self, worker: &WorkerView, order: &LoadOrder) {
        let Some(expected) = self.orders_taken(worker).await else {
            return;
        };
        let place = PlaceOrder {
            layers: order.load.layers,
            given_up: order.given_up,
            fencing: order.fencing,
            expected: Some(expected),
        };
        // Checked right before the order is written: a process that was paused since it decided
        // would else order in place of its successor.
        if self.parts.context.clock.now() >= order.valid_until {
            return;
        }
        let dialect = Arc::clone(&self.parts.context.dialect.servers);
        let request = dialect.write_order(&worker.server, &place);
        let status = match self.call(worker, request).await {
            Ok((status, _)) => status,
            Err(reason) => {
                self.forget_count(worker);
                log::warn!(server:% = worker.server, layers:% = place.layers, reason = reason.as_str(); "order without an answer");
                return;
            }
        };
        let outcome = dialect.read_order(status);
        match outcome {
            OrderOutcome::Begun => self.set_count(worker, expected.next()),
            OrderOutcome::Holds => {}
            _ => {
                self.forget_count(worker);
                self.note_refused(worker);
            }
        }
        log::info!(server:% = worker.server, layers:% = place.layers, given_up:% = place.given_up, fencing:% = order.fencing, outcome:? = outcome; "engine ordered");
    }

    fn note_refused(&mut self, worker: &WorkerView) {
        let now = self.parts.context.clock.now();
        let key = (worker.offer.service.clone(), worker.data_centre.clone());
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.table.refused(now, &worker.server);
        }
    }

    /// Orders that the engine has taken: none in a life that was seen from its start, else asked.
    async fn orders_taken(&mut self, worker: &WorkerView) -> Option<SequenceNumber> {
        let known = self.orders.get(&worker.server).copied();
        let known = known.filter(|count| count.incarnation == worker.incarnation);
        match known {
            Some(OrderCount {
                taken: Some(taken), ..
            }) => return Some(taken),
            // An engine that holds nothing has taken nothing, as far as anyone can tell; where it
            // has, the order is refused and the count asked for.
            None if worker.offer.layers.is_none() => return Some(SequenceNumber(0)),
            _ => {}
        }
        let dialect: Arc<dyn ServerDialect> = Arc::clone(&self.parts.context.dialect.servers);
        match self.call(worker, dialect.write_report()).await {
            Ok((_, body)) => {
                let report = dialect.read_report(&body)?;
                self.set_count(worker, report.orders);
                Some(report.orders)
            }
            Err(reason) => {
                log::warn!(server:% = worker.server, reason = reason.as_str(); "engine does not tell its state");
                None
            }
        }
    }

    async fn call(
        &self,
        worker: &WorkerView,
        request: Request<Bytes>,
    ) -> Result<(http::StatusCode, Bytes), String> {
        let calling = async {
            let request = request.map(Full::new);
            let answer = self.client.send(worker.address, request).await;
            let answer = answer.map_err(|error| error.to_string())?;
            let (parts, body) = answer.response.into_parts();
            let body = read_bounded(body, MAX_REPLY_BYTES).await;
            let body = body.map_err(|error| error.to_string())?;
            answer.connection.keep(&parts.headers);
            Ok((parts.status, body))
        };
        timeout(ORDER_TIMEOUT, calling)
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }

    fn set_count(&mut self, worker: &WorkerView, taken: SequenceNumber) {
        let count = OrderCount {
            incarnation: worker.incarnation,
            taken: Some(taken),
        };
        self.orders.insert(worker.server.clone(), count);
    }

    fn forget_count(&mut self, worker: &WorkerView) {
        let count = OrderCount {
            incarnation: worker.incarnation,
            taken: None,
        };
        self.orders.insert(worker.server.clone(), count);
    }
}

impl EnginePool {
    fn new(service: &ServiceName, spec: &EngineSpec, now: MonotonicTime) -> Self {
        let mut table = PlacementTable::new(placement_settings(spec), now);
        table.set_targets(vec![PlacementTarget {
            weights: weights_of(service),
            layers: spec.layers,
            share: 1,
            load: Some(usual_draft(spec)),
        }]);
        Self {
            table,
            seen: BTreeSet::new(),
        }
    }
}

fn weights_of(service: &ServiceName) -> WeightsId {
    WeightsId {
        model: ModelName::from(service.as_str()),
        version: VersionName::from(PLACED_VERSION),
    }
}

fn observe(worker: &WorkerView, spec: &EngineSpec, kind: &AcceleratorSpec) -> EngineObservation {
    let held = worker.offer.layers.as_ref().map(|layers| HeldWeights {
        weights: weights_of(&worker.offer.service),
        layers: layers.range,
    });
    let memory = memory_of(spec, kind);
    EngineObservation {
        server: worker.server.clone(),
        max_layers: max_layers_beside(spec, memory),
        layer_rate: layer_rate(spec, kind),
        memory: Some(memory),
        checks_fencing: worker.checks_fencing,
        held,
        loading: None,
    }
}

/// Memory of an engine of a kind.
fn memory_of(spec: &EngineSpec, kind: &AcceleratorSpec) -> EngineMemory {
    let token = spec.kv_bytes / f64::from(spec.layers.max(1));
    EngineMemory {
        total: (kind.memory_mb * MEGABYTE) as u64,
        layer: (spec.layer_mb * MEGABYTE).ceil() as u64,
        token: (token.ceil() as u64).max(1),
    }
}

/// What operators published of the usual draft.
fn usual_draft(spec: &EngineSpec) -> DraftLoad {
    let context = f64::from(spec.usual_prompt) + f64::from(spec.usual_answer) / 2.0;
    let each = spec.step_per_request.as_secs_f64()
        + spec.step_per_context.as_secs_f64() * context / 1_000.0;
    let growth = each / spec.step.as_secs_f64().max(1e-9);
    DraftLoad {
        prompt: spec.usual_prompt,
        answer: spec.usual_answer,
        step_growth_ppm: (growth * 1e6) as u32,
    }
}

/// Most layers that leave an engine request memory for [`LEAST_DRAFTS`].
fn max_layers_beside(spec: &EngineSpec, memory: EngineMemory) -> u32 {
    let draft = u64::from(spec.usual_prompt) + u64::from(spec.usual_answer);
    memory
        .max_layers_beside(draft * LEAST_DRAFTS)
        .min(spec.layers)
}

/// Steps a second over a single layer.
fn layer_rate(spec: &EngineSpec, kind: &AcceleratorSpec) -> u32 {
    let step = spec.step.as_secs_f64() * kind.step_pace / f64::from(spec.layers.max(1));
    (1.0 / step.max(1e-9)) as u32
}

fn placement_settings(spec: &EngineSpec) -> PlacementSettings {
    PlacementSettings {
        // Two heartbeats of an engine: all that are there have announced themselves.
        settle: Duration::from_millis(2_500),
        unfenced_wait: Duration::ZERO,
        max_loads: spec.loads_at_once.saturating_mul(2),
        load_timeout: spec.load.max(Duration::from_secs(4)),
        // Moves of engines in use cost loads while they even out rates only.
        balance_interval: Duration::from_secs(3_600),
        ..PlacementSettings::default()
    }
}
