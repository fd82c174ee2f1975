//! Deltas that spread leases between entries.
//!
//! Each host tells every other what it heard from servers themselves, with the age of the news, so
//! that a lease ends on every host by that host's own clock. An announcement travels in full once
//! per link and change; heartbeats between travel as renewals of a few bytes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    AnnouncedLoad, ContentDigest, LeaseSource, LeaseTable, MergeVerdict, ServerAnnounce,
    ServerLease, ServerState,
};
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// Every heartbeat whose number this divides tells its load, moved or not.
///
/// Failure: two entries hear neighbouring heartbeats and tell a third; the later renewal carries no
/// load, since its sender never saw the earlier one's. The third would hold the earlier load until
/// the next step. By this rule it does so for at most as many heartbeats.
const LOAD_PERIOD: u64 = 8;

/// How far one receiver has been told.
///
/// Invariant: `complete <= reached`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaCursor {
    /// All that had changed up to this version of the table was told.
    ///
    /// Failure: leases are told in the order of their last renewal, so one that is not told yet may
    /// have changed before one that is. Judged by `reached` alone it would travel as the renewal of
    /// content that the receiver never got. `complete` moves only once nothing is left to tell.
    pub complete: u64,
    /// Leases that were last renewed up to this version were told.
    pub reached: u64,
}

/// One lease that changed or was renewed since the cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseDelta {
    /// The receiver wasn't told this content yet.
    #[serde(rename = "f")]
    Full(FullLease),
    /// Only number, age and perhaps load are new.
    #[serde(rename = "r")]
    Renewal(LeaseRenewal),
}

/// An announcement in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullLease {
    /// The announcement.
    pub announce: ServerAnnounce,
    /// Time since the announcement was heard, in the sender's time.
    pub age: Duration,
}

/// A heartbeat of a server whose announcement the receiver should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RenewalFields", into = "RenewalFields")]
pub struct LeaseRenewal {
    /// The server.
    pub server: ServerName,
    /// Life of the server's process.
    pub incarnation: Incarnation,
    /// Number of the heartbeat.
    pub sequence: SequenceNumber,
    /// Content that is renewed.
    pub digest: ContentDigest,
    /// Time since the heartbeat was heard, in the sender's time; travels in whole milliseconds,
    /// rounded up.
    pub age: Duration,
    /// Load, if it moved since it was told.
    pub load: Option<AnnouncedLoad>,
}

/// Encoded without field names, which would outweigh the figures.
type RenewalFields = (
    ServerName,
    Incarnation,
    SequenceNumber,
    ContentDigest,
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
        // Rounded up: a lease may end early by a millisecond, never late.
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
    /// Life of the server's process.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Full(full) => full.announce.incarnation,
            Self::Renewal(renewal) => renewal.incarnation,
        }
    }

    /// The server.
    pub fn server(&self) -> &ServerName {
        match self {
            Self::Full(full) => &full.announce.server,
            Self::Renewal(renewal) => &renewal.server,
        }
    }
}

impl LeaseTable {
    /// Up to `limit` leases that this host heard of itself after `cursor`, oldest first, and the
    /// new cursor.
    ///
    /// What peers told is left out: each host tells every other, so passing it on would only
    /// multiply messages. Ended leases are left out too: every host ends a lease by its own clock,
    /// so no message is needed and none that is lost can keep a silent server alive.
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

    /// Full announcements of `servers`, as far as this host heard them itself: what a peer asks for
    /// that got a renewal of content which it does not hold.
    pub fn full_deltas(&self, now: MonotonicTime, servers: &[ServerName]) -> Vec<LeaseDelta> {
        let leases = servers.iter().filter_map(|server| self.get(server));
        leases
            .filter(|lease| lease.is_own())
            .map(|lease| lease.full_delta(now))
            .collect()
    }

    /// Takes a delta from another host; `transit` is the longest time that it may have travelled.
    pub fn merge_delta(
        &mut self,
        now: MonotonicTime,
        delta: LeaseDelta,
        transit: Duration,
    ) -> MergeVerdict {
        self.merge_delta_from(now, delta, transit, LeaseSource::Peer)
    }

    /// Takes a delta from another host, which is `from` as this one sees it.
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
            // The same announcement, of a server that was heard since: the numbers of heartbeats are
            // not passed on.
            let heard = self.renew_unchanged(now, key, renewal.incarnation, age, from);
            return heard.unwrap_or(MergeVerdict::Stale);
        }
        if !lease.is_older_than(renewal.incarnation, renewal.sequence) {
            return MergeVerdict::Stale;
        }
        let held = &lease.announce;
        let same_life = held.incarnation == renewal.incarnation;
        let has_left = same_life && held.state == ServerState::Leaving;
        // A leave is final for its incarnation, whatever content the renewal has.
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
            age: now.since(self.heard_at),
        })
    }

    pub(super) fn delta_since(&self, now: MonotonicTime, cursor: DeltaCursor) -> LeaseDelta {
        if self.content_version > cursor.complete {
            return self.full_delta(now);
        }
        self.renewal(now, self.includes_load(cursor))
    }

    /// Whether a receiver that was told up to `cursor` is to be told the load.
    pub(super) fn includes_load(&self, cursor: DeltaCursor) -> bool {
        // Only who hears the server itself knows the numbers of its heartbeats.
        let is_heard = self.from == LeaseSource::Server && self.has_load;
        let is_due = is_heard && self.announce.sequence.0.is_multiple_of(LOAD_PERIOD);
        is_due || self.load_version > cursor.complete
    }

    pub(super) fn renewal(&self, now: MonotonicTime, includes_load: bool) -> LeaseDelta {
        LeaseDelta::Renewal(LeaseRenewal {
            server: self.announce.server.clone(),
            incarnation: self.announce.incarnation,
            sequence: self.announce.sequence,
            digest: self.digest,
            age: now.since(self.heard_at),
            load: includes_load.then_some(self.sent_load),
        })
    }
}
