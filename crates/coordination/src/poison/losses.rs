//! Ends of servers, and the requests that they had.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::ContentDigest;
use super::interface::{LossKind, SendNumber};
use super::notice::LostRequest;
use super::settings::PoisonSettings;
use crate::base::{MonotonicTime, ServiceName};
use crate::quarantine::CrashId;

/// The end of a server.
#[derive(Clone, Debug)]
pub(super) struct LossRecord {
    pub(super) service: ServiceName,
    /// Time at which the first host noticed it.
    pub(super) at: MonotonicTime,
    pub(super) kind: LossKind,
    /// Requests on the server, with the number of servers that each send was to.
    pub(super) requests: BTreeMap<(ContentDigest, SendNumber), u16>,
}

impl LossRecord {
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
            .or_insert_with(|| LossRecord {
                requests: BTreeMap::new(),
                ..loss.clone()
            });
        record.at = record.at.min(loss.at);
        record.kind = record.kind.max(loss.kind);
        for (request, servers) in loss.requests {
            let has_room = record.requests.len() < settings.max_requests;
            if has_room && record.requests.insert(request, servers).is_none() {
                change.is_new = true;
                change.added.insert(request);
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
        self.records.remove(id);
        self.update_servers();
        true
    }

    /// Requests that were on more than one server that ended.
    pub(super) fn repeated_requests(&self) -> BTreeSet<ContentDigest> {
        let (mut seen, mut repeated) = (BTreeSet::new(), BTreeSet::new());
        for digest in self.records.values().flat_map(digests_of) {
            if !seen.insert(digest) {
                repeated.insert(digest);
            }
        }
        repeated
    }

    /// Removes what is too old.
    pub(super) fn forget(&mut self, now: MonotonicTime, settings: &PoisonSettings) {
        let former = self.records.len();
        self.records
            .retain(|_, record| now.since(record.at) < settings.memory);
        if self.records.len() < former {
            self.update_servers();
        }
        self.withdrawn
            .retain(|_, at| now.since(*at) < settings.notice_time * 10);
    }

    /// Keeps the number of losses within its limit. Those without a request that was on another server
    /// which ended go first, then the oldest.
    fn evict(&mut self, settings: &PoisonSettings) {
        if self.records.len() <= settings.max_losses {
            return;
        }
        let repeated = self.repeated_requests();
        let is_linked = |record: &LossRecord| {
            let mut digests = record.requests.keys();
            digests.any(|(digest, _)| repeated.contains(digest))
        };
        let rank = |record: &LossRecord| (is_linked(record), record.at);
        let first = self.records.iter().min_by_key(|(_, record)| rank(record));
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.records.remove(&id);
            self.update_servers();
        }
    }

    /// Removes the servers that are in `records` no more.
    fn update_servers(&mut self) {
        let records = &self.records;
        self.servers.retain(|_, servers| {
            servers.retain(|id| records.contains_key(id));
            !servers.is_empty()
        });
    }
}

/// Requests on a lost server, each once.
pub(super) fn digests_of(record: &LossRecord) -> BTreeSet<ContentDigest> {
    record.requests.keys().map(|(digest, _)| *digest).collect()
}
