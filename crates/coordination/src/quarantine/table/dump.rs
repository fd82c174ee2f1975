//! State of the quarantine for the dump, logs and metrics.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use super::{QuarantineTable, Suspicion};
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
        self.suspicions(now).len()
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now: MonotonicTime) -> QuarantineDump {
        let now = self.internal(now);
        let suspects = self.suspicions(now).into_iter().map(|suspicion| {
            let early = suspicion.early.map(|blame| (blame.crashes, blame.rounds));
            let late = suspicion.late.map(|blame| (blame.crashes, blame.rounds));
            let (crashes, rounds) = early.max(late).unwrap_or_default();
            SuspectDump {
                crashes,
                rounds,
                engines: self.engines_under(&suspicion.key),
                held_for: self.longest_wait(now, &suspicion, true),
                part: suspicion.key,
            }
        });
        QuarantineDump {
            suspects: suspects.collect(),
        }
    }

    /// Engines that crashed under a part, the last one last.
    pub fn engines_under(&self, part: &PartKey) -> Vec<ServerName> {
        let early = self.crashes.records().filter(|(_, record)| {
            record.service == part.service && record.suspects.contains(&part.part)
        });
        let early = early.map(|(id, record)| (record.at, id.server.clone()));
        let late = self.late.records().filter(|(_, record)| {
            record.service == part.service && record.parts.contains_key(&part.part)
        });
        let late = late.map(|(id, record)| (record.at, id.server.clone()));
        let engines: BTreeSet<_> = early.chain(late).collect();
        engines.into_iter().map(|(_, server)| server).collect()
    }

    fn suspicions(&self, now: MonotonicTime) -> Vec<Suspicion> {
        let mut keys = self.crashes.parts();
        keys.extend(self.late.suspects().cloned());
        let suspicions = keys.into_iter().filter_map(|key| {
            let mut of_key = self.suspects(now, &key.service, std::slice::from_ref(&key.part));
            of_key.pop()
        });
        suspicions.collect()
    }
}
