//! Requests on engines and their answers, and what these prove of parts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::exchange::NoticeSource;
use super::{QuarantineTable, key_of};
use crate::base::{MonotonicTime, PartName, ServerName, ServiceName};
use crate::quarantine::crashes::Suspect;
use crate::quarantine::interface::{CrashId, HeldRequest, PartKey, QuarantineEvent};
use crate::quarantine::proofs::PartDigest;
use crate::quarantine::sends::{EngineSend, SendKey};

/// Maximum number of parts of each kind that wait for the next notice, and that one notice contains.
const MAX_PENDING_PROOFS: usize = 512;

impl QuarantineTable {
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

    /// Whether the engine of a request is known to have crashed, or the request has ended.
    pub fn is_blamed(&self, send: SendKey) -> bool {
        self.sends.get(send).is_none_or(|send| send.is_blamed)
    }

    /// Records an event of the answer to a request.
    pub fn record_event(&mut self, now: MonotonicTime, send: SendKey) {
        let now = self.internal(now);
        let Some(send) = self.sends.record_event(now, send, self.settings.begun_time) else {
            return;
        };
        let parts = send.parts.iter();
        let parts: Vec<PartDigest> = parts
            .map(|part| PartDigest::of(&send.service, part))
            .collect();
        for part in parts {
            self.record_begun(now, part, &NoticeSource::Own);
        }
    }

    /// Returns the reason why the answer to a request must be cut, although it has crashed no engine
    /// yet: it was sent before the last of several crashes that one of its parts is the only suspect
    /// of.
    ///
    /// Engines may die for one reason at one moment, under many answers to a sound part; crashes with
    /// some time between them leave the part as their reason.
    pub fn cut(&self, now: MonotonicTime, send: SendKey) -> Option<HeldRequest> {
        let now = self.internal(now);
        let send = self.sends.get(send)?;
        // Most events come under answers that began after the last crash.
        if self.crashes.are_before(send.sent_at) {
            return None;
        }
        let suspects = self.suspects(now, &send.service, &send.parts);
        let (part, blame) = suspects.into_iter().find(|(_, blame)| {
            blame.was_sole_suspect
                && blame.last_at >= send.sent_at
                && blame.last_at.since(blame.first_at) >= self.settings.cut_gap
        })?;
        Some(HeldRequest {
            wait: self.wait_of(now, &part, blame, true),
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
        let answered = self.sends.end(send).filter(|_| is_complete);
        answered.map_or_else(Vec::new, |send| self.record_answered(now, &send))
    }

    /// Returns the first of `parts` that no host is known to have got the begin of an answer to lately.
    pub fn unproven_part(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Option<PartDigest> {
        let now = self.internal(now);
        let digests = parts.iter().map(|part| PartDigest::of(service, part));
        let memory = self.settings.proof_memory;
        let mut unproven = digests.filter(|part| self.begun.last(now, *part, memory).is_none());
        unproven.next()
    }

    /// Whether no host is known to have got a whole answer to one of `parts` lately.
    pub fn has_unanswered_part(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> bool {
        let now = self.internal(now);
        parts
            .iter()
            .any(|part| !self.is_answered(now, service, part))
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

    /// Selects the suspects of a crash out of the parts on the engine: first those without a begun
    /// answer, then those without a whole one, of each the latest ones first.
    pub(super) fn select_suspects(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        mut parts: Vec<(PartName, MonotonicTime)>,
    ) -> BTreeMap<PartName, Suspect> {
        let memory = self.settings.proof_memory;
        parts.sort_by_cached_key(|(part, _)| {
            let digest = PartDigest::of(service, part);
            let has_begun = self.begun.last(now, digest, memory).is_some();
            (self.is_answered(now, service, part), has_begun)
        });
        let mut suspects = BTreeMap::new();
        for (part, sent_at) in parts {
            if suspects.len() >= self.settings.max_suspects {
                break;
            }
            // The first of several requests with the part is the latest.
            let was_proven = self.is_answered(now, service, &part);
            suspects.entry(part).or_insert(Suspect {
                sent_at,
                was_proven,
            });
        }
        suspects
    }

    pub(super) fn is_answered(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        part: &PartName,
    ) -> bool {
        let digest = PartDigest::of(service, part);
        let answered_at = self.complete.last(now, digest, self.settings.proof_memory);
        answered_at.is_some()
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
        let answered_at = self.complete.last(now, digest, self.settings.proof_memory);
        let last_crash = self.crashes.last_before(&self.settings, key, crashed_at);
        answered_at.is_some_and(|answered| last_crash.is_none_or(|last| answered > last))
    }

    fn record_answered(&mut self, now: MonotonicTime, send: &EngineSend) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        for part in send.parts.iter() {
            let digest = PartDigest::of(&send.service, part);
            self.record_begun(now, digest, &NoticeSource::Own);
            self.record_complete(now, digest, &NoticeSource::Own);
            let key = key_of(&send.service, part);
            if !self.crashes.is_empty() && self.crashes.is_uncleared(&key) {
                events.extend(self.clear(now, &key, now, &NoticeSource::Own));
            }
        }
        events
    }

    /// Records that an answer to a part has lasted for a while.
    pub(super) fn record_begun(
        &mut self,
        now: MonotonicTime,
        part: PartDigest,
        source: &NoticeSource,
    ) {
        let last = self.begun.record(now, part);
        if self.is_news(now, last) {
            self.queue(source, |changes| push(&mut changes.proven, part));
        }
    }

    /// Records a whole answer to a part.
    pub(super) fn record_complete(
        &mut self,
        now: MonotonicTime,
        part: PartDigest,
        source: &NoticeSource,
    ) {
        let last = self.complete.record(now, part);
        if self.is_news(now, last) {
            self.queue(source, |changes| push(&mut changes.complete, part));
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
