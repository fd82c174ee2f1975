//! Closes a gap by engines beside it, which load the missing layers next to what they hold.
//!
//! Where every layer is held once, nobody can be spared when an engine dies, and its data centre
//! stood without a whole chain until the engine came back or a new one was added. The engines on both
//! sides of the gap have memory: with a few layers more they hold fewer drafts, but the chain is
//! whole after the time of those few loads. What they hold stays in place meanwhile.

use super::coverage::LayerCoverage;
use super::engine::PlacedKey;
use super::restore::PlannedLoad;
use crate::base::LayerRange;

/// An engine that could hold more than it does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExtendableEngine {
    pub(crate) key: PlacedKey,
    pub(crate) held: LayerRange,
    /// Layers that it could take on beside what it holds.
    pub(crate) spare_layers: u32,
}

/// Loads that close all gaps of `coverage`; `None` if one of them can't be closed so.
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
        let stretched = close_gap(gap, &mut engines)?;
        loads.extend(stretched);
        from = gap.end;
    }
    Some(loads)
}

/// Stretches the roomiest engine before the gap and the roomiest after it, each by its part.
fn close_gap(gap: LayerRange, engines: &mut Vec<ExtendableEngine>) -> Option<Vec<PlannedLoad>> {
    let before = find_roomiest(engines, |held| held.end == gap.first);
    let after = find_roomiest(engines, |held| held.first == gap.end);
    let room = |found: Option<ExtendableEngine>| found.map_or(0, |engine| engine.spare_layers);
    let (left, right) = (room(before), room(after));
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

fn find_roomiest<F>(engines: &[ExtendableEngine], touches: F) -> Option<ExtendableEngine>
where
    F: Fn(LayerRange) -> bool,
{
    let beside = engines.iter().filter(|engine| touches(engine.held));
    beside.max_by_key(|engine| engine.spare_layers).copied()
}

fn extend(engine: ExtendableEngine, first: u32, end: u32) -> PlannedLoad {
    PlannedLoad {
        key: engine.key,
        layers: LayerRange { first, end },
    }
}
