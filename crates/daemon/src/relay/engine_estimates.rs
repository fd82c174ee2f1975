//! What the planner is told of engines, from what operators published of their kinds.

use std::time::Duration;

use pollendrift_coordination::base::{ModelName, SequenceNumber};
use pollendrift_coordination::leases::WorkerLayers;
use pollendrift_coordination::retries::SlowStartSettings;
use pollendrift_coordination::routes::{EngineSpec, ServiceSpec};
use pollendrift_coordination::routing::{
    ByteRate, ChainScope, EngineAnnouncement, EngineRole, RoutingSettings, SurveyedEngine,
    TokenCount, TokenRate, WorkloadMix,
};

use crate::fleet::WorkerView;

/// Requests that write at the same time on a busy engine, for its rate: about what a data centre's
/// share of the usual load keeps running.
const BUSY_BATCH: f64 = 16.0;
/// Bytes a second in one megabit a second.
pub(super) const MEGABIT: f64 = 125_000.0;

/// How many times slower an engine is than its kind, in whole steps, so that the planner is not
/// told anew at each survey.
pub(super) fn slowness_of(surveyed: Option<SurveyedEngine>) -> u32 {
    let load = surveyed.and_then(|surveyed| surveyed.load);
    let percent = load.map_or(100, |load| load.slowness);
    (percent.saturating_add(50) / 100).max(1)
}

/// Engines of one service form one pool, whatever models they list.
pub(super) fn pool_name(service: &ServiceSpec) -> ModelName {
    ModelName::from(service.name.as_str())
}

/// What the planner is told of an engine: its share of the layers at the pace of its kind.
pub(super) fn announcement_for(
    worker: &WorkerView,
    layers: &WorkerLayers,
    spec: &EngineSpec,
    sequence: SequenceNumber,
    slowness: u32,
) -> Option<EngineAnnouncement> {
    let kind = spec.kind(&worker.offer.kind)?;
    let share = f64::from(layers.range.len()) / f64::from(spec.layers.max(1));
    let slowness = f64::from(slowness);
    let floor = spec.step.as_secs_f64() * kind.step_pace * share * slowness;
    let each = spec.step_per_request.as_secs_f64()
        + spec.step_per_context.as_secs_f64() * f64::from(spec.usual_prompt) / 1_000.0;
    let busy_step = floor + each * BUSY_BATCH * kind.step_pace * share * slowness;
    Some(EngineAnnouncement {
        server: worker.server.clone(),
        incarnation: worker.incarnation,
        sequence,
        kind: kind.name.as_ref().into(),
        data_centre: worker.data_centre.clone(),
        model: ModelName::from(worker.offer.service.as_str()),
        version: layers.version.clone(),
        model_layers: spec.layers,
        layers: layers.range,
        adapters: Vec::new(),
        role: EngineRole::Both,
        kv_capacity: TokenCount(spec.kv_tokens(kind, layers.range.len()).max(1)),
        prefill_rate: rate(spec.read_per_second / kind.read_pace / share / slowness),
        decode_rate: rate(BUSY_BATCH / busy_step),
        step_floor: Duration::try_from_secs_f64(floor).ok()?,
        link_rate: ByteRate((spec.link_mbps * MEGABIT) as u64),
        activation_bytes: spec.activation_bytes as u32,
        kv_bytes: (spec.kv_bytes * share) as u32,
    })
}

fn rate(per_second: f64) -> TokenRate {
    TokenRate((per_second as u32).max(1))
}

pub(super) fn routing_settings() -> RoutingSettings {
    RoutingSettings {
        chain_scope: ChainScope::WithinDataCentre,
        workload: WorkloadMix {
            prompt_tokens: 760,
            output_tokens: 172,
            ..WorkloadMix::default()
        },
        // Engines put the newest request back where memory runs out after all.
        kv_headroom_percent: 2,
        urgent_reserve_percent: 4,
        // Engines are as fast after a load as ever.
        slow_start: SlowStartSettings {
            window: Duration::ZERO,
            first_percent: 100,
        },
        ..RoutingSettings::default()
    }
}
