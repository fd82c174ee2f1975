//! Ends of servers, and the requests that they had.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::digest::ContentDigest;
use super::interface::{LossKind, SendNumber};
use super::notice::LostRequest;
use super::settings::PoisonSettings;
use crate::base::{MonotonicTime, ServiceName};
use crate::quarantine::CrashId;

/// Fraction of the stored losses, as its divisor, that is removed once there are too many.
const EVICTED_FRACTION: usize = 8;

/// The end of a server.
#[derive(Clone, Debug)]
pub(super) struct LossRecord {
    pub(super) service: ServiceName,
    /// Time at which the first host noticed it.
    pub(super) at: MonotonicTime,
    pub(super) kind: LossKind,
    /// Requests on the server, with the number of servers that each send was to.
    pub(super) requests: BTreeMap<(ContentDigest, SendNumber), u16>,
    /// Those of `requests` that are stopped.
    pub(super) stopped: BTreeSet<ContentDigest>,
}

impl LossRecord {
    /// Creates the end of a server without requests.
    pub(super) fn new(service: ServiceName, at: MonotonicTime, kind: LossKind) -> Self {
        Self {
            service,
            at,
            kind,
            requests: BTreeMap::new(),
            stopped: BTreeSet::new(),
        }
    }

    /// Adds a request; returns whether the server was not known to have it.
    pub(super) fn add(&mut self, request: &LostRequest) -> bool {
        let key = (request.digest, request.send);
        self.requests.insert(key, request.servers).is_none()
    }

    /// Whether the server has certainly ended.
    pub(super) fn is_sure(&self) -> bool {
        self.kind == LossKind::Gone
    }

    /// Sends by which the server had a request.
    pub(super) fn sends(
        &self,
        digest: ContentDigest,
    ) -> impl Iterator<Item = (SendNumber, u16)> + '_ {
        let range = (digest, SendNumber(0))..=(digest, SendNumber(u64::MAX));
        let sends = self.requests.range(range);
        sends.map(|((_, send), servers)| (*send, *servers))
    }

    pub(super) fn has(&self, digest: ContentDigest) -> bool {
        self.sends(digest).next().is_some()
    }

    /// Those of `requests` that the server had.
    pub(super) fn lost_requests<'record>(
        &'record self,
        requests: &'record BTreeSet<(ContentDigest, SendNumber)>,
    ) -> impl Iterator<Item = LostRequest> + 'record {
        requests.iter().filter_map(|request| {
            let servers = *self.requests.get(request)?;
            let (digest, send) = *request;
            Some(LostRequest {
                digest,
                send,
                servers,
            })
        })
    }
}

/// Ends of servers, and silent servers that have answered again.
#[derive(Clone, Debug, Default)]
pub(super) struct LossTable {
    records: BTreeMap<CrashId, LossRecord>,
    /// Servers in `records` by the requests that they had. Each send asks for its request.
    servers: BTreeMap<ContentDigest, BTreeSet<CrashId>>,
    withdrawn: BTreeMap<CrashId, MonotonicTime>,
    stopped: BTreeSet<ContentDigest>,
}

/// What an added loss changes.
#[derive(Debug, Default)]
pub(super) struct LossChange {
    /// Whether anything has changed.
    pub(super) is_new: bool,
    /// Whether the end of a silent server has become certain.
    pub(super) is_confirmed: bool,
    /// Requests that were not known to be on the server.
    pub(super) added: BTreeSet<(ContentDigest, SendNumber)>,
}

impl LossTable {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Ends of servers that had the request.
    pub(super) fn records_under(&self, digest: ContentDigest) -> impl Iterator<Item = &LossRecord> {
        let servers = self.servers.get(&digest).into_iter().flatten();
        servers.filter_map(|id| self.records.get(id))
    }

    /// Records that a request is stopped, or no longer.
    pub(super) fn set_stopped(&mut self, digest: ContentDigest, is_stopped: bool) {
        if is_stopped {
            self.stopped.insert(digest);
        } else {
            self.stopped.remove(&digest);
        }
        for id in self.servers.get(&digest).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(id) {
                if is_stopped {
                    record.stopped.insert(digest);
                } else {
                    record.stopped.remove(&digest);
                }
            }
        }
    }

    /// Whether at least `least` servers have certainly ended that had the request.
    pub(super) fn has_ends(&self, digest: ContentDigest, least: usize) -> bool {
        let known = self.servers.get(&digest).map_or(0, BTreeSet::len);
        let sure = || self.records_under(digest).filter(|record| record.is_sure());
        known >= least && sure().count() >= least
    }

    /// Whether adding a loss would change anything.
    pub(super) fn is_news(
        &self,
        settings: &PoisonSettings,
        id: &CrashId,
        loss: &LossRecord,
    ) -> bool {
        let Some(known) = self.records.get(id) else {
            return true;
        };
        let has_room = known.requests.len() < settings.max_requests;
        let mut requests = loss.requests.keys();
        known.kind < loss.kind
            || loss.at < known.at
            || (has_room && requests.any(|request| !known.requests.contains_key(request)))
    }

    pub(super) fn get(&self, id: &CrashId) -> Option<&LossRecord> {
        self.records.get(id)
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (&CrashId, &LossRecord)> {
        self.records.iter()
    }

    pub(super) fn withdrawn_at(&self, id: &CrashId) -> Option<MonotonicTime> {
        self.withdrawn.get(id).copied()
    }

    /// Adds a loss, or requests to a known one.
    pub(super) fn add(
        &mut self,
        settings: &PoisonSettings,
        id: &CrashId,
        loss: LossRecord,
    ) -> LossChange {
        let answered_at = self.withdrawn.get(id);
        // A notice of the silence before the answer may come late.
        let has_answered = answered_at
            .is_some_and(|answered_at| answered_at.after(settings.notice_time) >= loss.at);
        if loss.kind == LossKind::Silent && has_answered {
            return LossChange::default();
        }
        let known = self.records.get(id);
        let is_confirmed = known.is_some_and(|known| known.kind < loss.kind);
        let mut change = LossChange {
            is_new: known.is_none() || is_confirmed,
            is_confirmed,
            ..LossChange::default()
        };
        let record = self
            .records
            .entry(id.clone())
            .or_insert_with(|| LossRecord::new(loss.service, loss.at, loss.kind));
        record.at = record.at.min(loss.at);
        record.kind = record.kind.max(loss.kind);
        for (request, servers) in loss.requests {
            let has_room = record.requests.len() < settings.max_requests;
            if has_room && record.requests.insert(request, servers).is_none() {
                change.is_new = true;
                change.added.insert(request);
                if self.stopped.contains(&request.0) {
                    record.stopped.insert(request.0);
                }
                let servers = self.servers.entry(request.0).or_default();
                servers.insert(id.clone());
            }
        }
        self.evict(settings);
        change
    }

    /// Removes a loss if its server was only silent and answered later; returns whether it did. Of a
    /// server that was gone, an answer proves nothing: another process has its address.
    pub(super) fn withdraw(&mut self, id: &CrashId, answered_at: MonotonicTime) -> bool {
        let record = self.records.get(id);
        if record.is_none_or(|record| record.is_sure() || answered_at <= record.at) {
            return false;
        }
        self.withdrawn.insert(id.clone(), answered_at);
        self.remove(id);
        true
    }

    /// Requests of which several sends were on servers that ended.
    pub(super) fn repeated_requests(&self) -> BTreeSet<ContentDigest> {
        let digests = self.servers.keys().copied();
        digests.filter(|digest| self.is_repeated(*digest)).collect()
    }

    fn is_repeated(&self, digest: ContentDigest) -> bool {
        let records = self.records_under(digest);
        let mut sends = records.flat_map(|record| record.sends(digest));
        let first = sends.next();
        sends.any(|(send, _)| first.is_some_and(|(first, _)| first != send))
    }

    /// Removes what is too old.
    pub(super) fn forget(&mut self, now: MonotonicTime, settings: &PoisonSettings) {
        let records = self.records.iter();
        let old = records.filter(|(_, record)| now.since(record.at) >= settings.memory);
        let old: Vec<CrashId> = old.map(|(id, _)| id.clone()).collect();
        old.iter().for_each(|id| self.remove(id));
        self.withdrawn
            .retain(|_, at| now.since(*at) < settings.notice_time * 10);
    }

    /// Keeps the number of losses within its limit. Those without a request of which several sends were on
    /// servers that ended go first, then the oldest.
    ///
    /// Several are removed at once, as the choice looks at all requests.
    fn evict(&mut self, settings: &PoisonSettings) {
        if self.records.len() <= settings.max_losses {
            return;
        }
        let repeated = self.repeated_requests();
        let is_linked = |record: &LossRecord| {
            let mut digests = record.requests.keys();
            digests.any(|(digest, _)| repeated.contains(digest))
        };
        let ranked = self.records.iter();
        let ranked = ranked.map(|(id, record)| (is_linked(record), record.at, id.clone()));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        let kept = settings.max_losses - settings.max_losses / EVICTED_FRACTION;
        let surplus = ranked.len().saturating_sub(kept);
        for (_, _, id) in &ranked[..surplus] {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &CrashId) {
        let Some(record) = self.records.remove(id) else {
            return;
        };
        for digest in digests_of(&record) {
            if let Entry::Occupied(mut servers) = self.servers.entry(digest) {
                servers.get_mut().remove(id);
                if servers.get().is_empty() {
                    servers.remove();
                }
            }
        }
    }
}

/// Requests on a lost server, each once.
pub(super) fn digests_of(record: &LossRecord) -> BTreeSet<ContentDigest> {
    record.requests.keys().map(|(digest, _)| *digest).collect()
}
