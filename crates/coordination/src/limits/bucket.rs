//! Token bucket on a caller-supplied clock.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Token bucket that refills at a steady rate, up to a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    /// Between 0 and `burst`.
    level: f64,
    updated: MonotonicTime,
}

impl TokenBucket {
    /// Starts with a full bucket.
    pub(crate) fn new(now: MonotonicTime, per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Replaces the level, at most the burst.
    pub(crate) fn with_level(mut self, level: f64) -> Self {
        self.level = level.min(self.burst);
        self
    }

    /// Changes rate and burst; keeps the level, capped at the new burst.
    pub(crate) fn configure(&mut self, now: MonotonicTime, per_second: f64, burst: f64) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Adds tokens in addition to the steady rate, up to the burst.
    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Takes a token, or returns the time until one is available.
    pub(crate) fn take(&mut self, now: MonotonicTime) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(self.time_until(now, 1.0))
    }

    /// Returns the time until the level reaches `tokens`, as if the burst did not limit it.
    pub(crate) fn time_until(&mut self, now: MonotonicTime, tokens: f64) -> Duration {
        self.refill(now);
        let seconds = (tokens - self.level).max(0.0) / self.per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Whether a token is available, without taking it.
    pub(crate) fn has_token(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.deposit(elapsed * self.per_second);
    }
}
