//! The fewest loads that make a pipeline whole.

use super::coverage::LayerCoverage;
use super::engine::PlacedKey;
use crate::base::LayerRange;

/// An engine that can be spared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpareEngine {
    pub(crate) key: PlacedKey,
    pub(crate) max_layers: u32,
    pub(crate) layer_rate: u32,
    /// Whether it holds nothing.
    pub(crate) is_free: bool,
}

/// A load on a spare engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedLoad {
    pub(crate) key: PlacedKey,
    pub(crate) layers: LayerRange,
}

/// Loads that complete `coverage`, or the first layer for which there is no engine left.
///
/// The walk goes on over layers that are held; where one is missing, the spare engine that holds
/// most starts there. Being further on is never worse, since whoever holds the layer before and
/// reaches further also holds this one, so the largest engines first need the fewest loads. A
/// smaller engine is taken where it closes the gap just as well.
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

/// Of the engines that close the gap, a free one before one that is in use.
fn prefer_free(spares: &[SpareEngine], first: usize) -> usize {
    let free = spares.iter().skip(first).position(|spare| spare.is_free);
    free.map_or(first, |offset| first + offset)
}
