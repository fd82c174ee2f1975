//! Settings of admission control, and the limits that labels set for a customer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of one customer at one entry. Labels set them for all entries together; the caller
/// divides the counts and rates by the number of entries that accept requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct CustomerLimits {
    /// Share of the capacity relative to other customers; at least 1.
    pub weight: u32,
    /// Limit of concurrently running requests.
    pub max_in_flight: u32,
    /// Limit of waiting requests.
    pub max_queued: u32,
    /// Long-term limit of requests per second; 0 for no limit.
    pub requests_per_second: u32,
    /// Requests accepted at once in excess of that rate.
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
    /// Limits of customers without limits from labels.
    pub default_limits: CustomerLimits,
    /// Limit of customers in the table; a new customer in excess of it is refused unless an idle
    /// one can be removed.
    pub max_customers: u32,
    /// Limit of waiting requests of all customers.
    pub max_queued: u32,
    /// Every n-th admission goes to the lowest waiting priority, so that it does not starve. Without
    /// effect if there is a `floor_percent`.
    pub low_priority_every: u32,
    /// Admissions that a priority below urgent gets at least, in percent of the part of all
    /// requests that is admitted; 0 for none.
    pub floor_percent: u32,
    /// Returning callers that are admitted before others and without a reserve, in percent of the
    /// admissions; 100 for no limit. Further ones are admitted after all other requests.
    pub return_percent: u32,
    /// Demand of a customer that keeps its priority, in percent of its usual demand; 0 for no
    /// limit. Requests in excess are admitted after all others.
    pub usual_demand_percent: u32,
    /// Maximum of the advised time until a retry.
    pub max_retry_after: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            default_limits: CustomerLimits::default(),
            max_customers: 4_096,
            max_queued: 4_096,
            low_priority_every: 16,
            floor_percent: 0,
            return_percent: 100,
            usual_demand_percent: 0,
            max_retry_after: Duration::from_secs(30),
        }
    }
}

impl LimitSettings {
    /// Settings for the drafts of one host to a pool of engines that all hosts share.
    pub fn for_drafts() -> Self {
        Self {
            // Memory of the pool is the only limit of a customer.
            default_limits: CustomerLimits {
                max_in_flight: u32::MAX,
                ..CustomerLimits::default()
            },
            floor_percent: 30,
            return_percent: 8,
            // Demand that moves between data centres triples at one host, and at some hosts more.
            usual_demand_percent: 500,
            ..Self::default()
        }
    }

    /// Part of the capacity that is kept for returning callers, in `0.0..=1.0`.
    pub fn return_part(&self) -> f64 {
        f64::from(self.return_percent.min(100)) / 100.0
    }
}
