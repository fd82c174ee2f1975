//! The load that raises the slowest layer most.

use super::coverage::LayerCoverage;
use super::engine::PlacedEngine;
use super::layout::DraftLoad;
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

/// What a range for one more engine is looked for beside.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangeSearch<'a> {
    pub(crate) coverage: &'a LayerCoverage,
    /// Layers of the model.
    pub(crate) layers: u32,
    /// Layers at which ranges begin or end.
    pub(crate) cuts: &'a [u32],
    /// Request memory that the engine keeps, in tokens.
    pub(crate) reserved_tokens: u64,
    /// The usual draft, where it is known.
    pub(crate) load: Option<DraftLoad>,
}

impl RangeSearch<'_> {
    /// Best range for `engine`. Ranges begin and end where others do, or at what fits in the engine,
    /// so that pipelines keep few cuts.
    pub(crate) fn find(&self, engine: &PlacedEngine) -> Option<RangeChoice> {
        let (slowest, _) = self.coverage.slowest();
        let longest = engine
            .max_layers_beside(self.reserved_tokens)
            .min(self.layers);
        let mut best: Option<RangeChoice> = None;
        for first in starts(self.cuts, slowest, longest, self.layers) {
            for end in ends(self.cuts, first, longest, self.layers) {
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
        let mut tried = self.coverage.clone();
        tried.add(layers, engine.rate_over(layers, self.load));
        RangeChoice {
            layers,
            slowest: tried.slowest().1,
            count: tried.count_slowest(),
        }
    }
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
