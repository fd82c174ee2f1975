//! Offers of a fleet with mixed kinds of accelerators.

use pollendrift_border::{EngineOffer, EngineOfferRole, LayerSpan};

/// Model served by a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelShape {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Number of layers.
    pub layers: u32,
}

impl Default for ModelShape {
    fn default() -> Self {
        Self {
            model: "draft".to_owned(),
            version: "v1".to_owned(),
            layers: 32,
        }
    }
}

/// A kind of accelerator. Rates apply to a quarter of the layers of the default model.
#[derive(Clone, Copy, Debug)]
struct AcceleratorKind {
    name: &'static str,
    prefill_tokens_per_second: u64,
    decode_tokens_per_second: u64,
    batch_slots: u32,
    kv_budget_tokens: u64,
    link_bytes_per_second: u64,
}

/// Four kinds; compute rates differ by a factor of 8, link rates by a factor of 100.
const KINDS: [AcceleratorKind; 4] = [
    AcceleratorKind {
        name: "kind-a",
        prefill_tokens_per_second: 64_000,
        decode_tokens_per_second: 4_000,
        batch_slots: 32,
        kv_budget_tokens: 400_000,
        link_bytes_per_second: 12_500_000_000,
    },
    AcceleratorKind {
        name: "kind-b",
        prefill_tokens_per_second: 32_000,
        decode_tokens_per_second: 2_000,
        batch_slots: 16,
        kv_budget_tokens: 200_000,
        link_bytes_per_second: 3_125_000_000,
    },
    AcceleratorKind {
        name: "kind-c",
        prefill_tokens_per_second: 16_000,
        decode_tokens_per_second: 1_000,
        batch_slots: 8,
        kv_budget_tokens: 100_000,
        link_bytes_per_second: 1_250_000_000,
    },
    AcceleratorKind {
        name: "kind-d",
        prefill_tokens_per_second: 8_000,
        decode_tokens_per_second: 500,
        batch_slots: 4,
        kv_budget_tokens: 50_000,
        link_bytes_per_second: 125_000_000,
    },
];
const ACTIVATION_BYTES: u32 = 16_384;
const KV_BYTES_PER_TOKEN: u32 = 32_768;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Number of layer spans that the model is divided into.
const SPANS: u32 = 4;

/// Offers of `count` engines. Kinds and spans rotate so that each span is served by each kind.
pub fn mixed_engines(shape: &ModelShape, count: u32) -> Vec<EngineOffer> {
    (0..count).map(|index| engine_offer(shape, index)).collect()
}

fn engine_offer(shape: &ModelShape, index: u32) -> EngineOffer {
    let span = index % SPANS;
    let kind_index = usize::try_from((index / SPANS + span) % 4).unwrap_or(0);
    let kind = KINDS.get(kind_index).copied().unwrap_or(KINDS[0]);
    let width = shape.layers / SPANS;
    let end = if span + 1 == SPANS {
        shape.layers
    } else {
        (span + 1) * width
    };
    EngineOffer {
        accelerator_kind: kind.name.to_owned(),
        accelerators: 2,
        model: shape.model.clone(),
        version: shape.version.clone(),
        model_layers: shape.layers,
        layers: LayerSpan {
            first: span * width,
            end,
        },
        adapters: Vec::new(),
        role: EngineOfferRole::Both,
        kv_budget_tokens: kind.kv_budget_tokens,
        prefill_tokens_per_second: kind.prefill_tokens_per_second,
        decode_tokens_per_second: kind.decode_tokens_per_second,
        step_floor_micros: u64::from(kind.batch_slots) * MICROS_PER_SECOND
            / kind.decode_tokens_per_second,
        link_bytes_per_second: kind.link_bytes_per_second,
        activation_bytes: ACTIVATION_BYTES,
        kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        batch_slots: kind.batch_slots,
    }
}
