//! Settings of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timing and limits of load orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlacementSettings {
    /// Time after the start in which engines announce themselves and nothing is ordered.
    pub settle: Duration,
    /// Time after this process acquires the right before it gives orders to engines that ignore
    /// fencing numbers. It must exceed the longest lease of the right plus the clock drift.
    pub unfenced_wait: Duration,
    /// Maximum number of concurrent loads from the weight store.
    pub max_loads: u32,
    /// Time in which a load must be observed. After it the engine is excluded for the same time.
    pub load_timeout: Duration,
    /// Minimum interval between two moves that only balance rates.
    pub balance_interval: Duration,
    /// Minimum increase of the slowest layer's rate for which an engine in use is moved, in
    /// percent.
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
