//! Layer graph of one model, version and adapter: the engines that can run a stage at each layer.
//!
//! Engines of one kind, data centre, role and layer range form a group. A stage begins at layer 0
//! or where another stage can end, and runs to the end of its engine's range. An engine whose range
//! begins earlier than the stage runs only the end of that range. Grouping bounds the size of the
//! graph regardless of the number of engines.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use slotmap::{SlotMap, new_key_type};

use super::engine::{AcceleratorKind, EngineRole};
use super::fleet::EngineKey;
use super::link::DataCentreIndex;
use super::view::StageTime;
use crate::base::{AdapterName, LayerRange, ModelName, VersionName};

new_key_type! {
    /// Key of an engine group within its graph.
    pub(crate) struct GroupKey;
}

/// Properties shared by all engines of a graph.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct GraphId {
    /// Model name.
    pub model: ModelName,
    /// Adapter; `None` for the base model.
    pub adapter: Option<AdapterName>,
    /// Version of the weights.
    pub version: VersionName,
    /// Number of layers of the model.
    pub layers: u32,
}

/// Part of a request that a walk through the graph serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RoutePhase {
    /// The same engines process the prompt and generate the tokens.
    Combined,
    /// Processes the prompt, then hands over the KV cache.
    Prefill,
    /// Generates the tokens from the received KV cache.
    Decode,
}

impl RoutePhase {
    pub(crate) const ALL: [Self; 3] = [Self::Combined, Self::Prefill, Self::Decode];

    pub(crate) fn fits(self, role: EngineRole) -> bool {
        match role {
            EngineRole::Both => true,
            EngineRole::Prefill => self == Self::Prefill,
            EngineRole::Decode => self == Self::Decode,
        }
    }
}

/// Properties shared by all engines of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupShape {
    pub(crate) layers: LayerRange,
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) role: EngineRole,
    pub(crate) kind: AcceleratorKind,
}

/// Engines of one shape.
#[derive(Clone, Debug)]
pub(crate) struct EngineGroup {
    pub(crate) shape: GroupShape,
    /// Members in arbitrary order; never empty.
    pub(crate) members: Vec<EngineKey>,
    /// Sum of the members' capacities for the mean request, in milli-tokens per second.
    pub(crate) capacity: u64,
}

/// Flow from one data centre into the groups at a boundary.
///
/// May contain keys of groups that were removed after the flow was computed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowRow {
    pub(crate) groups: Vec<GroupKey>,
    /// Cumulative flow into `groups`, one entry per group.
    pub(crate) cumulative_flow: Vec<f64>,
}

impl FlowRow {
    /// Returns the flow into all groups.
    pub(crate) fn total(&self) -> f64 {
        self.cumulative_flow.last().copied().unwrap_or(0.0)
    }
}

/// A layer at which stages may begin.
#[derive(Clone, Debug, Default)]
pub(crate) struct LayerBoundary {
    /// Groups that hold the layer and from whose end a pipeline can reach the last layer.
    pub(crate) groups: Vec<GroupKey>,
    /// Cumulative number of members of `groups`, one entry per group.
    pub(crate) cumulative_members: Vec<u32>,
    /// Flow weights by phase and data centre of the previous stage, as of the last refresh.
    pub(crate) rows: BTreeMap<(RoutePhase, DataCentreIndex), FlowRow>,
    /// Flow into each group by phase, from all data centres, as of the last refresh.
    pub(crate) flows: BTreeMap<(RoutePhase, GroupKey), f64>,
    /// Mean time from here to the last layer by phase, as of the last refresh.
    pub(crate) remaining_times: BTreeMap<RoutePhase, StageTime>,
}

impl LayerBoundary {
    /// Returns the number of engines that can run a stage from here.
    pub(crate) fn len(&self) -> u32 {
        self.cumulative_members.last().copied().unwrap_or(0)
    }
}

/// Engines and boundaries of one [`GraphId`].
#[derive(Clone, Debug)]
pub(crate) struct LayerGraph {
    pub(crate) id: GraphId,
    pub(crate) groups: SlotMap<GroupKey, EngineGroup>,
    by_shape: BTreeMap<GroupShape, GroupKey>,
    pub(crate) boundaries: BTreeMap<u32, LayerBoundary>,
    /// Data centres whose members or links changed since the last flow computation.
    pub(crate) stale: BTreeSet<DataCentreIndex>,
    /// Flow of complete pipelines at the last computation, in milli-tokens per second.
    pub(crate) flow: u64,
    /// Flow of complete pipelines within each data centre, in milli-tokens per second; empty if
    /// pipelines may span data centres.
    pub(crate) centre_flows: BTreeMap<DataCentreIndex, u64>,
    /// Whether any engine has the role `Prefill` or `Decode`.
    pub(crate) has_split_roles: bool,
}

impl LayerGraph {
    pub(crate) fn new(id: GraphId) -> Self {
        Self {
            id,
            groups: SlotMap::with_key(),
            by_shape: BTreeMap::new(),
            boundaries: BTreeMap::new(),
            stale: BTreeSet::new(),
            flow: 0,
            centre_flows: BTreeMap::new(),
            has_split_roles: false,
        }
    }

    /// Adds an engine to the group of its shape, which is created if missing.
    pub(crate) fn insert(&mut self, key: EngineKey, shape: GroupShape, capacity: u64) {
        self.stale.insert(shape.data_centre);
        let existing = self.by_shape.get(&shape).copied();
        let Some(group) = existing.and_then(|group| self.groups.get_mut(group)) else {
            self.insert_group(key, shape, capacity);
            return;
        };
        group.members.push(key);
        group.capacity += capacity;
        self.count_members();
    }

    /// Removes an engine; policies no longer sample it.
    pub(crate) fn remove(&mut self, key: EngineKey, shape: &GroupShape, capacity: u64) {
        self.stale.insert(shape.data_centre);
        let Some(group_key) = self.by_shape.get(shape).copied() else {
            return;
        };
        let Some(group) = self.groups.get_mut(group_key) else {
            return;
        };
        group.members.retain(|member| *member != key);
        group.capacity = group.capacity.saturating_sub(capacity);
        if !group.members.is_empty() {
            self.count_members();
            return;
        }
        self.groups.remove(group_key);
        self.by_shape.remove(shape);
        self.rebuild();
    }

    /// Returns whether a complete pipeline exists when every engine is permitted.
    pub(crate) fn has_pipeline(&self) -> bool {
        self.boundaries
            .get(&0)
            .is_some_and(|boundary| boundary.len() > 0)
    }

    /// Returns the mean time from `layer` to the last one; zero at the end of the model and before
    /// the first refresh.
    pub(crate) fn remaining_time(&self, phase: RoutePhase, layer: u32) -> StageTime {
        let boundary = self.boundaries.get(&layer);
        boundary
            .and_then(|boundary| boundary.remaining_times.get(&phase).copied())
            .unwrap_or_default()
    }

    /// Returns the first layer that no engine holds, or `None` if engines hold all layers.
    pub(crate) fn first_uncovered(&self) -> Option<u32> {
        let mut next = 0;
        loop {
            let end = self
                .groups
                .values()
                .filter(|group| group.shape.layers.first <= next)
                .map(|group| group.shape.layers.end)
                .max()
                .unwrap_or(0);
            if end <= next {
                return Some(next);
            }
            if end >= self.id.layers {
                return None;
            }
            next = end;
        }
    }

    /// Counts the engines with the range `layers`. The ejection limit applies to this peer class.
    pub(crate) fn count_peers(&self, layers: LayerRange) -> usize {
        self.groups
            .values()
            .filter(|group| group.shape.layers == layers)
            .map(|group| group.members.len())
            .sum()
    }

    fn insert_group(&mut self, key: EngineKey, shape: GroupShape, capacity: u64) {
        let group = EngineGroup {
            shape: shape.clone(),
            members: vec![key],
            capacity,
        };
        let group_key = self.groups.insert(group);
        self.by_shape.insert(shape, group_key);
        self.rebuild();
    }

    /// Recomputes the boundaries and their groups. The next refresh updates the flow weights.
    fn rebuild(&mut self) {
        let mut starts: Vec<u32> = self.groups.values().map(|g| g.shape.layers.end).collect();
        starts.push(0);
        starts.sort_unstable();
        starts.dedup();
        let mut previous = std::mem::take(&mut self.boundaries);
        for start in starts.into_iter().rev() {
            let groups = self.find_groups(start);
            if !groups.is_empty() {
                let boundary = LayerBoundary {
                    groups,
                    ..previous.remove(&start).unwrap_or_default()
                };
                self.boundaries.insert(start, boundary);
            }
        }
        self.has_split_roles = self
            .groups
            .values()
            .any(|group| group.shape.role != EngineRole::Both);
        self.count_members();
    }

    fn find_groups(&self, start: u32) -> Vec<GroupKey> {
        let reaches_last_layer =
            |end: u32| end == self.id.layers || self.boundaries.contains_key(&end);
        self.by_shape
            .iter()
            .filter(|(shape, _)| shape.layers.first <= start && start < shape.layers.end)
            .filter(|(shape, _)| reaches_last_layer(shape.layers.end))
            .map(|(_, key)| *key)
            .collect()
    }

    fn count_members(&mut self) {
        for boundary in self.boundaries.values_mut() {
            let mut total = 0;
            boundary.cumulative_members.clear();
            for group in &boundary.groups {
                let members = self.groups.get(*group).map_or(0, |g| g.members.len());
                total += u32::try_from(members).unwrap_or(u32::MAX);
                boundary.cumulative_members.push(total);
            }
        }
    }
}
