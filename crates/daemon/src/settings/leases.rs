//! Leases of backend servers, hosts and the configuration.

use std::time::Duration;

use super::reader::SectionReader;

/// Settings of the leases. All rest on monotonic time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Lease of a backend server; without a heartbeat for this long it gets no new work.
    pub backend_server: Duration,
    /// Lease of an entry on its configuration; one that cannot renew it refuses new work.
    pub configuration: Duration,
    /// Time between two heartbeats among hosts. Invariant: at most a third of `configuration`.
    pub heartbeat: Duration,
    /// Highest assumed difference between two monotonic clocks, in parts per million; each holder
    /// ends its lease earlier by this part, each granter later.
    pub clock_drift_ppm: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            backend_server: Duration::from_secs(3),
            configuration: Duration::from_secs(3),
            heartbeat: Duration::from_millis(500),
            clock_drift_ppm: 1_000,
        }
    }
}

impl LeaseSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let times = Duration::from_millis(100)..=Duration::from_secs(60);
        let settings = Self {
            backend_server: section.duration(
                "backend_server",
                default.backend_server,
                times.clone(),
            ),
            configuration: section.duration("configuration", default.configuration, times.clone()),
            heartbeat: section.duration(
                "heartbeat",
                default.heartbeat,
                Duration::from_millis(10)..=*times.end(),
            ),
            clock_drift_ppm: section.count("clock_drift_ppm", default.clock_drift_ppm, 0..=100_000),
        };
        if settings.configuration < settings.heartbeat * 3 {
            section.error(
                section.place(),
                "the `configuration` lease is shorter than three heartbeats, so one lost message ends it",
                "a `configuration` lease of at least three times `heartbeat`",
            );
        }
        settings
    }
}
