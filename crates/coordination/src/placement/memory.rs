//! Restores layers of engines that report their memory: the fastest way to a complete pipeline with
//! sufficient KV memory.

use super::engine::{PlacedEngine, PlacedKey, PlacementTarget};
use super::extend::{ExtendableEngine, find_extensions};
use super::layout::{LayoutEngine, TypicalDraft, plan_layout};
use super::order::{PlacementReport, PlacementWait};
use super::restore::{PlannedLoad, SpareEngine, find_loads};
use super::table::{HeldRight, PlacementTable, REFUSAL_BACKOFF};
use crate::base::{LayerRange, MonotonicTime};

/// Divisors of the layout's reserved KV memory for a repair, tried in order. Engines that take over
/// layers of a lost engine must keep at least the reserved memory divided by this number. A
/// pipeline with a quarter of the KV memory serves requests; a pipeline with a missing layer does
/// not, and a new layout of all engines aborts their running requests.
const REPAIR_DIVISORS: [u64; 2] = [2, 4];

impl PlacementTable {
    /// Orders the loads that complete a target again: on spare engines; otherwise additional layers
    /// on engines next to the gap; otherwise a new layout of all engines, since a data centre
    /// without a complete pipeline cannot serve in any case.
    pub(super) fn restore_by_memory(
        &mut self,
        now: MonotonicTime,
        right: HeldRight,
        target: &PlacementTarget,
        draft: TypicalDraft,
        report: &mut PlacementReport,
    ) {
        let planned = self.cover(target, PlacedEngine::planned);
        let is_empty = planned.slowest().1 <= 0.0 && self.is_unplaced(target);
        if !is_empty {
            for divisor in REPAIR_DIVISORS {
                let reserved_tokens = self.reserved_tokens / divisor;
                if let Some(loads) = self.find_repair(now, right, target, reserved_tokens, report) {
                    self.order_loads(now, right, target, &loads, report);
                    return;
                }
            }
        }
        let engines = self.layout_engines(now, target);
        let Some(layout) = plan_layout(&engines, target.layers, draft) else {
            report.waits.push(PlacementWait::Blocked {
                weights: target.weights.clone(),
                layer: planned.first_missing(0).unwrap_or(0),
            });
            return;
        };
        self.reserved_tokens = layout.reserved_tokens;
        self.pending_layout = layout.ranges;
        self.continue_layout(now, right, report);
    }

    /// Computes the KV memory that engines must keep, if this process has not planned a layout.
    ///
    /// A host can take over the order right from the host that planned the layout, and then repair
    /// a loss or place a new engine. Without a reserve it would assign 38 layers to an engine that
    /// has sufficient KV memory with at most 30, and its data centre would serve half as many
    /// requests. The reserve is therefore derived from a layout of the current engines.
    pub(super) fn infer_reserved_tokens(&mut self, now: MonotonicTime) {
        let target = self.targets.first();
        let Some((target, draft)) = target.and_then(|target| Some((target, target.typical_draft?)))
        else {
            return;
        };
        if self.reserved_tokens > 0 || self.is_unplaced(target) {
            return;
        }
        let engines = self.layout_engines(now, target);
        let layout = plan_layout(&engines, target.layers, draft);
        self.reserved_tokens = layout.map_or(0, |layout| layout.reserved_tokens);
    }

    /// Orders the rest of the pending layout, up to the load limit of the weight store; returns
    /// false if nothing is pending.
    pub(super) fn continue_layout(
        &mut self,
        now: MonotonicTime,
        right: HeldRight,
        report: &mut PlacementReport,
    ) -> bool {
        let is_lost = |key: &PlacedKey| {
            let engine = self.engines.get(*key);
            let later = now.after(REFUSAL_BACKOFF);
            engine.is_none_or(|engine| !engine.is_loading() && !engine.can_be_ordered(later))
        };
        if self.pending_layout.keys().any(is_lost) {
            // Without this engine the rest of the layout would leave a gap.
            self.pending_layout.clear();
        }
        let Some(target) = self.targets.first().cloned() else {
            return false;
        };
        let engines = &self.engines;
        self.pending_layout.retain(|key, range| {
            let planned = engines.get(*key).and_then(PlacedEngine::planned);
            planned.is_none_or(|planned| planned.layers != *range)
        });
        for (key, layers) in self.pending_layout.clone() {
            let can_be_ordered = |engine: &PlacedEngine| engine.can_be_ordered(now);
            if self.engines.get(key).is_some_and(can_be_ordered) {
                self.order(now, right, key, &target.weights, layers, report);
            }
            if report.waits.contains(&PlacementWait::StoreBusy) {
                break;
            }
        }
        !self.pending_layout.is_empty()
    }

    /// Returns loads that close all gaps, on spare engines or otherwise on engines next to the
    /// gaps. Each engine keeps `reserved_tokens` of KV memory.
    fn find_repair(
        &self,
        now: MonotonicTime,
        right: HeldRight,
        target: &PlacementTarget,
        reserved_tokens: u64,
        report: &mut PlacementReport,
    ) -> Option<Vec<PlannedLoad>> {
        let planned = self.cover(target, PlacedEngine::planned);
        let spares = self.find_spares_with_memory(now, right, reserved_tokens, report);
        if let Ok(loads) = find_loads(&planned, target.layers, &spares) {
            return Some(loads);
        }
        let engines = self.find_extendable(now, target, reserved_tokens);
        find_extensions(&planned, target.layers, &engines)
    }

    fn order_loads(
        &mut self,
        now: MonotonicTime,
        right: HeldRight,
        target: &PlacementTarget,
        loads: &[PlannedLoad],
        report: &mut PlacementReport,
    ) {
        for load in loads {
            self.order(now, right, load.key, &target.weights, load.layers, report);
        }
    }

    fn is_unplaced(&self, target: &PlacementTarget) -> bool {
        let mut planned = self.engines.values().filter_map(PlacedEngine::planned);
        planned.all(|held| held.weights != target.weights)
    }

    fn find_spares_with_memory(
        &self,
        now: MonotonicTime,
        right: HeldRight,
        reserved_tokens: u64,
        report: &mut PlacementReport,
    ) -> Vec<SpareEngine> {
        let spares = self.find_spares(now, right, report).into_iter();
        let limited = spares.filter_map(|spare| {
            let max_layers = self
                .engines
                .get(spare.key)?
                .max_layers_beside(reserved_tokens);
            Some(SpareEngine {
                max_layers,
                ..spare
            })
        });
        limited.filter(|spare| spare.max_layers > 0).collect()
    }

    fn find_extendable(
        &self,
        now: MonotonicTime,
        target: &PlacementTarget,
        reserved_tokens: u64,
    ) -> Vec<ExtendableEngine> {
        let engines = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.can_be_ordered(now));
        let engines = engines.filter_map(|(key, engine)| {
            let held = held_of(engine, target)?;
            Some(ExtendableEngine {
                key,
                held,
                spare_layers: engine
                    .max_layers_beside(reserved_tokens)
                    .saturating_sub(held.len()),
            })
        });
        engines.collect()
    }

    fn layout_engines(&self, now: MonotonicTime, target: &PlacementTarget) -> Vec<LayoutEngine> {
        let engines = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_loading() || engine.can_be_ordered(now));
        let engines = engines.filter_map(|(key, engine): (PlacedKey, &PlacedEngine)| {
            Some(LayoutEngine {
                key,
                memory: engine.observation.memory?,
                max_layers: engine.observation.max_layers,
                layer_rate: engine.observation.layer_rate,
                held: held_of(engine, target),
            })
        });
        engines.collect()
    }
}

fn held_of(engine: &PlacedEngine, target: &PlacementTarget) -> Option<LayerRange> {
    let planned = engine.planned();
    let own = planned.filter(|held| held.weights == target.weights);
    own.map(|held| held.layers)
}
