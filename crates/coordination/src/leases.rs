//! Leases of backend servers. A server may get new work until its lease expires.
//!
//! A backend server sends its announcements to any entry, and the entries replicate them to each
//! other as deltas, which can arrive late, twice or out of order. [`LeaseTable::merge`] therefore
//! orders announcements by (incarnation, sequence) and ignores the order of arrival.
//! [`LeaseTable::tick`] expires leases; [`LeaseTable::delta`] returns the changes to send to other
//! entries.

mod assignment;
mod batch;
mod delta;
mod digest;
mod leaves;
mod load;
mod packed;
mod record;
mod settings;
mod subset;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

pub use assignment::{AssignmentSettings, AssignmentTable, HeartbeatHost, KeeperContact};
pub use batch::{BatchOutcome, InitialSync, LeaseBatch, LeaseScope, NamedLease};
pub use delta::{DeltaCursor, FullLease, LeaseDelta, LeaseRenewal};
pub use digest::AnnouncementDigest;
pub use load::AnnouncedLoad;
pub use packed::{LeaseNumber, NumberedRenewal, PackedRenewals, RenewalDecodeError};
pub use record::{LeaseEvent, LeaseSource, MergeVerdict, ServerAnnounce, ServerLease, ServerState};
pub use settings::BackendLeaseSettings;
pub use subset::{SubsetHost, SubsetSettings, entries_of, may_use_server};
pub use worker::{BackendLayers, BackendOffer};

use batch::NumberMap;
use record::AnnounceReceipt;

use crate::base::{HostName, Incarnation, MonotonicTime, ServerName};

new_key_type! {
    /// Key of a backend server's lease.
    pub struct LeaseKey;
}

/// Leases of all backend servers known to this host.
///
/// Invariants: `by_name` holds each lease of `leases` once; `by_expiry` holds each lease once,
/// under its current deadline; neither a version in `by_version` nor a lease's number is reused.
#[derive(Debug)]
pub struct LeaseTable {
    settings: BackendLeaseSettings,
    /// Distinguishes this table from the table of a former process of the same host.
    incarnation: Incarnation,
    leases: SlotMap<LeaseKey, ServerLease>,
    by_name: BTreeMap<ServerName, LeaseKey>,
    by_expiry: BTreeSet<(MonotonicTime, LeaseKey)>,
    by_version: BTreeMap<u64, LeaseKey>,
    version: u64,
    /// Number of the lease added last.
    last_number: LeaseNumber,
    /// For each sending host, its lease numbers and the leases of this table they refer to.
    numbers: BTreeMap<HostName, NumberMap>,
}

impl LeaseTable {
    /// Creates a table without leases and with table incarnation 0.
    pub fn new(settings: BackendLeaseSettings) -> Self {
        Self::with_incarnation(settings, Incarnation(0))
    }

    /// Creates a table without leases whose batches carry `incarnation`, so that receivers can
    /// distinguish its lease numbers from those of a former process of this host.
    pub fn with_incarnation(settings: BackendLeaseSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            leases: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            by_version: BTreeMap::new(),
            version: 0,
            last_number: LeaseNumber::default(),
            numbers: BTreeMap::new(),
        }
    }

    /// Merges an announcement that a backend server sent to this host.
    pub fn merge(&mut self, now: MonotonicTime, announce: ServerAnnounce) -> MergeVerdict {
        self.merge_announce(now, announce, Duration::ZERO, LeaseSource::Server)
    }

    fn merge_announce(
        &mut self,
        now: MonotonicTime,
        announce: ServerAnnounce,
        age: Duration,
        from: LeaseSource,
    ) -> MergeVerdict {
        // A leave outlasts the lease: a host that was cut off meanwhile may still use the server.
        let max_age = match announce.state {
            ServerState::Serving => self.settings.lease,
            ServerState::Leaving => self.settings.retention,
        };
        if age >= max_age {
            return MergeVerdict::Stale;
        }
        let receipt = AnnounceReceipt {
            received_at: now.before(age),
            // The deadline isn't computed from `received_at`, because `received_at` cannot be
            // earlier than the start of this process: a delta sent before a restart of the receiver
            // would then renew the lease for its full duration.
            deadline: now.after(self.settings.lease.saturating_sub(age)),
            from,
        };
        match self.by_name.get(&announce.server).copied() {
            Some(key) => self.merge_known(key, receipt, announce),
            None => self.merge_new(receipt, announce),
        }
    }

    /// Ends expired leases and removes servers whose retention has passed. Callers run it on every
    /// tick.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<LeaseEvent> {
        let mut events = Vec::new();
        while let Some((deadline, key)) = self.by_expiry.first().copied() {
            if deadline > now {
                break;
            }
            self.by_expiry.pop_first();
            events.extend(self.expire(now, key));
        }
        self.remove_expired_numbers(now);
        events
    }

    /// Whether `server` may get new work at `now`.
    ///
    /// The answer depends on `now` and not on the last [`LeaseTable::tick`]: after a pause of this
    /// process the table is out of date, and a server whose lease expired during the pause would
    /// get work. Callers check it immediately before they send work.
    pub fn may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.get(server).is_some_and(|lease| lease.is_serving(now))
    }

    /// Whether `announce` is only a heartbeat: the server may get new work and its content is
    /// unchanged.
    pub fn is_renewal(&self, now: MonotonicTime, announce: &ServerAnnounce) -> bool {
        let lease = self.get(&announce.server);
        lease.is_some_and(|lease| lease.is_serving(now) && !lease.differs_from(announce))
    }

    /// Returns the lease of `server`, which may have ended.
    pub fn get(&self, server: &ServerName) -> Option<&ServerLease> {
        self.leases.get(*self.by_name.get(server)?)
    }

    /// Iterates over all leases in the order of server names.
    pub fn iter(&self) -> impl Iterator<Item = &ServerLease> {
        self.by_name
            .values()
            .filter_map(|key| self.leases.get(*key))
    }

    /// Number of servers in the table, including servers with ended leases until their removal.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether the table contains no server.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Time at which [`LeaseTable::tick`] next ends a lease or removes a server; `None` for an
    /// empty table.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.by_expiry.first().map(|(deadline, _)| *deadline)
    }

    fn merge_new(&mut self, receipt: AnnounceReceipt, announce: ServerAnnounce) -> MergeVerdict {
        if self.leases.len() >= self.settings.max_servers {
            return MergeVerdict::Full;
        }
        let name = announce.server.clone();
        self.last_number = LeaseNumber(self.last_number.0.saturating_add(1));
        let lease = ServerLease::new(announce, receipt, self.last_number);
        let deadline = lease.deadline;
        let key = self.leases.insert(lease);
        self.by_name.insert(name, key);
        self.by_expiry.insert((deadline, key));
        self.touch(key, true);
        MergeVerdict::Changed
    }

    fn merge_known(
        &mut self,
        key: LeaseKey,
        receipt: AnnounceReceipt,
        mut announce: ServerAnnounce,
    ) -> MergeVerdict {
        if announce.is_leave_by_name() {
            return self.merge_leave_by_name(key, receipt);
        }
        let Some(lease) = self.leases.get_mut(key) else {
            return MergeVerdict::Stale;
        };
        if lease.announce.is_leave_by_name() && receipt.received_at <= lease.received_at {
            // This host heard of the leave first; the announcement was sent before it.
            announce = announce.into_leave();
        }
        if !lease.is_older_than(announce.incarnation, announce.sequence) {
            return MergeVerdict::Stale;
        }
        // When the server's threads race, a heartbeat sent before the leaving announcement can
        // arrive after it with a higher sequence. Accepting it would send work to a server that is
        // shutting down. Only a new incarnation, which the server takes at its next start, is
        // accepted after it.
        if lease.announce.state == ServerState::Leaving
            && announce.incarnation == lease.announce.incarnation
        {
            lease.announce.sequence = announce.sequence;
            return MergeVerdict::Left;
        }
        let changed = lease.differs_from(&announce);
        self.renew(key, announce, receipt, changed)
    }

    /// Renews a lease whose content and load are unchanged. Returns `None` if the renewal isn't
    /// newer, has reached the lease duration, or belongs to another incarnation.
    fn renew_unchanged(
        &mut self,
        now: MonotonicTime,
        key: LeaseKey,
        incarnation: Incarnation,
        age: Duration,
        from: LeaseSource,
    ) -> Option<MergeVerdict> {
        let lease = self.leases.get(key)?;
        let received_at = now.before(age);
        let is_known = received_at <= lease.received_at;
        if is_known || age >= self.settings.lease || lease.announce.incarnation != incarnation {
            return None;
        }
        let receipt = AnnounceReceipt {
            received_at,
            deadline: now.after(self.settings.lease.saturating_sub(age)),
            from,
        };
        let (announce, ended) = (lease.announce.clone(), lease.ended);
        Some(self.renew(key, announce, receipt, ended))
    }

    fn renew(
        &mut self,
        key: LeaseKey,
        announce: ServerAnnounce,
        receipt: AnnounceReceipt,
        is_changed: bool,
    ) -> MergeVerdict {
        let Some(lease) = self.leases.get_mut(key) else {
            return MergeVerdict::Stale;
        };
        let old_deadline = lease.deadline;
        lease.renew(announce, receipt);
        let deadline = lease.deadline;
        self.by_expiry.remove(&(old_deadline, key));
        self.by_expiry.insert((deadline, key));
        self.touch(key, is_changed);
        if is_changed {
            MergeVerdict::Changed
        } else {
            MergeVerdict::Renewed
        }
    }

    fn expire(&mut self, now: MonotonicTime, key: LeaseKey) -> Option<LeaseEvent> {
        let retention = self.settings.retention;
        let lease = self.leases.get_mut(key)?;
        let server = lease.announce.server.clone();
        if lease.ended {
            self.remove(key);
            return Some(LeaseEvent::Forgotten { server });
        }
        lease.ended = true;
        lease.deadline = now.after(retention);
        self.by_expiry.insert((lease.deadline, key));
        Some(LeaseEvent::Ended { server })
    }

    fn remove(&mut self, key: LeaseKey) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.by_name.remove(&lease.announce.server);
        self.by_version.remove(&lease.version);
    }

    fn touch(&mut self, key: LeaseKey, is_changed: bool) {
        self.version += 1;
        let version = self.version;
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        self.by_version.remove(&lease.version);
        lease.touch(version, is_changed);
        self.by_version.insert(version, key);
    }
}

#[cfg(test)]
mod tests;
