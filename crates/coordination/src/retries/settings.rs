//! Settings of retries, outlier ejection and slow start.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// When a backend server is left out for its failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OutlierSettings {
    /// Failures in a row that eject a backend server.
    pub consecutive_failures: u32,
    /// Length of the first ejection; doubles with each one that follows.
    pub base_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Share of the peers that may be ejected at a time, in percent; one of two or more always may.
    pub max_ejected_percent: u32,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(120),
            max_ejected_percent: 30,
        }
    }
}

/// How a new or returned backend server is brought up to its full share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SlowStartSettings {
    /// Time over which the share rises to the full one; zero gives the full share at once.
    pub window: Duration,
    /// Share at the start, in percent of the full one.
    pub first_percent: u32,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            first_percent: 10,
        }
    }
}

/// How often and how soon a call is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Attempts at one call, the first included.
    pub max_attempts: u32,
    /// Retries that each first attempt of a customer earns.
    pub budget_ratio: f64,
    /// Retries a second that a customer has without earning them, so that few calls can be retried.
    pub budget_floor: f64,
    /// Most retries that a customer can have saved up.
    pub budget_burst: f64,
    /// Customers whose budgets are kept; beyond them the one that was quiet longest is forgotten.
    pub max_customers: u32,
    /// Longest wait before the first retry; doubles with each one that follows.
    pub base_backoff: Duration,
    /// Longest wait before any retry.
    pub max_backoff: Duration,
    /// Time that must be left until the deadline when a retry is sent.
    pub min_remaining: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            budget_ratio: 0.2,
            budget_floor: 1.0,
            budget_burst: 20.0,
            max_customers: 4_096,
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
            min_remaining: Duration::from_millis(50),
        }
    }
}
