//! Mean time of the layers after each boundary, refreshed each tick from current loads.
//!
//! The planner selects a stage before it knows the later stages. Engines hold different numbers of
//! layers, so their own times are comparable only if each includes the time of the remaining
//! layers.

use super::fleet::FleetTable;
use super::graph::{EngineGroup, GroupKey, LayerGraph, RoutePhase};
use super::settings::RoutingSettings;
use super::view::{StageTime, engine_time};

/// Number of group members that are sampled.
const SAMPLES: usize = 4;

/// Refreshes the remaining time after each boundary, from the last boundary to the first.
pub(crate) fn refresh_remaining_times(
    fleet: &FleetTable,
    graph: &mut LayerGraph,
    settings: &RoutingSettings,
) {
    let layers: Vec<u32> = graph.boundaries.keys().rev().copied().collect();
    for phase in RoutePhase::ALL {
        for layer in &layers {
            let remaining = find_remaining_time(fleet, graph, settings, phase, *layer);
            if let Some(boundary) = graph.boundaries.get_mut(layer) {
                boundary.remaining_times.insert(phase, remaining);
            }
        }
    }
}

fn find_remaining_time(
    fleet: &FleetTable,
    graph: &LayerGraph,
    settings: &RoutingSettings,
    phase: RoutePhase,
    layer: u32,
) -> StageTime {
    let Some(boundary) = graph.boundaries.get(&layer) else {
        return StageTime::default();
    };
    let flow_into = |key: &GroupKey| {
        let flow = boundary.flows.get(&(phase, *key));
        flow.copied().unwrap_or(0.0)
    };
    let total: f64 = boundary.groups.iter().map(flow_into).sum();
    let mut mean = StageTime::default();
    for key in &boundary.groups {
        let flow = flow_into(key);
        let Some(group) = graph.groups.get(*key).filter(|_| flow > 0.0) else {
            continue;
        };
        let own = mean_time(fleet, group, settings, layer);
        let after = graph.remaining_time(phase, group.shape.layers.end);
        mean = mean.plus(own.plus(after).times(flow / total));
    }
    mean
}

fn mean_time(
    fleet: &FleetTable,
    group: &EngineGroup,
    settings: &RoutingSettings,
    layer: u32,
) -> StageTime {
    let stride = group.members.len().div_ceil(SAMPLES).max(1);
    let members = group.members.iter().step_by(stride);
    let prefill_tokens = f64::from(settings.workload.prompt_tokens);
    let mut mean = StageTime::default();
    let mut count = 0.0;
    for engine in members.filter_map(|key| fleet.get(*key)) {
        mean = mean.plus(engine_time(engine, prefill_tokens, layer));
        count += 1.0;
    }
    mean.times(1.0 / f64::max(count, 1.0))
}
