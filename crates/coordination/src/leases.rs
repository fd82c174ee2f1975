//! Leases of backend servers: who may get new work, and until when.
//!
//! A backend server announces itself to any entry, and each entry hears the others' announcements
//! as deltas, late, twice and out of order. [`LeaseTable::merge`] therefore orders announcements by
//! (incarnation, sequence) alone and never by arrival. [`LeaseTable::tick`] acts when leases run
//! out; [`LeaseTable::delta`] feeds the other entries.

mod assignment;
mod batch;
mod delta;
mod digest;
mod load;
mod packed;
mod record;
mod settings;
mod subset;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

pub use assignment::{AssignmentSettings, AssignmentTable, HeartbeatHost};
pub use batch::{BatchOutcome, InitialSync, LeaseBatch, LeaseScope, NamedLease};
pub use delta::{DeltaCursor, FullLease, LeaseDelta, LeaseRenewal};
pub use digest::ContentDigest;
pub use load::AnnouncedLoad;
pub use packed::{LeaseNumber, NumberedRenewal, PackedRenewals, RenewalDecodeError};
pub use record::{LeaseEvent, LeaseSource, MergeVerdict, ServerAnnounce, ServerLease, ServerState};
pub use settings::BackendLeaseSettings;
pub use subset::{SubsetHost, SubsetSettings, entries_of, works_with};
pub use worker::{WorkerLayers, WorkerOffer};

use batch::NumberMap;
use record::AnnounceReceipt;

use crate::base::{HostName, Incarnation, MonotonicTime, ServerName};

new_key_type! {
    /// Key of a backend server's lease.
    pub struct LeaseKey;
}

/// Leases of all backend servers that this host has heard of.
///
/// Invariants: `by_name` holds each lease of `leases` once; `by_expiry` holds each lease once,
/// under its present deadline; neither a version in `by_version` nor a lease's number is reused.
#[derive(Debug)]
pub struct LeaseTable {
    settings: BackendLeaseSettings,
    /// Tells this table from that of an earlier process of the host.
    table: Incarnation,
    leases: SlotMap<LeaseKey, ServerLease>,
    by_name: BTreeMap<ServerName, LeaseKey>,
    by_expiry: BTreeSet<(MonotonicTime, LeaseKey)>,
    by_version: BTreeMap<u64, LeaseKey>,
    version: u64,
    /// Number of the lease that was added last.
    last_number: LeaseNumber,
    /// Numbers that other hosts gave to leases held here.
    numbers: BTreeMap<HostName, NumberMap>,
}

impl LeaseTable {
    /// An empty table.
    pub fn new(settings: BackendLeaseSettings) -> Self {
        Self::with_incarnation(settings, Incarnation(0))
    }

    /// An empty table whose numbers are told from those of others of the host by `table`.
    pub fn with_incarnation(settings: BackendLeaseSettings, table: Incarnation) -> Self {
        Self {
            settings,
            table,
            leases: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            by_version: BTreeMap::new(),
            version: 0,
            last_number: LeaseNumber::default(),
            numbers: BTreeMap::new(),
        }
    }

    /// Takes an announcement that came to this host.
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
        if age >= self.settings.lease {
            return MergeVerdict::Stale;
        }
        let receipt = AnnounceReceipt {
            heard_at: now.before(age),
            // Not counted from `heard_at`, which is held at the start of this process: a delta
            // that outlived a restart of its receiver would then renew for a whole lease.
            deadline: now.after(self.settings.lease.saturating_sub(age)),
            from,
        };
        match self.by_name.get(&announce.server).copied() {
            Some(key) => self.merge_known(key, receipt, announce),
            None => self.merge_new(receipt, announce),
        }
    }

    /// Ends the leases that ran out and forgets servers after the retention; call it every tick.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<LeaseEvent> {
        let mut news = Vec::new();
        while let Some((deadline, key)) = self.by_expiry.first().copied() {
            if deadline > now {
                break;
            }
            self.by_expiry.pop_first();
            news.extend(self.expire(now, key));
        }
        self.forget_numbers(now);
        news
    }

    /// Whether `server` may get new work at `now`.
    ///
    /// Asked at the moment of the effect: a process that was paused holds old state, and a server
    /// that left meanwhile would get work if only the last tick were asked.
    pub fn may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.get(server).is_some_and(|lease| lease.is_serving(now))
    }

    /// Whether `announce` brings nothing but a heartbeat of a server that may get new work.
    pub fn is_renewal(&self, now: MonotonicTime, announce: &ServerAnnounce) -> bool {
        let lease = self.get(&announce.server);
        lease.is_some_and(|lease| lease.is_serving(now) && !lease.differs_from(announce))
    }

    /// The lease of `server`.
    pub fn get(&self, server: &ServerName) -> Option<&ServerLease> {
        self.leases.get(*self.by_name.get(server)?)
    }

    /// All leases by server name.
    pub fn iter(&self) -> impl Iterator<Item = &ServerLease> {
        self.by_name
            .values()
            .filter_map(|key| self.leases.get(*key))
    }

    /// Number of servers held, ended leases included until they are forgotten.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no server is held.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Time at which [`LeaseTable::tick`] has something to do.
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
        announce: ServerAnnounce,
    ) -> MergeVerdict {
        let Some(lease) = self.leases.get_mut(key) else {
            return MergeVerdict::Stale;
        };
        if !lease.is_older_than(announce.incarnation, announce.sequence) {
            return MergeVerdict::Stale;
        }
        // A heartbeat sent before the leave can arrive after it with a higher sequence when the
        // server's threads race. Work would go to a server that is closing down. Only a new
        // incarnation, which the server takes at its next start, ends a leave.
        if lease.announce.state == ServerState::Leaving
            && announce.incarnation == lease.announce.incarnation
        {
            lease.announce.sequence = announce.sequence;
            return MergeVerdict::Left;
        }
        let changed = lease.differs_from(&announce);
        self.renew(key, announce, receipt, changed)
    }

    /// The server of a lease was heard again, by a host that says no more than that.
    fn renew_unchanged(
        &mut self,
        now: MonotonicTime,
        key: LeaseKey,
        incarnation: Incarnation,
        age: Duration,
        from: LeaseSource,
    ) -> Option<MergeVerdict> {
        let lease = self.leases.get(key)?;
        let heard_at = now.before(age);
        let is_known = heard_at <= lease.heard_at;
        if is_known || age >= self.settings.lease || lease.announce.incarnation != incarnation {
            return None;
        }
        let receipt = AnnounceReceipt {
            heard_at,
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
            self.forget(key);
            return Some(LeaseEvent::Forgotten { server });
        }
        lease.ended = true;
        lease.deadline = now.after(retention);
        self.by_expiry.insert((lease.deadline, key));
        Some(LeaseEvent::Ended { server })
    }

    fn forget(&mut self, key: LeaseKey) {
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
