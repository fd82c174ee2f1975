//! Measures how many requests a host wants to send.

use std::time::Duration;

use super::rate::RequestRate;
use crate::base::MonotonicTime;

/// Exponentially weighted rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandMeter {
    /// Events per second as of `updated`.
    per_second: f64,
    updated: MonotonicTime,
}

impl DemandMeter {
    /// Records one event; its weight decays with the time constant `window`.
    pub(super) fn record(&mut self, now: MonotonicTime, window: Duration) {
        self.per_second = self.decayed(now, window) + 1.0 / window.as_secs_f64();
        self.updated = now;
    }

    /// Returns the current rate.
    pub(super) fn rate(&self, now: MonotonicTime, window: Duration) -> RequestRate {
        RequestRate::from_per_second(self.decayed(now, window)).unwrap_or_default()
    }

    fn decayed(&self, now: MonotonicTime, window: Duration) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / window.as_secs_f64();
        self.per_second * (-age).exp()
    }
}
