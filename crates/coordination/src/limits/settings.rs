//! Settings of admission, and the limits that labels set for a customer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of one customer at one entry. Labels give them for all entries together; the caller
/// divides the counts and rates by the entries that take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct CustomerLimits {
    /// Share of the capacity relative to other customers; at least 1.
    pub weight: u32,
    /// Requests that run at a time.
    pub max_in_flight: u32,
    /// Requests that wait at a time.
    pub max_queued: u32,
    /// Requests a second, on the long run; 0 for no limit.
    pub requests_per_second: u32,
    /// Requests above that rate that may come at once.
    pub burst: u32,
}

impl Default for CustomerLimits {
    fn default() -> Self {
        Self {
            weight: 1,
            max_in_flight: 256,
            max_queued: 256,
            requests_per_second: 0,
            burst: 64,
        }
    }
}

/// Settings of an admission table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Limits of customers for whom no label sets any.
    pub default_limits: CustomerLimits,
    /// Customers remembered; a new one beyond them is refused unless an idle one can be forgotten.
    pub max_customers: u32,
    /// Requests that wait at a time, of all customers.
    pub max_queued: u32,
    /// Of so many admissions one goes to the lowest priority that waits; keeps it from starving.
    pub low_priority_every: u32,
    /// Longest advice to try again later.
    pub max_retry_after: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            default_limits: CustomerLimits::default(),
            max_customers: 4_096,
            max_queued: 4_096,
            low_priority_every: 16,
            max_retry_after: Duration::from_secs(30),
        }
    }
}
