//! Rate at which running requests free their memory.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Smoothing factor of the served rate: the weight of a new measurement.
const RATE_GAIN: f64 = 0.3;

/// Minimum time over which the served rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Weight of one request in the mean run time.
const RUN_GAIN: f64 = 0.1;

/// Smoothed rate of tokens of finished requests, and their mean run time; unknown until the first
/// measurement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServedRate {
    per_second: Option<f64>,
    tokens: u64,
    since: MonotonicTime,
    /// Mean run time in seconds.
    run_seconds: Option<f64>,
}

impl ServedRate {
    /// Counts a request that ended after `run_time`.
    pub(super) fn count(&mut self, now: MonotonicTime, tokens: u64, run_time: Duration) {
        self.run_seconds = Some(smooth(self.run_seconds, run_time.as_secs_f64(), RUN_GAIN));
        self.tokens = self.tokens.saturating_add(tokens);
        let elapsed = now.since(self.since);
        if elapsed < RATE_WINDOW {
            return;
        }
        let measured = self.tokens as f64 / elapsed.as_secs_f64();
        self.per_second = Some(smooth(self.per_second, measured, RATE_GAIN));
        self.tokens = 0;
        self.since = now;
    }

    /// Returns the tokens per second that running requests with `in_flight_tokens` free.
    ///
    /// The rate of finished requests follows the demand while there is little, so that it is too
    /// low when a burst begins. The running requests divided by their run time is not.
    pub(super) fn estimate(&self, in_flight_tokens: u64) -> Option<f64> {
        let served = self.per_second?;
        let run = self.run_seconds.filter(|run| *run > 0.0);
        let by_run = run.map_or(0.0, |run| in_flight_tokens as f64 / run);
        Some(served.max(by_run).max(f64::MIN_POSITIVE))
    }
}

fn smooth(old: Option<f64>, measured: f64, gain: f64) -> f64 {
    old.map_or(measured, |old| old + gain * (measured - old))
}
