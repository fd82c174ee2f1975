//! Requests on engines and their answers, and what these prove of parts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{QuarantineTable, key_of};
use crate::base::{MonotonicTime, PartName, ServerName, ServiceName};
use crate::quarantine::interface::{CrashId, HeldRequest, PartKey, PartVerdict, QuarantineEvent};
use crate::quarantine::late::BrokenAnswers;
use crate::quarantine::notice::NoticeSource;
use crate::quarantine::proofs::PartDigest;
use crate::quarantine::sends::SendKey;

/// Maximum number of proven parts that wait for the next notice, and that one notice contains.
const MAX_PENDING_PROOFS: usize = 512;

impl QuarantineTable {
    /// Returns the first of `parts` that no host is known to have got an answer to lately.
    pub fn unproven_part(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Option<PartDigest> {
        let now = self.internal(now);
        let digests = parts.iter().map(|part| PartDigest::of(service, part));
        let memory = self.settings.proof_memory;
        let mut unproven = digests.filter(|part| self.proofs.last(now, *part, memory).is_none());
        unproven.next()
    }

    /// Returns the first unproven part of a request that is to be kept together with others of the same
    /// part; `None` while most requests have one.
    pub fn rare_unproven_part(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Option<PartDigest> {
        let is_rare = self.unproven_share <= self.settings.max_unproven_share;
        let unproven = self.unproven_part(now, service, parts);
        unproven.filter(|_| is_rare)
    }

    /// Records that a request was sent to `engines`.
    pub fn record_sent(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &Arc<[PartName]>,
        engines: Vec<ServerName>,
    ) -> SendKey {
        let is_unproven = self.unproven_part(now, service, parts).is_some();
        let observed = if is_unproven { 1.0 } else { 0.0 };
        self.unproven_share += (observed - self.unproven_share) / self.settings.share_smoothing;
        let now = self.internal(now);
        self.sends.begin(now, service, parts, engines)
    }

    /// Whether a request is on engines and its parts are not proven by its answer.
    pub fn is_unproven(&self, send: SendKey) -> bool {
        self.sends.is_unproven(send)
    }

    /// Whether the engine of a request is known to have crashed, or the request has ended.
    pub fn is_blamed(&self, send: SendKey) -> bool {
        self.sends.get(send).is_none_or(|send| send.is_blamed)
    }

    /// Records an event of the answer to a request; returns what that changes.
    pub fn record_event(&mut self, now: MonotonicTime, send: SendKey) -> Vec<QuarantineEvent> {
        let now = self.internal(now);
        let proof_time = self.settings.proof_time;
        let proven = self.sends.record_event(now, send, proof_time);
        let proven = proven.map(|send| (send.service.clone(), Arc::clone(&send.parts)));
        proven.map_or_else(Vec::new, |(service, parts)| {
            self.record_proven(now, &service, &parts)
        })
    }

    /// Whether a part is certain to crash engines late, so that answers may have to be cut.
    pub fn has_cuts(&self) -> bool {
        self.late.has_certain(&self.settings)
    }

    /// Returns the reason why the answer to a request must be cut, although it has crashed no engine
    /// yet: it was sent before the last crash under a part that is certain to crash engines late.
    pub fn cut(&self, now: MonotonicTime, send: SendKey) -> Option<HeldRequest> {
        if !self.late.has_suspects() {
            return None;
        }
        let now = self.internal(now);
        let send = self.sends.get(send)?;
        let keys = send.parts.iter().map(|part| key_of(&send.service, part));
        let mut blames = keys.filter_map(|key| {
            let blame = self.late.blame(now, &self.settings, &key)?;
            let is_cut = blame.is_certain(&self.settings) && blame.is_sole;
            let is_cut = is_cut && blame.last_at >= send.sent_at;
            is_cut.then_some((key, blame))
        });
        let (part, blame) = blames.next()?;
        Some(HeldRequest {
            wait: self.late_wait_of(now, &part, blame),
            crashes: blame.crashes,
            part,
        })
    }

    /// Records the end of a request on its engines; `is_complete` if its whole answer came.
    pub fn record_ended(
        &mut self,
        now: MonotonicTime,
        send: SendKey,
        is_complete: bool,
    ) -> Vec<QuarantineEvent> {
        let now = self.internal(now);
        let Some(send) = self.sends.end(send).filter(|_| is_complete) else {
            return Vec::new();
        };
        let mut events = Vec::new();
        if !send.is_proven {
            events = self.record_proven(now, &send.service, &send.parts);
        }
        for part in send.parts.iter() {
            let digest = PartDigest::of(&send.service, part);
            self.add_whole(now, digest, &NoticeSource::Own);
            let key = key_of(&send.service, part);
            events.extend(self.clear_late(&key, now, &NoticeSource::Own));
        }
        events
    }

    /// Returns the answers that an engine ran when it crashed, by their parts: those without a known
    /// whole answer first, the latest ones first.
    pub(super) fn broken_answers(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        mut parts: Vec<(PartName, MonotonicTime)>,
    ) -> BTreeMap<PartName, BrokenAnswers> {
        parts.sort_by_cached_key(|(part, _)| self.was_answered(now, service, part));
        let mut broken = BTreeMap::new();
        for (part, sent_at) in parts {
            if broken.len() >= self.settings.max_late_suspects {
                break;
            }
            let was_answered = self.was_answered(now, service, &part);
            // The first of several requests with the part is the latest.
            let answers = broken.entry(part).or_insert(BrokenAnswers {
                sent_at,
                counts: BTreeMap::new(),
                was_answered,
            });
            let host = Arc::clone(&self.host);
            *answers.counts.entry(host).or_default() += 1;
        }
        broken
    }

    /// Whether a whole answer to a part is known.
    pub(super) fn was_answered(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        part: &PartName,
    ) -> bool {
        let digest = PartDigest::of(service, part);
        let answered_at = self.answered.last(now, digest, self.settings.proof_memory);
        answered_at.is_some()
    }

    /// Records a whole answer to a part, for crashes to come.
    pub(super) fn add_whole(
        &mut self,
        now: MonotonicTime,
        part: PartDigest,
        source: &NoticeSource,
    ) {
        let last = self.answered.record(now, part);
        if self.is_news(now, last) {
            self.queue(source, |changes| push(&mut changes.answered, part));
        }
    }

    /// Clears a part of the late crashes before a whole answer to it at `at`.
    pub(super) fn clear_late(
        &mut self,
        key: &PartKey,
        at: MonotonicTime,
        source: &NoticeSource,
    ) -> Vec<QuarantineEvent> {
        if self.late.is_empty() || !self.late.record_whole(key, at) {
            return Vec::new();
        }
        self.queue(source, |changes| {
            changes.whole.insert(key.clone());
        });
        if !self.late.has_suspects() {
            return Vec::new();
        }
        let changes = self.late.update(&self.settings).into_iter();
        let ended = changes.filter(|change| change.blame.is_none() && change.key == *key);
        let events = ended.map(|change| QuarantineEvent {
            part: change.key,
            verdict: PartVerdict::Sound,
        });
        events.collect()
    }

    /// Selects the suspects of a crash out of the parts on the engine: those without a known answer
    /// first, the latest ones first.
    pub(super) fn select_suspects(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: Vec<PartName>,
    ) -> BTreeSet<PartName> {
        let memory = self.settings.proof_memory;
        let is_proven = |part: &PartName| {
            let digest = PartDigest::of(service, part);
            self.proofs.last(now, digest, memory).is_some()
        };
        let (proven, unproven): (Vec<_>, Vec<_>) = parts.into_iter().partition(is_proven);
        let mut suspects = BTreeSet::new();
        for part in unproven.into_iter().chain(proven) {
            if suspects.len() >= self.settings.max_suspects {
                break;
            }
            suspects.insert(part);
        }
        suspects
    }

    /// Whether a part was answered after its last crash before this one: a part that was sound just
    /// now is not the reason of one crash, but may have changed if it is on a second one.
    pub(super) fn has_answer_since_last_round(
        &self,
        now: MonotonicTime,
        id: &CrashId,
        key: &PartKey,
    ) -> bool {
        let Some(crashed_at) = self.crashes.get(id).map(|record| record.at) else {
            return false;
        };
        let digest = PartDigest::of(&key.service, &key.part);
        let answered_at = self.proofs.last(now, digest, self.settings.proof_memory);
        let last_crash = self.crashes.last_before(&self.settings, key, crashed_at);
        answered_at.is_some_and(|answered| last_crash.is_none_or(|last| answered > last))
    }

    fn record_proven(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        for part in parts {
            let digest = PartDigest::of(service, part);
            self.add_proof(now, digest, &NoticeSource::Own);
            let key = key_of(service, part);
            if !self.crashes.is_empty() && self.blame(now, &key).is_some() {
                events.extend(self.clear(now, &key, now, &NoticeSource::Own));
            }
        }
        events
    }

    /// Records that an answer to a part has lasted for a while.
    pub(super) fn add_proof(
        &mut self,
        now: MonotonicTime,
        part: PartDigest,
        source: &NoticeSource,
    ) {
        let last = self.proofs.record(now, part);
        if self.is_news(now, last) {
            self.queue(source, |changes| push(&mut changes.proven, part));
        }
    }

    fn is_news(&self, now: MonotonicTime, last: Option<MonotonicTime>) -> bool {
        last.is_none_or(|last| now.since(last) > self.settings.proof_memory / 2)
    }
}

fn push(pending: &mut BTreeSet<PartDigest>, part: PartDigest) {
    if pending.len() < MAX_PENDING_PROOFS {
        pending.insert(part);
    }
}
