//! Settings of the leases of backend servers, hosts and the configuration.

use std::time::Duration;

use super::reader::SectionReader;

/// Durations of the leases, all on monotonic clocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Lease of a backend server; a server without a heartbeat for this long gets no new requests.
    pub backend_server: Duration,
    /// Lease of an entry on its configuration; an entry that cannot renew it refuses new requests.
    pub configuration: Duration,
    /// Interval between heartbeats of hosts. Invariant: at most a third of `configuration`.
    pub heartbeat: Duration,
    /// Maximum assumed drift between two monotonic clocks, in parts per million. The holder ends
    /// its lease earlier by this fraction, the granter later.
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
                "the `configuration` lease is shorter than three heartbeats, so one lost message lets it expire",
                "a `configuration` lease of at least three times `heartbeat`",
            );
        }
        settings
    }
}
