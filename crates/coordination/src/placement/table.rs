//! The placement table: turns observations and targets into load orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;

use super::balance::RangeSearch;
use super::coverage::LayerCoverage;
use super::engine::{
    EngineObservation, HeldWeights, PendingLoad, PlacedEngine, PlacedKey, PlacementTarget,
    WeightsId,
};
use super::order::{LoadOrder, PlacementReport, PlacementRight, PlacementWait, UnloadPolicy};
use super::restore::{SpareEngine, find_loads};
use super::settings::PlacementSettings;
use crate::base::{FencingNumber, LayerRange, MonotonicTime, ServerName};

/// Maximum number of engines in use that are considered for one move.
const MAX_MOVE_CANDIDATES: usize = 32;

/// Time for which an engine that refused an order receives no other one: it is busy with another
/// load, which takes about as long.
pub(super) const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

/// The current order right, and when this process acquired it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldRight {
    pub(super) right: PlacementRight,
    pub(super) since: MonotonicTime,
}

/// Engines, targets of selectors, and pending orders.
///
/// Invariants: an engine has at most one pending load that this process ordered; no order removes
/// an engine from the last complete pipeline of a model.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    pub(super) settings: PlacementSettings,
    started: MonotonicTime,
    right: Option<HeldRight>,
    pub(super) engines: SlotMap<PlacedKey, PlacedEngine>,
    pub(super) by_name: BTreeMap<ServerName, PlacedKey>,
    pub(super) targets: Vec<PlacementTarget>,
    balanced_at: Option<MonotonicTime>,
    /// Ranges of a layout that are not yet ordered.
    pub(super) pending_layout: BTreeMap<PlacedKey, LayerRange>,
    /// KV memory that the last layout leaves on each engine, in tokens.
    pub(super) reserved_tokens: u64,
}

impl PlacementTable {
    /// Creates an empty table; engines announce themselves from `started` on.
    pub fn new(settings: PlacementSettings, started: MonotonicTime) -> Self {
        Self {
            settings,
            started,
            right: None,
            engines: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            targets: Vec::new(),
            balanced_at: None,
            pending_layout: BTreeMap::new(),
            reserved_tokens: 0,
        }
    }

    /// Sets the targets of selectors, the most important first.
    pub fn set_targets(&mut self, targets: Vec<PlacementTarget>) {
        self.targets = targets;
    }

    /// Acquires or renews the right; ignores a lower fencing number than the current one.
    pub fn grant(&mut self, now: MonotonicTime, right: PlacementRight) {
        let held = self
            .right
            .map_or(FencingNumber(0), |held| held.right.fencing);
        if right.fencing < held {
            return;
        }
        let since = match self.right {
            // With a renewal in time, no other process can have held the right in between.
            Some(held) if held.right.fencing == right.fencing && held.right.until >= now => {
                held.since
            }
            _ => now,
        };
        self.right = Some(HeldRight { right, since });
    }

    /// Records an observation of an engine. An ordered load is done only once it is observed here.
    pub fn observe(&mut self, observation: EngineObservation) {
        let Some(engine) = self
            .by_name
            .get(&observation.server)
            .and_then(|key| self.engines.get_mut(*key))
        else {
            self.insert(observation);
            return;
        };
        let ordered = engine.ordered.as_ref().map(|pending| &pending.load);
        if ordered.is_some() && ordered == observation.held.as_ref() {
            engine.ordered = None;
            engine.excluded_until = None;
        }
        engine.observation = observation;
    }

    /// Removes an engine with its held and pending weights.
    pub fn remove(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.remove(server) {
            self.engines.remove(key);
        }
    }

    /// Records that an engine refused an order: its pending load is dropped, and the engine is
    /// excluded for `REFUSAL_BACKOFF`.
    pub fn refused(&mut self, now: MonotonicTime, server: &ServerName) {
        let key = self.by_name.get(server);
        if let Some(engine) = key.and_then(|key| self.engines.get_mut(*key)) {
            engine.ordered = None;
            engine.excluded_until = Some(now.after(REFUSAL_BACKOFF));
        }
    }

    /// Decides which loads to order now.
    pub fn tick(&mut self, now: MonotonicTime) -> PlacementReport {
        let mut report = PlacementReport::default();
        self.expire_loads(now);
        let Some(right) = self.right.filter(|held| held.right.until > now) else {
            report.waits.push(PlacementWait::NoRight);
            return report;
        };
        let until = self.started.after(self.settings.settle);
        if now < until {
            report.waits.push(PlacementWait::Settling { until });
            return report;
        }
        self.infer_reserved_tokens(now);
        if self.continue_layout(now, right, &mut report) {
            return report;
        }
        let is_complete = self.restore(now, right, &mut report);
        if is_complete {
            self.balance(now, right, &mut report);
        }
        report
    }

    fn insert(&mut self, observation: EngineObservation) {
        let server = observation.server.clone();
        let key = self.engines.insert(PlacedEngine {
            observation,
            ordered: None,
            excluded_until: None,
        });
        self.by_name.insert(server, key);
    }

    /// Expires loads that were not observed in time. This frees their slots of the weight store and
    /// excludes their engines for a while. An engine that ignores fencing numbers may still start
    /// the load later, so it counts for a pipeline only once its weights are observed.
    fn expire_loads(&mut self, now: MonotonicTime) {
        let timeout = self.settings.load_timeout;
        for engine in self.engines.values_mut() {
            let is_late = |pending: &PendingLoad| now.since(pending.at) >= timeout;
            if engine.ordered.as_ref().is_some_and(is_late) {
                engine.ordered = None;
                engine.excluded_until = Some(now.after(timeout));
            }
        }
    }

    /// Orders the fewest loads that complete each target; returns true if all targets are complete
    /// as planned.
    fn restore(
        &mut self,
        now: MonotonicTime,
        right: HeldRight,
        report: &mut PlacementReport,
    ) -> bool {
        let mut is_complete = true;
        for target in self.targets.clone() {
            let planned = self.cover(&target, PlacedEngine::planned);
            if planned.is_complete() {
                continue;
            }
            is_complete = false;
            if let Some(draft) = target.typical_draft {
                self.restore_by_memory(now, right, &target, draft, report);
                continue;
            }
            let spares = self.find_spares(now, right, report);
            match find_loads(&planned, target.layers, &spares) {
                Ok(loads) => {
                    for load in loads {
                        self.order(now, right, load.key, &target.weights, load.layers, report);
                    }
                }
                Err(layer) => report.waits.push(PlacementWait::Blocked {
                    weights: target.weights.clone(),
                    layer,
                }),
            }
        }
        is_complete
    }

    /// Orders one load that raises the slowest layer of the target with the lowest rate per share.
    fn balance(&mut self, now: MonotonicTime, right: HeldRight, report: &mut PlacementReport) {
        let Some(target) = self.find_least_served() else {
            return;
        };
        let coverage = self.cover(&target, PlacedEngine::planned);
        let boundaries = self.find_boundaries(&target);
        let spares = self.find_spares(now, right, report);
        let free = spares.iter().find(|spare| spare.is_free);
        let may_move = free.is_none() && self.take_move_turn(now);
        let search = RangeSearch {
            coverage: &coverage,
            layers: target.layers,
            boundaries: &boundaries,
            reserved_tokens: self.reserved_tokens,
            typical_draft: target.typical_draft,
        };
        let choice = match free {
            Some(spare) => self.place_free_engine(search, spare.key),
            None if may_move => self.find_best_move(search, &target, &spares),
            None => None,
        };
        if let Some((key, layers)) = choice {
            self.order(now, right, key, &target.weights, layers, report);
        }
    }

    /// Whether the interval since the last move has passed; if so, the interval starts again. A
    /// move of an engine in use costs a load and its caches, so moves keep a minimum interval.
    fn take_move_turn(&mut self, now: MonotonicTime) -> bool {
        let interval = self.settings.balance_interval;
        let is_due = self
            .balanced_at
            .is_none_or(|last| now.since(last) >= interval);
        if is_due {
            self.balanced_at = Some(now);
        }
        is_due
    }

    fn place_free_engine(
        &self,
        search: RangeSearch<'_>,
        key: PlacedKey,
    ) -> Option<(PlacedKey, LayerRange)> {
        let choice = search.find(self.engines.get(key)?)?;
        Some((key, choice.layers))
    }

    /// Returns the best move of an engine in use, if it raises the slowest layer by at least the
    /// minimum gain.
    fn find_best_move(
        &self,
        search: RangeSearch<'_>,
        target: &PlacementTarget,
        spares: &[SpareEngine],
    ) -> Option<(PlacedKey, LayerRange)> {
        let gain = 1.0 + f64::from(self.settings.min_gain_percent) / 100.0;
        let required_rate = search.coverage.slowest().1 * gain;
        let mut best = None;
        for spare in spares.iter().take(MAX_MOVE_CANDIDATES) {
            let engine = self.engines.get(spare.key)?;
            let mut without = search.coverage.clone();
            if let Some(held) = engine
                .planned()
                .filter(|held| held.weights == target.weights)
            {
                without.remove(
                    held.layers,
                    engine.rate_over(held.layers, search.typical_draft),
                );
            }
            let search = RangeSearch {
                coverage: &without,
                ..search
            };
            let Some(choice) = search.find(engine) else {
                continue;
            };
            let is_better = best.is_none_or(|(_, other)| choice.is_better_than(&other));
            if choice.slowest >= required_rate && is_better {
                best = Some((spare.key, choice));
            }
        }
        best.map(|(key, choice)| (key, choice.layers))
    }

    fn find_least_served(&self) -> Option<PlacementTarget> {
        let rate_per_share = |target: &PlacementTarget| {
            let (_, rate) = self.cover(target, PlacedEngine::planned).slowest();
            rate / f64::from(target.share.max(1))
        };
        let compare = |a: &&PlacementTarget, b: &&PlacementTarget| {
            rate_per_share(a).total_cmp(&rate_per_share(b))
        };
        self.targets.iter().min_by(compare).cloned()
    }

    /// Layers at which ranges of the target begin or end.
    fn find_boundaries(&self, target: &PlacementTarget) -> Vec<u32> {
        let planned = self.engines.values().filter_map(PlacedEngine::planned);
        let own = planned.filter(|held| held.weights == target.weights);
        let boundaries: BTreeSet<u32> = own
            .flat_map(|held| [held.layers.first, held.layers.end])
            .collect();
        boundaries.into_iter().collect()
    }

    /// Coverage of a target by the weights that `select` returns for each engine.
    pub(super) fn cover<F>(&self, target: &PlacementTarget, select: F) -> LayerCoverage
    where
        F: Fn(&PlacedEngine) -> Option<&HeldWeights>,
    {
        let mut coverage = LayerCoverage::new(target.layers);
        for engine in self.engines.values() {
            if let Some(held) = select(engine).filter(|held| held.weights == target.weights) {
                coverage.add(
                    held.layers,
                    engine.rate_over(held.layers, target.typical_draft),
                );
            }
        }
        coverage
    }

    pub(super) fn order(
        &mut self,
        now: MonotonicTime,
        right: HeldRight,
        key: PlacedKey,
        weights: &WeightsId,
        layers: LayerRange,
        report: &mut PlacementReport,
    ) {
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.is_loading())
            .count();
        if loading >= self.settings.max_loads as usize {
            if !report.waits.contains(&PlacementWait::StoreBusy) {
                report.waits.push(PlacementWait::StoreBusy);
            }
            return;
        }
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let load = HeldWeights {
            weights: weights.clone(),
            layers,
        };
        engine.ordered = Some(PendingLoad {
            load: load.clone(),
            at: now,
        });
        let given_up = if self.pending_layout.contains_key(&key) {
            UnloadPolicy::Cut
        } else {
            UnloadPolicy::Finish
        };
        report.orders.push(LoadOrder {
            server: engine.observation.server.clone(),
            fencing: right.right.fencing,
            valid_until: right.right.until,
            load,
            given_up,
        });
    }
}
