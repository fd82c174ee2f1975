//! One backend server's announcement and lease.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{AnnouncedLoad, ContentDigest, LeaseNumber};
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
/// `offer` stays encoded here: leases decide nothing on it.
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
    /// Load; a lagging hint.
    pub load: AnnouncedLoad,
}

/// Lease of one backend server on this host.
///
/// Invariants: (incarnation, sequence) of `announce` never falls; `ended` is false only while the
/// lease runs; `version` is unique in the table, and none of `content_version`, `from_version` and
/// `load_version` is above it; `digest` is that of `announce`; `sent_load` is within a step of `announce.load`.
#[derive(Clone, Debug, Serialize)]
pub struct ServerLease {
    /// Number by which other hosts are told of heartbeats.
    pub number: LeaseNumber,
    /// Last announcement in (incarnation, sequence) order.
    pub announce: ServerAnnounce,
    /// When that announcement was heard by the entry that it went to, in this host's time.
    pub heard_at: MonotonicTime,
    /// Since when the server is known here without a break, in this host's time.
    pub since: MonotonicTime,
    /// End of the lease; once ended, the time at which the server is forgotten.
    pub deadline: MonotonicTime,
    /// Whom the announcement was heard from.
    pub from: LeaseSource,
    /// Whether the lease ran out.
    pub ended: bool,
    /// Version of the table at the last renewal or change; orders deltas.
    pub version: u64,
    /// Version of the table when `digest` last changed.
    pub content_version: u64,
    /// Ways in which the server was heard of so far.
    pub heard_from: BTreeSet<LeaseSource>,
    /// Version of the table when `heard_from` last grew: who was told of the lease depends on it. A server
    /// whose heartbeats go now here, now there is not named anew each time.
    pub from_version: u64,
    /// Version of the table when `sent_load` last changed.
    pub load_version: u64,
    /// Digest of the announcement's content.
    pub digest: ContentDigest,
    /// Load that peers are told.
    #[serde(rename = "told_load")]
    pub sent_load: AnnouncedLoad,
    /// Whether the server ever told a load.
    pub has_load: bool,
}

impl ServerLease {
    pub(super) fn new(
        announce: ServerAnnounce,
        receipt: AnnounceReceipt,
        number: LeaseNumber,
    ) -> Self {
        Self {
            number,
            heard_at: receipt.heard_at,
            since: receipt.heard_at,
            deadline: receipt.deadline,
            from: receipt.from,
            ended: false,
            version: 0,
            content_version: 0,
            heard_from: BTreeSet::from([receipt.from]),
            from_version: 0,
            load_version: 0,
            digest: ContentDigest::of(&announce),
            sent_load: announce.load,
            has_load: announce.load != AnnouncedLoad::default(),
            announce,
        }
    }

    /// Whether the server may get new work at `now`.
    pub fn is_serving(&self, now: MonotonicTime) -> bool {
        !self.ended && now < self.deadline && self.announce.state == ServerState::Serving
    }

    pub(super) fn is_older_than(&self, incarnation: Incarnation, sequence: SequenceNumber) -> bool {
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
            || held.checks_fencing != announce.checks_fencing
    }

    /// Marks what peers must be told again, as of `version` of the table.
    pub(super) fn touch(&mut self, version: u64, is_changed: bool) {
        self.version = version;
        if self.heard_from.insert(self.from) {
            self.from_version = version;
        }
        if is_changed {
            self.digest = ContentDigest::of(&self.announce);
            self.content_version = version;
        }
        if is_changed || self.announce.load.is_beyond_step(&self.sent_load) {
            self.sent_load = self.announce.load;
            self.load_version = version;
        }
    }

    pub(super) fn renew(&mut self, announce: ServerAnnounce, receipt: AnnounceReceipt) {
        if self.ended || self.announce.incarnation != announce.incarnation {
            self.since = receipt.heard_at;
        }
        self.has_load |= announce.load != AnnouncedLoad::default();
        self.announce = announce;
        self.heard_at = receipt.heard_at;
        self.from = receipt.from;
        // A later announcement that travelled longer must not shorten the lease of an earlier one.
        self.deadline = if self.ended {
            receipt.deadline
        } else {
            self.deadline.max(receipt.deadline)
        };
        self.ended = false;
    }
}

/// Whom an announcement was heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseSource {
    /// The backend server itself.
    Server,
    /// Another host, which heard the server itself.
    Peer,
    /// A keeper, which passes on what it was told.
    Keeper,
}

/// When an announcement was heard, and how long it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnnounceReceipt {
    pub(super) heard_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    pub(super) from: LeaseSource,
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
    /// A renewal of content that is not held; the full announcement is needed.
    Unknown,
    /// The table holds as many servers as it may.
    Full,
}

/// What a tick decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvent {
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
