//! Placement of layers on the engines of published services.
//!
//! Each data centre gets a placement of its own, so that it can serve its own callers: a chain that
//! crosses data centres costs more on the link between them than it can save. This module places
//! layers for published routes; `crate::placement` places them for selectors.

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
    EngineMemory, EngineObservation, HeldWeights, LoadOrder, PlacementSettings, PlacementTable,
    PlacementTarget, TypicalDraft, WeightsId,
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
use crate::placement::OrderRightRenewer;

/// Time between two ticks of the placer.
const PLACEMENT_TICK: Duration = Duration::from_millis(200);
/// Time between two looks at the fleet by a host without the order right. It only surveys the
/// engines of its area, and needs pools that are roughly current when it gets the right.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for an engine's answer to an order or a state query.
const LOAD_ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive unanswered probes after which an engine is considered lost. A single probe or its
/// answer may get lost on the network.
const LOST_PROBES: u32 = 2;
/// Largest body of an answer to an order or a probe, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Typical drafts for which an engine must have KV memory beside its layers to be useful in a
/// chain: with less it would decline most requests.
const MIN_DRAFTS: u64 = 16;
/// Bytes in a megabyte, as operators publish them.
const MEGABYTE: f64 = 1e6;
/// Version of all weights in placement; engines announce no version before they hold layers.
const PLACED_VERSION: &str = "published";

/// Dependencies of the placer.
pub(crate) struct PlacerParts {
    pub(crate) host: HostName,
    pub(crate) lease: Duration,
    pub(crate) context: Arc<RelayContext>,
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) hub: PeerHub,
    pub(crate) broadcaster: Arc<LeaseBroadcaster>,
}

/// Surveys engines and places layers on them every [`PLACEMENT_TICK`] until the process ends.
pub(crate) async fn run_placer(parts: PlacerParts) {
    let mut placer = LayerPlacer::new(parts);
    let mut ticks = interval(PLACEMENT_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        placer.tick().await;
    }
}

/// Key of a pool: the engines of one service in one data centre.
type PoolKey = (ServiceName, DataCentreName);

struct LayerPlacer {
    parts: PlacerParts,
    right: OrderRightRenewer,
    pools: BTreeMap<PoolKey, EnginePool>,
    orders: BTreeMap<ServerName, OrderCount>,
    client: ConnectionPool,
    /// End of this host's order right, the permission to send orders to engines, on its own clock.
    right_until: MonotonicTime,
    /// Time of the last update of the pools.
    updated_at: MonotonicTime,
    surveyed_at: MonotonicTime,
    /// Consecutive probes by this host that each engine left unanswered.
    unanswered: BTreeMap<ServerName, u32>,
}

struct EnginePool {
    table: PlacementTable,
    weights: WeightsId,
    /// Engines of the pool, with the number of the last update in which each was there.
    servers: BTreeMap<ServerName, u64>,
    /// Number of the last update.
    update: u64,
    /// Engines that were there in the last update.
    present: usize,
}

/// Number of orders that an engine has accepted in its current incarnation.
#[derive(Clone, Copy)]
struct OrderCount {
    incarnation: Incarnation,
    /// `None` if the engine must be queried for it.
    accepted: Option<SequenceNumber>,
}

impl LayerPlacer {
    fn new(parts: PlacerParts) -> Self {
        let right = OrderRightRenewer::new(parts.host.clone(), parts.lease);
        Self {
            parts,
            right,
            pools: BTreeMap::new(),
            orders: BTreeMap::new(),
            client: ConnectionPool::new(PoolSettings::default(), since_boot),
            right_until: MonotonicTime::START,
            updated_at: MonotonicTime::START,
            surveyed_at: MonotonicTime::START,
            unanswered: BTreeMap::new(),
        }
    }

    async fn tick(&mut self) {
        let context = Arc::clone(&self.parts.context);
        let Ok(table) = context.routes.current(context.clock.now()) else {
            return;
        };
        let right = self
            .right
            .renew_if_due(self.parts.agreed.as_ref(), context.clock.as_ref())
            .await;
        if let Some(right) = right {
            self.right_until = right.until;
        }
        let now = context.clock.now();
        if now >= self.right_until && now.since(self.updated_at) < IDLE_INTERVAL {
            return;
        }
        self.updated_at = now;
        let workers = context.fleet.workers(now);
        self.survey(&workers).await;
        let workers: Vec<Arc<WorkerView>> = workers
            .into_iter()
            .filter(|worker| !self.is_lost(worker))
            .collect();
        self.update_pools(&table, &workers);
        let now = context.clock.now();
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

    /// Probes engines for their state: those in this host's area once per survey period and, while
    /// this host holds the order right, those that did not answer their latest probe.
    ///
    /// A keeper that can't reach an engine does not prove that the engine is lost. Its layers are
    /// placed elsewhere only if the keeper that orders engines gets no answer either.
    async fn survey(&mut self, workers: &[Arc<WorkerView>]) {
        let context = Arc::clone(&self.parts.context);
        let now = context.clock.now();
        let area = context.fleet.own_and_followers(workers);
        let mut probed = Vec::new();
        if now < self.right_until {
            let own_area: BTreeSet<&ServerName> =
                area.iter().map(|worker| &worker.server).collect();
            let others = workers.iter().filter(|w| !own_area.contains(&w.server));
            probed.extend(others.filter(|w| self.missed_latest_probe(now, w)).cloned());
        }
        if now.since(self.surveyed_at) >= survey_period(area.len()) {
            self.surveyed_at = now;
            probed.extend(area);
        }
        if probed.is_empty() {
            return;
        }
        let results = survey(&context, self.parts.hub.work(), &self.client, &probed).await;
        let hub = &self.parts.hub;
        self.parts.broadcaster.broadcast_survey(hub, &results);
        for result in &results {
            match result.load {
                Some(_) => {
                    // `questions` in the log line is the number of unanswered probes.
                    let missed = self.unanswered.remove(&result.server).unwrap_or_default();
                    if missed >= LOST_PROBES {
                        log::info!(server:% = result.server, questions = missed; "engine answers probes again");
                    }
                }
                None => {
                    let missed = self.unanswered.entry(result.server.clone()).or_default();
                    *missed += 1;
                    if *missed == LOST_PROBES {
                        log::warn!(server:% = result.server, questions = *missed; "engine considered lost: consecutive probes without an answer");
                    }
                }
            }
        }
        context.fleet.merge_survey(context.clock.now(), results);
    }

    /// Whether an engine did not answer its latest probe by this host or another keeper.
    fn missed_latest_probe(&self, now: MonotonicTime, worker: &WorkerView) -> bool {
        let surveyed = self.parts.context.fleet.surveyed(now, worker);
        surveyed.is_some_and(|surveyed| surveyed.missed > 0)
    }

    /// Whether an engine is lost although its lease is still valid. Its layers are placed elsewhere
    /// at once: a crashed engine sends no notice, and its lease stays valid for seconds during
    /// which the data centre might have no complete chain.
    fn is_lost(&self, worker: &WorkerView) -> bool {
        let missed = self.unanswered.get(&worker.server);
        missed.is_some_and(|missed| *missed >= LOST_PROBES)
    }

    /// Updates the pools from published services and announced engines.
    fn update_pools(&mut self, table: &RouteTable, workers: &[Arc<WorkerView>]) {
        let now = self.parts.context.clock.now();
        for pool in self.pools.values_mut() {
            pool.begin_update();
        }
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
            pool.observe(worker, spec, kind);
        }
        for pool in self.pools.values_mut() {
            pool.end_update();
        }
    }

    async fn send(&mut self, worker: &WorkerView, order: &LoadOrder) {
        let context = &self.parts.context;
        if context.has_back_off(context.clock.now(), &worker.server) {
            log::info!(server:% = worker.server; "order not sent: the engine asked this host to back off");
            return;
        }
        let Some(expected) = self.accepted_orders(worker).await else {
            return;
        };
        let place = PlaceOrder {
            layers: order.load.layers,
            given_up: order.given_up,
            fencing: order.fencing,
            expected: Some(expected),
        };
        // Checks the right again just before the order is sent: a process that was paused since its
        // decision could otherwise send an order after another host got the right.
        if self.parts.context.clock.now() >= order.valid_until {
            return;
        }
        let dialect = Arc::clone(&self.parts.context.dialect.servers);
        let request = dialect.write_order(&worker.server, &place);
        let status = match self.call(worker, request).await {
            Ok((status, _)) => status,
            Err(reason) => {
                self.invalidate_count(worker);
                log::warn!(server:% = worker.server, layers:% = place.layers, reason = reason.as_str(); "no answer of the engine to an order");
                return;
            }
        };
        let outcome = dialect.read_order(status);
        match outcome {
            OrderOutcome::Started => self.set_count(worker, expected.next()),
            OrderOutcome::AlreadyLoaded => {}
            _ => {
                self.invalidate_count(worker);
                self.record_refused(worker);
            }
        }
        log::info!(server:% = worker.server, layers:% = place.layers, given_up:% = place.given_up, fencing:% = order.fencing, outcome = outcome_name(outcome); "engine ordered");
    }

    fn record_refused(&mut self, worker: &WorkerView) {
        let now = self.parts.context.clock.now();
        let key = (worker.offer.service.clone(), worker.data_centre.clone());
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.table.refused(now, &worker.server);
        }
    }

    /// Number of orders that the engine has accepted. Queries the engine if the number is not
    /// known; `None` if that fails.
    async fn accepted_orders(&mut self, worker: &WorkerView) -> Option<SequenceNumber> {
        let known = self.orders.get(&worker.server).copied();
        let known = known.filter(|count| count.incarnation == worker.incarnation);
        match known {
            Some(OrderCount {
                accepted: Some(accepted),
                ..
            }) => return Some(accepted),
            // An engine that holds no layers has probably accepted no order. If it has, it refuses
            // the order, and the next one queries the count.
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
                log::warn!(server:% = worker.server, reason = reason.as_str(); "query of the engine's state failed");
                None
            }
        }
    }

    async fn call(
        &self,
        worker: &WorkerView,
        request: Request<Bytes>,
    ) -> Result<(http::StatusCode, Bytes), String> {
        let receiver = self.parts.context.receiver(&worker.server);
        let exchange = async {
            let request = request.map(Full::new);
            let answer = self.client.send(worker.address, request).await;
            let answer = answer.map_err(|error| error.to_string())?;
            let (parts, mut body) = answer.into_parts();
            let head = self.parts.context.dialect.servers.read(&parts);
            self.parts.context.apply_probe_statements(&receiver, &head);
            let reply = read_bounded(&mut body, MAX_REPLY_BYTES).await;
            let reply = reply.map_err(|error| error.to_string())?;
            body.return_to_pool(&parts.headers);
            Ok((parts.status, reply))
        };
        timeout(LOAD_ORDER_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }

    fn set_count(&mut self, worker: &WorkerView, accepted: SequenceNumber) {
        let count = OrderCount {
            incarnation: worker.incarnation,
            accepted: Some(accepted),
        };
        self.orders.insert(worker.server.clone(), count);
    }

    fn invalidate_count(&mut self, worker: &WorkerView) {
        let count = OrderCount {
            incarnation: worker.incarnation,
            accepted: None,
        };
        self.orders.insert(worker.server.clone(), count);
    }
}

impl EnginePool {
    fn new(service: &ServiceName, spec: &EngineSpec, now: MonotonicTime) -> Self {
        let mut table = PlacementTable::new(placement_settings(spec), now);
        let weights = weights_of(service);
        table.set_targets(vec![PlacementTarget {
            weights: weights.clone(),
            layers: spec.layers,
            share: 1,
            typical_draft: Some(typical_draft(spec)),
        }]);
        Self {
            table,
            weights,
            servers: BTreeMap::new(),
            update: 0,
            present: 0,
        }
    }

    fn begin_update(&mut self) {
        self.update += 1;
        self.present = 0;
    }

    fn observe(&mut self, worker: &WorkerView, spec: &EngineSpec, kind: &AcceleratorSpec) {
        self.table
            .observe(observe(worker, &self.weights, spec, kind));
        self.present += 1;
        match self.servers.get_mut(&worker.server) {
            Some(update) => *update = self.update,
            None => {
                self.servers.insert(worker.server.clone(), self.update);
            }
        }
    }

    /// Removes the engines that were not observed since [`EnginePool::begin_update`].
    fn end_update(&mut self) {
        if self.present == self.servers.len() {
            return;
        }
        let (table, current) = (&mut self.table, self.update);
        self.servers.retain(|server, update| {
            let is_present = *update == current;
            if !is_present {
                table.remove(server);
            }
            is_present
        });
    }
}

/// Name of an order's outcome in log lines.
fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Started => "load started",
        OrderOutcome::AlreadyLoaded => "already loaded",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::WrongServer => "wrong server",
        OrderOutcome::Refused => "refused",
    }
}

/// Weights under which the layers of a service are placed.
fn weights_of(service: &ServiceName) -> WeightsId {
    WeightsId {
        model: ModelName::from(service.as_str()),
        version: VersionName::from(PLACED_VERSION),
    }
}

fn observe(
    worker: &WorkerView,
    weights: &WeightsId,
    spec: &EngineSpec,
    kind: &AcceleratorSpec,
) -> EngineObservation {
    let held = worker.offer.layers.as_ref().map(|layers| HeldWeights {
        weights: weights.clone(),
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

/// Memory of an engine of a kind in bytes: in total, for a layer, and for a token on a layer.
fn memory_of(spec: &EngineSpec, kind: &AcceleratorSpec) -> EngineMemory {
    let token = spec.kv_bytes / f64::from(spec.layers.max(1));
    EngineMemory {
        total: (kind.memory_mb * MEGABYTE) as u64,
        layer: (spec.layer_mb * MEGABYTE).ceil() as u64,
        token: (token.ceil() as u64).max(1),
    }
}

/// Load of a typical draft, from the published service specification.
fn typical_draft(spec: &EngineSpec) -> TypicalDraft {
    let context =
        f64::from(spec.typical_prompt_tokens) + f64::from(spec.typical_answer_tokens) / 2.0;
    let each = spec.step_per_request.as_secs_f64()
        + spec.step_per_context.as_secs_f64() * context / 1_000.0;
    let growth = each / spec.step.as_secs_f64().max(1e-9);
    TypicalDraft {
        prompt: spec.typical_prompt_tokens,
        answer: spec.typical_answer_tokens,
        step_growth_ppm: (growth * 1e6) as u32,
    }
}

/// Maximum number of layers beside which an engine has KV memory for [`MIN_DRAFTS`] typical drafts.
fn max_layers_beside(spec: &EngineSpec, memory: EngineMemory) -> u32 {
    let draft = u64::from(spec.typical_prompt_tokens) + u64::from(spec.typical_answer_tokens);
    memory
        .max_layers_beside(draft * MIN_DRAFTS)
        .min(spec.layers)
}

/// Decode steps per second of an engine that holds a single layer.
fn layer_rate(spec: &EngineSpec, kind: &AcceleratorSpec) -> u32 {
    let step = spec.step.as_secs_f64() * kind.step_time_factor / f64::from(spec.layers.max(1));
    (1.0 / step.max(1e-9)) as u32
}

fn placement_settings(spec: &EngineSpec) -> PlacementSettings {
    PlacementSettings {
        // Two heartbeat periods of an engine: within them all running engines announce themselves.
        settle: Duration::from_millis(2_500),
        unfenced_wait: Duration::ZERO,
        max_loads: spec.max_concurrent_loads.saturating_mul(2),
        load_timeout: spec.load.max(Duration::from_secs(4)),
        // Moving layers between engines in use requires loading weights again and only balances
        // rates, so it is done rarely.
        balance_interval: Duration::from_secs(3_600),
        ..PlacementSettings::default()
    }
}
