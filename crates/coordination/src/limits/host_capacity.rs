//! Part of a pool's KV memory that the drafts of one host may hold.
//!
//! All hosts see the same reports of engines. A host that fills all the free memory in them fills it
//! as often as there are hosts, so each host may fill its share.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::offer::{AdmissionCapacity, PriorityReserve};
use crate::base::MonotonicTime;
use crate::routing::PoolCapacity;

/// Settings of [`HostCapacity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct HostCapacitySettings {
    /// Factor by which a host may exceed its share of the free memory. Until the next reports, most
    /// hosts receive fewer drafts than their share allows.
    pub free_factor: u32,
    /// Reserve for requests of urgent priority, in percent of the pool. Each host subtracts its share of
    /// it from its capacity, which includes `free_factor`.
    pub normal_reserve_percent: u32,
    /// The same for requests of urgent and normal priority.
    pub batch_reserve_percent: u32,
    /// KV memory of a usual draft, in tokens, until drafts were seen.
    pub usual_tokens: u64,
    /// Time for which the last measurement holds without a newer one.
    pub measurement_lifetime: Duration,
    /// Time after its start for which a host without measurements does not limit its requests: it
    /// does not know the engines yet.
    pub discovery_time: Duration,
}

impl Default for HostCapacitySettings {
    fn default() -> Self {
        Self {
            free_factor: 5,
            normal_reserve_percent: 12,
            batch_reserve_percent: 24,
            usual_tokens: 900,
            measurement_lifetime: Duration::from_secs(2),
            discovery_time: Duration::from_secs(5),
        }
    }
}

/// Figures from which a capacity was computed, for logs and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CapacityInputs {
    /// KV memory of the pool that drafts may hold, in tokens.
    pub total: u64,
    /// Free part of it; negative if drafts held too much.
    pub free: i64,
    /// Share of this host in the demand of all hosts.
    pub share: f64,
    /// Tokens that the own drafts held when the engines measured the memory.
    pub held: u64,
    /// Time at which the engines measured the memory.
    pub measured_at: MonotonicTime,
}

/// Computes the capacity of one host's admission table from measurements of the pool.
#[derive(Clone, Debug)]
pub struct HostCapacity {
    settings: HostCapacitySettings,
    /// Tokens that the own drafts held, oldest first; at most [`MAX_SAMPLES`].
    held: VecDeque<(MonotonicTime, u64)>,
    /// Mean tokens of a draft.
    usual_tokens: f64,
    inputs: Option<CapacityInputs>,
    /// Tokens that the own drafts held when the discovery time ended without a measurement.
    held_undiscovered: Option<u64>,
    random: ChaCha8Rng,
}

/// Samples of the own drafts: more than two seconds of them at five a second.
const MAX_SAMPLES: usize = 16;
/// Usual drafts that a host without recent reports runs in addition to those that it had.
const UNREPORTED_DRAFTS: u64 = 4;
/// Weight of one draft in the mean tokens of a draft.
const TOKENS_GAIN: f64 = 0.05;

impl HostCapacity {
    /// Creates a state without measurements; `seed` seeds the rounding to whole drafts.
    pub fn new(settings: HostCapacitySettings, seed: u64) -> Self {
        Self {
            settings,
            held: VecDeque::new(),
            usual_tokens: settings.usual_tokens as f64,
            inputs: None,
            held_undiscovered: None,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records the tokens of an admitted draft.
    pub fn record_draft(&mut self, tokens: u64) {
        self.usual_tokens += TOKENS_GAIN * (tokens as f64 - self.usual_tokens);
    }

    /// Returns the figures of the last measurement.
    pub fn inputs(&self) -> Option<CapacityInputs> {
        self.inputs
    }

    /// Returns the capacity of this host's table.
    ///
    /// `held` are the tokens of the own drafts now, `pool` the newest measurement, and `share` the
    /// part of all demand that is this host's.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        held: u64,
        pool: Option<PoolCapacity>,
        share: f64,
    ) -> AdmissionCapacity {
        self.record_held(now, held);
        if let Some(pool) = pool {
            self.inputs = Some(CapacityInputs {
                total: pool.total,
                free: pool.free,
                share,
                held: self.held_at(pool.measured_at),
                measured_at: pool.measured_at,
            });
        }
        let Some(inputs) = self.inputs else {
            return self.without_measurement(now, held);
        };
        if now.since(inputs.measured_at) >= self.settings.measurement_lifetime {
            return self.without_reports(inputs.held);
        }
        // Drafts that started since are not in the measurement, so the share of the free memory is
        // added to what the own drafts held at that time.
        let factor = if inputs.free > 0 {
            self.settings.free_factor
        } else {
            1
        };
        let free = inputs.share * inputs.free as f64 * f64::from(factor);
        // A share of less than one draft allows one with that probability.
        let rounding = self.random.random_range(0.0..1.0) * self.usual_tokens;
        let tokens = (inputs.held as f64 + free + rounding).max(0.0);
        let reserve = |percent: u32| {
            let pool = inputs.total as f64 * f64::from(percent) / 100.0;
            (inputs.share * pool) as u64
        };
        AdmissionCapacity {
            reserve: PriorityReserve {
                normal: reserve(self.settings.normal_reserve_percent),
                batch: reserve(self.settings.batch_reserve_percent),
            },
            ..limited(tokens as u64)
        }
    }

    /// Capacity of a host that has never seen a report of an engine.
    fn without_measurement(&mut self, now: MonotonicTime, held: u64) -> AdmissionCapacity {
        if now.since(MonotonicTime::START) < self.settings.discovery_time {
            return limited(u64::MAX);
        }
        // What it admits later must not raise its capacity again.
        let held = *self.held_undiscovered.get_or_insert(held);
        self.without_reports(held)
    }

    /// Capacity without recent reports: what the own drafts held, and some more drafts, so that a
    /// large one fits where nothing runs.
    fn without_reports(&self, held: u64) -> AdmissionCapacity {
        limited(held + UNREPORTED_DRAFTS * self.settings.usual_tokens)
    }

    fn record_held(&mut self, now: MonotonicTime, held: u64) {
        if self.held.len() >= MAX_SAMPLES {
            self.held.pop_front();
        }
        self.held.push_back((now, held));
    }

    /// Tokens that the own drafts held at `at`, or as soon after it as is known.
    fn held_at(&self, at: MonotonicTime) -> u64 {
        let before = self.held.iter().rev().find(|(time, _)| *time <= at);
        let sample = before.or_else(|| self.held.front());
        sample.map_or(0, |(_, held)| *held)
    }
}

/// Capacity of this many tokens. The memory of the pool changes, so that no draft is too large for
/// good.
fn limited(kv_tokens: u64) -> AdmissionCapacity {
    AdmissionCapacity {
        max_in_flight: u32::MAX,
        kv_tokens,
        max_request_tokens: u64::MAX,
        reserve: PriorityReserve::default(),
    }
}
