//! The placement table: observations and targets in, orders out.

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

/// Engines in use that are weighed for one move.
const MAX_MOVES: usize = 32;

/// Time for which an engine that refused an order is left alone: it is busy with another one, which
/// takes about as long.
pub(super) const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// A right in force, and since when.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldRight {
    pub(super) right: PlacementRight,
    pub(super) since: MonotonicTime,
}

/// Engines, what selectors want on them, and what was ordered.
///
/// Invariants: an engine has at most one load under way that this process ordered; no order takes
/// an engine away from the last whole pipeline of a model.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    pub(super) settings: PlacementSettings,
    started: MonotonicTime,
    right: Option<HeldRight>,
    pub(super) engines: SlotMap<PlacedKey, PlacedEngine>,
    pub(super) by_name: BTreeMap<ServerName, PlacedKey>,
    pub(super) targets: Vec<PlacementTarget>,
    balanced: Option<MonotonicTime>,
    /// Ranges of a layout that are still to be ordered.
    pub(super) pending_layout: BTreeMap<PlacedKey, LayerRange>,
    /// Request memory that the last layout leaves each engine, in tokens.
    pub(super) reserved_tokens: u64,
}

impl PlacementTable {
    /// A table that begins to see engines at `started`.
    pub fn new(settings: PlacementSettings, started: MonotonicTime) -> Self {
        Self {
            settings,
            started,
            right: None,
            engines: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            targets: Vec::new(),
            balanced: None,
            pending_layout: BTreeMap::new(),
            reserved_tokens: 0,
        }
    }

    /// Sets what selectors want, the most important first.
    pub fn set_targets(&mut self, targets: Vec<PlacementTarget>) {
        self.targets = targets;
    }

    /// Takes or renews the right. A number lower than the one held changes nothing.
    pub fn grant(&mut self, now: MonotonicTime, right: PlacementRight) {
        let held = self
            .right
            .map_or(FencingNumber(0), |held| held.right.fencing);
        if right.fencing < held {
            return;
        }
        let since = match self.right {
            // Renewed in time, no one else can have had the right meanwhile.
            Some(held) if held.right.fencing == right.fencing && held.right.until >= now => {
                held.since
            }
            _ => now,
        };
        self.right = Some(HeldRight { right, since });
    }

    /// Takes what an engine was seen to hold. A load counts as done only when it is seen here.
    pub fn observe(&mut self, seen: EngineObservation) {
        let Some(engine) = self
            .by_name
            .get(&seen.server)
            .and_then(|key| self.engines.get_mut(*key))
        else {
            self.insert(seen);
            return;
        };
        let ordered = engine.ordered.as_ref().map(|pending| &pending.load);
        if ordered.is_some() && ordered == seen.held.as_ref() {
            engine.ordered = None;
            engine.excluded_until = None;
        }
        engine.seen = seen;
    }

    /// An engine is gone, with what it held and was loading.
    pub fn remove(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.remove(server) {
            self.engines.remove(key);
        }
    }

    /// An engine refused an order: it loads nothing, and is ordered again after a short while.
    pub fn refused(&mut self, now: MonotonicTime, server: &ServerName) {
        let key = self.by_name.get(server);
        if let Some(engine) = key.and_then(|key| self.engines.get_mut(*key)) {
            engine.ordered = None;
            engine.excluded_until = Some(now.after(REFUSED_PAUSE));
        }
    }

    /// Decides what to order now.
    pub fn tick(&mut self, now: MonotonicTime) -> PlacementReport {
        let mut report = PlacementReport::default();
        self.expire_loads(now);
        let Some(held) = self.right.filter(|held| held.right.until > now) else {
            report.waits.push(PlacementWait::NoRight);
            return report;
        };
        let until = self.started.after(self.settings.settle);
        if now < until {
            report.waits.push(PlacementWait::Settling { until });
            return report;
        }
        self.infer_reserved_tokens(now);
        if self.continue_layout(now, held, &mut report) {
            return report;
        }
        let is_complete = self.restore(now, held, &mut report);
        if is_complete {
            self.balance(now, held, &mut report);
        }
        report
    }

    fn insert(&mut self, seen: EngineObservation) {
        let server = seen.server.clone();
        let key = self.engines.insert(PlacedEngine {
            seen,
            ordered: None,
            excluded_until: None,
        });
        self.by_name.insert(server, key);
    }

    /// Loads not seen in time free the store; their engines are left out for a while. One that
    /// ignores fencing numbers may still begin the load later, so what it holds is only believed
    /// when it is seen, and until then it is not counted for any pipeline.
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

    /// Orders the fewest loads that make each target whole; true if all are whole as planned.
    fn restore(
        &mut self,
        now: MonotonicTime,
        held: HeldRight,
        report: &mut PlacementReport,
    ) -> bool {
        let mut is_complete = true;
        for target in self.targets.clone() {
            let planned = self.cover(&target, PlacedEngine::planned);
            if planned.is_complete() {
                continue;
            }
            is_complete = false;
            if let Some(load) = target.load {
                self.restore_by_memory(now, held, &target, load, report);
                continue;
            }
            let spares = self.find_spares(now, held, report);
            match find_loads(&planned, target.layers, &spares) {
                Ok(loads) => {
                    for load in loads {
                        self.order(now, held, load.key, &target.weights, load.layers, report);
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

    /// Orders one load that raises the slowest layer of the target that is served least.
    fn balance(&mut self, now: MonotonicTime, held: HeldRight, report: &mut PlacementReport) {
        let Some(target) = self.find_neediest() else {
            return;
        };
        let coverage = self.cover(&target, PlacedEngine::planned);
        let cuts = self.find_cuts(&target);
        let spares = self.find_spares(now, held, report);
        let free = spares.iter().find(|spare| spare.is_free);
        let may_move = free.is_none() && self.may_move(now);
        let search = RangeSearch {
            coverage: &coverage,
            layers: target.layers,
            cuts: &cuts,
            reserved_tokens: self.reserved_tokens,
            load: target.load,
        };
        let choice = match free {
            Some(spare) => self.weigh_free(search, spare.key),
            None if may_move => self.weigh_moves(search, &target, &spares),
            None => None,
        };
        if let Some((key, layers)) = choice {
            self.order(now, held, key, &target.weights, layers, report);
        }
    }

    /// Moves of engines in use cost loads and caches; they keep an interval.
    fn may_move(&mut self, now: MonotonicTime) -> bool {
        let interval = self.settings.balance_interval;
        let is_due = self.balanced.is_none_or(|last| now.since(last) >= interval);
        if is_due {
            self.balanced = Some(now);
        }
        is_due
    }

    fn weigh_free(
        &self,
        search: RangeSearch<'_>,
        key: PlacedKey,
    ) -> Option<(PlacedKey, LayerRange)> {
        let choice = search.find(self.engines.get(key)?)?;
        Some((key, choice.layers))
    }

    /// Best move of an engine in use, if it raises the slowest layer by the least gain or more.
    fn weigh_moves(
        &self,
        search: RangeSearch<'_>,
        target: &PlacementTarget,
        spares: &[SpareEngine],
    ) -> Option<(PlacedKey, LayerRange)> {
        let gain = 1.0 + f64::from(self.settings.min_gain_percent) / 100.0;
        let wanted = search.coverage.slowest().1 * gain;
        let mut best = None;
        for spare in spares.iter().take(MAX_MOVES) {
            let engine = self.engines.get(spare.key)?;
            let mut without = search.coverage.clone();
            if let Some(held) = engine
                .planned()
                .filter(|held| held.weights == target.weights)
            {
                without.remove(held.layers, engine.rate_over(held.layers, search.load));
            }
            let search = RangeSearch {
                coverage: &without,
                ..search
            };
            let Some(choice) = search.find(engine) else {
                continue;
            };
            let is_better = best.is_none_or(|(_, other)| choice.is_better_than(&other));
            if choice.slowest >= wanted && is_better {
                best = Some((spare.key, choice));
            }
        }
        best.map(|(key, choice)| (key, choice.layers))
    }

    fn find_neediest(&self) -> Option<PlacementTarget> {
        let need = |target: &PlacementTarget| {
            let (_, rate) = self.cover(target, PlacedEngine::planned).slowest();
            rate / f64::from(target.share.max(1))
        };
        let compare = |a: &&PlacementTarget, b: &&PlacementTarget| need(a).total_cmp(&need(b));
        self.targets.iter().min_by(compare).cloned()
    }

    /// Layers at which ranges of the target begin or end.
    fn find_cuts(&self, target: &PlacementTarget) -> Vec<u32> {
        let planned = self.engines.values().filter_map(PlacedEngine::planned);
        let own = planned.filter(|held| held.weights == target.weights);
        let cuts: BTreeSet<u32> = own
            .flat_map(|held| [held.layers.first, held.layers.end])
            .collect();
        cuts.into_iter().collect()
    }

    /// Coverage of a target by what `select` says of each engine.
    pub(super) fn cover<F>(&self, target: &PlacementTarget, select: F) -> LayerCoverage
    where
        F: Fn(&PlacedEngine) -> Option<&HeldWeights>,
    {
        let mut coverage = LayerCoverage::new(target.layers);
        for engine in self.engines.values() {
            if let Some(held) = select(engine).filter(|held| held.weights == target.weights) {
                coverage.add(held.layers, engine.rate_over(held.layers, target.load));
            }
        }
        coverage
    }

    pub(super) fn order(
        &mut self,
        now: MonotonicTime,
        held: HeldRight,
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
            server: engine.seen.server.clone(),
            fencing: held.right.fencing,
            valid_until: held.right.until,
            load,
            given_up,
        });
    }
}
