//! Time for which a request waits while no known backend server has free capacity.
//!
//! After a restart of all hosts, callers whose streams were aborted retry at the same moment
//! (thundering herd). A host that has just started knows few or none of the backend servers; the
//! servers that it does not know may have free capacity, and they announce themselves within
//! seconds. A caller that is refused in the meantime has used up the only retry that it may have.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::MonotonicTime;

/// Times for which requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct WaitSettings {
    /// Time from its arrival for which a request waits while all backend servers are full.
    pub full: Duration,
    /// The same at a host that is still discovering the backend servers.
    #[serde(rename = "learning")]
    pub discovery: Duration,
    /// Time from its start for which a host is discovering backend servers. They announce
    /// themselves about once a second to the keepers, which may have to elect a leader first.
    #[serde(rename = "learning-time")]
    pub discovery_time: Duration,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            full: Duration::from_millis(1_200),
            // Callers disconnect after 2 s without an event, and the first event takes up to 250
            // ms.
            discovery: Duration::from_millis(1_700),
            discovery_time: Duration::from_secs(5),
        }
    }
}

impl WaitSettings {
    /// Returns the time until which a request that arrived at `arrived` waits, according to the
    /// state at `now`. `started` is the start time of the host's process.
    pub fn wait_until(
        &self,
        now: MonotonicTime,
        started: MonotonicTime,
        arrived: MonotonicTime,
    ) -> MonotonicTime {
        arrived.after(if self.is_discovering(now, started) {
            self.discovery
        } else {
            self.full
        })
    }

    /// Whether the host may not know all backend servers yet.
    pub fn is_discovering(&self, now: MonotonicTime, started: MonotonicTime) -> bool {
        now.since(started) < self.discovery_time
    }
}
