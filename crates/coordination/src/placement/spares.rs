//! Finds spare engines: those that hold no required weights, and those that no complete pipeline
//! needs.

use std::collections::BTreeMap;

use super::coverage::LayerCoverage;
use super::engine::{PlacedEngine, WeightsId};
use super::order::{PlacementReport, PlacementWait};
use super::restore::SpareEngine;
use super::table::{HeldRight, PlacementTable};
use crate::base::MonotonicTime;

impl PlacementTable {
    /// Returns engines that hold nothing, or nothing that a complete pipeline needs, ordered by
    /// name.
    pub(super) fn find_spares(
        &self,
        now: MonotonicTime,
        right: HeldRight,
        report: &mut PlacementReport,
    ) -> Vec<SpareEngine> {
        let mut coverages: BTreeMap<WeightsId, LayerCoverage> = BTreeMap::new();
        let mut spares = Vec::new();
        for key in self.by_name.values() {
            let Some(engine) = self.engines.get(*key).filter(|e| e.can_be_ordered(now)) else {
                continue;
            };
            if !self.can_spare(engine, &mut coverages)
                || !self.can_order_safely(now, right, engine, report)
            {
                continue;
            }
            spares.push(SpareEngine {
                key: *key,
                max_layers: engine.observation.max_layers,
                layer_rate: engine.observation.layer_rate,
                is_free: self.is_free(engine),
            });
        }
        spares
    }

    /// Whether a complete pipeline of the model remains without the engine. Each spare engine is
    /// removed from the coverage, so that two engines that replace each other are not both moved.
    ///
    /// During a rollout the old version keeps a complete pipeline until a complete pipeline of the
    /// new version is observed: planned loads can fail, and then neither version could serve a
    /// request.
    fn can_spare(
        &self,
        engine: &PlacedEngine,
        coverages: &mut BTreeMap<WeightsId, LayerCoverage>,
    ) -> bool {
        let Some(held) = &engine.observation.held else {
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
                    e.observation.held.clone()
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
        // Without a complete pipeline there is none to break, but layers of a target stay.
        if !coverage.is_complete() && is_target && !coverage.is_redundant(held.layers) {
            return false;
        }
        coverage.remove(held.layers, engine.rate_over(held.layers, None));
        true
    }

    /// Whether the engine holds nothing, or only weights that are no longer required.
    fn is_free(&self, engine: &PlacedEngine) -> bool {
        engine.observation.held.as_ref().is_none_or(|held| {
            let is_target = self.targets.iter().any(|t| t.weights == held.weights);
            !is_target && self.is_replaced(&held.weights)
        })
    }

    /// Whether a complete pipeline of a target version of the model is observed, or no target
    /// requires the model.
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
            self.cover(target, |engine| engine.observation.held.as_ref())
                .is_complete()
        })
    }

    /// Number of layers of a model, from its target or otherwise from the held ranges.
    fn count_layers(&self, weights: &WeightsId) -> u32 {
        let target = self
            .targets
            .iter()
            .find(|t| t.weights.model == weights.model);
        let held = self
            .engines
            .values()
            .filter_map(|engine| engine.observation.held.as_ref());
        let own = held.filter(|held| held.weights == *weights);
        let held_layers = own.map(|held| held.layers.end).max().unwrap_or(0);
        target.map_or(held_layers, |target| target.layers)
    }

    /// Whether an order to the engine is safe. Engines that check fencing numbers reject orders of
    /// the previous right holder. The others accept them until its right expires, so this process
    /// waits for longer than that first.
    fn can_order_safely(
        &self,
        now: MonotonicTime,
        right: HeldRight,
        engine: &PlacedEngine,
        report: &mut PlacementReport,
    ) -> bool {
        let until = right.since.after(self.settings.unfenced_wait);
        if engine.observation.checks_fencing || now >= until {
            return true;
        }
        let server = engine.observation.server.clone();
        let wait = PlacementWait::Unfenced { server, until };
        if !report.waits.contains(&wait) {
            report.waits.push(wait);
        }
        false
    }
}
