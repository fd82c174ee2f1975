//! Finds the fewest loads that complete a pipeline.

use super::coverage::LayerCoverage;
use super::engine::PlacedKey;
use crate::base::LayerRange;

/// An engine that can be moved without loss of a complete pipeline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpareEngine {
    pub(crate) key: PlacedKey,
    pub(crate) max_layers: u32,
    pub(crate) layer_rate: u32,
    /// Whether the engine holds no required weights.
    pub(crate) is_free: bool,
}

/// A planned load on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedLoad {
    pub(crate) key: PlacedKey,
    pub(crate) layers: LayerRange,
}

/// Returns the loads that complete `coverage`.
///
/// The walk skips layers that are on an engine. At each missing layer it starts the spare engine
/// with the largest capacity. An engine that reaches a later layer is never worse, because it also
/// covers every layer in between; taking the largest engines first therefore needs the fewest
/// loads. A smaller engine is used if it also closes the gap.
///
/// # Errors
/// Returns the first layer for which no spare engine is left.
pub(crate) fn find_loads(
    coverage: &LayerCoverage,
    layers: u32,
    spares: &[SpareEngine],
) -> Result<Vec<PlannedLoad>, u32> {
    let mut spares: Vec<SpareEngine> = spares.to_vec();
    spares.sort_by_key(|spare| (spare.max_layers, spare.is_free, spare.layer_rate));
    let mut loads = Vec::new();
    let mut from = 0;
    while let Some(missing) = coverage.first_missing(from) {
        let gap = coverage.find_gap(missing, layers);
        let fitting = spares
            .iter()
            .position(|spare| spare.max_layers >= gap.len());
        let index = fitting.map(|first| prefer_free(&spares, first));
        let Some(index) = index.or(spares.len().checked_sub(1)) else {
            return Err(missing);
        };
        let spare = spares.remove(index);
        let end = gap.end.min(missing.saturating_add(spare.max_layers));
        let range = LayerRange {
            first: missing,
            end,
        };
        loads.push(PlannedLoad {
            key: spare.key,
            layers: range,
        });
        from = end;
    }
    Ok(loads)
}

/// Among the engines that close the gap, prefers a free one over one in use.
fn prefer_free(spares: &[SpareEngine], first: usize) -> usize {
    let free = spares.iter().skip(first).position(|spare| spare.is_free);
    free.map_or(first, |offset| first + offset)
}
