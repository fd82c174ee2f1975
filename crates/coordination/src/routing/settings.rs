//! Settings of routing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::link::LinkFigures;
use super::policy::PolicyKind;
use super::unit::ByteRate;
use crate::retries::{OutlierSettings, SlowStartSettings};

/// Mean request that the flow bound is worked out for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkloadMix {
    /// Tokens of a prompt that must be worked through, cache hits left out.
    pub prompt_tokens: u32,
    /// Tokens of an answer.
    pub output_tokens: u32,
    /// Time in which a sequence should come round once through its pipeline.
    pub token_interval: Duration,
}

impl Default for WorkloadMix {
    fn default() -> Self {
        Self {
            prompt_tokens: 512,
            output_tokens: 208,
            token_interval: Duration::from_millis(62),
        }
    }
}

/// Where the engines of one chain may lie, for the flow that routes are sampled by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChainScope {
    /// In any data centres that links join.
    #[default]
    AcrossDataCentres,
    /// In one data centre, where there is a whole chain. The flow is worked out for each data centre by
    /// itself, and again only for those that changed. Worked out for all at once, every stream of a
    /// host with a tenth of a core would pause for a quarter of a second.
    WithinDataCentre,
}

/// Settings of the route planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RoutingSettings {
    /// How an engine is picked among those that may run a stage.
    pub policy: PolicyKind,
    /// Engines that are compared for each stage.
    pub candidates: u32,
    /// Where the engines of one chain may lie.
    pub chain_scope: ChainScope,
    /// How often the flow over the layer graph is worked out anew, at most.
    pub flow_interval: Duration,
    /// Mean request.
    pub workload: WorkloadMix,
    /// Part of each engine's KV cache that stays free for the growth of others' sequences, percent.
    pub kv_headroom_percent: u32,
    /// Part of each engine's KV cache that only urgent requests may use, percent.
    pub urgent_reserve_percent: u32,
    /// Link between data centres that no setting names.
    pub default_link: LinkFigures,
    /// One-way latency between engines of one data centre.
    pub local_latency: Duration,
    /// Most cached prefixes that are remembered for one engine.
    pub max_prefixes: u32,
    /// Ejection of engines that keep failing.
    pub outlier: OutlierSettings,
    /// Slow start of new and returned engines.
    pub slow_start: SlowStartSettings,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: PolicyKind::PredictedFinish,
            candidates: 3,
            chain_scope: ChainScope::default(),
            flow_interval: Duration::from_secs(1),
            workload: WorkloadMix::default(),
            kv_headroom_percent: 5,
            urgent_reserve_percent: 5,
            default_link: LinkFigures {
                rate: ByteRate(125_000_000),
                latency: Duration::from_micros(500),
            },
            local_latency: Duration::from_micros(50),
            max_prefixes: 4_096,
            outlier: OutlierSettings::default(),
            slow_start: SlowStartSettings::default(),
        }
    }
}
