//! Engines and targets of the placement.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::layout::{EngineMemory, TypicalDraft};
use crate::base::{LayerRange, ModelName, MonotonicTime, ServerName, VersionName};

new_key_type! {
    /// Key of an engine in the placement table.
    pub(crate) struct PlacedKey;
}

/// A version of a model.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{model}@{version}")]
pub struct WeightsId {
    /// Name of the model.
    pub model: ModelName,
    /// Name of the version.
    pub version: VersionName,
}

/// A range of layers of a model, on an engine.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{weights}[{layers}]")]
pub struct HeldWeights {
    /// Model and version.
    pub weights: WeightsId,
    /// Range of layers.
    pub layers: LayerRange,
}

/// Last observation of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// Name of the engine.
    pub server: ServerName,
    /// Maximum number of layers that fit in the engine's memory.
    pub max_layers: u32,
    /// Rate through a single layer, in tokens per second.
    pub layer_rate: u32,
    /// Memory of the engine, if the placement considers KV memory.
    pub memory: Option<EngineMemory>,
    /// Whether the engine rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Weights that the engine serves.
    pub held: Option<HeldWeights>,
    /// Weights that the engine is loading.
    pub loading: Option<HeldWeights>,
}

/// Weights that selectors require.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTarget {
    /// Model and version.
    pub weights: WeightsId,
    /// Number of layers of the model.
    pub layers: u32,
    /// Share of the engines relative to other targets; at least 1.
    pub share: u32,
    /// Typical draft, if engines report their memory. With it, layouts are planned by the number of
    /// drafts that fit rather than by the step rate.
    #[serde(rename = "load")]
    pub typical_draft: Option<TypicalDraft>,
}

/// An engine in the placement table.
#[derive(Clone, Debug)]
pub(crate) struct PlacedEngine {
    pub(crate) observation: EngineObservation,
    /// Load ordered by this process and not yet observed; it counts as planned.
    pub(crate) ordered: Option<PendingLoad>,
    /// End of the exclusion that follows a refused load, or a load that was not observed in time.
    pub(crate) excluded_until: Option<MonotonicTime>,
}

/// A load that was ordered and not yet observed.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    pub(crate) load: HeldWeights,
    pub(crate) at: MonotonicTime,
}

impl PlacedEngine {
    /// Weights that the engine holds after its pending loads finish.
    pub(crate) fn planned(&self) -> Option<&HeldWeights> {
        let ordered = self.ordered.as_ref().map(|pending| &pending.load);
        ordered
            .or(self.observation.loading.as_ref())
            .or(self.observation.held.as_ref())
    }

    /// Whether a load to the engine is ordered or in progress.
    pub(crate) fn is_loading(&self) -> bool {
        self.ordered.is_some() || self.observation.loading.is_some()
    }

    /// Maximum number of layers that leave `tokens` of KV memory, if the engine reports its memory.
    pub(crate) fn max_layers_beside(&self, tokens: u64) -> u32 {
        let max_layers = self.observation.max_layers;
        let by_memory = self
            .observation
            .memory
            .map(|memory| memory.max_layers_beside(tokens));
        by_memory.map_or(max_layers, |layers| layers.min(max_layers))
    }

    /// Whether the engine can accept another load order now.
    pub(crate) fn can_be_ordered(&self, now: MonotonicTime) -> bool {
        let is_excluded = self.excluded_until.is_some_and(|until| until > now);
        !self.is_loading() && !is_excluded && self.observation.max_layers > 0
    }

    /// Rate that the engine adds to each layer of `layers`. If the engine reports its memory and
    /// the typical draft is known, the unit is drafts per second that it would serve if it ran that
    /// layer alone; otherwise tokens per second.
    ///
    /// Second copies are placed where this rate is lowest. If they were placed by memory alone,
    /// they would go to layers of the fastest engines, where few drafts need them, and most drafts
    /// would depend on single copies of the slow layers.
    pub(crate) fn rate_over(&self, layers: LayerRange, typical_draft: Option<TypicalDraft>) -> f64 {
        let layer_rate = f64::from(self.observation.layer_rate);
        if let (Some(memory), Some(draft)) = (self.observation.memory, typical_draft) {
            return draft.draft_throughput(memory.tokens(layers.len()), 1.0 / layer_rate.max(1.0));
        }
        layer_rate / f64::from(layers.len().max(1))
    }
}
