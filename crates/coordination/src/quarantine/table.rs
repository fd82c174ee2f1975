//! Decides which requests are held back, by what this host and others have seen.

mod answers;
mod dump;
mod exchange;
mod waits;

pub use dump::{QuarantineDump, SuspectDump};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::notice::NoticeSource;

use super::crashes::{Blame, CrashRecord, CrashTable};
use super::interface::{Admission, CrashId, HeldRequest, PartKey, PartVerdict, QuarantineEvent};
use super::late::{LateBlame, LateCrash, LateTable};
use super::notice::PendingChanges;
use super::proofs::ProofCache;
use super::sends::SendTable;
use super::settings::QuarantineSettings;
use crate::base::{MonotonicTime, PartName, ServiceName, VersionName};

/// What a part of a request is suspected of, in each tier.
struct Suspicion {
    key: PartKey,
    early: Option<Blame>,
    late: Option<LateBlame>,
}

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
    /// Parts with an answer that lasted for a while.
    proofs: ProofCache,
    /// Parts with a whole answer.
    answered: ProofCache,
    /// Share of the latest requests that had an unproven part, smoothed.
    unproven_share: f64,
    crashes: CrashTable,
    late: LateTable,
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
            answered: ProofCache::default(),
            unproven_share: 1.0,
            crashes: CrashTable::default(),
            late: LateTable::default(),
            tests: BTreeMap::new(),
            for_keepers: PendingChanges::default(),
            for_followers: PendingChanges::default(),
        }
    }

    /// Sets the number of hosts that send requests to engines.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
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
        if suspects
            .iter()
            .all(|suspicion| self.needs_no_test(now, suspicion))
        {
            return Admission::Send;
        }
        if let Some(began_at) =
            test.filter(|began_at| self.is_valid_test(now, *began_at, &suspects))
        {
            return Admission::Test(began_at);
        }
        for Suspicion { key, .. } in suspects {
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
        if self.crashes.is_empty() && !self.late.has_suspects() {
            return None;
        }
        let now = self.internal(now);
        let suspects = self.suspects(now, service, parts);
        if test.is_some_and(|began_at| self.is_valid_test(now, began_at, &suspects)) {
            return None;
        }
        let waits = suspects.iter().map(|suspicion| {
            let is_early = suspicion.early.is_some();
            let others = suspects
                .iter()
                .filter(|other| other.early.is_some())
                .count();
            (
                self.longest_wait(now, suspicion, is_early && others == 1),
                suspicion,
            )
        });
        let (wait, suspicion) = waits.max_by_key(|(wait, _)| *wait)?;
        let early = suspicion.early.map_or(0, |blame| blame.crashes);
        let late = suspicion.late.map_or(0, |blame| blame.crashes);
        (!wait.is_zero()).then(|| HeldRequest {
            part: suspicion.key.clone(),
            crashes: early.max(late),
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
        let late = LateCrash {
            service: service.clone(),
            version: version.clone(),
            at: now,
            parts: self.broken_answers(now, service, parts.begun),
        };
        let crash = CrashRecord {
            service: service.clone(),
            version,
            at: now,
            suspects: self.select_suspects(now, service, parts.unproven),
        };
        let mut events = self.add_crash(now, id, crash, &NoticeSource::Own);
        events.extend(self.add_late_crash(id, late, &NoticeSource::Own));
        events
    }

    /// Removes the crashes on versions of a service's model that no engine holds any more. `held` are
    /// the versions that engines hold; while it is empty, nothing is known of them.
    pub fn retain_versions(&mut self, service: &ServiceName, held: &BTreeSet<VersionName>) {
        if held.is_empty() {
            return;
        }
        if !self.crashes.is_empty() {
            self.crashes.retain_versions(service, held);
        }
        if !self.late.is_empty() {
            self.late.retain_versions(&self.settings, service, held);
        }
    }

    /// Removes what is too old.
    pub fn tick(&mut self, now: MonotonicTime) {
        let now = self.internal(now);
        if !self.late.is_empty() {
            self.late.forget(now, &self.settings);
        }
        if !self.crashes.is_empty() {
            self.crashes.forget(now, &self.settings);
        }
        if !self.tests.is_empty() {
            let mut parts = self.crashes.parts();
            parts.extend(self.late.suspects().cloned());
            self.tests.retain(|key, _| parts.contains(key));
        }
    }

    fn internal(&self, now: MonotonicTime) -> MonotonicTime {
        now.after(self.settings.retention)
    }

    fn blame(&self, now: MonotonicTime, key: &PartKey) -> Option<Blame> {
        self.crashes.blame(now, &self.settings, key)
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

    fn add_late_crash(
        &mut self,
        id: &CrashId,
        crash: LateCrash,
        source: &NoticeSource,
    ) -> Vec<QuarantineEvent> {
        if !self.late.add(&self.settings, id, crash) {
            return Vec::new();
        }
        self.queue(source, |changes| {
            changes.crashes.insert(id.clone());
        });
        let changes = self.late.update(&self.settings).into_iter();
        let events = changes.filter_map(|change| {
            let blame = change.blame?;
            Some(QuarantineEvent {
                part: change.key,
                verdict: PartVerdict::Suspected {
                    crashes: blame.crashes,
                    rounds: blame.rounds,
                },
            })
        });
        events.collect()
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
