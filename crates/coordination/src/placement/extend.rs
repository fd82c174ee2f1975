//! Closes a gap with adjacent engines, which load the missing layers in addition to their own.
//!
//! If every layer is on a single engine and one of these engines fails, no engine can be spared to
//! replace it, and the data centre would have no complete pipeline until the engine comes back or
//! another one is added. The engines on both sides of the gap have free memory: with a few more
//! layers they hold fewer drafts, but the pipeline is complete after these few loads. The layers
//! that they hold remain loaded meanwhile.

use super::coverage::LayerCoverage;
use super::engine::PlacedKey;
use super::restore::PlannedLoad;
use crate::base::LayerRange;

/// An engine that can hold additional layers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExtendableEngine {
    pub(crate) key: PlacedKey,
    pub(crate) held: LayerRange,
    /// Number of layers that the engine can hold in addition to `held`.
    pub(crate) spare_layers: u32,
}

/// Returns the loads that close all gaps of `coverage`; `None` if a gap cannot be closed this way.
pub(crate) fn find_extensions(
    coverage: &LayerCoverage,
    layers: u32,
    engines: &[ExtendableEngine],
) -> Option<Vec<PlannedLoad>> {
    let mut engines = engines.to_vec();
    let mut loads = Vec::new();
    let mut from = 0;
    while let Some(missing) = coverage.first_missing(from) {
        let gap = coverage.find_gap(missing, layers);
        let extensions = close_gap(gap, &mut engines)?;
        loads.extend(extensions);
        from = gap.end;
    }
    Some(loads)
}

/// Extends the engine with the most spare layers on each side of the gap, in proportion to their
/// spare layers.
fn close_gap(gap: LayerRange, engines: &mut Vec<ExtendableEngine>) -> Option<Vec<PlannedLoad>> {
    let before = find_most_spare(engines, |held| held.end == gap.first);
    let after = find_most_spare(engines, |held| held.first == gap.end);
    let spare_layers =
        |found: Option<ExtendableEngine>| found.map_or(0, |engine| engine.spare_layers);
    let (left, right) = (spare_layers(before), spare_layers(after));
    if left.saturating_add(right) < gap.len() {
        return None;
    }
    let share = (gap.len() * left).div_ceil(left + right).min(left);
    let cut = gap.first + share.max(gap.len().saturating_sub(right));
    let mut loads = Vec::new();
    if let Some(engine) = before.filter(|_| cut > gap.first) {
        loads.push(extend(engine, engine.held.first, cut));
    }
    if let Some(engine) = after.filter(|_| cut < gap.end) {
        loads.push(extend(engine, cut, engine.held.end));
    }
    engines.retain(|engine| loads.iter().all(|load| load.key != engine.key));
    Some(loads)
}

fn find_most_spare<F>(engines: &[ExtendableEngine], touches: F) -> Option<ExtendableEngine>
where
    F: Fn(LayerRange) -> bool,
{
    let adjacent = engines.iter().filter(|engine| touches(engine.held));
    adjacent.max_by_key(|engine| engine.spare_layers).copied()
}

fn extend(engine: ExtendableEngine, first: u32, end: u32) -> PlannedLoad {
    PlannedLoad {
        key: engine.key,
        layers: LayerRange { first, end },
    }
}
