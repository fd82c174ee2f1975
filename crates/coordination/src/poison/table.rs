//! Decides which requests may be sent, by what this host and others have seen.

use std::collections::{BTreeMap, BTreeSet};

use super::answers::AnswerTable;
use super::digest::ContentDigest;
use super::evidence::Evidence;
use super::interface::{
    LossKind, PoisonEvent, PoisonVerdict, RunNumber, SendEnd, SendNumber, StoppedRequest,
};
use super::losses::{LossRecord, LossTable, digests_of};
use super::notice::{LostRequest, PendingChanges};
use super::sends::{SendTable, TrackedKey};
use super::settings::PoisonSettings;
use crate::base::{MonotonicTime, ServiceName};
use crate::quarantine::{CrashId, NoticeSource};

/// What one host knows of requests under which servers end.
///
/// All times in it are later than those of its callers by the longest time for which something is
/// remembered, so that the age of an event can be longer than this process runs.
#[derive(Clone, Debug)]
pub struct PoisonTable {
    pub(super) settings: PoisonSettings,
    /// Number of the next send; starts at a number that no other process of the system is near.
    next_send: u64,
    next_run: u64,
    pub(super) sends: SendTable,
    pub(super) losses: LossTable,
    answers: AnswerTable,
    /// Number of servers of each service that take requests.
    service_sizes: BTreeMap<ServiceName, u32>,
    /// Requests that are not sent any more, and the time of that decision.
    pub(super) stopped: BTreeMap<ContentDigest, MonotonicTime>,
    /// Requests under which servers had ended, and the time of their last whole answer.
    pub(super) cleared: BTreeMap<ContentDigest, MonotonicTime>,
    pub(super) for_keepers: PendingChanges,
    pub(super) for_followers: PendingChanges,
}

impl PoisonTable {
    /// Creates a table of a process that has seen no server end. `seed` differs from that of every
    /// other process.
    pub fn new(settings: PoisonSettings, seed: u64) -> Self {
        Self {
            settings,
            next_send: seed,
            next_run: 0,
            sends: SendTable::default(),
            losses: LossTable::default(),
            answers: AnswerTable::default(),
            service_sizes: BTreeMap::new(),
            stopped: BTreeMap::new(),
            cleared: BTreeMap::new(),
            for_keepers: PendingChanges::default(),
            for_followers: PendingChanges::default(),
        }
    }

    /// Returns the number of a new attempt of a caller.
    pub fn begin_run(&mut self) -> RunNumber {
        self.next_run += 1;
        RunNumber(self.next_run)
    }

    /// Decides whether a request may be sent to servers now, in the attempt `run`.
    pub fn verdict(
        &self,
        now: MonotonicTime,
        digest: ContentDigest,
        run: RunNumber,
    ) -> PoisonVerdict {
        if self.losses.is_empty() && self.stopped.is_empty() {
            return PoisonVerdict::Send;
        }
        if let Some(stopped) = self.stop_reason(now, digest) {
            return PoisonVerdict::Stop(stopped);
        }
        let Some(evidence) = self.evidence(digest) else {
            return PoisonVerdict::Send;
        };
        let under_way = u32::try_from(self.sends.under_way(digest, run).count());
        let at_risk = evidence
            .possible_ends()
            .saturating_add(under_way.unwrap_or(u32::MAX));
        if at_risk >= self.settings.max_ends.max(evidence.ends + 1) {
            return PoisonVerdict::Wait;
        }
        PoisonVerdict::Trial
    }

    /// Returns the reason why a request must not be sent any more, if there is one.
    pub fn stop_reason(&self, now: MonotonicTime, digest: ContentDigest) -> Option<StoppedRequest> {
        let now = self.internal(now);
        let stopped_at = self.stopped.get(&digest)?;
        let wait = self
            .settings
            .stop_time
            .saturating_sub(now.since(*stopped_at));
        let evidence = self.evidence(digest);
        let ends = evidence.map_or(self.settings.max_ends, |evidence| evidence.ends);
        (!wait.is_zero()).then_some(StoppedRequest { ends, wait })
    }

    /// Records that a request is about to be sent to `servers`. If servers have ended under it, other
    /// hosts are told of the send.
    pub fn begin_send(
        &mut self,
        now: MonotonicTime,
        digest: ContentDigest,
        run: RunNumber,
        servers: Vec<CrashId>,
    ) -> TrackedKey {
        let now = self.internal(now);
        let number = SendNumber(self.next_send);
        self.next_send = self.next_send.wrapping_add(1);
        let key = self.sends.begin(now, number, run, digest, servers);
        if !self.losses.is_empty() && self.is_repeated(digest) {
            self.tell_sends(digest);
        }
        key
    }

    /// Whether a send that other hosts have been told of may go on, after it has waited for their
    /// sends: of those that began at the same time, the ones with the lowest numbers.
    pub fn has_turn(&self, key: TrackedKey) -> bool {
        let Some(send) = self.sends.get(key) else {
            return false;
        };
        if self.stopped.contains_key(&send.digest) {
            return false;
        }
        let Some(evidence) = self.evidence(send.digest) else {
            return true;
        };
        let is_before = |(number, began_at): &(SendNumber, MonotonicTime)| {
            let settle = self.settings.trial_settle;
            let apart = send.began_at.since(*began_at);
            let is_same_time = apart.max(began_at.since(send.began_at)) <= settle;
            if is_same_time {
                *number < send.number
            } else {
                *began_at < send.began_at
            }
        };
        let others = self.sends.under_way(send.digest, send.run);
        let before = u32::try_from(others.filter(is_before).count()).unwrap_or(u32::MAX);
        let limit = self.settings.max_ends.max(evidence.ends + 1);
        evidence.possible_ends().saturating_add(before) < limit
    }

    /// Whether other hosts are told of a send.
    pub fn is_trial(&self, key: TrackedKey) -> bool {
        self.sends.get(key).is_some_and(|send| send.is_told)
    }

    /// Records the end of a send; returns what that changes.
    pub fn end_send(
        &mut self,
        now: MonotonicTime,
        key: TrackedKey,
        end: SendEnd,
    ) -> Vec<PoisonEvent> {
        let now = self.internal(now);
        let Some(send) = self.sends.end(now, key, end) else {
            return Vec::new();
        };
        if send.is_told {
            // Other hosts tell this one of it again, perhaps after its end.
            self.sends.end_trial(now, send.number, &self.settings);
            self.queue(&NoticeSource::Own, |changes| {
                changes.trials.remove(&send.number);
                changes.ended.insert(send.number);
            });
        }
        if end != SendEnd::Answered {
            return Vec::new();
        }
        self.answers.add(now, send.digest, &self.settings);
        let is_known = self.stopped.contains_key(&send.digest)
            || (!self.losses.is_empty() && self.evidence(send.digest).is_some());
        if !is_known {
            return Vec::new();
        }
        self.clear(send.digest, now, &NoticeSource::Own)
    }

    /// Records that a server of `service` ended, with all requests of this host on it; returns what that
    /// changes.
    pub fn record_loss(
        &mut self,
        now: MonotonicTime,
        id: &CrashId,
        service: &ServiceName,
        kind: LossKind,
    ) -> Vec<PoisonEvent> {
        let now = self.internal(now);
        if kind == LossKind::Silent && !self.is_lost(id) && self.has_many_silent(now) {
            return Vec::new();
        }
        let loss = LossRecord::new(service.clone(), now, kind);
        self.add_loss(id, loss, &NoticeSource::Own)
    }

    /// Whether the end of a server has just been recorded, as of this kind or a surer one.
    pub fn is_just_known(&self, now: MonotonicTime, id: &CrashId, kind: LossKind) -> bool {
        let now = self.internal(now);
        let record = self.losses.get(id).filter(|record| record.kind >= kind);
        record.is_some_and(|record| now.since(record.at) <= self.settings.notice_time)
    }

    fn has_many_silent(&self, now: MonotonicTime) -> bool {
        let settings = &self.settings;
        let silent = self.losses.records().filter(|(_, record)| {
            !record.is_sure() && now.since(record.at) <= settings.common_reason_time
        });
        silent.count() >= settings.max_silent
    }

    /// Whether the end of a server is known.
    pub fn is_lost(&self, id: &CrashId) -> bool {
        self.losses.get(id).is_some()
    }

    /// Whether servers have certainly ended under a request.
    pub fn has_ends(&self, digest: ContentDigest) -> bool {
        !self.losses.is_empty() && self.evidence(digest).is_some_and(|found| found.ends > 0)
    }

    /// Records that a server answered: if it was only silent, it has not ended.
    pub fn record_answer(&mut self, now: MonotonicTime, id: &CrashId) {
        let now = self.internal(now);
        self.withdraw(id, now, &NoticeSource::Own);
    }

    /// Servers that are silent and may be alive, with the time at which that was noticed.
    pub fn silent_servers(&self) -> Vec<(CrashId, MonotonicTime)> {
        let silent = self
            .losses
            .records()
            .filter(|(_, record)| !record.is_sure());
        let silent = silent.map(|(id, record)| (id.clone(), self.external(record.at)));
        silent.collect()
    }

    /// Sets the number of servers of each service that take requests.
    pub fn set_service_sizes(&mut self, sizes: BTreeMap<ServiceName, u32>) {
        self.service_sizes = sizes;
    }

    /// Removes what is too old.
    pub fn tick(&mut self, now: MonotonicTime) {
        let now = self.internal(now);
        self.sends.forget(now, &self.settings);
        self.losses.forget(now, &self.settings);
        self.answers.forget(now, &self.settings);
        let (stop_time, memory) = (self.settings.stop_time, self.settings.memory);
        let losses = &mut self.losses;
        self.stopped.retain(|digest, at| {
            let is_stopped = now.since(*at) < stop_time;
            if !is_stopped {
                losses.set_stopped(*digest, false);
            }
            is_stopped
        });
        self.cleared.retain(|_, at| now.since(*at) < memory);
    }

    pub(super) fn internal(&self, now: MonotonicTime) -> MonotonicTime {
        now.after(self.settings.stop_time)
    }

    fn external(&self, at: MonotonicTime) -> MonotonicTime {
        at.before(self.settings.stop_time)
    }

    pub(super) fn evidence(&self, digest: ContentDigest) -> Option<Evidence> {
        let cleared_at = self.cleared.get(&digest).copied();
        Evidence::collect(&self.losses, &self.settings, digest, cleared_at)
    }

    /// Whether servers have ended, or are silent, by two sends of a request. One such send is no sign of
    /// anything: each server that ends has requests.
    pub(super) fn is_repeated(&self, digest: ContentDigest) -> bool {
        let evidence = self.evidence(digest);
        evidence.is_some_and(|evidence| evidence.possible_sends() > 1)
    }

    /// Adds the end of a server as another host told it, or this one saw it, with the requests that this
    /// host knows to have been on it.
    pub(super) fn add_loss(
        &mut self,
        id: &CrashId,
        mut loss: LossRecord,
        source: &NoticeSource,
    ) -> Vec<PoisonEvent> {
        // A host that was cut off from a running server may have recorded its end before.
        let times = [Some(loss.at), self.losses.get(id).map(|known| known.at)];
        let mut own = BTreeSet::new();
        if self.settings.sends_requests {
            for at in times.into_iter().flatten() {
                own.extend(self.add_known_requests(id, at, &mut loss));
            }
        }
        let change = self.losses.add(&self.settings, id, loss);
        if !change.is_new {
            return Vec::new();
        }
        let source = if own.is_empty() {
            source
        } else {
            &NoticeSource::Own
        };
        self.queue(source, |changes| {
            let queued = changes.losses.entry(id.clone()).or_default();
            queued.extend(change.added.iter().copied());
        });
        if !self.settings.sends_requests {
            return Vec::new();
        }
        let mut digests: BTreeSet<ContentDigest> =
            change.added.iter().map(|(digest, _)| *digest).collect();
        if change.is_confirmed {
            digests.extend(self.losses.get(id).into_iter().flat_map(digests_of));
        }
        self.weigh(id, &digests, &own)
    }

    /// Adds the requests that this host knows to have been on a server that ended at `at`; returns those
    /// that it sent itself. Of the others, each host that knows of the send learns by itself.
    fn add_known_requests(
        &self,
        id: &CrashId,
        at: MonotonicTime,
        loss: &mut LossRecord,
    ) -> BTreeSet<ContentDigest> {
        let settings = &self.settings;
        let is_counted = |request: &LostRequest| !self.answers.contains(request.digest);
        let mut own = BTreeSet::new();
        let sent = self.sends.own_requests_on(id, at, settings).into_iter();
        for request in sent.filter(is_counted) {
            if loss.add(&request) {
                own.insert(request.digest);
            }
        }
        let trials = self.sends.trials_on(id, at, settings).into_iter();
        for request in trials.filter(is_counted) {
            loss.add(&request);
        }
        own
    }

    /// Decides on requests after a server ended under them; `own` are those that this host sent.
    fn weigh(
        &mut self,
        id: &CrashId,
        digests: &BTreeSet<ContentDigest>,
        own: &BTreeSet<ContentDigest>,
    ) -> Vec<PoisonEvent> {
        let running = self.sends.running_requests();
        let max_ends = usize::try_from(self.settings.max_ends).unwrap_or(usize::MAX);
        let mut events = Vec::new();
        for digest in digests {
            let is_own = own.contains(digest);
            if running.contains(digest) && self.is_repeated(*digest) {
                self.tell_sends(*digest);
            }
            if is_own || self.losses.has_ends(*digest, max_ends) {
                events.extend(self.assess(id, *digest, is_own));
            }
        }
        events
    }

    /// Decides on a request after a server ended under it. `is_own` tells whether this host sent
    /// it: only then an event says so, as every host learns of every request on the server.
    fn assess(&mut self, id: &CrashId, digest: ContentDigest, is_own: bool) -> Vec<PoisonEvent> {
        let Some(evidence) = self.evidence(digest) else {
            return Vec::new();
        };
        let mut events = Vec::new();
        if is_own {
            events.push(PoisonEvent::Lost {
                digest,
                server: id.server.clone(),
                ends: evidence.ends,
                unsure: evidence.unsure,
                others: evidence.others,
            });
        }
        let Some((at, service)) = self.losses.get(id).map(|found| (found.at, &found.service))
        else {
            return events;
        };
        let known_servers = self.service_sizes.get(service).copied().unwrap_or(0);
        if evidence.is_conclusive(&self.settings, known_servers)
            && !self.stopped.contains_key(&digest)
        {
            self.stop(digest, at, &NoticeSource::Own);
            events.push(PoisonEvent::Stopped {
                digest,
                ends: evidence.ends,
            });
        }
        events
    }

    /// Stops a request; returns whether that is new.
    pub(super) fn stop(
        &mut self,
        digest: ContentDigest,
        at: MonotonicTime,
        source: &NoticeSource,
    ) -> bool {
        let is_answered = self
            .cleared
            .get(&digest)
            .is_some_and(|cleared| *cleared >= at);
        if is_answered || self.stopped.contains_key(&digest) {
            return false;
        }
        self.stopped.insert(digest, at);
        self.losses.set_stopped(digest, true);
        self.queue(source, |changes| {
            changes.stopped.insert(digest);
        });
        while self.stopped.len() > self.settings.max_stopped {
            let oldest = self.stopped.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(digest, _)| *digest) else {
                break;
            };
            self.stopped.remove(&oldest);
            self.losses.set_stopped(oldest, false);
        }
        true
    }

    /// Records a whole answer to a request at `at`.
    pub(super) fn clear(
        &mut self,
        digest: ContentDigest,
        at: MonotonicTime,
        source: &NoticeSource,
    ) -> Vec<PoisonEvent> {
        let known = self.cleared.get(&digest);
        let is_full = self.cleared.len() >= self.settings.max_stopped && known.is_none();
        if is_full || known.is_some_and(|known| *known >= at) {
            return Vec::new();
        }
        let is_told = !self.settings.sends_requests
            || self.stopped.contains_key(&digest)
            || self.is_repeated(digest);
        self.cleared.insert(digest, at);
        if self
            .stopped
            .get(&digest)
            .is_some_and(|stopped| *stopped <= at)
        {
            self.stopped.remove(&digest);
            self.losses.set_stopped(digest, false);
        }
        if !is_told {
            return Vec::new();
        }
        self.queue(source, |changes| {
            changes.cleared.insert(digest);
        });
        if !self.settings.sends_requests {
            return Vec::new();
        }
        vec![PoisonEvent::Cleared { digest }]
    }

    /// Removes the loss of a server that was only silent. No request is stopped because of such losses.
    pub(super) fn withdraw(
        &mut self,
        id: &CrashId,
        answered_at: MonotonicTime,
        source: &NoticeSource,
    ) {
        if !self.losses.withdraw(id, answered_at) {
            return;
        }
        self.queue(source, |changes| {
            changes.losses.remove(id);
            changes.withdrawn.insert(id.clone());
        });
    }

    fn tell_sends(&mut self, digest: ContentDigest) {
        let untold = self.sends.mark_told(digest);
        self.queue(&NoticeSource::Own, |changes| {
            changes.trials.extend(untold.iter().copied());
        });
    }
}
