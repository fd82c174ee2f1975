//! Finds the load that raises the rate of the slowest layer most.

use super::coverage::LayerCoverage;
use super::engine::PlacedEngine;
use super::layout::TypicalDraft;
use crate::base::LayerRange;

/// A candidate range for an engine, and the resulting rate of the slowest layer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangeChoice {
    pub(crate) layers: LayerRange,
    /// Rate of the slowest layer after the load, in tokens per second.
    pub(crate) slowest: f64,
    /// Number of layers at about that rate.
    pub(crate) count: usize,
}

impl RangeChoice {
    /// Whether this choice yields a higher slowest rate, or the same rate with fewer layers at it.
    pub(crate) fn is_better_than(&self, other: &Self) -> bool {
        if (self.slowest - other.slowest).abs() > other.slowest.abs() * 1e-6 {
            return self.slowest > other.slowest;
        }
        self.count < other.count
    }
}

/// Inputs of the search for the range of one more engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangeSearch<'a> {
    pub(crate) coverage: &'a LayerCoverage,
    /// Number of layers of the model.
    pub(crate) layers: u32,
    /// Layers at which existing ranges begin or end.
    pub(crate) boundaries: &'a [u32],
    /// KV memory that must remain free on the engine, in tokens.
    pub(crate) reserved_tokens: u64,
    /// Typical draft, if known.
    pub(crate) typical_draft: Option<TypicalDraft>,
}

impl RangeSearch<'_> {
    /// Finds the best range for `engine`. Ranges begin and end at existing boundaries or at the
    /// capacity limit of the engine, so that pipelines have few boundaries.
    pub(crate) fn find(&self, engine: &PlacedEngine) -> Option<RangeChoice> {
        let (slowest, _) = self.coverage.slowest();
        let max_layers = engine
            .max_layers_beside(self.reserved_tokens)
            .min(self.layers);
        let mut best: Option<RangeChoice> = None;
        for first in starts(self.boundaries, slowest, max_layers, self.layers) {
            for end in ends(self.boundaries, first, max_layers, self.layers) {
                let covers = first <= slowest && slowest < end;
                let Some(range) = LayerRange::new(first, end).filter(|_| covers) else {
                    continue;
                };
                let choice = self.try_range(engine, range);
                if best.is_none_or(|best| choice.is_better_than(&best)) {
                    best = Some(choice);
                }
            }
        }
        best
    }

    fn try_range(&self, engine: &PlacedEngine, layers: LayerRange) -> RangeChoice {
        let mut coverage = self.coverage.clone();
        coverage.add(layers, engine.rate_over(layers, self.typical_draft));
        RangeChoice {
            layers,
            slowest: coverage.slowest().1,
            count: coverage.count_slowest(),
        }
    }
}

fn starts(boundaries: &[u32], slowest: u32, max_layers: u32, layers: u32) -> Vec<u32> {
    let last = layers.saturating_sub(max_layers);
    let mut starts: Vec<u32> = boundaries.to_vec();
    starts.extend([slowest.min(last), last, 0]);
    starts.retain(|first| *first < layers);
    starts.sort_unstable();
    starts.dedup();
    starts
}

fn ends(boundaries: &[u32], first: u32, max_layers: u32, layers: u32) -> Vec<u32> {
    let limit = first.saturating_add(max_layers).min(layers);
    let mut ends: Vec<u32> = boundaries
        .iter()
        .copied()
        .filter(|end| *end <= limit)
        .collect();
    ends.push(limit);
    ends.sort_unstable();
    ends.dedup();
    ends
}
