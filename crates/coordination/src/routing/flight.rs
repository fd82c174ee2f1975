//! Requests of this process in flight, and the load that each adds to its engines.

use slotmap::{SlotMap, new_key_type};

use super::correction::ChainPrediction;
use super::fleet::{EngineKey, FleetTable};
use super::load::LoadDelta;
use super::plan::{RoutePlan, RouteStage};
use super::view::span_share;
use crate::base::MonotonicTime;

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// Load that one request currently adds to one engine.
#[derive(Clone, Copy, Debug)]
struct FlightStage {
    engine: EngineKey,
    load: LoadDelta,
}

/// A request that has started and not ended.
#[derive(Clone, Debug)]
struct Flight {
    stages: Vec<FlightStage>,
    /// Prediction of the first token, until that token arrives; `None` if it is not compared.
    prediction: Option<ChainPrediction>,
}

/// Requests that have started and not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlightTable {
    flights: SlotMap<FlightKey, Flight>,
}

impl FlightTable {
    /// Records a request that is sent over `plan`, and adds its load to each engine. With
    /// `is_observed`, its first token corrects the predictions for its engines.
    pub(crate) fn start(
        &mut self,
        now: MonotonicTime,
        fleet: &mut FleetTable,
        plan: &RoutePlan,
        is_observed: bool,
    ) -> FlightKey {
        let prediction = is_observed
            .then(|| ChainPrediction::new(now, fleet, plan))
            .flatten();
        let is_split = !plan.prefill.is_empty();
        let prompt_kv = i64::from(plan.prompt_tokens);
        let total_kv = prompt_kv + i64::from(plan.expected_tokens);
        let decode_prompt = if is_split { 0 } else { plan.prompt_tokens };
        let mut stages = Vec::with_capacity(plan.stages.len() + plan.prefill.len());
        stages.extend(
            plan.stages
                .iter()
                .map(|s| stage(fleet, s, decode_prompt, total_kv)),
        );
        stages.extend(
            plan.prefill
                .iter()
                .map(|s| stage(fleet, s, plan.prompt_tokens, prompt_kv)),
        );
        for stage in &stages {
            apply(now, fleet, stage.engine, stage.load);
        }
        self.flights.insert(Flight { stages, prediction })
    }

    /// Removes the prefill load of a request, since the first token ends the prefill.
    pub(crate) fn first_token(
        &mut self,
        now: MonotonicTime,
        fleet: &mut FleetTable,
        key: FlightKey,
    ) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        if let Some(prediction) = flight.prediction.take() {
            prediction.observe(now, fleet);
        }
        for stage in &mut flight.stages {
            let delta = LoadDelta {
                prefill: -stage.load.prefill,
                ..LoadDelta::default()
            };
            stage.load.prefill = 0;
            apply(now, fleet, stage.engine, delta);
        }
    }

    /// Removes a request with its load, and returns its engines.
    pub(crate) fn end(
        &mut self,
        now: MonotonicTime,
        fleet: &mut FleetTable,
        key: FlightKey,
    ) -> Vec<EngineKey> {
        let flight = self.flights.remove(key);
        let stages = flight.map(|flight| flight.stages).unwrap_or_default();
        for stage in &stages {
            apply(now, fleet, stage.engine, stage.load.negated());
        }
        stages.into_iter().map(|stage| stage.engine).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.flights.len()
    }
}

fn stage(fleet: &FleetTable, stage: &RouteStage, prompt: u32, kv: i64) -> FlightStage {
    let prefill_tokens = prompt.saturating_sub(stage.cached_tokens);
    let layer_share = fleet.get(stage.engine).map_or(1.0, |engine| {
        span_share(engine.announcement.layers, stage.layers.first)
    });
    FlightStage {
        engine: stage.engine,
        load: LoadDelta {
            prefill: (f64::from(prefill_tokens) * layer_share) as i64,
            sequences: 1,
            kv,
        },
    }
}

fn apply(now: MonotonicTime, fleet: &mut FleetTable, key: EngineKey, delta: LoadDelta) {
    if let Some(engine) = fleet.engines.get_mut(key) {
        engine.load.apply(now, delta);
    }
}
