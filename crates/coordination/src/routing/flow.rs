//! Maximum flow by Dinic's algorithm.

use std::collections::{BTreeSet, VecDeque};

/// Capacity of an edge without a limit; larger than any possible flow.
pub(crate) const UNBOUNDED: u64 = u64::MAX / 4;

/// Node of a flow network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeIndex(usize);

/// Edge of a flow network; refers to the forward edge, not its reverse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EdgeIndex(usize);

#[derive(Clone, Copy, Debug)]
struct FlowEdge {
    target: usize,
    /// Remaining capacity.
    residual: u64,
}

/// A directed flow network. Edges are stored in pairs: a forward edge at an even index, then its
/// reverse edge.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowNetwork {
    edges: Vec<FlowEdge>,
    /// Capacity of the forward edge of each pair.
    capacities: Vec<u64>,
    outgoing: Vec<Vec<usize>>,
}

impl FlowNetwork {
    pub(crate) fn add_node(&mut self) -> NodeIndex {
        self.outgoing.push(Vec::new());
        NodeIndex(self.outgoing.len() - 1)
    }

    pub(crate) fn add_edge(
        &mut self,
        from: NodeIndex,
        target: NodeIndex,
        capacity: u64,
    ) -> EdgeIndex {
        let index = self.edges.len();
        self.push_edge(from.0, target.0, capacity);
        self.push_edge(target.0, from.0, 0);
        self.capacities.push(capacity);
        EdgeIndex(index)
    }

    /// Sets the capacity of an edge, which the next [`FlowNetwork::max_flow`] uses.
    pub(crate) fn set_capacity(&mut self, edge: EdgeIndex, capacity: u64) {
        if let Some(slot) = self.capacities.get_mut(edge.0 / 2) {
            *slot = capacity;
        }
    }

    /// Returns the flow over an edge, as of the last [`FlowNetwork::max_flow`].
    pub(crate) fn flow(&self, edge: EdgeIndex) -> u64 {
        self.edges.get(edge.0 + 1).map_or(0, |edge| edge.residual)
    }

    /// Returns the current capacity of an edge.
    pub(crate) fn capacity(&self, edge: EdgeIndex) -> u64 {
        self.capacities.get(edge.0 / 2).copied().unwrap_or(0)
    }

    /// Returns the edges of the minimum cut nearest to `source`, as of the last
    /// [`FlowNetwork::max_flow`].
    pub(crate) fn min_cut(&self, source: NodeIndex) -> BTreeSet<EdgeIndex> {
        let levels = self.find_levels(source.0);
        let is_reached = |node: usize| levels[node] != usize::MAX;
        (0..self.edges.len())
            .step_by(2)
            .filter(|index| is_reached(self.edges[index + 1].target))
            .filter(|index| !is_reached(self.edges[*index].target))
            .map(EdgeIndex)
            .collect()
    }

    /// Clears the flow and computes the maximum flow from `source` to `sink`.
    pub(crate) fn max_flow(&mut self, source: NodeIndex, sink: NodeIndex) -> u64 {
        self.clear_flow();
        let mut total = 0;
        loop {
            let levels = self.find_levels(source.0);
            if levels[sink.0] == usize::MAX {
                return total;
            }
            let mut cursors = vec![0; self.outgoing.len()];
            loop {
                let pushed = self.push(source.0, sink.0, UNBOUNDED, &levels, &mut cursors);
                if pushed == 0 {
                    break;
                }
                total += pushed;
            }
        }
    }

    fn push_edge(&mut self, from: usize, target: usize, residual: u64) {
        self.outgoing[from].push(self.edges.len());
        self.edges.push(FlowEdge { target, residual });
    }

    fn clear_flow(&mut self) {
        for (pair, capacity) in self.edges.chunks_exact_mut(2).zip(&self.capacities) {
            pair[0].residual = *capacity;
            pair[1].residual = 0;
        }
    }

    /// Returns the distance of each node from `source` over edges with remaining capacity;
    /// `usize::MAX` for unreachable nodes.
    fn find_levels(&self, source: usize) -> Vec<usize> {
        let mut levels = vec![usize::MAX; self.outgoing.len()];
        levels[source] = 0;
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for edge in self.outgoing[node].iter().map(|index| self.edges[*index]) {
                if edge.residual > 0 && levels[edge.target] == usize::MAX {
                    levels[edge.target] = levels[node] + 1;
                    queue.push_back(edge.target);
                }
            }
        }
        levels
    }

    /// Pushes up to `limit` along one shortest path and returns the pushed flow. The recursion is
    /// at most as deep as the number of levels.
    fn push(
        &mut self,
        node: usize,
        sink: usize,
        limit: u64,
        levels: &[usize],
        cursors: &mut [usize],
    ) -> u64 {
        if node == sink {
            return limit;
        }
        while cursors[node] < self.outgoing[node].len() {
            let index = self.outgoing[node][cursors[node]];
            let edge = self.edges[index];
            if edge.residual > 0 && levels[edge.target] == levels[node] + 1 {
                let limit = limit.min(edge.residual);
                let pushed = self.push(edge.target, sink, limit, levels, cursors);
                if pushed > 0 {
                    self.edges[index].residual -= pushed;
                    self.edges[index ^ 1].residual += pushed;
                    return pushed;
                }
            }
            cursors[node] += 1;
        }
        0
    }
}

#[cfg(test)]
mod tests {
    use super::{FlowNetwork, UNBOUNDED};

    // Guards against a wrong flow, and against flow that one run leaves behind for the next.
    #[test]
    fn max_flow_equals_the_min_cut_on_every_run() {
        let mut network = FlowNetwork::default();
        let nodes: Vec<_> = (0..6).map(|_| network.add_node()).collect();
        let edges = [
            (0, 1, 16),
            (0, 2, 13),
            (1, 2, 10),
            (2, 1, 4),
            (1, 3, 12),
            (3, 2, 9),
            (2, 4, 14),
            (4, 3, 7),
            (3, 5, 20),
            (4, 5, 4),
        ];
        for (from, target, capacity) in edges {
            network.add_edge(nodes[from], nodes[target], capacity);
        }
        assert_eq!(network.max_flow(nodes[0], nodes[5]), 23);
        assert_eq!(network.max_flow(nodes[0], nodes[5]), 23);
    }

    // Guards against a run that keeps using the capacity with which the edge was added.
    #[test]
    fn max_flow_uses_a_changed_capacity() {
        let mut network = FlowNetwork::default();
        let source = network.add_node();
        let sink = network.add_node();
        let edge = network.add_edge(source, sink, 3);
        assert_eq!(network.max_flow(source, sink), 3);
        network.set_capacity(edge, UNBOUNDED);
        assert_eq!(network.max_flow(source, sink), UNBOUNDED);
        assert_eq!(network.flow(edge), UNBOUNDED);
    }
}
