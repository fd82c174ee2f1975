//! Throughput of one engine for the mean request of a workload.

use super::engine::{EngineAnnouncement, EngineRole};
use super::settings::WorkloadMix;

/// Flow units per token per second: flow is an integer number of milli-tokens per second.
pub(crate) const MILLI: f64 = 1_000.0;

/// Returns the generated milli-tokens per second that an engine sustains over its whole range: the
/// minimum of the limits by compute, KV cache and the engine's own link.
pub(crate) fn mean_capacity(engine: &EngineAnnouncement, mix: &WorkloadMix) -> u64 {
    let capacity = compute_capacity(engine, mix)
        .min(kv_capacity(engine, mix))
        .min(link_capacity(engine, mix));
    (capacity * MILLI) as u64
}

/// Returns the generated tokens per second that compute allows, including the time for the prompt.
pub(crate) fn compute_capacity(engine: &EngineAnnouncement, mix: &WorkloadMix) -> f64 {
    let prompt = engine
        .prefill_rate
        .seconds_for(f64::from(mix.prompt_tokens));
    let output = engine.decode_rate.seconds_for(f64::from(mix.output_tokens));
    let seconds = match engine.role {
        EngineRole::Both => prompt + output,
        EngineRole::Prefill => prompt,
        EngineRole::Decode => output,
    };
    f64::from(mix.output_tokens) / seconds.max(f64::MIN_POSITIVE)
}

/// Returns the generated tokens per second that the KV cache allows, by Little's law: the number of
/// sequences that fit, divided by the token interval.
fn kv_capacity(engine: &EngineAnnouncement, mix: &WorkloadMix) -> f64 {
    if engine.role == EngineRole::Prefill {
        return f64::INFINITY;
    }
    let context = f64::from(mix.prompt_tokens) + f64::from(mix.output_tokens);
    let sequences = engine.kv_capacity.as_f64() / context.max(1.0);
    sequences / mix.token_interval.as_secs_f64().max(f64::MIN_POSITIVE)
}

fn link_capacity(engine: &EngineAnnouncement, mix: &WorkloadMix) -> f64 {
    let has_adjacent_stage = engine.layers.first > 0 || engine.layers.end < engine.model_layers;
    if !has_adjacent_stage {
        return f64::INFINITY;
    }
    engine.link_rate.per_second() / bytes_per_output(engine.activation_bytes, mix)
}

/// Returns the bytes sent between two stages per generated token, including its share of the prompt
/// tokens; at least 1.
pub(crate) fn bytes_per_output(activation_bytes: u32, mix: &WorkloadMix) -> f64 {
    let output = f64::from(mix.output_tokens.max(1));
    let share = (f64::from(mix.prompt_tokens) + output) / output;
    (f64::from(activation_bytes) * share).max(1.0)
}
