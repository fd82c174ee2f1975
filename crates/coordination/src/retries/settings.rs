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
