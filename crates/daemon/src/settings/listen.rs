//! Settings of the addresses that a host listens on.

use std::net::SocketAddr;

use super::reader::{LocatedValue, SectionReader};

const EXPECTED: &str = "an IP address with a port, such as 127.0.0.1:8080 or [::1]:8080";

/// Listening addresses of one host, one for each face: the interface for one kind of client.
/// Callers, operators and backend servers may share an address; the other faces have their own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for operators' changes and questions.
    pub operators: SocketAddr,
    /// Address for announcements of backend servers.
    pub backend_servers: SocketAddr,
    /// Additional address with the content of `platform`, for a scraper that uses one port for all
    /// hosts.
    pub metrics: Option<SocketAddr>,
    /// Address for liveness, readiness, metrics and the dump.
    pub platform: SocketAddr,
    /// Address for the other hosts of the system.
    pub peers: SocketAddr,
}

/// An address and the key that it was read from.
struct NamedAddress {
    key: &'static str,
    address: LocatedValue<SocketAddr>,
    /// Whether the face may share its address with another such face.
    can_share: bool,
}

impl ListenSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let mut addresses = Vec::new();
        for (key, can_share) in [
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
                can_share,
            }));
        }
        let metrics = section.optional::<SocketAddr>("metrics", EXPECTED);
        addresses.extend(metrics.map(|address| NamedAddress {
            key: "metrics",
            address,
            can_share: false,
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

    /// Keys and addresses of the faces whose connections carry credentials.
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
            let shared = later.can_share && earlier.can_share;
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

/// Whether two listeners conflict: they have the same port, and the same IP address or one of them
/// listens on all addresses. Port 0 never conflicts, since the system picks a free port.
fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let any = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && (any || left.ip() == right.ip())
}
