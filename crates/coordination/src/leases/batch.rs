//! Batches of leases as one host tells another: what is new by name, heartbeats by number.
//!
//! Where hosts find each other, a heartbeat goes up from the host that took it to the keeper which
//! that host follows, across to the other keepers, and down to the hosts that follow those. What each
//! of them is told is a [`LeaseScope`]. Ages only grow on the way, so a word that comes back by a
//! detour renews nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    DeltaCursor, LeaseDelta, LeaseKey, LeaseNumber, LeaseSource, LeaseTable, MergeVerdict,
    NumberedRenewal, PackedRenewals, RenewalDecodeError, ServerLease, ServerState,
};
use crate::base::{HostName, Incarnation, MonotonicTime, ServerName};

/// Time without a word after which the numbers of a sender are forgotten; it is asked for them again.
const NUMBERS_KEPT: Duration = Duration::from_secs(30);

/// Which leases a receiver is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseScope {
    /// Those of servers that this host heard itself.
    Own,
    /// Those, and what hosts that follow this keeper heard.
    OwnAndFollowers,
    /// All.
    All,
}

impl LeaseScope {
    /// Whether leases heard `from` there are in it.
    pub fn includes(self, from: LeaseSource) -> bool {
        match self {
            Self::Own => from == LeaseSource::Server,
            Self::OwnAndFollowers => from != LeaseSource::Keeper,
            Self::All => true,
        }
    }
}

/// How a receiver is told of leases for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialSync {
    /// With their contents: it holds none.
    Full,
    /// By name: another host told it the contents, and it asks for what it lacks.
    NamesOnly,
}

/// A lease by name, and its number from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLease {
    /// Number at the sender.
    pub number: LeaseNumber,
    /// What is told of it.
    pub delta: LeaseDelta,
}

/// What one host tells another of leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBatch {
    /// Table whose numbers these are: a process that starts anew numbers anew.
    pub table: Incarnation,
    /// Leases that are new to the receiver or changed.
    pub named: Vec<NamedLease>,
    /// Heartbeats of leases that were named before.
    pub heard: PackedRenewals,
}

impl LeaseBatch {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.heard.is_empty()
    }
}

/// What became of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchOutcome {
    /// Servers whose leases changed or were renewed.
    pub merged: Vec<(ServerName, MergeVerdict)>,
    /// Servers whose announcements must be asked for.
    pub unknown_servers: Vec<ServerName>,
    /// Numbers that must be asked for.
    pub unknown_numbers: Vec<LeaseNumber>,
    /// Why heartbeats by number were not taken.
    pub fault: Option<RenewalDecodeError>,
}

/// Numbers that one sender gave to leases.
#[derive(Clone, Debug)]
pub(super) struct NumberMap {
    table: Incarnation,
    leases: BTreeMap<LeaseNumber, (LeaseKey, Incarnation)>,
    used_at: MonotonicTime,
}

impl LeaseTable {
    /// Leases of `scope` that changed or were renewed after `cursor`, at most `limit` by name, and the new
    /// cursor. `first` counts for a receiver that was told nothing yet.
    pub fn batch(
        &self,
        now: MonotonicTime,
        cursor: DeltaCursor,
        limit: usize,
        scope: LeaseScope,
        first: InitialSync,
    ) -> (LeaseBatch, DeltaCursor) {
        let mut named = Vec::new();
        let mut heard = Vec::new();
        let mut reached = cursor.reached;
        let mut complete = cursor.complete;
        let is_first = first == InitialSync::NamesOnly && cursor.complete == 0;
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
            if lease.ended || !scope.includes(lease.from) {
                continue;
            }
            if !is_first && lease.is_told_by_number(cursor) {
                heard.push(lease.numbered_renewal(now));
                continue;
            }
            named.push(NamedLease {
                number: lease.number,
                delta: if is_first {
                    lease.renewal(now, true)
                } else {
                    lease.delta_since(now, cursor)
                },
            });
        }
        let batch = LeaseBatch {
            table: self.table,
            named,
            heard: PackedRenewals::pack(heard),
        };
        (batch, DeltaCursor { complete, reached })
    }

    /// Servers that said since `version` of this table that they leave, to this host or to one that follows
    /// it, and the present version.
    pub fn leaving_since(&self, now: MonotonicTime, version: u64) -> (Vec<NamedLease>, u64) {
        let leases = self.by_version.range(version.saturating_add(1)..);
        let leases = leases.filter_map(|(_, key)| self.leases.get(*key));
        let left = leases.filter(|lease| {
            lease.content_version > version
                && lease.announce.state == ServerState::Leaving
                && LeaseScope::OwnAndFollowers.includes(lease.from)
        });
        let named = left.map(|lease| lease.named_lease(now));
        (named.collect(), self.version)
    }

    /// Full announcements of `servers`, as far as they are held.
    pub fn full_leases(&self, now: MonotonicTime, servers: &[ServerName]) -> Vec<NamedLease> {
        let leases = servers.iter().filter_map(|server| self.get(server));
        let held = leases.filter(|lease| !lease.ended);
        held.map(|lease| lease.named_lease(now)).collect()
    }

    /// Names of `numbers`, as far as they are held.
    pub fn leases_by_number(&self, now: MonotonicTime, numbers: &[LeaseNumber]) -> Vec<NamedLease> {
        let is_asked = |lease: &&ServerLease| numbers.binary_search(&lease.number).is_ok();
        let leases = self.leases.values().filter(|lease| !lease.ended);
        let named = leases.filter(is_asked).map(|lease| NamedLease {
            number: lease.number,
            delta: lease.renewal(now, true),
        });
        named.collect()
    }

    /// Number of this table, which its batches carry.
    pub fn table_incarnation(&self) -> Incarnation {
        self.table
    }

    /// Takes a batch of `sender`; `transit` is the longest time that it may have travelled.
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
        match batch.heard.unpack() {
            Ok(heard) => self.merge_numbered(now, &map, heard, from, transit, &mut outcome),
            Err(fault) => outcome.fault = Some(fault),
        }
        self.numbers.insert(host.clone(), map);
        outcome
    }

    fn merge_numbered(
        &mut self,
        now: MonotonicTime,
        map: &NumberMap,
        heard: Vec<NumberedRenewal>,
        from: LeaseSource,
        transit: Duration,
        outcome: &mut BatchOutcome,
    ) {
        for NumberedRenewal { number, age } in heard {
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

    /// The numbers of a sender's table, taken out of this one.
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

    /// Forgets the numbers of senders that say nothing any more.
    pub(super) fn forget_numbers(&mut self, now: MonotonicTime) {
        self.numbers
            .retain(|_, map| now.since(map.used_at) < NUMBERS_KEPT);
    }
}

impl ServerLease {
    /// Whether the receiver was told name and content, and neither content nor load changed since.
    fn is_told_by_number(&self, cursor: DeltaCursor) -> bool {
        let named_at = self.content_version.max(self.from_version);
        named_at <= cursor.complete && !self.includes_load(cursor)
    }

    fn numbered_renewal(&self, now: MonotonicTime) -> NumberedRenewal {
        NumberedRenewal {
            number: self.number,
            age: now.since(self.heard_at),
        }
    }

    fn named_lease(&self, now: MonotonicTime) -> NamedLease {
        NamedLease {
            number: self.number,
            delta: self.full_delta(now),
        }
    }
}
