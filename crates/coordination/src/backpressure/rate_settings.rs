//! Settings of [`super::RateTable`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate::RequestRate;
use crate::demand::ShareSettings;

/// Division of the rates that servers accept.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RateSettings {
    /// Time constant over which a host's demand is averaged.
    pub demand_window: Duration,
    /// Fraction of each rate that is divided evenly. It lets a host send before its first demand is
    /// in the sum of all hosts.
    pub even_fraction: f64,
    /// Time for which a report of another host counts; a few times the period of reports.
    pub report_lifetime: Duration,
    /// Time for which an unused share accumulates, in addition to one request.
    pub burst: Duration,
    /// Age of a statement after which a request of [`RateSettings::trial_rate`] is allowed. Without
    /// it, the end of a limit of 0 would never be noticed, since only answers state it.
    pub trial_age: Duration,
    /// Least rate of all hosts together after [`RateSettings::trial_age`].
    pub trial_rate: RequestRate,
    /// Time for which the end of a limit is reported to other hosts.
    pub ended_lifetime: Duration,
    /// Number of hosts assumed until the actual number is known.
    pub default_hosts: u32,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            demand_window: Duration::from_secs(2),
            even_fraction: 0.1,
            report_lifetime: Duration::from_millis(1_500),
            burst: Duration::from_millis(500),
            trial_age: Duration::from_secs(5),
            trial_rate: RequestRate::from_millis_per_second(250),
            ended_lifetime: Duration::from_secs(5),
            default_hosts: 64,
        }
    }
}

impl RateSettings {
    /// Returns the settings of the division by demand.
    pub(super) fn share(&self) -> ShareSettings {
        ShareSettings {
            demand_window: self.demand_window,
            even_fraction: self.even_fraction,
            report_lifetime: self.report_lifetime,
        }
    }
}
