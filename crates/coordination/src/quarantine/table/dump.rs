//! State of the quarantine for the dump, logs and metrics.

use std::time::Duration;

use serde::Serialize;

use super::QuarantineTable;
use crate::base::{MonotonicTime, ServerName};
use crate::quarantine::interface::PartKey;

/// A suspected part in the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SuspectDump {
    /// Service and name of the part.
    pub part: PartKey,
    /// Crashes that it is suspected of.
    pub crashes: u32,
    /// Rounds of crashes.
    pub rounds: u32,
    /// Engines that crashed, the last one last.
    pub engines: Vec<ServerName>,
    /// Time after which a request with it may be sent as a test.
    pub held_for: Duration,
}

/// State of the quarantine in the dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuarantineDump {
    /// Suspected parts.
    pub suspects: Vec<SuspectDump>,
}

impl QuarantineTable {
    /// Number of suspected parts.
    pub fn suspect_count(&self, now: MonotonicTime) -> usize {
        let now = self.internal(now);
        let parts = self.crashes.parts();
        let blames = parts.iter().map(|key| self.blame(now, key));
        blames.flatten().count()
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now: MonotonicTime) -> QuarantineDump {
        let now = self.internal(now);
        let parts = self.crashes.parts().into_iter();
        let suspects = parts.filter_map(|part| {
            let blame = self.blame(now, &part)?;
            Some(SuspectDump {
                crashes: blame.crashes,
                rounds: blame.rounds,
                engines: self.engines_under(&part),
                held_for: self.wait_of(now, &part, blame, true),
                part,
            })
        });
        QuarantineDump {
            suspects: suspects.collect(),
        }
    }

    /// Engines that crashed under a part, the last one last.
    pub fn engines_under(&self, part: &PartKey) -> Vec<ServerName> {
        let records = self.crashes.records().filter(|(_, record)| {
            record.service == part.service && record.suspects.contains(&part.part)
        });
        let mut engines: Vec<_> = records
            .map(|(id, record)| (record.at, id.server.clone()))
            .collect();
        engines.sort();
        engines.into_iter().map(|(_, server)| server).collect()
    }
}
