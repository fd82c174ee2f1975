//! How long a request waits for room that a host does not see.
//!
//! Pattern: thundering herd after a restart. All hosts start at the same moment, and the callers whose
//! streams were cut come back at once. A host that has just started knows no server, or some of them:
//! what it does not know isn't full, and servers announce themselves within seconds. Refused meanwhile,
//! a caller has used up the one retry that it may have.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::MonotonicTime;

/// How long requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct WaitSettings {
    /// Time after its arrival for which a request waits where all servers are full.
    pub full: Duration,
    /// The same at a host that is still learning which servers there are.
    pub learning: Duration,
    /// Time after its start for which a host is learning: servers announce themselves about once a second,
    /// to keepers that may have to elect a leader first.
    pub learning_time: Duration,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            full: Duration::from_millis(1_200),
            // Callers leave after two seconds without an event, and the first takes up to a quarter of one.
            learning: Duration::from_millis(1_700),
            learning_time: Duration::from_secs(5),
        }
    }
}

impl WaitSettings {
    /// Until when a request that arrived at `arrived` waits, as far as can be said at `now`. `started` is
    /// when the host's process started.
    pub fn wait_until(
        &self,
        now: MonotonicTime,
        started: MonotonicTime,
        arrived: MonotonicTime,
    ) -> MonotonicTime {
        arrived.after(if self.is_learning(now, started) {
            self.learning
        } else {
            self.full
        })
    }

    /// Whether the host may not know all servers yet.
    pub fn is_learning(&self, now: MonotonicTime, started: MonotonicTime) -> bool {
        now.since(started) < self.learning_time
    }
}
