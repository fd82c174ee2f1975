//! Settings of backend servers' leases.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an announcement holds, and how many servers are held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLeaseSettings {
    /// A server gets no new work this long after its last announcement was heard.
    pub lease: Duration,
    /// An ended lease is remembered this long, so that late announcements of a left server are
    /// recognised as old.
    pub retention: Duration,
    /// Servers held at most; further new ones are refused.
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
