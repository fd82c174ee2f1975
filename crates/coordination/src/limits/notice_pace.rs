//! Time between the notices that a host sends to others.

use std::time::Duration;

use super::bucket::TokenBucket;
use crate::base::MonotonicTime;

/// Settings of a [`NoticePace`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSettings {
    /// Least time between two notices. What is noticed for many requests at once goes into one.
    pub least_gap: Duration,
    /// Notices that may follow each other at that gap.
    pub burst: u32,
    /// Time between two notices once these are used up.
    pub steady_gap: Duration,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            least_gap: Duration::from_millis(15),
            burst: 8,
            steady_gap: Duration::from_millis(100),
        }
    }
}

/// Paces notices: few of them leave at once, many are joined.
#[derive(Clone, Debug)]
pub struct NoticePace {
    settings: PaceSettings,
    bucket: TokenBucket,
}

impl NoticePace {
    /// Creates the pace of a host that has sent no notice.
    pub fn new(now: MonotonicTime, settings: PaceSettings) -> Self {
        let bucket = TokenBucket::new(
            now,
            rate(settings.steady_gap),
            f64::from(settings.burst.max(1)),
        );
        Self { settings, bucket }
    }

    /// Records a notice that was sent at `now`; returns the time until the next one may be.
    pub fn gap_after(&mut self, now: MonotonicTime) -> Duration {
        // The notice has been sent, so the bucket has a token.
        let _ = self.bucket.take(now);
        let gap = self.bucket.time_until(now, 1.0);
        gap.max(self.settings.least_gap)
    }

    /// Sets the time between two notices after a burst.
    pub fn set_steady_gap(&mut self, now: MonotonicTime, steady_gap: Duration) {
        if steady_gap != self.settings.steady_gap {
            self.settings.steady_gap = steady_gap;
            let burst = f64::from(self.settings.burst.max(1));
            self.bucket.configure(now, rate(steady_gap), burst);
        }
    }
}

fn rate(gap: Duration) -> f64 {
    1.0 / gap.as_secs_f64().max(0.001)
}
