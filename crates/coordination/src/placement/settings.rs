//! Settings of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// When loads are ordered, and how many at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlacementSettings {
    /// Time after the start in which engines announce themselves and nothing is ordered.
    pub settle: Duration,
    /// Time after the right was taken over before engines that ignore fencing numbers are ordered.
    /// Longer than the longest lease of the right, with the drift of clocks.
    pub unfenced_wait: Duration,
    /// Loads that the weight store serves at a time.
    pub max_loads: u32,
    /// Time in which a load must be seen; after it the engine is left out for as long again.
    pub load_timeout: Duration,
    /// Shortest time between two moves that only even out rates.
    pub balance_interval: Duration,
    /// Gain of the slowest layer that a move of an engine in use must bring, in percent.
    pub min_gain_percent: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(30),
            unfenced_wait: Duration::from_secs(30),
            max_loads: 2,
            load_timeout: Duration::from_secs(300),
            balance_interval: Duration::from_secs(60),
            min_gain_percent: 20,
        }
    }
}
