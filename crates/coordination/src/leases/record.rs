//! One backend server's announcement and lease.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// Whether a server asks for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes new work.
    Serving,
    /// It takes no new work and finishes what it has; final for its incarnation.
    Leaving,
}

/// An announcement as entries keep and exchange it.
///
/// `offer` and `load` stay encoded here: leases decide nothing on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnounce {
    /// Name, unique among backend servers.
    pub server: ServerName,
    /// Life of the server's process.
    pub incarnation: Incarnation,
    /// Rises with every announcement of the incarnation.
    pub sequence: SequenceNumber,
    /// `ip:port` that takes requests.
    pub address: Arc<str>,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// What it offers, encoded as at the HTTP border.
    pub offer: Arc<str>,
    /// Load, encoded as at the HTTP border; a lagging hint.
    pub load: Arc<str>,
}

/// Lease of one backend server on this host.
///
/// Invariants: (incarnation, sequence) of `announce` never falls; `ended` is false only while the
/// lease runs; `version` is unique in the table.
#[derive(Clone, Debug, Serialize)]
pub struct ServerLease {
    /// Last announcement in (incarnation, sequence) order.
    pub announce: ServerAnnounce,
    /// When that announcement was heard by the entry that it went to, in this host's time.
    pub heard_at: MonotonicTime,
    /// End of the lease; once ended, the time at which the server is forgotten.
    pub deadline: MonotonicTime,
    /// Whom the announcement was heard from.
    pub from: HeardFrom,
    /// Whether the lease ran out.
    pub ended: bool,
    /// Version of the table at the last change; orders deltas.
    pub version: u64,
}

impl ServerLease {
    pub(super) fn new(announce: ServerAnnounce, hearing: Hearing) -> Self {
        Self {
            announce,
            heard_at: hearing.heard_at,
            deadline: hearing.deadline,
            from: hearing.from,
            ended: false,
            version: 0,
        }
    }

    /// Whether the server may get new work at `now`.
    pub fn is_serving(&self, now: MonotonicTime) -> bool {
        !self.ended && now < self.deadline && self.announce.state == ServerState::Serving
    }

    pub(super) fn is_outranked_by(
        &self,
        incarnation: Incarnation,
        sequence: SequenceNumber,
    ) -> bool {
        (incarnation, sequence) > (self.announce.incarnation, self.announce.sequence)
    }

    pub(super) fn differs_from(&self, announce: &ServerAnnounce) -> bool {
        let held = &self.announce;
        self.ended
            || held.incarnation != announce.incarnation
            || held.address != announce.address
            || held.state != announce.state
            || held.offer != announce.offer
            || held.data_centre != announce.data_centre
    }

    pub(super) fn renew(&mut self, announce: ServerAnnounce, hearing: Hearing) {
        self.announce = announce;
        self.heard_at = hearing.heard_at;
        self.from = hearing.from;
        // A later announcement that travelled longer must not shorten the lease of an earlier one.
        self.deadline = if self.ended {
            hearing.deadline
        } else {
            self.deadline.max(hearing.deadline)
        };
        self.ended = false;
    }
}

/// Whom an announcement was heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeardFrom {
    /// The backend server itself.
    Server,
    /// Another host, which heard the server itself.
    Peer,
}

/// When an announcement was heard, and how long it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hearing {
    pub(super) heard_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    pub(super) from: HeardFrom,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MergeVerdict {
    /// The server is new, returned, or offers something else than before.
    Changed,
    /// The lease was renewed; nothing else changed.
    Renewed,
    /// The announcement is older than what is held.
    Stale,
    /// The server is leaving; only a new incarnation brings it back.
    Left,
    /// The table holds as many servers as it may.
    Full,
}

/// What a tick decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseNews {
    /// The lease ran out: no new work.
    Ended {
        /// The server.
        server: ServerName,
    },
    /// The server was not heard of during the retention.
    Forgotten {
        /// The server.
        server: ServerName,
    },
}
