//! Settings of the route planner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::link::LinkProperties;
use super::policy::PolicyKind;
use super::unit::ByteRate;
use crate::retries::{OutlierSettings, SlowStartSettings};

/// Mean request, from which the planner computes the maximum flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkloadMix {
    /// Prompt tokens that need prefill, without cache hits.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub output_tokens: u32,
    /// Target time for one pass of a sequence through its pipeline.
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

/// Which engines may form one chain, for the flow by which routes are sampled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChainScope {
    /// Engines in any data centres that are connected by links.
    #[default]
    AcrossDataCentres,
    /// Engines in one data centre. If it has no complete pipeline, its flow is zero, and engines
    /// are sampled uniformly instead of by flow. The flow is computed for each data centre
    /// separately, and only again for data centres that changed. On a host with a tenth of a core,
    /// one computation for all data centres at once would stall every stream for a quarter of a
    /// second.
    WithinDataCentre,
}

/// Settings of the route planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RoutingSettings {
    /// Policy that selects an engine among those that can run a stage.
    pub policy: PolicyKind,
    /// Number of engines compared for each stage.
    pub candidates: u32,
    /// Which engines may form one chain.
    pub chain_scope: ChainScope,
    /// Minimum interval between two computations of the flow over the layer graph.
    pub flow_interval: Duration,
    /// Mean request, for the computation of the flow.
    pub workload: WorkloadMix,
    /// Share of each engine's KV cache that stays free for the growth of other sequences, in
    /// percent.
    pub kv_headroom_percent: u32,
    /// Share of each engine's KV cache that is reserved for urgent requests, in percent.
    pub urgent_reserve_percent: u32,
    /// Link between two data centres without their own setting.
    pub default_link: LinkProperties,
    /// One-way latency between engines in the same data centre.
    pub local_latency: Duration,
    /// Maximum number of cached prefixes tracked per engine.
    pub max_prefixes: u32,
    /// Ejection of engines that fail repeatedly.
    pub outlier: OutlierSettings,
    /// Time by which a first engine with an idle connection may be predicted to finish later than
    /// others and is still preferred; zero gives no preference.
    pub connected_advantage: Duration,
    /// Whether predicted times of engines are corrected by observed times to the first token.
    pub time_correction: bool,
    /// Slow start of new and rejoined engines.
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
            default_link: LinkProperties {
                rate: ByteRate(125_000_000),
                latency: Duration::from_micros(500),
            },
            local_latency: Duration::from_micros(50),
            max_prefixes: 4_096,
            outlier: OutlierSettings::default(),
            connected_advantage: Duration::ZERO,
            time_correction: false,
            slow_start: SlowStartSettings::default(),
        }
    }
}
