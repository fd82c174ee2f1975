//! Announcements of engines and their validation.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

use super::unit::{ByteRate, TokenCount, TokenRate};
use crate::base::{
    AdapterName, DataCentreName, FindingList, Incarnation, LayerRange, ModelName, Place,
    SequenceNumber, ServerName, VersionName,
};

/// Maximum number of adapters per engine; it limits the number of graphs that contain the engine.
pub const MAX_ADAPTERS: usize = 64;

/// Name of a kind of accelerator.
#[derive(
    Clone, Debug, Display, From, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[from(&str, String, Arc<str>)]
#[as_ref(str)]
pub struct AcceleratorKind(Arc<str>);

/// Phases of a request that an engine runs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; the engine transfers the KV cache to decode engines.
    Prefill,
    /// Decode only.
    Decode,
}

/// Properties that an engine announces. Rates apply to all of `layers` together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnnouncement {
    /// Name of the engine, unique among backend servers.
    pub server: ServerName,
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation; a lower number never replaces a higher
    /// one.
    pub sequence: SequenceNumber,
    /// Kind of the engine's accelerators.
    pub kind: AcceleratorKind,
    /// Data centre of the engine.
    pub data_centre: DataCentreName,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub version: VersionName,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// Layers that the engine holds; it can run any sub-range of them.
    pub layers: LayerRange,
    /// Adapters that the engine can apply.
    pub adapters: Vec<AdapterName>,
    /// Phases of requests that the engine runs.
    pub role: EngineRole,
    /// Capacity of the KV cache, in tokens across its layers.
    pub kv_capacity: TokenCount,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: TokenRate,
    /// Decode rate with a full batch, in generated tokens per second.
    pub decode_rate: TokenRate,
    /// Duration of one decode step with a batch of one.
    pub step_floor: Duration,
    /// Rate of the engine's network link in each direction.
    pub link_rate: ByteRate,
    /// Activation bytes per token between two stages.
    pub activation_bytes: u32,
    /// KV cache bytes per token across its layers, for a transfer between engines.
    pub kv_bytes: u32,
}

impl EngineAnnouncement {
    /// Validates the announcement; the list is empty if the engine is routable.
    pub fn check(&self) -> FindingList {
        let mut findings = FindingList::default();
        let layers_fit = !self.layers.is_empty() && self.layers.end <= self.model_layers;
        let rules = [
            (layers_fit, "layers", "a range within the model's layers"),
            (
                self.adapters.len() <= MAX_ADAPTERS,
                "adapters",
                "at most 64 adapters",
            ),
            (self.kv_capacity.0 > 0, "kv-capacity", "at least one token"),
            (self.prefill_rate.0 > 0, "prefill-rate", "a rate above 0"),
            (self.decode_rate.0 > 0, "decode-rate", "a rate above 0"),
            (self.link_rate.0 > 0, "link-rate", "a rate above 0"),
        ];
        for (is_valid, field, expected) in rules {
            if !is_valid {
                let place = self.place();
                findings.error(place, format!("{field} of the announcement"), expected);
            }
        }
        findings
    }

    /// Whether `other` is newer, by incarnation and then by sequence.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) < (other.incarnation, other.sequence)
    }

    fn place(&self) -> Place {
        Place {
            file: Arc::from(self.server.as_str()),
            line: 0,
            column: 0,
        }
    }
}
