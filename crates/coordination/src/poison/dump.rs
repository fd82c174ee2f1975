//! State of the table for the dump and metrics.

use std::time::Duration;

use serde::Serialize;

use super::digest::ContentDigest;
use super::table::PoisonTable;
use crate::base::{MonotonicTime, ServerName};

/// A request that is not sent any more, in the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoppedDump {
    /// The request.
    pub digest: ContentDigest,
    /// Servers that ended under it.
    pub servers: Vec<ServerName>,
    /// Time after which it may be sent again.
    pub stopped_for: Duration,
}

/// State of the table in the dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PoisonDump {
    /// Requests that are not sent any more.
    pub stopped: Vec<StoppedDump>,
    /// Known ends of servers.
    pub losses: usize,
}

impl PoisonTable {
    /// Number of requests that are not sent any more.
    pub fn stopped_count(&self) -> usize {
        self.stopped.len()
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now: MonotonicTime) -> PoisonDump {
        let stopped = self.stopped.keys().map(|digest| {
            let losses = self.losses.records();
            let losses = losses.filter(|(_, record)| record.has(*digest));
            StoppedDump {
                digest: *digest,
                servers: losses.map(|(id, _)| id.server.clone()).collect(),
                stopped_for: self
                    .stop_reason(now, *digest)
                    .map_or(Duration::ZERO, |stopped| stopped.wait),
            }
        });
        PoisonDump {
            stopped: stopped.collect(),
            losses: self.losses.records().count(),
        }
    }
}
