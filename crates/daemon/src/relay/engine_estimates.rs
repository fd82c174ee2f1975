//! Estimates the capacity and speed of engines for the planner, from the published figures of their
//! kinds.

use std::time::Duration;

use pollendrift_coordination::base::{ModelName, SequenceNumber};
use pollendrift_coordination::leases::BackendLayers;
use pollendrift_coordination::retries::SlowStartSettings;
use pollendrift_coordination::routes::{EngineSpec, ServiceSpec};
use pollendrift_coordination::routing::{
    ByteRate, ChainScope, EngineAnnouncement, EngineRole, RoutingSettings, SurveyedEngine,
    TokenCount, TokenRate, WorkloadMix,
};

use crate::fleet::WorkerView;

/// Concurrent decoding requests for which the decode rate of an engine is estimated: about as many
/// as a data centre's share of the typical load keeps running.
const BUSY_BATCH: f64 = 16.0;
/// Bytes a second in one megabit a second.
pub(super) const MEGABIT: f64 = 125_000.0;

/// Factor by which an engine is slower than the published figures of its accelerator kind, rounded
/// to an integer of at least 1 so that small changes between surveys cause no new announcement to
/// the planner.
pub(super) fn slowness_of(surveyed: Option<SurveyedEngine>) -> u32 {
    let load = surveyed.and_then(|surveyed| surveyed.load);
    let percent = load.map_or(100, |load| load.slowness);
    (percent.saturating_add(50) / 100).max(1)
}

/// Model name of a service's pool in the planner. All engines of a service form one pool, whatever
/// models they announce.
pub(super) fn pool_name(service: &ServiceSpec) -> ModelName {
    ModelName::from(service.name.as_str())
}

/// Announcement of an engine to the planner: the figures of its kind, scaled to its share of the
/// model's layers and its slowness. `None` if its kind is not published or a figure is out of
/// range.
pub(super) fn announcement_for(
    worker: &WorkerView,
    layers: &BackendLayers,
    spec: &EngineSpec,
    sequence: SequenceNumber,
    slowness: u32,
) -> Option<EngineAnnouncement> {
    let kind = spec.kind(&worker.offer.kind)?;
    let share = f64::from(layers.range.len()) / f64::from(spec.layers.max(1));
    let slowness = f64::from(slowness);
    let floor = spec.step.as_secs_f64() * kind.step_time_factor * share * slowness;
    let per_request = spec.step_per_request.as_secs_f64()
        + spec.step_per_context.as_secs_f64() * f64::from(spec.typical_prompt_tokens) / 1_000.0;
    let busy_step = floor + per_request * BUSY_BATCH * kind.step_time_factor * share * slowness;
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
        prefill_rate: rate(
            spec.prompt_tokens_per_second / kind.prompt_time_factor / share / slowness,
        ),
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

/// Settings of the planner for drafts.
pub(super) fn routing_settings() -> RoutingSettings {
    RoutingSettings {
        chain_scope: ChainScope::WithinDataCentre,
        workload: WorkloadMix {
            prompt_tokens: 760,
            output_tokens: 172,
            ..WorkloadMix::default()
        },
        // Engines requeue the newest request if their memory runs out.
        kv_headroom_percent: 2,
        urgent_reserve_percent: 4,
        // A freshly loaded engine runs at full speed at once.
        slow_start: SlowStartSettings {
            window: Duration::ZERO,
            first_percent: 100,
        },
        ..RoutingSettings::default()
    }
}
