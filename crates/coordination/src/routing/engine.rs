//! What an engine announces, and how an announcement is checked.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

use super::unit::{ByteRate, TokenCount, TokenRate};
use crate::base::{
    AdapterName, DataCentreName, FindingList, Incarnation, LayerRange, ModelName, Place,
    SequenceNumber, ServerName, VersionName,
};

/// Most adapters that one engine may announce; bounds the graphs that it is a member of.
pub const MAX_ADAPTERS: usize = 64;

/// Name of a kind of accelerator.
#[derive(
    Clone, Debug, Display, From, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[from(&str, String, Arc<str>)]
#[as_ref(str)]
pub struct AcceleratorKind(Arc<str>);

/// Which part of a request an engine works on.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prompts and tokens.
    #[default]
    Both,
    /// Prompts only; the KV cache is handed to decoding engines.
    Prefill,
    /// Tokens only.
    Decode,
}

/// What an engine says of itself. Rates are for the whole of `layers`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnnouncement {
    /// Name, unique among backend servers.
    pub server: ServerName,
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Number of the announcement within that life; a lower one never replaces a higher one.
    pub sequence: SequenceNumber,
    /// Kind of its accelerators.
    pub kind: AcceleratorKind,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Model that it serves.
    pub model: ModelName,
    /// Version of the weights that it holds.
    pub version: VersionName,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// Layers that it holds; it can be asked to run any sub-range of them.
    pub layers: LayerRange,
    /// Adapters that it can apply.
    pub adapters: Vec<AdapterName>,
    /// Its part in requests.
    pub role: EngineRole,
    /// KV cache, in tokens over its layers.
    pub kv_capacity: TokenCount,
    /// Prompt tokens a second.
    pub prefill_rate: TokenRate,
    /// Generated tokens a second with a full batch.
    pub decode_rate: TokenRate,
    /// Time of one decode step with a batch of one.
    pub step_floor: Duration,
    /// Rate of its network link, in each direction.
    pub link_rate: ByteRate,
    /// Bytes of activations per token between two stages.
    pub activation_bytes: u32,
    /// Bytes of KV cache per token over its layers, for a hand-over between engines.
    pub kv_bytes: u32,
}

impl EngineAnnouncement {
    /// All that is wrong with the announcement; empty if it can be routed to.
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
        for (holds, field, expected) in rules {
            if !holds {
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
