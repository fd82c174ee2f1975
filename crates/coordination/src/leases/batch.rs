//! Batches of leases that one host sends to another: new and changed leases by server name,
//! heartbeats by lease number.
//!
//! With host discovery, the host that received a heartbeat sends it to the keeper it follows. That
//! keeper sends it to the other keepers, and each keeper sends it to the hosts that follow it. A
//! [`LeaseScope`] selects the leases for each of these receivers. The age of a renewal only grows
//! on the way, so a renewal that returns to its sender by another path renews nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    DeltaCursor, LeaseDelta, LeaseKey, LeaseNumber, LeaseSource, LeaseTable, MergeVerdict,
    NumberedRenewal, PackedRenewals, RenewalDecodeError, ServerLease, ServerState,
};
use crate::base::{HostName, Incarnation, MonotonicTime, ReceiptNumber, ServerName};

/// Time since the last batch of a sender after which its lease numbers are removed. If the sender
/// returns, the receiver requests the numbers again.
const NUMBER_RETENTION: Duration = Duration::from_secs(30);

/// Selects the leases that a receiver is sent, by the source of the announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseScope {
    /// Leases of servers that sent their announcement to this host.
    Own,
    /// `Own`, and leases received from hosts that follow this keeper.
    OwnAndFollowers,
    /// Leases from every source.
    All,
}

impl LeaseScope {
    /// Whether the scope contains leases whose announcement came `from` that source.
    pub fn includes(self, from: LeaseSource) -> bool {
        match self {
            Self::Own => from == LeaseSource::Server,
            Self::OwnAndFollowers => from != LeaseSource::Keeper,
            Self::All => true,
        }
    }
}

/// Form in which a receiver gets a lease for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialSync {
    /// With its content, for a receiver that has no leases.
    Full,
    /// By server name and digest, for a receiver that got the content from another host. It
    /// requests the content that it lacks.
    NamesOnly,
}

/// A lease by server name, with the number that later batches of the sender use for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLease {
    /// Number of the lease in the sender's table.
    pub number: LeaseNumber,
    /// Content or renewal of the lease.
    pub delta: LeaseDelta,
}

/// Leases and renewals that one host sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBatch {
    /// Incarnation of the sender's table. The lease numbers are valid only for this incarnation,
    /// because a restarted process assigns new numbers.
    pub table: Incarnation,
    /// Leases that are new to the receiver or have changed.
    pub named: Vec<NamedLease>,
    /// Heartbeats of leases whose number the receiver already has.
    #[serde(rename = "heard")]
    pub renewals: PackedRenewals,
    /// Number of the confirmation that the sender waits for. A host of an older version ignores it and
    /// confirms nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub receipt: Option<ReceiptNumber>,
}

impl LeaseBatch {
    /// Whether the batch contains no lease and no renewal.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.renewals.is_empty()
    }
}

/// Result of merging a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchOutcome {
    /// Servers of the processed leases, with the verdict on each.
    pub merged: Vec<(ServerName, MergeVerdict)>,
    /// Servers whose full announcements must be requested from the sender.
    pub unknown_servers: Vec<ServerName>,
    /// Lease numbers whose servers must be requested from the sender.
    pub unknown_numbers: Vec<LeaseNumber>,
    /// Why the renewals were rejected; `None` if they were decoded.
    pub renewal_error: Option<RenewalDecodeError>,
}

/// Lease numbers of one sender.
#[derive(Clone, Debug)]
pub(super) struct NumberMap {
    /// Incarnation of the sender's table.
    table: Incarnation,
    leases: BTreeMap<LeaseNumber, (LeaseKey, Incarnation)>,
    used_at: MonotonicTime,
}

impl LeaseTable {
    /// Returns the leases of `scope` that changed or were renewed after `cursor`, with at most
    /// `limit` leases by name, and the new cursor. `initial_sync` applies to a receiver that has
    /// not yet been sent the whole table.
    pub fn batch(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
        scope: LeaseScope,
        initial_sync: InitialSync,
    ) -> (LeaseBatch, DeltaCursor) {
        let mut named = Vec::new();
        let mut renewals = Vec::new();
        let mut reached = cursor.reached;
        let mut complete = cursor.complete;
        let is_initial = initial_sync == InitialSync::NamesOnly && cursor.complete == 0;
        let mut leases = self.by_version.range(reached.saturating_add(1)..);
        loop {
            let Some((version, key)) = leases.next() else {
                complete = reached;
                break;
            };
            if named.len() >= limit {
                break;
            }
            reached = *version;
            let Some(lease) = self.leases.get(*key) else {
                continue;
            };
            if !lease.is_sent_to(now, scope) {
                continue;
            }
            if !is_initial && lease.is_sent_by_number(cursor) {
                renewals.push(lease.numbered_renewal(now));
                continue;
            }
            named.push(NamedLease {
                number: lease.number,
                delta: if is_initial && !lease.is_leaving() {
                    lease.renewal(now, true)
                } else {
                    lease.delta_since(now, cursor)
                },
            });
        }
        let batch = LeaseBatch {
            table: self.incarnation,
            named,
            renewals: PackedRenewals::pack(renewals),
            receipt: None,
        };
        (batch, DeltaCursor { complete, reached })
    }

    /// Returns the leases that changed to leaving after `version` of this table, and the current
    /// version. It includes only announcements that came from the server itself or from a host
    /// that follows this keeper.
    pub fn leaving_since(&self, now: MonotonicTime, version: u64) -> (Vec<NamedLease>, u64) {
        let leases = self.by_version.range(version.saturating_add(1)..);
        let leases = leases.filter_map(|(_, key)| self.leases.get(*key));
        let leaving = leases.filter(|lease| {
            lease.content_version > version
                && lease.announce.state == ServerState::Leaving
                && LeaseScope::OwnAndFollowers.includes(lease.from)
        });
        let named = leaving.map(|lease| lease.named_lease(now));
        (named.collect(), self.version)
    }

    /// Returns the full announcements of those of `servers` whose lease has not ended or that left.
    pub fn full_leases(&self, now: MonotonicTime, servers: &[ServerName]) -> Vec<NamedLease> {
        let leases = servers.iter().filter_map(|server| self.get(server));
        let held = leases.filter(|lease| !lease.ended || lease.is_leaving());
        held.map(|lease| lease.named_lease(now)).collect()
    }

    /// Returns renewals by name for those of `numbers` whose lease has not ended. `numbers` must be
    /// sorted.
    pub fn leases_by_number(&self, now: MonotonicTime, numbers: &[LeaseNumber]) -> Vec<NamedLease> {
        let is_requested = |lease: &&ServerLease| numbers.binary_search(&lease.number).is_ok();
        let leases = self.leases.values().filter(|lease| !lease.ended);
        let named = leases.filter(is_requested).map(|lease| NamedLease {
            number: lease.number,
            delta: lease.renewal(now, true),
        });
        named.collect()
    }

    /// Incarnation of this table, which its batches carry.
    pub fn table_incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Merges a batch from `sender`. `transit` is the longest time that the batch can have spent on
    /// the way; it is added to every age.
    pub fn merge_batch(
        &mut self,
        now: MonotonicTime,
        sender: (&HostName, LeaseSource),
        batch: LeaseBatch,
        transit: Duration,
    ) -> BatchOutcome {
        let (host, from) = sender;
        let mut outcome = BatchOutcome::default();
        let mut map = self.numbers_of(now, host, batch.table);
        for named in batch.named {
            let server = named.delta.server().clone();
            let incarnation = named.delta.incarnation();
            let verdict = self.merge_delta_from(now, named.delta, transit, from);
            if verdict == MergeVerdict::Unknown {
                outcome.unknown_servers.push(server);
                continue;
            }
            if let Some(key) = self.by_name.get(&server) {
                map.leases.insert(named.number, (*key, incarnation));
            }
            outcome.merged.push((server, verdict));
        }
        match batch.renewals.unpack() {
            Ok(renewals) => self.merge_numbered(now, &map, renewals, from, transit, &mut outcome),
            Err(error) => outcome.renewal_error = Some(error),
        }
        self.numbers.insert(host.clone(), map);
        outcome
    }

    fn merge_numbered(
        &mut self,
        now: MonotonicTime,
        map: &NumberMap,
        renewals: Vec<NumberedRenewal>,
        from: LeaseSource,
        transit: Duration,
        outcome: &mut BatchOutcome,
    ) {
        for NumberedRenewal { number, age } in renewals {
            let Some((key, incarnation)) = map.leases.get(&number).copied() else {
                outcome.unknown_numbers.push(number);
                continue;
            };
            let age = age.saturating_add(transit);
            let verdict = self.renew_unchanged(now, key, incarnation, age, from);
            if let (Some(verdict), Some(lease)) = (verdict, self.leases.get(key)) {
                let server = lease.announce.server.clone();
                outcome.merged.push((server, verdict));
            }
        }
    }

    /// Removes and returns the lease numbers of a sender. Returns an empty map if the sender is new
    /// or its table has another incarnation.
    fn numbers_of(&mut self, now: MonotonicTime, host: &HostName, table: Incarnation) -> NumberMap {
        let known = self.numbers.remove(host);
        let mut map = known
            .filter(|map| map.table == table)
            .unwrap_or_else(|| NumberMap {
                table,
                leases: BTreeMap::new(),
                used_at: now,
            });
        map.used_at = now;
        map
    }

    /// Removes the lease numbers of senders without a batch during [`NUMBER_RETENTION`].
    pub(super) fn remove_expired_numbers(&mut self, now: MonotonicTime) {
        self.numbers
            .retain(|_, map| now.since(map.used_at) < NUMBER_RETENTION);
    }
}

impl ServerLease {
    /// Whether a renewal by number is enough: the receiver was sent the name and the content, and
    /// the renewal doesn't have to include the load.
    fn is_sent_by_number(&self, cursor: DeltaCursor) -> bool {
        let named_at = self.content_version.max(self.from_version);
        named_at <= cursor.complete && !self.includes_load(cursor)
    }

    fn numbered_renewal(&self, now: MonotonicTime) -> NumberedRenewal {
        NumberedRenewal {
            number: self.number,
            age: now.since(self.received_at),
        }
    }

    fn named_lease(&self, now: MonotonicTime) -> NamedLease {
        NamedLease {
            number: self.number,
            delta: self.full_delta(now),
        }
    }
}
