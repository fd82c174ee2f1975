//! Decides which requests are held back, by what this host and others have seen.

mod dump;
mod exchange;

pub use dump::{QuarantineDump, SuspectDump};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use exchange::NoticeSource;

use super::crashes::{Blame, CrashRecord, CrashTable};
use super::interface::{Admission, CrashId, HeldRequest, PartKey, PartVerdict, QuarantineEvent};
use super::notice::PendingChanges;
use super::proofs::{PartDigest, ProofCache};
use super::sends::{EngineSend, SendKey, SendTable};
use super::settings::QuarantineSettings;
use crate::base::{MonotonicTime, PartName, ServerName, ServiceName, VersionName, hash_names};

/// Maximum number of proven parts that wait for the next notice, and that one notice contains.
const MAX_PENDING_PROOFS: usize = 512;

/// What one host knows of prompt parts that crash engines.
///
/// All times in it are later than those of its callers by the retention of crashes, so that the age
/// of a crash can be longer than this process runs.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    /// Name of this host, from which the times of its tests are derived.
    host: Arc<str>,
    /// Number of hosts that send requests to engines.
    hosts: u32,
    sends: SendTable,
    proofs: ProofCache,
    /// Share of the latest requests that had an unproven part, smoothed.
    unproven_share: f64,
    crashes: CrashTable,
    /// Time at which the last test of each suspected part began, at any host.
    tests: BTreeMap<PartKey, MonotonicTime>,
    for_keepers: PendingChanges,
    for_followers: PendingChanges,
}

impl QuarantineTable {
    /// Creates a table for `host` that has seen no crash.
    pub fn new(settings: QuarantineSettings, host: &str) -> Self {
        Self {
            settings,
            host: host.into(),
            hosts: 1,
            sends: SendTable::default(),
            proofs: ProofCache::default(),
            unproven_share: 1.0,
            crashes: CrashTable::default(),
            tests: BTreeMap::new(),
            for_keepers: PendingChanges::default(),
            for_followers: PendingChanges::default(),
        }
    }

    /// Sets the number of hosts that send requests to engines.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

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

    /// Decides whether a request with `parts` may be sent to engines now. `test` is the begin of the
    /// test that this request is, if it has been admitted as one.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
        test: Option<MonotonicTime>,
    ) -> Admission {
        if let Some(held) = self.held(now, service, parts, test) {
            return Admission::Hold(held);
        }
        let (caller_now, now) = (now, self.internal(now));
        let suspects = self.suspects(now, service, parts);
        if suspects.is_empty() {
            return Admission::Send;
        }
        if let Some(began_at) =
            test.filter(|began_at| self.is_valid_test(now, *began_at, &suspects))
        {
            return Admission::Test(began_at);
        }
        for (key, _) in suspects {
            self.queue(&NoticeSource::Own, |changes| {
                changes.tested.insert(key.clone());
            });
            self.tests.insert(key, now);
        }
        Admission::Test(caller_now)
    }

    /// Returns the reason why a request with `parts` must not be sent to engines now, without
    /// beginning a test.
    pub fn held(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
        test: Option<MonotonicTime>,
    ) -> Option<HeldRequest> {
        if self.crashes.is_empty() {
            return None;
        }
        let now = self.internal(now);
        let suspects = self.suspects(now, service, parts);
        if test.is_some_and(|began_at| self.is_valid_test(now, began_at, &suspects)) {
            return None;
        }
        let is_single = suspects.len() == 1;
        let waits = suspects.iter().map(|(key, blame)| {
            let wait = self.wait_of(now, key, *blame, is_single);
            (wait, key, blame)
        });
        let (wait, key, blame) = waits.max_by_key(|(wait, ..)| *wait)?;
        (!wait.is_zero()).then(|| HeldRequest {
            part: key.clone(),
            crashes: blame.crashes,
            wait,
        })
    }

    /// Ends a test of this host without a result: its request was not sent, or its caller left.
    pub fn cancel_test(
        &mut self,
        service: &ServiceName,
        parts: &[PartName],
        began_at: MonotonicTime,
    ) {
        let began_at = self.internal(began_at);
        for part in parts {
            let key = key_of(service, part);
            if self.tests.get(&key) == Some(&began_at) {
                self.tests.remove(&key);
            }
        }
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
        self.sends.contains(send)
    }

    /// Records an event of the answer to a request; returns what that changes.
    pub fn record_event(&mut self, now: MonotonicTime, send: SendKey) -> Vec<QuarantineEvent> {
        let now = self.internal(now);
        let proof_time = self.settings.proof_time;
        let proven = self.sends.record_event(now, send, proof_time);
        proven.map_or_else(Vec::new, |send| self.record_proven(now, &send))
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
        answered.map_or_else(Vec::new, |send| self.record_proven(now, &send))
    }

    /// Records that an engine of `service` crashed, with all requests of this host on it; returns what
    /// that changes.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        id: &CrashId,
        service: &ServiceName,
        version: Option<VersionName>,
    ) -> Vec<QuarantineEvent> {
        let now = self.internal(now);
        let parts = self.sends.take_parts_on(service, &id.server);
        let suspects = self.select_suspects(now, service, parts);
        let crash = CrashRecord {
            service: service.clone(),
            version,
            at: now,
            suspects,
        };
        self.add_crash(now, id, crash, &NoticeSource::Own)
    }

    /// Removes the crashes on versions of a service's model that no engine holds any more. `held` are
    /// the versions that engines hold; while it is empty, nothing is known of them.
    pub fn retain_versions(&mut self, service: &ServiceName, held: &BTreeSet<VersionName>) {
        if !held.is_empty() && !self.crashes.is_empty() {
            self.crashes.retain_versions(service, held);
        }
    }

    /// Removes what is too old.
    pub fn tick(&mut self, now: MonotonicTime) {
        if self.crashes.is_empty() {
            return;
        }
        let now = self.internal(now);
        self.crashes.forget(now, &self.settings);
        let parts = self.crashes.parts();
        self.tests.retain(|key, _| parts.contains(key));
    }

    fn internal(&self, now: MonotonicTime) -> MonotonicTime {
        now.after(self.settings.retention)
    }

    fn blame(&self, now: MonotonicTime, key: &PartKey) -> Option<Blame> {
        self.crashes.blame(now, &self.settings, key)
    }

    fn suspects(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Vec<(PartKey, Blame)> {
        let keys = parts.iter().map(|part| key_of(service, part));
        let suspects = keys.filter_map(|key| {
            let blame = self.blame(now, &key)?;
            Some((key, blame))
        });
        suspects.collect()
    }

    /// Whether a test that began at `began_at`, in the time of the caller, has no result yet.
    fn is_valid_test(
        &self,
        now: MonotonicTime,
        began_at: MonotonicTime,
        suspects: &[(PartKey, Blame)],
    ) -> bool {
        let began_at = self.internal(began_at);
        let has_crashed = suspects.iter().any(|(_, blame)| blame.last_at >= began_at);
        !has_crashed && now.since(began_at) < self.settings.test_timeout
    }

    /// Time for which a request must wait for a suspected part; `is_single` if it has no other one.
    fn wait_of(
        &self,
        now: MonotonicTime,
        key: &PartKey,
        blame: Blame,
        is_single: bool,
    ) -> Duration {
        let settings = &self.settings;
        let mut due = self.due_at(key, blame, is_single);
        if !is_single {
            due = due.after(settings.ambiguous_wait);
        }
        let tested_until = self.tests.get(key).and_then(|began_at| {
            let is_open = *began_at > blame.last_at;
            is_open.then(|| began_at.after(settings.test_timeout))
        });
        let due = tested_until.map_or(due, |until| due.max(until));
        due.since(now)
    }

    /// Time from which this host may test a part, by a request that has no other suspect if `is_single`.
    fn due_at(&self, key: &PartKey, blame: Blame, is_single: bool) -> MonotonicTime {
        let settings = &self.settings;
        let [first, ..] = settings.holds;
        // A request without the other suspects of the crashes tells which of them it is.
        let is_ambiguous = is_single && !blame.is_sole_suspect;
        let hold = if !is_ambiguous {
            let index = usize::try_from(blame.rounds).unwrap_or(usize::MAX);
            let hold = settings.holds.get(index.saturating_sub(1)).copied();
            let is_certain = blame.rounds > 1 && blame.crashes >= settings.untested_crashes;
            hold.filter(|_| !is_certain).unwrap_or(settings.retention)
        } else {
            first
        };
        let spread = settings.test_spread.saturating_mul(self.hosts);
        let spread = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX).max(1);
        let offset = hash_names(&self.host, &format!("{key} {}", blame.crashes)) % spread;
        blame
            .last_at
            .after(hold)
            .after(Duration::from_micros(offset))
    }

    /// Selects the suspects of a crash out of the parts on the engine: those without a known answer
    /// first, the latest ones first.
    fn select_suspects(
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

    fn add_crash(
        &mut self,
        now: MonotonicTime,
        id: &CrashId,
        crash: CrashRecord,
        source: &NoticeSource,
    ) -> Vec<QuarantineEvent> {
        let service = crash.service.clone();
        let added = self.crashes.add(&self.settings, id, crash);
        if added.is_empty() {
            return Vec::new();
        }
        self.queue(source, |changes| {
            changes.crashes.insert(id.clone());
        });
        let mut events = Vec::new();
        for part in added {
            let key = PartKey {
                service: service.clone(),
                part,
            };
            if self.has_answer_since_last_round(now, id, &key) {
                events.extend(self.clear(now, &key, now, &NoticeSource::Own));
            } else if let Some(blame) = self.blame(now, &key) {
                events.push(QuarantineEvent {
                    part: key,
                    verdict: PartVerdict::Suspected {
                        crashes: blame.crashes,
                        rounds: blame.rounds,
                    },
                });
            }
        }
        events
    }

    /// Whether a part was answered after its last crash before this one: a part that was sound just
    /// now is not the reason of one crash, but may have changed if it is on a second one.
    fn has_answer_since_last_round(&self, now: MonotonicTime, id: &CrashId, key: &PartKey) -> bool {
        let Some(crashed_at) = self.crashes.get(id).map(|record| record.at) else {
            return false;
        };
        let digest = PartDigest::of(&key.service, &key.part);
        let answered_at = self.proofs.last(now, digest, self.settings.proof_memory);
        let last_crash = self.crashes.last_before(&self.settings, key, crashed_at);
        answered_at.is_some_and(|answered| last_crash.is_none_or(|last| answered > last))
    }

    fn record_proven(&mut self, now: MonotonicTime, send: &EngineSend) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        for part in send.parts.iter() {
            let digest = PartDigest::of(&send.service, part);
            self.add_proof(now, digest, &NoticeSource::Own);
            let key = key_of(&send.service, part);
            if !self.crashes.is_empty() && self.blame(now, &key).is_some() {
                events.extend(self.clear(now, &key, now, &NoticeSource::Own));
            }
        }
        events
    }

    fn add_proof(&mut self, now: MonotonicTime, part: PartDigest, source: &NoticeSource) {
        let last = self.proofs.record(now, part);
        let is_news = last.is_none_or(|last| now.since(last) > self.settings.proof_memory / 2);
        if is_news {
            self.queue(source, |changes| {
                if changes.proven.len() < MAX_PENDING_PROOFS {
                    changes.proven.insert(part);
                }
            });
        }
    }

    /// Records an answer to a part at `at`.
    fn clear(
        &mut self,
        now: MonotonicTime,
        key: &PartKey,
        at: MonotonicTime,
        source: &NoticeSource,
    ) -> Option<QuarantineEvent> {
        let was_suspected = self.blame(now, key).is_some();
        if !self.crashes.clear(key, at) {
            return None;
        }
        self.queue(source, |changes| {
            changes.cleared.insert(key.clone());
        });
        let is_cleared = was_suspected && self.blame(now, key).is_none();
        is_cleared.then(|| QuarantineEvent {
            part: key.clone(),
            verdict: PartVerdict::Sound,
        })
    }
}

fn key_of(service: &ServiceName, part: &PartName) -> PartKey {
    PartKey {
        service: service.clone(),
        part: part.clone(),
    }
}
