//! Layer graph of one model, version and adapter: which engines may run a stage at which layer.
//!
//! Engines of one kind, data centre, role and layer range form a group. A stage begins at a layer
//! where another may have ended and runs to the end of its engine's range, so an engine that holds
//! more than is left to do is cut at the front. Groups keep the graph small however many engines
//! there are.

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

/// What all engines of a graph have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct GraphId {
    /// Model.
    pub model: ModelName,
    /// Adapter; none for the model as it is.
    pub adapter: Option<AdapterName>,
    /// Version of the weights.
    pub version: VersionName,
    /// Number of layers.
    pub layers: u32,
}

/// Which part of a request a walk through the graph is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RoutePhase {
    /// Prompt and tokens on the same engines.
    Combined,
    /// The prompt, on engines that hand over their KV cache.
    Prefill,
    /// The tokens, on engines that take the KV cache over.
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

/// What all engines of a group have in common.
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
    /// Members in no order; never empty.
    pub(crate) members: Vec<EngineKey>,
    /// Sum of the members' capacities for the mean request, in thousandths of a token a second.
    pub(crate) capacity: u64,
}

/// Flow from one data centre into the groups at a boundary. Groups that were removed since the flow was
/// worked out may still be named.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowRow {
    pub(crate) groups: Vec<GroupKey>,
    /// Flow into each of `groups`, summed up; as long as `groups`.
    pub(crate) ends: Vec<f64>,
}

impl FlowRow {
    /// Flow into all groups.
    pub(crate) fn total(&self) -> f64 {
        self.ends.last().copied().unwrap_or(0.0)
    }
}

/// A layer at which stages may begin.
#[derive(Clone, Debug, Default)]
pub(crate) struct LayerBoundary {
    /// Groups that hold the layer and from whose end the last layer can be reached.
    pub(crate) groups: Vec<GroupKey>,
    /// Members of `groups` up to and with each; as long as `groups`.
    pub(crate) cumulative: Vec<u32>,
    /// Flow weights by phase and data centre of the stage before, as of the last tick.
    pub(crate) rows: BTreeMap<(RoutePhase, DataCentreIndex), FlowRow>,
    /// Flow into each group by phase, from all data centres, as of the last tick.
    pub(crate) flows: BTreeMap<(RoutePhase, GroupKey), f64>,
    /// Mean time from here to the last layer by phase, as of the last tick.
    pub(crate) remaining_times: BTreeMap<RoutePhase, StageTime>,
}

impl LayerBoundary {
    /// Engines that may run a stage here.
    pub(crate) fn len(&self) -> u32 {
        self.cumulative.last().copied().unwrap_or(0)
    }
}

/// Engines and boundaries of one [`GraphId`].
#[derive(Clone, Debug)]
pub(crate) struct LayerGraph {
    pub(crate) id: GraphId,
    pub(crate) groups: SlotMap<GroupKey, EngineGroup>,
    by_shape: BTreeMap<GroupShape, GroupKey>,
    pub(crate) boundaries: BTreeMap<u32, LayerBoundary>,
    /// Data centres whose members changed since the flow was last worked out.
    pub(crate) stale: BTreeSet<DataCentreIndex>,
    /// Flow of whole pipelines when it was last worked out, in thousandths of a token a second.
    pub(crate) flow: u64,
    /// The same of those within one data centre, where they are worked out by themselves.
    pub(crate) centre_flows: BTreeMap<DataCentreIndex, u64>,
    /// Whether any engine works on prompts only or on tokens only.
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

    /// Adds an engine.
    pub(crate) fn insert(&mut self, key: EngineKey, shape: GroupShape, capacity: u64) {
        self.stale.insert(shape.data_centre);
        let known = self.by_shape.get(&shape).copied();
        let Some(group) = known.and_then(|group| self.groups.get_mut(group)) else {
            self.insert_group(key, shape, capacity);
            return;
        };
        group.members.push(key);
        group.capacity += capacity;
        self.count_members();
    }

    /// Removes an engine at once, also from what is sampled.
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

    /// Whether any pipeline covers all layers, with all engines permitted.
    pub(crate) fn has_pipeline(&self) -> bool {
        self.boundaries
            .get(&0)
            .is_some_and(|boundary| boundary.len() > 0)
    }

    /// Mean time from a layer to the last one; nothing after the last, or before the first tick.
    pub(crate) fn remaining_time(&self, phase: RoutePhase, layer: u32) -> StageTime {
        let boundary = self.boundaries.get(&layer);
        boundary
            .and_then(|boundary| boundary.remaining_times.get(&phase).copied())
            .unwrap_or_default()
    }

    /// First layer that no engine holds; none if all are held.
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

    /// Number of engines whose range is `layers`; peers for the ejection floor.
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

    /// Finds boundaries and their groups anew; flow weights that changed follow with the next tick.
    fn rebuild(&mut self) {
        let mut starts: Vec<u32> = self.groups.values().map(|g| g.shape.layers.end).collect();
        starts.push(0);
        starts.sort_unstable();
        starts.dedup();
        let mut before = std::mem::take(&mut self.boundaries);
        for start in starts.into_iter().rev() {
            let groups = self.find_groups(start);
            if !groups.is_empty() {
                let boundary = LayerBoundary {
                    groups,
                    ..before.remove(&start).unwrap_or_default()
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
        let leads_on = |end: u32| end == self.id.layers || self.boundaries.contains_key(&end);
        self.by_shape
            .iter()
            .filter(|(shape, _)| shape.layers.first <= start && start < shape.layers.end)
            .filter(|(shape, _)| leads_on(shape.layers.end))
            .map(|(_, key)| *key)
            .collect()
    }

    fn count_members(&mut self) {
        for boundary in self.boundaries.values_mut() {
            let mut total = 0;
            boundary.cumulative.clear();
            for group in &boundary.groups {
                let members = self.groups.get(*group).map_or(0, |g| g.members.len());
                total += u32::try_from(members).unwrap_or(u32::MAX);
                boundary.cumulative.push(total);
            }
        }
    }
}
