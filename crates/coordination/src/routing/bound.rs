//! Maximum flow over a layer graph: the throughput bound, and the flow weights that achieve it.
//!
//! Each group is an edge with the capacity of the group. Every pair of boundary and data centre has
//! two hub nodes: stages that end there lead to the outgoing hub, and stages that begin there start
//! from the incoming hub. Edges with the capacity of the links between data centres connect the
//! hubs of a boundary. The network therefore grows with groups and data centres, not with engines.

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

/// Placeholder for the data centre before the first stage; it is equally close to all others.
pub(crate) const BEFORE_FIRST_STAGE: DataCentreIndex = DataCentreIndex(u16::MAX);

/// Bisection steps of the search for the lowest load factor that still carries the total flow.
const BALANCE_STEPS: u32 = 8;

/// Maximum number of minimum cuts whose edge capacities load balancing sets, one cut per round.
const BALANCE_ROUNDS: u32 = 16;

/// Bisection steps of the search for the compute bound; 40 halvings leave an error of less than a
/// thousandth of a token per second.
const BISECTION_STEPS: u32 = 40;

/// Throughput bounds of a graph for the mean request, in generated tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FlowBound {
    /// Maximum flow limited by compute, KV cache and links. An engine counts with the capacity for
    /// its full range even where a stage runs only a part of it.
    pub flow: f64,
    /// Limit by compute alone if every engine divides its compute freely between its layers. No
    /// route choice can exceed it.
    pub compute: f64,
}

/// Flow network of one graph and phase.
struct GraphNetwork {
    network: FlowNetwork,
    source: NodeIndex,
    sink: NodeIndex,
    /// Edge that carries the total flow of a group.
    groups: BTreeMap<GroupKey, EdgeIndex>,
    /// Edge from the incoming hub of a boundary into a group.
    group_inflows: BTreeMap<(u32, GroupKey), EdgeIndex>,
    /// Edge between the hubs of a boundary, by layer, source and target data centre.
    hops: BTreeMap<(u32, DataCentreIndex, DataCentreIndex), EdgeIndex>,
}

/// Recomputes the flow weights of all boundaries, or only those of the changed data centres if
/// pipelines stay within one data centre.
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

/// Removes the flow weights of one data centre.
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

/// Writes the flow weights of all pipelines, or of those in the data centre `within`. Returns their
/// total flow in milli-tokens per second.
fn refresh_scope(
    fleet: &FleetTable,
    graph: &mut LayerGraph,
    mix: &WorkloadMix,
    within: Option<DataCentreIndex>,
) -> u64 {
    let mut flow = 0;
    for phase in RoutePhase::ALL {
        if phase != RoutePhase::Combined && !graph.has_split_roles {
            continue;
        }
        let mut net = build_network(fleet, graph, phase, mix, within);
        let total = net.network.max_flow(net.source, net.sink);
        flow = flow.max(total);
        balance(&mut net, graph, total);
        write_rows(&net, graph, phase);
    }
    flow
}

/// Computes the bounds of a graph. With split roles, the flow bound is the higher one of combined
/// pipelines and of pairs of prefill and decode pipelines.
pub(crate) fn find_bound(fleet: &FleetTable, graph: &LayerGraph, mix: &WorkloadMix) -> FlowBound {
    let flow_of = |phase| {
        let mut net = build_network(fleet, graph, phase, mix, None);
        net.network.max_flow(net.source, net.sink) as f64 / MILLI
    };
    let combined = flow_of(RoutePhase::Combined);
    let split = if graph.has_split_roles {
        flow_of(RoutePhase::Prefill).min(flow_of(RoutePhase::Decode))
    } else {
        0.0
    };
    FlowBound {
        flow: combined.max(split),
        compute: find_compute_bound(fleet, graph, mix),
    }
}

fn build_network(
    fleet: &FleetTable,
    graph: &LayerGraph,
    phase: RoutePhase,
    mix: &WorkloadMix,
    within: Option<DataCentreIndex>,
) -> GraphNetwork {
    let mut network = FlowNetwork::default();
    let source = network.add_node();
    let sink = network.add_node();
    let mut net = GraphNetwork {
        network,
        source,
        sink,
        groups: BTreeMap::new(),
        group_inflows: BTreeMap::new(),
        hops: BTreeMap::new(),
    };
    let centres = within.map_or_else(|| find_centres(graph), |centre| vec![centre]);
    let mut hubs_in = BTreeMap::new();
    let mut hubs_out = BTreeMap::new();
    for layer in graph.boundaries.keys() {
        for centre in &centres {
            hubs_in.insert((*layer, *centre), net.network.add_node());
            hubs_out.insert((*layer, *centre), net.network.add_node());
        }
    }
    let entry = within.unwrap_or(BEFORE_FIRST_STAGE);
    add_hops(&mut net, fleet, graph, mix, entry, &hubs_in, &hubs_out);
    for (key, group) in &graph.groups {
        let is_excluded = within.is_some_and(|centre| centre != group.shape.data_centre);
        if is_excluded || !phase.fits(group.shape.role) {
            continue;
        }
        let group_node = net.network.add_node();
        let centre = group.shape.data_centre;
        let end = hubs_out.get(&(group.shape.layers.end, centre)).copied();
        let exit = end.unwrap_or(sink);
        if end.is_none() && group.shape.layers.end != graph.id.layers {
            continue;
        }
        let edge = net.network.add_edge(group_node, exit, group.capacity);
        net.groups.insert(key, edge);
        for (layer, boundary) in &graph.boundaries {
            let hub = hubs_in.get(&(*layer, centre)).copied();
            if let Some(hub) = hub.filter(|_| boundary.groups.contains(&key)) {
                let edge = net.network.add_edge(hub, group_node, UNBOUNDED);
                net.group_inflows.insert((*layer, key), edge);
            }
        }
    }
    net
}

fn add_hops(
    net: &mut GraphNetwork,
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
            let edge = net.network.add_edge(net.source, *hub_in, UNBOUNDED);
            net.hops.insert((0, entry, *to), edge);
            continue;
        }
        for ((_, from), hub_out) in hubs_out.iter().filter(|((other, _), _)| other == layer) {
            let capacity = if from == to {
                UNBOUNDED
            } else {
                let rate = fleet.links.get(*from, *to).rate.per_second();
                (rate / bytes * MILLI) as u64
            };
            let edge = net.network.add_edge(*hub_out, *hub_in, capacity);
            net.hops.insert((*layer, *from, *to), edge);
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

/// An edge whose load is balanced, with its full capacity.
#[derive(Clone, Copy, Debug)]
struct ScaledEdge {
    edge: EdgeIndex,
    capacity: u64,
}

/// Balances the load: lowers the capacities of groups and links as far as the total flow permits.
///
/// Where the capacity exceeds the minimum cut, a maximum flow saturates some groups and leaves
/// others idle, so requests would queue while other engines have nothing to do. Each round
/// therefore finds the lowest load factor that carries the total flow, fixes the edges of the
/// minimum cut at that factor, and continues with the others.
fn balance(net: &mut GraphNetwork, graph: &LayerGraph, total: u64) {
    let mut active: Vec<ScaledEdge> = find_scaled_edges(net, graph);
    for _ in 0..BALANCE_ROUNDS {
        if active.is_empty() {
            break;
        }
        let (low, high) = find_load(net, &active, total);
        scale_capacities(net, &active, low);
        net.network.max_flow(net.source, net.sink);
        let cut = net.network.min_cut(net.source);
        scale_capacities(net, &active, high);
        active.retain(|scaled| !cut.contains(&scaled.edge));
        if cut.is_empty() {
            break;
        }
    }
    net.network.max_flow(net.source, net.sink);
}

fn find_scaled_edges(net: &GraphNetwork, graph: &LayerGraph) -> Vec<ScaledEdge> {
    let groups = net.groups.iter().filter_map(|(key, edge)| {
        let capacity = graph.groups.get(*key)?.capacity;
        Some(ScaledEdge {
            edge: *edge,
            capacity,
        })
    });
    let links = net.hops.values().map(|edge| ScaledEdge {
        edge: *edge,
        capacity: net.network.capacity(*edge),
    });
    groups
        .chain(links.filter(|scaled| scaled.capacity < UNBOUNDED))
        .collect()
}

/// Returns a load factor that is too low for the total flow, and a slightly higher one that is
/// sufficient.
fn find_load(net: &mut GraphNetwork, active: &[ScaledEdge], total: u64) -> (f64, f64) {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BALANCE_STEPS {
        let factor = f64::midpoint(low, high);
        scale_capacities(net, active, factor);
        if net.network.max_flow(net.source, net.sink) >= total {
            high = factor;
        } else {
            low = factor;
        }
    }
    (low, high)
}

fn scale_capacities(net: &mut GraphNetwork, active: &[ScaledEdge], factor: f64) {
    for scaled in active {
        let capacity = (scaled.capacity as f64 * factor).ceil() as u64;
        net.network.set_capacity(scaled.edge, capacity);
    }
}

fn write_rows(net: &GraphNetwork, graph: &mut LayerGraph, phase: RoutePhase) {
    let groups = &graph.groups;
    for ((layer, from, _), _) in net.hops.iter() {
        let Some(boundary) = graph.boundaries.get_mut(layer) else {
            continue;
        };
        if boundary.rows.contains_key(&(phase, *from)) {
            continue;
        }
        let weight = |key: &GroupKey| find_weight(net, groups.get(*key), *layer, *from, *key);
        let usable_groups = boundary
            .groups
            .iter()
            .filter(|key| net.groups.contains_key(*key));
        let row = FlowRow {
            groups: usable_groups.clone().copied().collect(),
            cumulative_flow: cumulative_sums(usable_groups.map(weight)),
        };
        boundary.rows.insert((phase, *from), row);
    }
    for (layer, boundary) in &mut graph.boundaries {
        let inflow = |key| net.group_inflows.get(&(*layer, key));
        let usable_groups = boundary
            .groups
            .iter()
            .filter(|key| net.groups.contains_key(*key));
        let flow = |key: &GroupKey| inflow(*key).map_or(0, |edge| net.network.flow(*edge)) as f64;
        let flows = usable_groups.map(|key| ((phase, *key), flow(key)));
        let flows: Vec<((RoutePhase, GroupKey), f64)> = flows.collect();
        boundary.flows.extend(flows);
        drop_empty_rows(boundary);
    }
}

/// Returns the flow from data centre `from` into a group: the flow from there into the group's hub,
/// multiplied by the group's share of the hub's total flow.
fn find_weight(
    net: &GraphNetwork,
    group: Option<&EngineGroup>,
    layer: u32,
    from: DataCentreIndex,
    key: GroupKey,
) -> f64 {
    let flow = |edge: Option<&EdgeIndex>| edge.map_or(0, |edge| net.network.flow(*edge)) as f64;
    let Some(group) = group else {
        return 0.0;
    };
    let to = group.shape.data_centre;
    let hub_inflow: f64 = net
        .hops
        .iter()
        .filter(|((at, _, target), _)| *at == layer && *target == to)
        .map(|(_, edge)| flow(Some(edge)))
        .sum();
    if hub_inflow <= 0.0 {
        return 0.0;
    }
    let hop = flow(net.hops.get(&(layer, from, to)));
    hop * flow(net.group_inflows.get(&(layer, key))) / hub_inflow
}

fn cumulative_sums<I>(weights: I) -> Vec<f64>
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

/// Removes rows without flow, so that sampling by flow falls back to uniform sampling of members.
fn drop_empty_rows(boundary: &mut LayerBoundary) {
    boundary.rows.retain(|_, row| row.total() > 0.0);
}

/// Returns the highest rate, in tokens per second, at which the engines can run all layers if each
/// divides its compute freely between its layers.
///
/// Bisects the rate. A rate is feasible if a flow from the groups to the layer segments between
/// consecutive range boundaries meets the demand of every segment.
fn find_compute_bound(fleet: &FleetTable, graph: &LayerGraph, mix: &WorkloadMix) -> f64 {
    let mut range_boundaries: Vec<u32> = vec![0, graph.id.layers];
    for group in graph.groups.values() {
        range_boundaries.extend([group.shape.layers.first, group.shape.layers.end]);
    }
    range_boundaries.sort_unstable();
    range_boundaries.dedup();
    let mut network = FlowNetwork::default();
    let source = network.add_node();
    let sink = network.add_node();
    let segments: Vec<_> = range_boundaries
        .windows(2)
        .filter_map(|pair| LayerRange::new(pair[0], pair[1]))
        .map(|range| {
            let node = network.add_node();
            (range, node, network.add_edge(node, sink, 0))
        })
        .collect();
    let mut total_rate = 0.0;
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
        total_rate += layer_rate;
        let node = network.add_node();
        network.add_edge(source, node, (layer_rate * MILLI) as u64);
        for (range, segment, _) in &segments {
            if group.shape.layers.covers(*range) {
                network.add_edge(node, *segment, UNBOUNDED);
            }
        }
    }
    let (mut low, mut high) = (0.0, total_rate / f64::from(graph.id.layers.max(1)));
    for _ in 0..BISECTION_STEPS {
        let rate = f64::midpoint(low, high);
        let mut demand = 0;
        for (range, _, edge) in &segments {
            let required = (rate * f64::from(range.len()) * MILLI) as u64;
            network.set_capacity(*edge, required);
            demand += required;
        }
        if network.max_flow(source, sink) >= demand {
            low = rate;
        } else {
            high = rate;
        }
    }
    low
}
