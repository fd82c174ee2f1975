//! Builders for tests and examples: settings of a host and free loopback ports.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};

/// Credential of the customer that [`HostBuilder`] names.
pub const CUSTOMER_TOKEN: &str = "customer-token";
/// Name of that customer.
pub const CUSTOMER: &str = "federation";
/// Credential of the operator that [`HostBuilder`] names.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// A loopback address whose port the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports from which [`free_addresses`] takes; below those that systems give to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// How many ports apart two processes begin.
const PROCESS_STRIDE: u32 = 97;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Loopback addresses whose ports were free a moment ago, each given once in a process.
///
/// A host that is started again needs its old ports. Had they come from the system's range for
/// outgoing connections, any connection could hold one of them by then, and the start would wait
/// for as long as that connection lives.
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
        if std::net::TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    if addresses.len() < count {
        return Err(std::io::Error::other("no port is free"));
    }
    Ok(addresses)
}

fn next_port() -> u16 {
    let size = PORTS.end - PORTS.start;
    let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(size);
    let offset = (u32::from(number) + start) % u32::from(size);
    PORTS.start + u16::try_from(offset).unwrap_or(0)
}

/// An incarnation above those of all earlier runs: seconds since the Unix epoch.
///
/// Hosts remember servers for a while after their leases end, so a stand-in that comes back under
/// an old incarnation is, rightly, not heard.
pub fn fresh_incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(1, |time| time.as_secs())
}

/// Addresses of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostAddresses {
    /// Callers, operators and backend servers.
    pub entry: SocketAddr,
    /// Platform.
    pub platform: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

/// Builds settings texts of hosts that know each other.
#[derive(Clone, Debug)]
pub struct HostBuilder {
    hosts: Vec<HostAddresses>,
    keepers: usize,
    token_digest: String,
    operator_digest: String,
    operators: String,
    more: String,
}

impl HostBuilder {
    /// `hosts` hosts on free loopback ports, the first `keepers` of them keepers; the digests are
    /// those of [`CUSTOMER_TOKEN`] and [`OPERATOR_TOKEN`].
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
            more: String::new(),
        })
    }

    /// Adds further settings to every host.
    #[must_use]
    pub fn with(mut self, more: &str) -> Self {
        self.more.push_str(more);
        self
    }

    /// Adds an operator who proves itself by its certificate.
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

    /// Settings of host `index`, with its data in `folder` if it is a keeper.
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
            self.more,
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
