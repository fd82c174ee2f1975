//! Placement of model versions that selectors name.

use std::time::Duration;

use super::reader::SectionReader;

/// Settings of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Lease of the right to order engines. Engines that ignore fencing numbers are ordered only
    /// three leases after a change of the holder.
    pub lease: Duration,
    /// Time in which a load must be announced; after it the engine is left out for as long again.
    pub load_timeout: Duration,
    /// Loads that the weight store serves at a time.
    pub max_loads: u64,
    /// Time after the start in which nothing is ordered.
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
        let longest = Duration::from_secs(3_600);
        Self {
            lease: section.duration("lease", default.lease, times),
            load_timeout: section.duration(
                "load_timeout",
                default.load_timeout,
                Duration::from_secs(1)..=longest,
            ),
            max_loads: section.count("max_loads", default.max_loads, 1..=1_000),
            settle: section.duration("settle", default.settle, Duration::ZERO..=longest),
        }
    }
}
