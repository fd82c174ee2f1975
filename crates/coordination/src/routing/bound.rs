//! Flow over a layer graph: the throughput that the hardware allows, and the weights that reach it.
//!
//! Each group is an edge with its capacity; at every boundary and data centre stand two hubs, one
//! that collects what ends there and one that hands out what begins there, joined by the links
//! between data centres. The network thus grows with groups and data centres, not with engines.

use std::collections::BTreeMap;

use serde::Serialize;

use super::capacity::{MILLI, bytes_per_output, compute_capacity};
use super::engine::EngineRole;
use super::fleet::FleetTable;
use super::flow::{EdgeIndex, FlowNetwork, NodeIndex, UNBOUNDED};
use super::graph::{EngineGroup, FlowRow, GroupKey, LayerBoundary, LayerGraph, RoutePhase};
use super::link::DataCentreIndex;
use super::settings::{ChainScope, RoutingSettings, WorkloadMix};
use crate::base::LayerRange;

/// Where a request comes from before its first stage; every data centre is as near.
pub(crate) const ENTRY: DataCentreIndex = DataCentreIndex(u16::MAX);

/// Steps of the search for the lowest load at which the whole flow still passes.
const BALANCE_STEPS: u32 = 8;

/// Cuts that are fixed one after the other while the load is evened out.
const BALANCE_ROUNDS: u32 = 16;

/// Steps of the search for the compute bound; 40 halvings leave less than a thousandth of a token.
const BISECTION_STEPS: u32 = 40;

/// Throughput that a graph's engines allow for the mean request, in generated tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FlowBound {
    /// Largest flow with compute, KV cache and links; engines that are cut count as uncut.
    pub flow: f64,
    /// What compute alone allows if every engine could share each of its layers freely. No routing
    /// can exceed it.
    pub compute: f64,
}

/// Flow network of one graph and phase.
struct GraphNetwork {
    network: FlowNetwork,
    source: NodeIndex,
    sink: NodeIndex,
    /// Edge that carries a group's whole flow.
    groups: BTreeMap<GroupKey, EdgeIndex>,
    /// Edge from a boundary's hub into a group.
    entries: BTreeMap<(u32, GroupKey), EdgeIndex>,
    /// Edge between the hubs of a boundary, by data centre before and after.
    hops: BTreeMap<(u32, DataCentreIndex, DataCentreIndex), EdgeIndex>,
}

/// Works out the flow weights of a graph's boundaries, where they changed.
pub(crate) fn refresh_flow(fleet: &FleetTable, graph: &mut LayerGraph, settings: &RoutingSettings) {
    let mix = &settings.workload;
    match settings.chain_scope {
        ChainScope::AcrossDataCentres => {
            for boundary in graph.boundaries.values_mut() {
                boundary.rows.clear();
                boundary.flows.clear();
            }
            graph.flow = refresh_scope(fleet, graph, mix, None);
        }
        ChainScope::WithinDataCentre => {
            for centre in std::mem::take(&mut graph.stale) {
                clear_centre(graph, centre);
                let flow = refresh_scope(fleet, graph, mix, Some(centre));
                graph.centre_flows.insert(centre, flow);
            }
            graph.flow = graph.centre_flows.values().sum();
        }
    }
    graph.stale.clear();
}

/// Forgets what was worked out for one data centre.
fn clear_centre(graph: &mut LayerGraph, centre: DataCentreIndex) {
    let groups = &graph.groups;
    let is_other = |key: GroupKey| {
        let group = groups.get(key);
        group.is_some_and(|group| group.shape.data_centre != centre)
    };
    for boundary in graph.boundaries.values_mut() {
        boundary.rows.retain(|(_, from), _| *from != centre);
        boundary.flows.retain(|(_, key), _| is_other(*key));
    }
}

/// Flow of whole pipelines, within one data centre or over all; writes the weights that reach it.
fn refresh_scope(
    fleet: &FleetTable,
    graph: &mut LayerGraph,
    mix: &WorkloadMix,
    only: Option<DataCentreIndex>,
) -> u64 {
    let mut flow = 0;
    for phase in RoutePhase::ALL {
        if phase != RoutePhase::Combined && !graph.has_split_roles {
            continue;
        }
        let mut built = build_network(fleet, graph, phase, mix, only);
        let total = built.network.max_flow(built.source, built.sink);
        flow = flow.max(total);
        balance(&mut built, graph, total);
        write_rows(&built, graph, phase);
    }
    flow
}

/// The bound of a graph. With split roles it is that of the whole pipelines or of the pairs of
/// prefill and decode pipelines, whichever is higher.
pub(crate) fn find_bound(fleet: &FleetTable, graph: &LayerGraph, mix: &WorkloadMix) -> FlowBound {
    let flow_of = |phase| {
        let mut built = build_network(fleet, graph, phase, mix, None);
        built.network.max_flow(built.source, built.sink) as f64 / MILLI
    };
    let whole = flow_of(RoutePhase::Combined);
    let split = if graph.has_split_roles {
        flow_of(RoutePhase::Prefill).min(flow_of(RoutePhase::Decode))
    } else {
        0.0
    };
    FlowBound {
        flow: whole.max(split),
        compute: find_compute_bound(fleet, graph, mix),
    }
}

fn build_network(
    fleet: &FleetTable,
    graph: &LayerGraph,
    phase: RoutePhase,
    mix: &WorkloadMix,
    only: Option<DataCentreIndex>,
) -> GraphNetwork {
    let mut network = FlowNetwork::default();
    let source = network.add_node();
    let sink = network.add_node();
    let mut built = GraphNetwork {
        network,
        source,
        sink,
        groups: BTreeMap::new(),
        entries: BTreeMap::new(),
        hops: BTreeMap::new(),
    };
    let centres = only.map_or_else(|| find_centres(graph), |centre| vec![centre]);
    let mut hubs_in = BTreeMap::new();
    let mut hubs_out = BTreeMap::new();
    for layer in graph.boundaries.keys() {
        for centre in &centres {
            hubs_in.insert((*layer, *centre), built.network.add_node());
            hubs_out.insert((*layer, *centre), built.network.add_node());
        }
    }
    let entry = only.unwrap_or(ENTRY);
    add_hops(&mut built, fleet, graph, mix, entry, &hubs_in, &hubs_out);
    for (key, group) in &graph.groups {
        let is_left_out = only.is_some_and(|centre| centre != group.shape.data_centre);
        if is_left_out || !phase.fits(group.shape.role) {
            continue;
        }
        let entry = built.network.add_node();
        let centre = group.shape.data_centre;
        let end = hubs_out.get(&(group.shape.layers.end, centre)).copied();
        let exit = end.unwrap_or(sink);
        if end.is_none() && group.shape.layers.end != graph.id.layers {
            continue;
        }
        let edge = built.network.add_edge(entry, exit, group.capacity);
        built.groups.insert(key, edge);
        for (layer, boundary) in &graph.boundaries {
            let hub = hubs_in.get(&(*layer, centre)).copied();
            if let Some(hub) = hub.filter(|_| boundary.groups.contains(&key)) {
                let edge = built.network.add_edge(hub, entry, UNBOUNDED);
                built.entries.insert((*layer, key), edge);
            }
        }
    }
    built
}

fn add_hops(
    built: &mut GraphNetwork,
    fleet: &FleetTable,
    graph: &LayerGraph,
    mix: &WorkloadMix,
    entry: DataCentreIndex,
    hubs_in: &BTreeMap<(u32, DataCentreIndex), NodeIndex>,
    hubs_out: &BTreeMap<(u32, DataCentreIndex), NodeIndex>,
) {
    let bytes = bytes_per_output(activation_bytes(fleet, graph), mix);
    for ((layer, to), hub_in) in hubs_in {
        if *layer == 0 {
            let edge = built.network.add_edge(built.source, *hub_in, UNBOUNDED);
            built.hops.insert((0, entry, *to), edge);
            continue;
        }
        for ((_, from), hub_out) in hubs_out.iter().filter(|((other, _), _)| other == layer) {
            let capacity = if from == to {
                UNBOUNDED
            } else {
                let rate = fleet.links.get(*from, *to).rate.per_second();
                (rate / bytes * MILLI) as u64
            };
            let edge = built.network.add_edge(*hub_out, *hub_in, capacity);
            built.hops.insert((*layer, *from, *to), edge);
        }
    }
}

fn activation_bytes(fleet: &FleetTable, graph: &LayerGraph) -> u32 {
    let first = graph.groups.values().next();
    first
        .and_then(|group| group.members.first())
        .and_then(|key| fleet.get(*key))
        .map_or(0, |record| record.announcement.activation_bytes)
}

fn find_centres(graph: &LayerGraph) -> Vec<DataCentreIndex> {
    let mut centres: Vec<_> = graph
        .groups
        .values()
        .map(|group| group.shape.data_centre)
        .collect();
    centres.sort_unstable();
    centres.dedup();
    centres
}

/// An edge whose load is evened out, with its full capacity.
#[derive(Clone, Copy, Debug)]
struct ScaledEdge {
    edge: EdgeIndex,
    capacity: u64,
}

/// Evens out the load: lowers the capacities of groups and links as far as the whole flow passes.
///
/// A maximum flow fills some groups to the brim and leaves others empty wherever there is more
/// capacity than the narrowest cut needs; requests would queue beside idle engines. So the highest
/// load is made as low as it can be, what is narrowest at it is fixed there, and the rest goes on.
fn balance(built: &mut GraphNetwork, graph: &LayerGraph, total: u64) {
    let mut active: Vec<ScaledEdge> = find_scaled_edges(built, graph);
    for _ in 0..BALANCE_ROUNDS {
        if active.is_empty() {
            break;
        }
        let (low, high) = find_load(built, &active, total);
        scale(built, &active, low);
        built.network.max_flow(built.source, built.sink);
        let cut = built.network.min_cut(built.source);
        scale(built, &active, high);
        active.retain(|scaled| !cut.contains(&scaled.edge));
        if cut.is_empty() {
            break;
        }
    }
    built.network.max_flow(built.source, built.sink);
}

fn find_scaled_edges(built: &GraphNetwork, graph: &LayerGraph) -> Vec<ScaledEdge> {
    let groups = built.groups.iter().filter_map(|(key, edge)| {
        let capacity = graph.groups.get(*key)?.capacity;
        Some(ScaledEdge {
            edge: *edge,
            capacity,
        })
    });
    let links = built.hops.values().map(|edge| ScaledEdge {
        edge: *edge,
        capacity: built.network.capacity(*edge),
    });
    groups
        .chain(links.filter(|scaled| scaled.capacity < UNBOUNDED))
        .collect()
}

/// Load at which the whole flow does not pass, and one a little higher at which it does.
fn find_load(built: &mut GraphNetwork, active: &[ScaledEdge], total: u64) -> (f64, f64) {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BALANCE_STEPS {
        let middle = f64::midpoint(low, high);
        scale(built, active, middle);
        if built.network.max_flow(built.source, built.sink) >= total {
            high = middle;
        } else {
            low = middle;
        }
    }
    (low, high)
}

fn scale(built: &mut GraphNetwork, active: &[ScaledEdge], share: f64) {
    for scaled in active {
        let capacity = (scaled.capacity as f64 * share).ceil() as u64;
        built.network.set_capacity(scaled.edge, capacity);
    }
}

fn write_rows(built: &GraphNetwork, graph: &mut LayerGraph, phase: RoutePhase) {
    let groups = &graph.groups;
    for ((layer, from, _), _) in built.hops.iter() {
        let Some(boundary) = graph.boundaries.get_mut(layer) else {
            continue;
        };
        if boundary.rows.contains_key(&(phase, *from)) {
            continue;
        }
        let weight = |key: &GroupKey| find_weight(built, groups.get(*key), *layer, *from, *key);
        let own = boundary
            .groups
            .iter()
            .filter(|key| built.groups.contains_key(*key));
        let row = FlowRow {
            groups: own.clone().copied().collect(),
            ends: sum_up(own.map(weight)),
        };
        boundary.rows.insert((phase, *from), row);
    }
    for (layer, boundary) in &mut graph.boundaries {
        let entry = |key| built.entries.get(&(*layer, key));
        let own = boundary
            .groups
            .iter()
            .filter(|key| built.groups.contains_key(*key));
        let flow = |key: &GroupKey| entry(*key).map_or(0, |edge| built.network.flow(*edge)) as f64;
        let flows = own.map(|key| ((phase, *key), flow(key)));
        let flows: Vec<((RoutePhase, GroupKey), f64)> = flows.collect();
        boundary.flows.extend(flows);
        drop_empty_rows(boundary);
    }
}

/// Flow from data centre `from` into a group: the hop's flow, by the group's part of its hub.
fn find_weight(
    built: &GraphNetwork,
    group: Option<&EngineGroup>,
    layer: u32,
    from: DataCentreIndex,
    key: GroupKey,
) -> f64 {
    let flow = |edge: Option<&EdgeIndex>| edge.map_or(0, |edge| built.network.flow(*edge)) as f64;
    let Some(group) = group else {
        return 0.0;
    };
    let to = group.shape.data_centre;
    let into_hub: f64 = built
        .hops
        .iter()
        .filter(|((at, _, target), _)| *at == layer && *target == to)
        .map(|(_, edge)| flow(Some(edge)))
        .sum();
    if into_hub <= 0.0 {
        return 0.0;
    }
    let hop = flow(built.hops.get(&(layer, from, to)));
    hop * flow(built.entries.get(&(layer, key))) / into_hub
}

fn sum_up<I>(weights: I) -> Vec<f64>
where
    I: Iterator<Item = f64>,
{
    weights
        .scan(0.0, |total, weight| {
            *total += weight;
            Some(*total)
        })
        .collect()
}

/// A row without flow says nothing; without it the pick falls back to the number of members.
fn drop_empty_rows(boundary: &mut LayerBoundary) {
    boundary.rows.retain(|_, row| row.total() > 0.0);
}

/// Largest rate at which all layers can be run, when each engine spreads its compute freely over
/// its layers: by bisection on a flow from engines to the segments between range ends.
fn find_compute_bound(fleet: &FleetTable, graph: &LayerGraph, mix: &WorkloadMix) -> f64 {
    let mut cuts: Vec<u32> = vec![0, graph.id.layers];
    for group in graph.groups.values() {
        cuts.extend([group.shape.layers.first, group.shape.layers.end]);
    }
    cuts.sort_unstable();
    cuts.dedup();
    let mut network = FlowNetwork::default();
    let source = network.add_node();
    let sink = network.add_node();
    let segments: Vec<_> = cuts
        .windows(2)
        .filter_map(|pair| LayerRange::new(pair[0], pair[1]))
        .map(|range| {
            let node = network.add_node();
            (range, node, network.add_edge(node, sink, 0))
        })
        .collect();
    let mut all = 0.0;
    for group in graph
        .groups
        .values()
        .filter(|g| g.shape.role != EngineRole::Prefill)
    {
        let rate: f64 = group
            .members
            .iter()
            .filter_map(|key| fleet.get(*key))
            .map(|record| compute_capacity(&record.announcement, mix))
            .sum();
        let layer_rate = rate * f64::from(group.shape.layers.len());
        all += layer_rate;
        let node = network.add_node();
        network.add_edge(source, node, (layer_rate * MILLI) as u64);
        for (range, segment, _) in &segments {
            if group.shape.layers.covers(*range) {
                network.add_edge(node, *segment, UNBOUNDED);
            }
        }
    }
    let (mut low, mut high) = (0.0, all / f64::from(graph.id.layers.max(1)));
    for _ in 0..BISECTION_STEPS {
        let rate = f64::midpoint(low, high);
        let mut demand = 0;
        for (range, _, edge) in &segments {
            let wanted = (rate * f64::from(range.len()) * MILLI) as u64;
            network.set_capacity(*edge, wanted);
            demand += wanted;
        }
        if network.max_flow(source, sink) >= demand {
            low = rate;
        } else {
            high = rate;
        }
    }
    low
}
