//! Exponentially weighted sum of tokens.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Sum of tokens whose weights fall by a factor of e in each window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    sum: f64,
    updated: MonotonicTime,
}

impl DecayingSum {
    /// Adds tokens; all calls pass the same window.
    pub(super) fn record(&mut self, now: MonotonicTime, window: Duration, tokens: u64) {
        self.sum = self.value(now, window) + tokens as f64;
        self.updated = self.updated.max(now);
    }

    /// Returns the sum now. A steady rate of tokens per second gives that rate times the window.
    pub(super) fn value(&self, now: MonotonicTime, window: Duration) -> f64 {
        let windows = now.since(self.updated).as_secs_f64() / window.as_secs_f64();
        self.sum * (-windows).exp()
    }
}
