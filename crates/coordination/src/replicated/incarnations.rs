//! Lives of hosts' processes: each start takes a higher incarnation, also on hosts without a disk.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::base::{HostName, Incarnation};

/// Random number that a process draws at its start; tells a resend from another start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProcessNonce(pub u64);

/// A host's process asks for its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// The host.
    pub host: HostName,
    /// Drawn at the start of the process.
    pub nonce: ProcessNonce,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HostIncarnation {
    incarnation: Incarnation,
    nonce: ProcessNonce,
}

/// Current incarnation of each host.
///
/// Invariant: the incarnation of a host never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationTable {
    lives: BTreeMap<HostName, HostIncarnation>,
}

impl IncarnationTable {
    /// The incarnation of the process that asks: a higher one for a new process, the same one for
    /// a resend.
    pub fn start(&mut self, start: &StartHost) -> Incarnation {
        let known = self.lives.get(&start.host);
        if let Some(life) = known.filter(|life| life.nonce == start.nonce) {
            return life.incarnation;
        }
        let incarnation = known.map_or(Incarnation(1), |life| life.incarnation.next());
        let life = HostIncarnation {
            incarnation,
            nonce: start.nonce,
        };
        self.lives.insert(start.host.clone(), life);
        incarnation
    }

    /// Current incarnation of a host; `None` if it never started.
    pub fn incarnation(&self, host: &HostName) -> Option<Incarnation> {
        self.lives.get(host).map(|life| life.incarnation)
    }

    /// Hosts and their incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, Incarnation)> {
        self.lives
            .iter()
            .map(|(host, life)| (host, life.incarnation))
    }
}
