//! Settings of [`super::SharedDemand`] and [`super::DemandTable`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Division of a capacity by demand.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ShareSettings {
    /// Time constant over which a host's demand is averaged.
    pub demand_window: Duration,
    /// Fraction of the capacity that is divided evenly. It lets a host use some of the capacity
    /// before its first demand is in the sum of all hosts.
    pub even_fraction: f64,
    /// Time for which a report of another host counts; a few times the period of reports.
    pub report_lifetime: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            demand_window: Duration::from_secs(2),
            even_fraction: 0.1,
            report_lifetime: Duration::from_millis(1_500),
        }
    }
}

/// Demand for services.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DemandSettings {
    /// Division of a service's capacity.
    pub share: ShareSettings,
    /// Time without demand after which a service is dropped and no longer reported.
    pub idle_lifetime: Duration,
    /// Least time between two warnings about invalid reports.
    pub warning_interval: Duration,
    /// Number of hosts assumed until the actual number is known.
    pub default_hosts: u32,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            share: ShareSettings::default(),
            idle_lifetime: Duration::from_secs(10),
            warning_interval: Duration::from_secs(60),
            default_hosts: 64,
        }
    }
}
