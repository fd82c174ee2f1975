//! Incarnations of hosts' processes; each start gets a higher one, even on hosts without a disk.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation};

/// Random number drawn at the start of a process; distinguishes a resend from another start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProcessNonce(pub u64);

/// Request of a host's process for its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// Host of the process.
    pub host: HostName,
    /// Number drawn at the start of the process.
    pub nonce: ProcessNonce,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HostIncarnation {
    incarnation: Incarnation,
    nonce: ProcessNonce,
}

/// Current incarnation of each host.
///
/// Invariant: the incarnation of a host never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationTable {
    #[serde(rename = "lives")]
    by_host: BTreeMap<HostName, HostIncarnation>,
}

impl IncarnationTable {
    /// Returns the incarnation of the requesting process: a higher one for a new process, the same
    /// one for a resend.
    pub fn start(&mut self, start: &StartHost) -> Incarnation {
        let known = self.by_host.get(&start.host);
        if let Some(current) = known.filter(|current| current.nonce == start.nonce) {
            return current.incarnation;
        }
        let incarnation = known.map_or(Incarnation(1), |current| current.incarnation.next());
        let started = HostIncarnation {
            incarnation,
            nonce: start.nonce,
        };
        self.by_host.insert(start.host.clone(), started);
        incarnation
    }

    /// Returns the current incarnation of a host; `None` if it never started.
    pub fn incarnation(&self, host: &HostName) -> Option<Incarnation> {
        self.by_host.get(host).map(|current| current.incarnation)
    }

    /// Iterates over hosts and their current incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, Incarnation)> {
        self.by_host
            .iter()
            .map(|(host, current)| (host, current.incarnation))
    }
}
