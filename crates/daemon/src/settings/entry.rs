//! Limits on requests and connections of untrusted clients to the callers', operators' and backend
//! servers' faces.

use std::time::Duration;

use super::reader::SectionReader;

/// Limits of the HTTP faces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Maximum number of header lines of a request.
    pub max_header_count: u64,
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time until the head of a request has arrived.
    pub head_timeout: Duration,
    /// Maximum time until the body of a request has arrived.
    pub body_timeout: Duration,
    /// Maximum number of open connections from one client address.
    pub max_connections_per_address: u64,
    /// Maximum number of open connections to one address of this host.
    pub max_connections: u64,
    /// Descriptors of this process, of which each face gets a part; 0 for the limit of the system.
    pub max_descriptors: u64,
    /// Memory of this process in bytes; bodies, answers and connections of clients get parts of it.
    pub memory: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            max_header_count: 100,
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            max_connections_per_address: 1_024,
            max_connections: 8_192,
            max_descriptors: 0,
            memory: 256 << 20,
        }
    }
}

impl EntrySettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let times = Duration::from_millis(100)..=Duration::from_secs(3_600);
        let settings = Self {
            max_header_count: section.count(
                "max_header_count",
                default.max_header_count,
                8..=1_000,
            ),
            // hyper requires a buffer of at least 8 KiB.
            max_header_bytes: section.size(
                "max_header_bytes",
                default.max_header_bytes,
                8 << 10..=1 << 20,
            ),
            max_body_bytes: section.size(
                "max_body_bytes",
                default.max_body_bytes,
                1 << 10..=1 << 30,
            ),
            head_timeout: section.duration("head_timeout", default.head_timeout, times.clone()),
            body_timeout: section.duration("body_timeout", default.body_timeout, times),
            max_connections_per_address: section.count(
                "max_connections_per_address",
                default.max_connections_per_address,
                1..=1_000_000,
            ),
            max_connections: section.count(
                "max_connections",
                default.max_connections,
                1..=1_000_000,
            ),
            max_descriptors: section.count("max_descriptors", default.max_descriptors, 0..=1 << 30),
            memory: section.size("memory", default.memory, 64 << 20..=1 << 50),
        };
        settings.report_large_bodies(section);
        settings
    }

    /// Reports a limit of bodies that no body can reach.
    fn report_large_bodies(&self, section: &mut SectionReader<'_>) {
        let largest = self.largest_body();
        if self.max_body_bytes <= largest {
            return;
        }
        let message = format!("bodies above {largest} bytes do not fit into `memory`");
        let expected = "`max_body_bytes` up to three sixteenths of `memory`";
        section.warning(section.place(), message, expected);
    }

    /// Largest body that fits into the memory for bodies, in bytes.
    fn largest_body(&self) -> u64 {
        self.memory / 16 * 3
    }
}
