//! The load that raises the slowest layer most.

use super::coverage::LayerCoverage;
use super::engine::PlacedEngine;
use crate::base::LayerRange;

/// A range for an engine, and the slowest rate that it would leave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangeChoice {
    pub(crate) layers: LayerRange,
    /// Tokens a second of the slowest layer with the load.
    pub(crate) slowest: f64,
    /// Layers at that rate.
    pub(crate) count: usize,
}

impl RangeChoice {
    /// Whether this choice leaves a higher slowest rate, or fewer layers at it.
    pub(crate) fn is_better_than(&self, other: &Self) -> bool {
        if (self.slowest - other.slowest).abs() > other.slowest.abs() * 1e-6 {
            return self.slowest > other.slowest;
        }
        self.count < other.count
    }
}

/// Best range for `engine` beside what `coverage` holds. Ranges begin and end where others do, or
/// at what fits in the engine, so that pipelines keep few cuts.
pub(crate) fn find_range(
    coverage: &LayerCoverage,
    layers: u32,
    cuts: &[u32],
    engine: &PlacedEngine,
    kept_tokens: u64,
) -> Option<RangeChoice> {
    let (slowest, _) = coverage.slowest();
    let longest = engine.most_layers(kept_tokens).min(layers);
    let mut best: Option<RangeChoice> = None;
    for first in starts(cuts, slowest, longest, layers) {
        for end in ends(cuts, first, longest, layers) {
            let covers = first <= slowest && slowest < end;
            let Some(range) = LayerRange::new(first, end).filter(|_| covers) else {
                continue;
            };
            let choice = try_range(coverage, engine, range);
            if best.is_none_or(|best| choice.is_better_than(&best)) {
                best = Some(choice);
            }
        }
    }
    best
}

fn starts(cuts: &[u32], slowest: u32, longest: u32, layers: u32) -> Vec<u32> {
    let last = layers.saturating_sub(longest);
    let mut starts: Vec<u32> = cuts.to_vec();
    starts.extend([slowest.min(last), last, 0]);
    starts.retain(|first| *first < layers);
    starts.sort_unstable();
    starts.dedup();
    starts
}

fn ends(cuts: &[u32], first: u32, longest: u32, layers: u32) -> Vec<u32> {
    let limit = first.saturating_add(longest).min(layers);
    let mut ends: Vec<u32> = cuts.iter().copied().filter(|end| *end <= limit).collect();
    ends.push(limit);
    ends.sort_unstable();
    ends.dedup();
    ends
}

fn try_range(coverage: &LayerCoverage, engine: &PlacedEngine, layers: LayerRange) -> RangeChoice {
    let mut tried = coverage.clone();
    tried.add(layers, engine.rate_over(layers));
    RangeChoice {
        layers,
        slowest: tried.slowest().1,
        count: tried.count_slowest(),
    }
}
