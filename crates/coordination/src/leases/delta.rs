//! Deltas that replicate leases between entries.
//!
//! Each host sends every other host the announcements that it received from the servers themselves,
//! with their age, so that each host ends a lease by its own clock. A link carries an announcement
//! in full once per change, and the heartbeats in between as renewals of a few bytes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    AnnouncedLoad, AnnouncementDigest, LeaseSource, LeaseTable, MergeVerdict, ServerAnnounce,
    ServerLease, ServerState,
};
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// A heartbeat whose sequence number is a multiple of this includes its load, even if unchanged.
///
/// Two entries may receive consecutive heartbeats and send them to a third entry. The later renewal
/// then carries no load, because its sender never received the earlier load. Without this rule, the
/// third entry would keep the earlier load until the load changes by more than the send threshold.
/// With it, the wrong value lasts for at most this number of heartbeats.
const LOAD_PERIOD: u64 = 8;

/// Versions of the lease table up to which one receiver has been sent the changes.
///
/// Invariant: `complete <= reached`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaCursor {
    /// The receiver was sent every change up to this version.
    ///
    /// Leases are sent in the order of their last renewal, so an unsent lease may have changed
    /// before a sent one. With `reached` alone, the unsent lease would go out as a renewal
    /// of content that the receiver never got. `complete` advances only when nothing is left to
    /// send.
    pub complete: u64,
    /// The receiver was sent every lease whose last renewal has at most this version.
    pub reached: u64,
}

/// A lease that changed or was renewed after the cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseDelta {
    /// The full announcement, for a receiver that was not sent this content yet.
    #[serde(rename = "f")]
    Full(FullLease),
    /// A heartbeat with unchanged content.
    #[serde(rename = "r")]
    Renewal(LeaseRenewal),
}

/// A full announcement with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullLease {
    /// The announcement.
    pub announce: ServerAnnounce,
    /// Time since a host received the announcement from the server, by the sender's clock.
    pub age: Duration,
}

/// A heartbeat of a server whose announcement the receiver should already have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RenewalFields", into = "RenewalFields")]
pub struct LeaseRenewal {
    /// Name of the server.
    pub server: ServerName,
    /// Incarnation of the server's process.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat.
    pub sequence: SequenceNumber,
    /// Digest of the announcement content that is renewed.
    pub digest: AnnouncementDigest,
    /// Time since a host received the heartbeat from the server, by the sender's clock. Encoded in
    /// milliseconds, rounded up.
    pub age: Duration,
    /// Load, if the receiver needs an update.
    pub load: Option<AnnouncedLoad>,
}

/// Encoded form without field names, which would take more bytes than the values.
type RenewalFields = (
    ServerName,
    Incarnation,
    SequenceNumber,
    AnnouncementDigest,
    u64,
    Option<AnnouncedLoad>,
);

impl From<RenewalFields> for LeaseRenewal {
    fn from((server, incarnation, sequence, digest, age, load): RenewalFields) -> Self {
        Self {
            server,
            incarnation,
            sequence,
            digest,
            age: Duration::from_millis(age),
            load,
        }
    }
}

impl From<LeaseRenewal> for RenewalFields {
    fn from(renewal: LeaseRenewal) -> Self {
        // Rounding up can end a lease a millisecond early, but never late.
        let age = renewal.age.as_nanos().div_ceil(1_000_000);
        (
            renewal.server,
            renewal.incarnation,
            renewal.sequence,
            renewal.digest,
            u64::try_from(age).unwrap_or(u64::MAX),
            renewal.load,
        )
    }
}

impl LeaseDelta {
    /// Incarnation of the server's process.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Full(full) => full.announce.incarnation,
            Self::Renewal(renewal) => renewal.incarnation,
        }
    }

    /// Name of the server.
    pub fn server(&self) -> &ServerName {
        match self {
            Self::Full(full) => &full.announce.server,
            Self::Renewal(renewal) => &renewal.server,
        }
    }
}

impl LeaseTable {
    /// Returns up to `limit` leases that this host received from servers after `cursor`, oldest
    /// first, and the new cursor.
    ///
    /// Leases received from peers are omitted: each host sends to every other host, so forwarding
    /// them would only multiply messages. Ended leases are omitted too: every host ends a lease by
    /// its own clock, so no message is needed and a lost message can't keep a failed server's lease
    /// active.
    pub fn delta(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
    ) -> (Vec<LeaseDelta>, DeltaCursor) {
        let mut deltas = Vec::new();
        let mut reached = cursor.reached;
        for (version, key) in self.by_version.range(reached.saturating_add(1)..) {
            if deltas.len() >= limit {
                let complete = cursor.complete;
                return (deltas, DeltaCursor { complete, reached });
            }
            reached = *version;
            let lease = self.leases.get(*key).filter(|lease| lease.is_own());
            deltas.extend(lease.map(|lease| lease.delta_since(now, cursor)));
        }
        let complete = reached;
        (deltas, DeltaCursor { complete, reached })
    }

    /// Returns the full announcements of those of `servers` that announced themselves to this host.
    /// A peer requests them after a renewal of content that it does not have.
    pub fn full_deltas(&self, now: MonotonicTime, servers: &[ServerName]) -> Vec<LeaseDelta> {
        let leases = servers.iter().filter_map(|server| self.get(server));
        leases
            .filter(|lease| lease.is_own())
            .map(|lease| lease.full_delta(now))
            .collect()
    }

    /// Merges a delta from a peer. `transit` is the longest time that the delta can have spent on
    /// the way; it is added to the age.
    pub fn merge_delta(
        &mut self,
        now: MonotonicTime,
        delta: LeaseDelta,
        transit: Duration,
    ) -> MergeVerdict {
        self.merge_delta_from(now, delta, transit, LeaseSource::Peer)
    }

    /// Merges a delta from a host whose role is `from`.
    pub(super) fn merge_delta_from(
        &mut self,
        now: MonotonicTime,
        delta: LeaseDelta,
        transit: Duration,
        from: LeaseSource,
    ) -> MergeVerdict {
        match delta {
            LeaseDelta::Full(full) => {
                let age = full.age.saturating_add(transit);
                self.merge_announce(now, full.announce, age, from)
            }
            LeaseDelta::Renewal(renewal) => self.merge_renewal(now, renewal, transit, from),
        }
    }

    fn merge_renewal(
        &mut self,
        now: MonotonicTime,
        renewal: LeaseRenewal,
        transit: Duration,
        from: LeaseSource,
    ) -> MergeVerdict {
        let age = renewal.age.saturating_add(transit);
        if age >= self.settings.lease {
            return MergeVerdict::Stale;
        }
        let Some(key) = self.by_name.get(&renewal.server).copied() else {
            return MergeVerdict::Unknown;
        };
        let Some(lease) = self.leases.get(key) else {
            return MergeVerdict::Unknown;
        };
        let held = (lease.announce.incarnation, lease.announce.sequence);
        if held == (renewal.incarnation, renewal.sequence) && lease.digest == renewal.digest {
            // The same announcement may still carry a newer heartbeat: renewals by number don't
            // include the sequence number.
            let verdict = self.renew_unchanged(now, key, renewal.incarnation, age, from);
            return verdict.unwrap_or(MergeVerdict::Stale);
        }
        if !lease.is_older_than(renewal.incarnation, renewal.sequence) {
            return MergeVerdict::Stale;
        }
        let held = &lease.announce;
        let same_incarnation = held.incarnation == renewal.incarnation;
        let has_left = same_incarnation && held.state == ServerState::Leaving;
        // A leaving announcement is final for its incarnation, whatever content the renewal has.
        if !has_left && lease.digest != renewal.digest {
            return MergeVerdict::Unknown;
        }
        let announce = ServerAnnounce {
            sequence: renewal.sequence,
            load: renewal.load.unwrap_or(held.load),
            ..held.clone()
        };
        self.merge_announce(now, announce, age, from)
    }
}

impl ServerLease {
    fn is_own(&self) -> bool {
        !self.ended && self.from == LeaseSource::Server
    }

    pub(super) fn full_delta(&self, now: MonotonicTime) -> LeaseDelta {
        LeaseDelta::Full(FullLease {
            announce: self.announce.clone(),
            age: now.since(self.received_at),
        })
    }

    pub(super) fn delta_since(&self, now: MonotonicTime, cursor: DeltaCursor) -> LeaseDelta {
        if self.content_version > cursor.complete {
            return self.full_delta(now);
        }
        self.renewal(now, self.includes_load(cursor))
    }

    /// Whether a renewal for a receiver at `cursor` must include the load.
    pub(super) fn includes_load(&self, cursor: DeltaCursor) -> bool {
        // Only a host that receives the server's own heartbeats knows their sequence numbers.
        let has_own_load = self.from == LeaseSource::Server && self.has_load;
        let is_due = has_own_load && self.announce.sequence.0.is_multiple_of(LOAD_PERIOD);
        is_due || self.load_version > cursor.complete
    }

    pub(super) fn renewal(&self, now: MonotonicTime, includes_load: bool) -> LeaseDelta {
        LeaseDelta::Renewal(LeaseRenewal {
            server: self.announce.server.clone(),
            incarnation: self.announce.incarnation,
            sequence: self.announce.sequence,
            digest: self.digest,
            age: now.since(self.received_at),
            load: includes_load.then_some(self.sent_load),
        })
    }
}
