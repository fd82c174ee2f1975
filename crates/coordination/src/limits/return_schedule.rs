//! Times at which refused callers come back.
//!
//! Callers that are all told the same time come back together, and most of them are refused again.
//! Each host keeps a part of its capacity for returning callers and gives out each piece of it once.
//! A host books only its own capacity, so that the times that all hosts state fit the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::offer::RequestPriority;
use crate::base::MonotonicTime;

/// Settings of a [`ReturnSchedule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ReturnSettings {
    /// Least time after which a caller comes back, unless its maximum is less.
    pub min_wait: Duration,
    /// Greatest part of its remaining time that a caller waits, in percent. Callers do not honour
    /// more than a third.
    pub max_percent: u32,
    /// Random part that is added to a time, in percent of it.
    pub jitter_percent: u32,
}

impl Default for ReturnSettings {
    fn default() -> Self {
        Self {
            min_wait: Duration::from_millis(600),
            max_percent: 33,
            jitter_percent: 20,
        }
    }
}

/// A refused request whose caller asks when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnRequest {
    /// Its priority.
    pub priority: RequestPriority,
    /// Its cost, in tokens.
    pub tokens: u64,
    /// Time that its caller has left.
    pub time_left: Duration,
}

/// Callers that were told a time that has not passed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PromisedReturns {
    /// Number of callers.
    pub count: u32,
    /// Tokens of their requests.
    pub tokens: u64,
    /// Latest of their times, rounded up to 250 ms; `None` without callers.
    pub last: Option<MonotonicTime>,
}

/// Chooses when refused callers come back to one host.
///
/// Invariant: the tokens that are booked for any period are at most the rate times its length, and
/// one request of each priority. Requests without a free slot are not booked.
#[derive(Clone, Debug)]
pub struct ReturnSchedule {
    settings: ReturnSettings,
    /// Capacity that is kept for returning callers, in tokens per second.
    rate: f64,
    /// Booked tokens of each priority whose slots begin later than `min_wait` after `updated`.
    booked: [f64; 3],
    updated: MonotonicTime,
    /// Callers and tokens of the stated times, by period of [`PERIOD`]; at most [`MAX_PERIODS`].
    promised: BTreeMap<u64, (u32, u64)>,
    random: ChaCha8Rng,
}

/// Parts of the rate, in sixths, in the order of the priorities: batch, normal, urgent.
const RATE_SIXTHS: [f64; 3] = [1.0, 2.0, 3.0];
/// Resolution of the promised returns.
const PERIOD: Duration = Duration::from_millis(250);
/// Periods of the promised returns; a later time counts in the last one.
const MAX_PERIODS: u64 = 64;

impl ReturnSchedule {
    /// Creates a schedule without capacity; `seed` seeds the jitter and differs between hosts.
    pub fn new(settings: ReturnSettings, seed: u64) -> Self {
        Self {
            settings,
            rate: 0.0,
            booked: [0.0; 3],
            updated: MonotonicTime::START,
            promised: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the capacity of this host that is kept for returning callers; a value that is not
    /// finite or is negative counts as 0.
    pub fn set_rate(&mut self, now: MonotonicTime, tokens_per_second: f64) {
        self.pass_slots(now);
        let is_valid = tokens_per_second.is_finite() && tokens_per_second > 0.0;
        self.rate = if is_valid { tokens_per_second } else { 0.0 };
        if !is_valid {
            // Without a rate, bookings would never pass.
            self.booked = [0.0; 3];
        }
    }

    /// Returns the time after which a refused caller comes back, and books its slot.
    ///
    /// Without a free slot within the caller's maximum, the time is random in the later half of
    /// what is allowed.
    pub fn book(&mut self, now: MonotonicTime, request: &ReturnRequest) -> Duration {
        self.pass_slots(now);
        let (min, max) = self.limits(request);
        let index = request.priority as usize;
        let own_rate = self.rate * RATE_SIXTHS[index] / 6.0;
        let delay = Duration::try_from_secs_f64(self.booked[index] / own_rate);
        // The rate may be zero, so that there is no next slot.
        let slot = delay.ok().map(|delay| min.saturating_add(delay));
        let wait = match slot.filter(|slot| *slot <= max) {
            Some(slot) => {
                self.booked[index] += request.tokens as f64;
                self.add_jitter(slot).min(max)
            }
            None => self.random_late_wait(min, max),
        };
        self.promise(now.after(wait), request.tokens);
        wait
    }

    /// Returns a time for a caller that came back and was refused again. It books no slot: callers
    /// come back once, and a slot that nobody uses is lost to another one.
    pub fn without_slot(&mut self, request: &ReturnRequest) -> Duration {
        let (min, max) = self.limits(request);
        self.random_late_wait(min, max)
    }

    /// Least and greatest time for a caller.
    fn limits(&self, request: &ReturnRequest) -> (Duration, Duration) {
        let max = request.time_left.saturating_mul(self.settings.max_percent) / 100;
        (self.settings.min_wait.min(max), max)
    }

    fn random_late_wait(&mut self, min: Duration, max: Duration) -> Duration {
        self.random.random_range((min + max) / 2..=max)
    }

    /// Returns the callers whose times have not passed.
    pub fn promised(&self, now: MonotonicTime) -> PromisedReturns {
        let current = period_of(now);
        let mut sum = PromisedReturns::default();
        for (period, (count, tokens)) in self.promised.range(current..) {
            sum.count = sum.count.saturating_add(*count);
            sum.tokens = sum.tokens.saturating_add(*tokens);
            sum.last = Some(end_of(*period));
        }
        sum
    }

    /// Gives the slots that can no longer be booked to the priorities that have bookings.
    ///
    /// A slot can be booked until `min_wait` before its time. Until then, only its own priority can
    /// book it: bookings of another one far ahead would leave none for an urgent request.
    fn pass_slots(&mut self, now: MonotonicTime) {
        let mut tokens = self.rate * now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        while tokens > 0.0 {
            let with_bookings = |index: &usize| self.booked[*index] > 0.0;
            let active: Vec<usize> = (0..self.booked.len()).filter(with_bookings).collect();
            let sixths: f64 = active.iter().map(|index| RATE_SIXTHS[*index]).sum();
            // Tokens that pass until the first of the active priorities has no bookings.
            let until_empty = active
                .iter()
                .map(|i| self.booked[*i] * sixths / RATE_SIXTHS[*i]);
            let Some(until_empty) = until_empty.min_by(f64::total_cmp) else {
                return;
            };
            let passed = tokens.min(until_empty);
            for index in active {
                let left = self.booked[index] - passed * RATE_SIXTHS[index] / sixths;
                // Rounding errors must not leave a booking that never passes.
                self.booked[index] = if left < 0.5 { 0.0 } else { left };
            }
            tokens -= passed;
        }
    }

    fn add_jitter(&mut self, wait: Duration) -> Duration {
        let part = self.random.random_range(0..=self.settings.jitter_percent);
        wait.saturating_add(wait.saturating_mul(part) / 100)
    }

    fn promise(&mut self, at: MonotonicTime, tokens: u64) {
        let current = period_of(self.updated);
        self.promised = self.promised.split_off(&current);
        let period = period_of(at).min(current + MAX_PERIODS - 1);
        let promised = self.promised.entry(period).or_default();
        promised.0 = promised.0.saturating_add(1);
        promised.1 = promised.1.saturating_add(tokens);
    }
}

fn period_of(at: MonotonicTime) -> u64 {
    at.since(MonotonicTime::START).as_millis() as u64 / PERIOD.as_millis() as u64
}

fn end_of(period: u64) -> MonotonicTime {
    MonotonicTime::from_millis((period + 1).saturating_mul(PERIOD.as_millis() as u64))
}
