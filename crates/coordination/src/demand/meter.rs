//! Measures the demand of a host.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Exponentially weighted rate of an amount, such as requests or tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandMeter {
    /// Amount per second as of `updated`.
    per_second: f64,
    updated: MonotonicTime,
}

impl DemandMeter {
    /// Records an amount; its weight decays with the time constant `window`.
    pub(super) fn record(&mut self, now: MonotonicTime, window: Duration, amount: f64) {
        self.per_second = self.rate(now, window) + amount / window.as_secs_f64();
        self.updated = now;
    }

    /// Returns the current amount per second.
    pub(super) fn rate(&self, now: MonotonicTime, window: Duration) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / window.as_secs_f64();
        self.per_second * (-age).exp()
    }
}
