//! Layers restored where engines tell their memory: the quickest way to a whole chain with room.

use super::engine::{PlacedEngine, PlacedKey, PlacementTarget};
use super::extend::{ExtendableEngine, find_extensions};
use super::layout::{DraftLoad, LayoutEngine, plan_layout};
use super::order::{PlacementReport, PlacementWait};
use super::restore::{PlannedLoad, SpareEngine, find_loads};
use super::table::{HeldRight, PlacementTable, REFUSED_PAUSE};
use crate::base::{LayerRange, MonotonicTime};

/// Parts of the layout's request memory that engines may be left with when they take over layers of
/// one that was lost, tried in turn. A chain with a quarter of the room serves; one with a layer missing
/// does not, and a new layout of all engines cuts what runs on them.
const REPAIR_PARTS: [u64; 2] = [2, 4];

impl PlacementTable {
    /// Orders what makes a target whole again: loads on engines that can be spared; else layers more
    /// on engines beside the gap; else a new layout of all engines, since a data centre without a
    /// whole chain has nothing to lose by it.
    pub(super) fn restore_by_memory(
        &mut self,
        now: MonotonicTime,
        held: HeldRight,
        target: &PlacementTarget,
        load: DraftLoad,
        report: &mut PlacementReport,
    ) {
        let planned = self.cover(target, PlacedEngine::planned);
        let is_empty = planned.slowest().1 <= 0.0 && self.hold_nothing(target);
        if !is_empty {
            for part in REPAIR_PARTS {
                let kept = self.reserved_tokens / part;
                if let Some(loads) = self.find_repair(now, held, target, kept, report) {
                    self.order_loads(now, held, target, &loads, report);
                    return;
                }
            }
        }
        let engines = self.layout_engines(now, target);
        let Some(layout) = plan_layout(&engines, target.layers, load) else {
            report.waits.push(PlacementWait::Blocked {
                weights: target.weights.clone(),
                layer: planned.first_missing(0).unwrap_or(0),
            });
            return;
        };
        self.reserved_tokens = layout.reserved_tokens;
        self.pending_layout = layout.ranges;
        self.continue_layout(now, held, report);
    }

    /// Learns how much request memory engines are to keep, where this process has laid nothing out.
    ///
    /// Failure: a host takes the right over from the one that laid the engines out, and repairs a loss or
    /// places a new engine. Symptom: it knew of no memory to keep and gave one engine 38 layers where
    /// 30 leave it room; its data centre served half of what it did. Worked out from the engines that
    /// are there, the memory is what a layout made here would keep.
    pub(super) fn infer_reserved_tokens(&mut self, now: MonotonicTime) {
        let target = self.targets.first();
        let Some((target, load)) = target.and_then(|target| Some((target, target.load?))) else {
            return;
        };
        if self.reserved_tokens > 0 || self.hold_nothing(target) {
            return;
        }
        let engines = self.layout_engines(now, target);
        let layout = plan_layout(&engines, target.layers, load);
        self.reserved_tokens = layout.map_or(0, |layout| layout.reserved_tokens);
    }

    /// Orders what is left of a layout, as many loads as the store serves; false if nothing is left.
    pub(super) fn continue_layout(
        &mut self,
        now: MonotonicTime,
        held: HeldRight,
        report: &mut PlacementReport,
    ) -> bool {
        let is_lost = |key: &PlacedKey| {
            let engine = self.engines.get(*key);
            let later = now.after(REFUSED_PAUSE);
            engine.is_none_or(|engine| !engine.is_loading() && !engine.can_be_ordered(later))
        };
        if self.pending_layout.keys().any(is_lost) {
            // Without it the rest of the layout would leave a gap.
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
                self.order(now, held, key, &target.weights, layers, report);
            }
        }
        !self.pending_layout.is_empty()
    }

    /// Loads that close all gaps, on engines that can be spared or else beside the gaps, each of which
    /// keeps `kept` tokens of request memory.
    fn find_repair(
        &self,
        now: MonotonicTime,
        held: HeldRight,
        target: &PlacementTarget,
        kept: u64,
        report: &mut PlacementReport,
    ) -> Option<Vec<PlannedLoad>> {
        let planned = self.cover(target, PlacedEngine::planned);
        let spares = self.find_spares_with_memory(now, held, kept, report);
        if let Ok(loads) = find_loads(&planned, target.layers, &spares) {
            return Some(loads);
        }
        let engines = self.find_extendable(now, target, kept);
        find_extensions(&planned, target.layers, &engines)
    }

    fn order_loads(
        &mut self,
        now: MonotonicTime,
        held: HeldRight,
        target: &PlacementTarget,
        loads: &[PlannedLoad],
        report: &mut PlacementReport,
    ) {
        for load in loads {
            self.order(now, held, load.key, &target.weights, load.layers, report);
        }
    }

    fn hold_nothing(&self, target: &PlacementTarget) -> bool {
        let mut planned = self.engines.values().filter_map(PlacedEngine::planned);
        planned.all(|held| held.weights != target.weights)
    }

    fn find_spares_with_memory(
        &self,
        now: MonotonicTime,
        held: HeldRight,
        kept: u64,
        report: &mut PlacementReport,
    ) -> Vec<SpareEngine> {
        let spares = self.find_spares(now, held, report).into_iter();
        let limited = spares.filter_map(|spare| {
            let max_layers = self.engines.get(spare.key)?.max_layers_beside(kept);
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
        kept: u64,
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
                spare_layers: engine.max_layers_beside(kept).saturating_sub(held.len()),
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
                memory: engine.seen.memory?,
                max_layers: engine.seen.max_layers,
                layer_rate: engine.seen.layer_rate,
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
