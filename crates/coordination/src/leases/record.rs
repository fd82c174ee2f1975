//! Announcement and lease of one backend server.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{AnnouncedLoad, AnnouncementDigest, LeaseNumber};
use crate::base::{DataCentreName, Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// The server accepts new work.
    Serving,
    /// The server accepts no new work and finishes its running work; final for its incarnation.
    Leaving,
}

/// An announcement as entries store and exchange it.
///
/// `offer` stays encoded because the lease code does not read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnounce {
    /// Name of the server, unique among backend servers.
    pub server: ServerName,
    /// Incarnation of the server's process.
    pub incarnation: Incarnation,
    /// Increases with every announcement of the incarnation.
    pub sequence: SequenceNumber,
    /// Address for requests, as `ip:port`.
    pub address: Arc<str>,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// Whether the server accepts new work.
    pub state: ServerState,
    /// Whether the server refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Offer of the server, encoded as in the HTTP API.
    pub offer: Arc<str>,
    /// Reported load, which lags behind the actual load.
    pub load: AnnouncedLoad,
}

/// Lease of one backend server on this host.
///
/// Invariants: (incarnation, sequence) of `announce` never decreases; `ended` is false only while
/// the lease runs; `version` is unique in the table, and none of `content_version`, `from_version`
/// and `load_version` is greater; `digest` is the digest of `announce`; `sent_load` is within the
/// send threshold of `announce.load`.
#[derive(Clone, Debug, Serialize)]
pub struct ServerLease {
    /// Number that identifies the lease in heartbeats to other hosts.
    pub number: LeaseNumber,
    /// Last announcement in (incarnation, sequence) order.
    pub announce: ServerAnnounce,
    /// Time at which the first receiving host got that announcement, by this host's clock.
    #[serde(rename = "heard_at")]
    pub received_at: MonotonicTime,
    /// Start of the server's uninterrupted presence in this table, by this host's clock.
    pub since: MonotonicTime,
    /// End of the lease; for an ended lease, the time at which the server is removed.
    pub deadline: MonotonicTime,
    /// Source of the last announcement.
    pub from: LeaseSource,
    /// Whether the lease has expired.
    pub ended: bool,
    /// Version of the table at the last renewal or change; deltas are sent in this order.
    pub version: u64,
    /// Version of the table when `digest` last changed.
    pub content_version: u64,
    /// Sources of all announcements of the server so far.
    #[serde(rename = "heard_from")]
    pub sources: BTreeSet<LeaseSource>,
    /// Version of the table when `sources` last grew, since the receivers of a lease depend on
    /// its sources. A server whose heartbeats alternate between hosts is not sent by name again on
    /// each alternation.
    pub from_version: u64,
    /// Version of the table when `sent_load` last changed.
    pub load_version: u64,
    /// Digest of the announcement's content.
    pub digest: AnnouncementDigest,
    /// Load that is sent to peers.
    #[serde(rename = "told_load")]
    pub sent_load: AnnouncedLoad,
    /// Whether the server has ever reported a load.
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
            received_at: receipt.received_at,
            since: receipt.received_at,
            deadline: receipt.deadline,
            from: receipt.from,
            ended: false,
            version: 0,
            content_version: 0,
            sources: BTreeSet::from([receipt.from]),
            from_version: 0,
            load_version: 0,
            digest: AnnouncementDigest::of(&announce),
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

    /// Sets `version` and the versions of the parts that must be sent to peers again.
    pub(super) fn touch(&mut self, version: u64, is_changed: bool) {
        self.version = version;
        if self.sources.insert(self.from) {
            self.from_version = version;
        }
        if is_changed {
            self.digest = AnnouncementDigest::of(&self.announce);
            self.content_version = version;
        }
        if is_changed || self.announce.load.exceeds_send_threshold(&self.sent_load) {
            self.sent_load = self.announce.load;
            self.load_version = version;
        }
    }

    pub(super) fn renew(&mut self, announce: ServerAnnounce, receipt: AnnounceReceipt) {
        if self.ended || self.announce.incarnation != announce.incarnation {
            self.since = receipt.received_at;
        }
        self.has_load |= announce.load != AnnouncedLoad::default();
        self.announce = announce;
        self.received_at = receipt.received_at;
        self.from = receipt.from;
        // A later announcement with a longer transit time must not shorten the current lease.
        self.deadline = if self.ended {
            receipt.deadline
        } else {
            self.deadline.max(receipt.deadline)
        };
        self.ended = false;
    }
}

/// Source of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseSource {
    /// The backend server itself.
    Server,
    /// Another host, which received the announcement from the server.
    Peer,
    /// A keeper, which forwards announcements that it received.
    Keeper,
}

/// Time and source of an announcement, and the deadline of the lease that it grants.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnnounceReceipt {
    pub(super) received_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    pub(super) from: LeaseSource,
}

/// Result of merging an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MergeVerdict {
    /// The server is new, its lease had ended, or its content has changed.
    Changed,
    /// The lease was renewed; nothing else changed.
    Renewed,
    /// The announcement isn't newer than the stored one, or its age has reached the lease duration.
    Stale,
    /// The server is leaving; only a new incarnation can get work again.
    Left,
    /// The renewal refers to content that is not in the table; the full announcement is needed.
    Unknown,
    /// The table already contains the maximum number of servers.
    Full,
}

/// A change made by [`LeaseTable::tick`](super::LeaseTable::tick).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvent {
    /// The lease expired; the server gets no new work.
    Ended {
        /// Name of the server.
        server: ServerName,
    },
    /// The server was removed after the retention without an announcement.
    Forgotten {
        /// Name of the server.
        server: ServerName,
    },
}
