//! Which engines can be spared: those that hold nothing, and those that no whole pipeline needs.

use std::collections::BTreeMap;

use super::coverage::LayerCoverage;
use super::engine::{PlacedEngine, WeightsId};
use super::order::{PlacementReport, PlacementWait};
use super::restore::SpareEngine;
use super::table::{HeldRight, PlacementTable};
use crate::base::MonotonicTime;

impl PlacementTable {
    /// Engines that hold nothing, or nothing that a whole pipeline needs, by name.
    pub(super) fn find_spares(
        &self,
        now: MonotonicTime,
        held: HeldRight,
        report: &mut PlacementReport,
    ) -> Vec<SpareEngine> {
        let mut coverages: BTreeMap<WeightsId, LayerCoverage> = BTreeMap::new();
        let mut spares = Vec::new();
        for key in self.by_name.values() {
            let Some(engine) = self.engines.get(*key).filter(|e| e.can_be_ordered(now)) else {
                continue;
            };
            if !self.may_spare(engine, &mut coverages) || !self.may_order(now, held, engine, report)
            {
                continue;
            }
            spares.push(SpareEngine {
                key: *key,
                max_layers: engine.seen.max_layers,
                layer_rate: engine.seen.layer_rate,
                is_free: self.is_unwanted(engine),
            });
        }
        spares
    }

    /// Whether a model is served no worse than by one whole pipeline without the engine. Each engine
    /// that is found to be spare is taken out of the count, so that two that stand in for each other
    /// are not both taken.
    ///
    /// During a roll-out the old version keeps a whole pipeline until one of the new version was
    /// seen: planned loads may fail, and then neither version could serve a request.
    fn may_spare(
        &self,
        engine: &PlacedEngine,
        coverages: &mut BTreeMap<WeightsId, LayerCoverage>,
    ) -> bool {
        let Some(held) = &engine.seen.held else {
            return true;
        };
        let is_target = self
            .targets
            .iter()
            .any(|target| target.weights == held.weights);
        if !is_target && self.is_replaced(&held.weights) {
            return true;
        }
        let layers = self.count_layers(&held.weights);
        let coverage = coverages.entry(held.weights.clone()).or_insert_with(|| {
            let serving = |e: &PlacedEngine| {
                if e.is_loading() {
                    None
                } else {
                    e.seen.held.clone()
                }
            };
            let mut coverage = LayerCoverage::new(layers);
            for other in self.engines.values() {
                if let Some(held) = serving(other).filter(|h| h.weights == held.weights) {
                    coverage.add(held.layers, other.rate_over(held.layers, None));
                }
            }
            coverage
        });
        if coverage.is_complete() && !coverage.is_redundant(held.layers) {
            return false;
        }
        // Without a whole pipeline there is none to break, but what the target wants stays.
        if !coverage.is_complete() && is_target && !coverage.is_redundant(held.layers) {
            return false;
        }
        coverage.remove(held.layers, engine.rate_over(held.layers, None));
        true
    }

    /// Whether the engine holds nothing, or only what is not wanted any more.
    fn is_unwanted(&self, engine: &PlacedEngine) -> bool {
        engine.seen.held.as_ref().is_none_or(|held| {
            let is_target = self.targets.iter().any(|t| t.weights == held.weights);
            !is_target && self.is_replaced(&held.weights)
        })
    }

    /// Whether another version of the model, one that is wanted, was seen to be whole.
    fn is_replaced(&self, weights: &WeightsId) -> bool {
        let others = self
            .targets
            .iter()
            .filter(|t| t.weights.model == weights.model);
        let mut others = others.peekable();
        if others.peek().is_none() {
            return true;
        }
        others.any(|target| {
            self.cover(target, |engine| engine.seen.held.as_ref())
                .is_complete()
        })
    }

    /// Layers of a model: what a target says, or what is held.
    fn count_layers(&self, weights: &WeightsId) -> u32 {
        let target = self
            .targets
            .iter()
            .find(|t| t.weights.model == weights.model);
        let held = self
            .engines
            .values()
            .filter_map(|engine| engine.seen.held.as_ref());
        let own = held.filter(|held| held.weights == *weights);
        let most = own.map(|held| held.layers.end).max().unwrap_or(0);
        target.map_or(most, |target| target.layers)
    }

    /// Engines that check fencing numbers refuse the last holder's orders by themselves. The others
    /// would take them, as late as its right lasted; after a wait longer than that none can come.
    fn may_order(
        &self,
        now: MonotonicTime,
        held: HeldRight,
        engine: &PlacedEngine,
        report: &mut PlacementReport,
    ) -> bool {
        let until = held.since.after(self.settings.unfenced_wait);
        if engine.seen.checks_fencing || now >= until {
            return true;
        }
        let server = engine.seen.server.clone();
        let wait = PlacementWait::Unfenced { server, until };
        if !report.waits.contains(&wait) {
            report.waits.push(wait);
        }
        false
    }
}
