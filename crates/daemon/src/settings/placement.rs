//! Settings of the placement of model versions that selectors name.

use std::time::Duration;

use super::reader::SectionReader;

/// Lease, timeouts and limits of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Lease of the order right on engines. Engines that ignore fencing numbers get orders only
    /// three leases after a change of the holder.
    pub lease: Duration,
    /// Time within which an engine must announce an ordered load; otherwise the engine is excluded
    /// for the same time.
    pub load_timeout: Duration,
    /// Maximum number of concurrent loads from the weight store.
    pub max_loads: u64,
    /// Time after the start during which no orders are sent.
    pub settle: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            load_timeout: Duration::from_secs(300),
            max_loads: 2,
            settle: Duration::from_secs(30),
        }
    }
}

impl PlacementSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let times = Duration::from_secs(1)..=Duration::from_secs(60);
        let max_time = Duration::from_secs(3_600);
        Self {
            lease: section.duration("lease", default.lease, times),
            load_timeout: section.duration(
                "load_timeout",
                default.load_timeout,
                Duration::from_secs(1)..=max_time,
            ),
            max_loads: section.count("max_loads", default.max_loads, 1..=1_000),
            settle: section.duration("settle", default.settle, Duration::ZERO..=max_time),
        }
    }
}
