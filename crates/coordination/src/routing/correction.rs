//! Corrects the predicted time of an engine by the times that were observed.
//!
//! A prediction uses announced rates and load reports. An engine that is slower than it announces,
//! or that queues requests of other hosts, answers later than predicted, and a host that does not
//! compare the two keeps sending to it: under overload the two fastest engines of a fleet answered
//! after 1,080 ms instead of the predicted 59 ms, and received six in ten requests.

use std::time::Duration;

use super::fleet::{EngineKey, FleetTable};
use super::plan::RoutePlan;
use super::view::engine_time;
use crate::base::MonotonicTime;

/// Limits of the correction. A prediction that is wrong by more is not a matter of speed.
const MIN_FACTOR: f64 = 0.25;
const MAX_FACTOR: f64 = 16.0;

/// Time without observations after which the logarithm of the correction is halved. An engine that
/// is avoided has no observations, and is tried again after this time.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of a new observation against the mean of the earlier ones. A host observes an engine
/// about once in two seconds, so two late answers have to suffice.
const GAIN: f64 = 0.5;

/// Limits of an observed time. The caller's disconnect ends longer waits.
const MIN_OBSERVED: Duration = Duration::from_millis(1);
const MAX_OBSERVED: Duration = Duration::from_secs(20);

/// Ratio of observed to predicted time to the first event of one engine, as a weighted mean in
/// logarithms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeCorrection {
    /// Natural logarithm of the ratio.
    logarithm: f64,
    /// The ratio, from `MIN_FACTOR` to `MAX_FACTOR`; kept because each prediction reads it.
    factor: f64,
    /// When the last observation or the last halving took place.
    updated_at: MonotonicTime,
    /// Number of resets. Observations that began before a reset are ignored.
    generation: u32,
}

impl Default for TimeCorrection {
    fn default() -> Self {
        Self {
            logarithm: 0.0,
            factor: 1.0,
            updated_at: MonotonicTime::START,
            generation: 0,
        }
    }
}

impl TimeCorrection {
    /// Factor by which the predicted time to the first event is multiplied.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Forgets all observations, because they describe another process or other announced rates.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            generation: self.generation.wrapping_add(1),
            ..Self::default()
        };
    }

    /// Halves the logarithm once for each half-life without observations.
    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        while self.logarithm != 0.0 && now.since(self.updated_at) >= HALF_LIFE {
            self.set(self.updated_at.after(HALF_LIFE), self.logarithm / 2.0);
        }
    }

    /// Moves the mean towards an observed logarithm.
    fn observe(&mut self, now: MonotonicTime, observed: f64) {
        self.tick(now);
        self.set(now, self.logarithm + GAIN * (observed - self.logarithm));
    }

    fn set(&mut self, at: MonotonicTime, logarithm: f64) {
        /// Logarithm that counts as zero, so that halving ends.
        const NEGLIGIBLE: f64 = 0.01;
        let clamped = logarithm.clamp(MIN_FACTOR.ln(), MAX_FACTOR.ln());
        self.logarithm = if clamped.abs() < NEGLIGIBLE {
            0.0
        } else {
            clamped
        };
        self.factor = self.logarithm.exp();
        self.updated_at = at;
    }
}

/// Prediction for one engine of a chain, at the start of the chain.
#[derive(Clone, Copy, Debug)]
struct PredictedStage {
    engine: EngineKey,
    /// Corrected seconds of the engine to the first event.
    seconds: f64,
    /// Correction that `seconds` includes.
    logarithm: f64,
    generation: u32,
}

/// Prediction for the first event of a chain, kept until the event arrives.
#[derive(Clone, Debug)]
pub(crate) struct ChainPrediction {
    started_at: MonotonicTime,
    /// Predicted seconds outside the engines: between stages.
    hops: f64,
    stages: Vec<PredictedStage>,
}

impl ChainPrediction {
    /// Records the prediction for a chain that starts now; `None` if its first event says nothing
    /// about the engines' speed.
    ///
    /// Call it before the load of the chain is added to its engines. A chain that continues an
    /// answer processes the answer's tokens again, and one with separate prefill engines waits for
    /// their transfer; neither time is predicted well enough to correct the engines.
    pub(crate) fn new(now: MonotonicTime, fleet: &FleetTable, plan: &RoutePlan) -> Option<Self> {
        if plan.continues_answer || !plan.prefill.is_empty() {
            return None;
        }
        let stages = plan.stages.iter().filter_map(|stage| {
            let engine = fleet.get(stage.engine)?;
            let tokens = plan.prompt_tokens.saturating_sub(stage.cached_tokens);
            let time = engine_time(engine, f64::from(tokens), stage.layers.first);
            Some(PredictedStage {
                engine: stage.engine,
                seconds: time.first_token,
                logarithm: engine.correction.logarithm,
                generation: engine.correction.generation,
            })
        });
        let stages: Vec<PredictedStage> = stages.collect();
        let engines: f64 = stages.iter().map(|stage| stage.seconds).sum();
        Some(Self {
            started_at: now,
            hops: (plan.first_token.as_secs_f64() - engines).max(0.0),
            stages,
        })
    }

    /// Attributes the observed time of the first event to the engines of the chain.
    ///
    /// The engine with the largest part of the predicted time takes the whole error, and the others
    /// take less in proportion to their parts. Each observation is relative to the correction at
    /// the start of the chain: of the chains that are under way while an engine becomes slow, each
    /// would otherwise add the whole error again.
    pub(crate) fn observe(&self, now: MonotonicTime, fleet: &mut FleetTable) {
        let observed = now.since(self.started_at).clamp(MIN_OBSERVED, MAX_OBSERVED);
        let observed = (observed.as_secs_f64() - self.hops).max(MIN_OBSERVED.as_secs_f64());
        let predicted: f64 = self.stages.iter().map(|stage| stage.seconds).sum();
        let largest = self.stages.iter().map(|s| s.seconds).fold(0.0, f64::max);
        if !(predicted.is_finite() && largest > 0.0) {
            return;
        }
        let error = (observed / predicted).ln();
        for stage in &self.stages {
            let Some(engine) = fleet.engines.get_mut(stage.engine) else {
                continue;
            };
            if engine.correction.generation != stage.generation {
                continue;
            }
            let logarithm = stage.logarithm + error * stage.seconds / largest;
            engine.correction.observe(now, logarithm);
        }
    }
}
