//! Builders for tests and examples: settings of a host and free loopback ports.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// Bearer token of the customer in the settings of [`HostBuilder`].
pub const CUSTOMER_TOKEN: &str = "customer-token";
/// Name of the customer in the settings of [`HostBuilder`].
pub const CUSTOMER: &str = "federation";
/// Bearer token of the operator in the settings of [`HostBuilder`].
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Loopback address with port 0, so that the system chooses the port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports for [`free_addresses`], below the range that systems use for outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// Distance between the first ports of processes with consecutive ids.
const PROCESS_STRIDE: u32 = 97;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// UDP sockets on the ports that this process has reserved; they stay open until it ends.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Loopback addresses whose ports were free when checked. Each is returned once per process, and to
/// no other process as long as this one runs.
///
/// A restarted host needs its old ports. From the system's range for outgoing connections, another
/// connection could occupy one of them meanwhile, and the start would wait until it is closed.
/// Another process could also occupy the port of a host that has crashed or has not started yet, so
/// each port is reserved by a UDP socket on the same number, which only one process can bind and
/// which leaves the TCP port free.
///
/// # Errors
/// No port is free.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in PORTS {
        if addresses.len() == count {
            break;
        }
        let address = SocketAddr::from(([127, 0, 0, 1], next_port()));
        if reserve(address) {
            addresses.push(address);
        }
    }
    if addresses.len() < count {
        return Err(std::io::Error::other("no port is free"));
    }
    Ok(addresses)
}

/// Reserves a free port for this process; false if it is in use or reserved by any process.
fn reserve(address: SocketAddr) -> bool {
    let Ok(reservation) = UdpSocket::bind(address) else {
        return false;
    };
    if TcpListener::bind(address).is_err() {
        return false;
    }
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    reserved.push(reservation);
    true
}

fn next_port() -> u16 {
    let size = PORTS.end - PORTS.start;
    let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(size);
    let offset = (u32::from(number) + start) % u32::from(size);
    PORTS.start + u16::try_from(offset).unwrap_or(0)
}

/// Incarnation greater than those of all earlier runs: seconds since the Unix epoch.
///
/// Hosts keep the incarnation of a server for a while after its lease expires and correctly ignore
/// announcements with an older one.
pub fn fresh_incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(1, |time| time.as_secs())
}

/// Addresses of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostAddresses {
    /// Address for callers, operators and backend servers.
    pub entry: SocketAddr,
    /// Address for the platform.
    pub platform: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// Builds the settings texts of hosts that list each other as peers.
#[derive(Clone, Debug)]
pub struct HostBuilder {
    hosts: Vec<HostAddresses>,
    keepers: usize,
    token_digest: String,
    operator_digest: String,
    operators: String,
    extra_settings: String,
}

impl HostBuilder {
    /// Creates `hosts` hosts on free loopback ports, the first `keepers` of them keepers. The
    /// digests are those of [`CUSTOMER_TOKEN`] and [`OPERATOR_TOKEN`].
    ///
    /// # Errors
    /// No port is free.
    pub fn new(
        hosts: usize,
        keepers: usize,
        token_digest: String,
        operator_digest: String,
    ) -> std::io::Result<Self> {
        let addresses = free_addresses(hosts * 3)?;
        let hosts = addresses.chunks_exact(3).filter_map(|chunk| match chunk {
            [entry, platform, peers] => Some(HostAddresses {
                entry: *entry,
                platform: *platform,
                peers: *peers,
            }),
            _ => None,
        });
        Ok(Self {
            hosts: hosts.collect(),
            keepers,
            token_digest,
            operator_digest,
            operators: String::new(),
            extra_settings: String::new(),
        })
    }

    /// Appends settings (YAML) to those of every host.
    #[must_use]
    pub fn with(mut self, settings: &str) -> Self {
        self.extra_settings.push_str(settings);
        self
    }

    /// Adds an operator that authenticates with a certificate.
    #[must_use]
    pub fn with_certified_operator(mut self, name: &str) -> Self {
        self.operators += &format!("  - {{name: {name}, role: viewer, certificate: true}}\n");
        self
    }

    /// Addresses of the hosts, in order.
    pub fn hosts(&self) -> &[HostAddresses] {
        &self.hosts
    }

    /// Name of host `index`.
    pub fn name(index: usize) -> String {
        format!("host-{index}")
    }

    /// Settings of host `index`; `folder` is its data folder if it is a keeper. Empty if there is
    /// no such host.
    pub fn settings(&self, index: usize, folder: &Path) -> String {
        let Some(own) = self.hosts.get(index) else {
            return String::new();
        };
        let data = if index < self.keepers {
            format!("data_folder: {}\n", folder.display())
        } else {
            String::new()
        };
        let entry = own.entry;
        format!(
            "host: {}\ndata_centre: {}\n{data}listen: {{callers: {entry}, operators: {entry}, \
             backend_servers: {entry}, platform: {}, peers: {}}}\npeers:\n{}customers:\n  \
             - {{name: {CUSTOMER}, token_sha256: {}}}\noperators:\n  - {{name: operator-1, role: editor, \
             token_sha256: {}}}\n{}backend_servers: {{proof: not-required}}\n{}",
            Self::name(index),
            data_centre(index),
            own.platform,
            own.peers,
            self.peer_lines(),
            self.token_digest,
            self.operator_digest,
            self.operators,
            self.extra_settings,
        )
    }

    fn peer_lines(&self) -> String {
        let line = |(index, host): (usize, &HostAddresses)| {
            format!(
                "  - {{name: {}, data_centre: {}, address: {}, keeper: {}}}\n",
                Self::name(index),
                data_centre(index),
                host.peers,
                index < self.keepers
            )
        };
        self.hosts.iter().enumerate().map(line).collect()
    }
}

fn data_centre(index: usize) -> &'static str {
    ["dc-a", "dc-b", "dc-c"]
        .get(index % 3)
        .copied()
        .unwrap_or("dc-a")
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against hosts of two test programs that share an address: while a host is stopped, its
    // TCP port looks free to the other program, which then runs a host in place of the stopped one.
    #[test]
    fn ports_that_another_process_has_reserved_are_not_returned() {
        let first = free_addresses(1).unwrap()[0];
        let following = (1..4).map(|distance| (first.ip(), first.port() + distance).into());
        let of_other_process: Vec<SocketAddr> = following.collect();
        let _reservations: Vec<_> = of_other_process.iter().map(UdpSocket::bind).collect();
        let addresses = free_addresses(4).unwrap();
        assert!(
            !of_other_process.iter().any(|port| addresses.contains(port)),
            "{addresses:?}"
        );
        for address in addresses {
            assert!(UdpSocket::bind(address).is_err(), "{address} not reserved");
            assert!(TcpListener::bind(address).is_ok(), "{address} in use");
        }
    }
}
