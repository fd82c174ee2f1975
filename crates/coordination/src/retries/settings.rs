//! Settings of retries, outlier ejection and slow start.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OutlierSettings {
    /// Number of consecutive failures that ejects a backend server.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; doubles with each subsequent ejection.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Limit of simultaneously ejected peers in percent; one of two or more may always be ejected.
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

/// Settings of the slow start of new or returned backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SlowStartSettings {
    /// Time over which the share of work rises to the full share; zero disables slow start.
    pub window: Duration,
    /// Initial share, in percent of the full share.
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

/// Settings of retries and retry budgets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Limit of attempts for one call, including the first.
    pub max_attempts: u32,
    /// Retries that each first attempt adds to the customer's budget.
    pub budget_ratio: f64,
    /// Retries per second that the budget gains regardless of calls, so that a customer with few
    /// calls can retry them.
    pub budget_floor: f64,
    /// Maximum of saved retries of a customer.
    pub budget_burst: f64,
    /// Limit of customers with a budget; in excess of it, the budget of the customer with the least
    /// recent call is removed.
    pub max_customers: u32,
    /// Maximum backoff before the first retry; doubles with each subsequent retry.
    pub base_backoff: Duration,
    /// Maximum backoff before any retry.
    pub max_backoff: Duration,
    /// Minimum time until the deadline when a retry is sent.
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
