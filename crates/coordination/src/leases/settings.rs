//! Settings of backend servers' leases.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Durations of leases and the size limit of a [`LeaseTable`](super::LeaseTable).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLeaseSettings {
    /// Time after its last announcement during which a server can get new work.
    pub lease: Duration,
    /// Time for which an ended lease stays in the table, so that late announcements of a server
    /// that left are recognised as old.
    pub retention: Duration,
    /// Maximum number of servers; announcements of further servers are refused.
    pub max_servers: usize,
}

impl Default for BackendLeaseSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            retention: Duration::from_secs(600),
            max_servers: 20_000,
        }
    }
}
