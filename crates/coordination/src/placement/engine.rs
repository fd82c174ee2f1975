//! Engines as placement sees them, and what selectors want placed.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::layout::{DraftLoad, EngineMemory};
use crate::base::{LayerRange, ModelName, MonotonicTime, ServerName, VersionName};

new_key_type! {
    /// Key of an engine in the placement table.
    pub(crate) struct PlacedKey;
}

/// A model in one version.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{model}@{version}")]
pub struct WeightsId {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
}

/// Weights on an engine.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{weights}[{layers}]")]
pub struct HeldWeights {
    /// Which weights.
    pub weights: WeightsId,
    /// Which layers of them.
    pub layers: LayerRange,
}

/// What an engine was last seen to be and to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// Engine.
    pub server: ServerName,
    /// Layers that fit in its memory.
    pub max_layers: u32,
    /// Tokens a second that it would run through a single layer.
    pub layer_rate: u32,
    /// Its memory, where placement is to weigh request memory.
    pub memory: Option<EngineMemory>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// What it serves now.
    pub held: Option<HeldWeights>,
    /// What it is loading.
    pub loading: Option<HeldWeights>,
}

/// Weights that selectors want served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTarget {
    /// Which weights.
    pub weights: WeightsId,
    /// Number of layers of the model.
    pub layers: u32,
    /// Share of the engines relative to other targets; at least 1.
    pub share: u32,
    /// The usual draft, where engines tell their memory: layers are laid out by the drafts that
    /// fit, and not by steps a second.
    pub load: Option<DraftLoad>,
}

/// An engine in the placement table.
#[derive(Clone, Debug)]
pub(crate) struct PlacedEngine {
    pub(crate) seen: EngineObservation,
    /// Load ordered by this process and not yet seen; it counts as planned.
    pub(crate) ordered: Option<PendingLoad>,
    /// Until when the engine is left out, because a load was not seen in time.
    pub(crate) excluded_until: Option<MonotonicTime>,
}

/// A load that was ordered.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    pub(crate) load: HeldWeights,
    pub(crate) at: MonotonicTime,
}

impl PlacedEngine {
    /// What the engine will hold once its loads are done.
    pub(crate) fn planned(&self) -> Option<&HeldWeights> {
        let ordered = self.ordered.as_ref().map(|pending| &pending.load);
        ordered
            .or(self.seen.loading.as_ref())
            .or(self.seen.held.as_ref())
    }

    /// Whether the weight store is loading to it, as far as is known.
    pub(crate) fn is_loading(&self) -> bool {
        self.ordered.is_some() || self.seen.loading.is_some()
    }

    /// Most layers that leave `tokens` of request memory, where it tells its memory.
    pub(crate) fn max_layers_beside(&self, tokens: u64) -> u32 {
        let most = self.seen.max_layers;
        let by_memory = self
            .seen
            .memory
            .map(|memory| memory.max_layers_beside(tokens));
        by_memory.map_or(most, |layers| layers.min(most))
    }

    /// Whether it may be ordered to load something else now.
    pub(crate) fn can_be_ordered(&self, now: MonotonicTime) -> bool {
        let is_left_out = self.excluded_until.is_some_and(|until| until > now);
        !self.is_loading() && !is_left_out && self.seen.max_layers > 0
    }

    /// What the engine adds to each layer of `layers`: drafts a second that would pass if it ran that
    /// layer alone, where it tells its memory and the usual draft is known; else tokens a second.
    ///
    /// Second copies go where this is lowest. By memory alone they went beside the quickest engines,
    /// where hardly a draft needed them, and most drafts ran over single copies of the slow layers.
    pub(crate) fn rate_over(&self, layers: LayerRange, load: Option<DraftLoad>) -> f64 {
        let layer_rate = f64::from(self.seen.layer_rate);
        if let (Some(memory), Some(load)) = (self.seen.memory, load) {
            return load.draft_throughput(memory.tokens(layers.len()), 1.0 / layer_rate.max(1.0));
        }
        layer_rate / f64::from(layers.len().max(1))
    }
}
