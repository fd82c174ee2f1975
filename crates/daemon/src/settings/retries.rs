//! Settings of the retries of idempotent calls.

use std::time::Duration;

use super::reader::SectionReader;

/// Budget and back-off of retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Maximum number of attempts for one request, the first included.
    pub max_attempts: u64,
    /// Retries that each first attempt adds to the budget; the budget prevents retries from
    /// multiplying the load during a failure.
    pub budget_ratio: f64,
    /// Retries that are allowed each second independently of the number of requests.
    pub budget_per_second: u64,
    /// Delay before the first retry; it doubles with each further retry.
    pub backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_ratio: 0.1,
            budget_per_second: 10,
            backoff: Duration::from_millis(10),
        }
    }
}

impl RetrySettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            max_attempts: section.count("max_attempts", default.max_attempts, 1..=10),
            budget_ratio: section.fraction("budget_ratio", default.budget_ratio),
            budget_per_second: section.count(
                "budget_per_second",
                default.budget_per_second,
                0..=10_000,
            ),
            backoff: section.duration(
                "backoff",
                default.backoff,
                Duration::ZERO..=Duration::from_secs(10),
            ),
        }
    }
}
