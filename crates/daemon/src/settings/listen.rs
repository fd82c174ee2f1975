//! Addresses that a host listens on.

use std::net::SocketAddr;

use super::reader::{PlacedValue, SectionReader};

const EXPECTED: &str = "an IP address with a port, such as 127.0.0.1:8080 or [::1]:8080";

/// Addresses of one host. Callers, operators and backend servers may share one address; the
/// platform and the peers have their own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators' changes and questions.
    pub operators: SocketAddr,
    /// Announcements of backend servers.
    pub backend_servers: SocketAddr,
    /// What `platform` serves, once more, for a scraper that knows one port for all hosts.
    pub metrics: Option<SocketAddr>,
    /// Liveness, readiness, metrics and dump.
    pub platform: SocketAddr,
    /// Other hosts of the system.
    pub peers: SocketAddr,
}

/// One address under its key.
struct NamedAddress {
    key: &'static str,
    address: PlacedValue<SocketAddr>,
    /// Whether the face may share its address with others that may.
    shares: bool,
}

impl ListenSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let mut addresses = Vec::new();
        for (key, shares) in [
            ("callers", true),
            ("operators", true),
            ("backend_servers", true),
            ("platform", false),
            ("peers", false),
        ] {
            let address = section.required::<SocketAddr>(key, EXPECTED);
            addresses.extend(address.map(|address| NamedAddress {
                key,
                address,
                shares,
            }));
        }
        let metrics = section.optional::<SocketAddr>("metrics", EXPECTED);
        addresses.extend(metrics.map(|address| NamedAddress {
            key: "metrics",
            address,
            shares: false,
        }));
        report_overlaps(section, &addresses);
        let find = |key| {
            let named = addresses.iter().find(|named| named.key == key);
            named.map(|named| named.address.value)
        };
        Some(Self {
            callers: find("callers")?,
            operators: find("operators")?,
            backend_servers: find("backend_servers")?,
            metrics: find("metrics"),
            platform: find("platform")?,
            peers: find("peers")?,
        })
    }

    /// The faces that carry credentials, with the key of each.
    pub(super) fn credential_faces(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("callers", self.callers),
            ("operators", self.operators),
            ("backend_servers", self.backend_servers),
            ("peers", self.peers),
        ]
    }
}

fn report_overlaps(section: &mut SectionReader<'_>, addresses: &[NamedAddress]) {
    for (index, later) in addresses.iter().enumerate() {
        for earlier in addresses.iter().take(index) {
            let shared = later.shares && earlier.shares;
            if shared && later.address.value == earlier.address.value {
                continue;
            }
            if !overlap(earlier.address.value, later.address.value) {
                continue;
            }
            let message = format!("`{}` overlaps with `{}`", later.key, earlier.key);
            let expected = if shared {
                "the same address for both, or another port"
            } else {
                "another port"
            };
            section.error(later.address.place.clone(), message, expected);
        }
    }
}

/// Whether two listeners would meet: same port, and same address or one of them on all addresses.
fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let any = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && (any || left.ip() == right.ip())
}
