//! Token bucket in virtual time.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Tokens that come back at a steady rate, up to a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    /// Between 0 and `burst`.
    level: f64,
    updated: MonotonicTime,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(now: MonotonicTime, per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Changes rate and burst; the level stays, within the burst.
    pub(crate) fn configure(&mut self, now: MonotonicTime, per_second: f64, burst: f64) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Adds tokens beside the steady rate.
    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Takes a token, or says how long until there is one.
    pub(crate) fn take(&mut self, now: MonotonicTime) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.level) / self.per_second;
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Whether there is a token; takes none.
    pub(crate) fn has_token(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.deposit(passed * self.per_second);
    }
}
