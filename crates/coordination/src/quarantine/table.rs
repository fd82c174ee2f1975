//! Decides which requests are held back, by what this host and others have seen.

mod answers;
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
use super::proofs::ProofCache;
use super::sends::SendTable;
use super::settings::QuarantineSettings;
use crate::base::{MonotonicTime, PartName, ServiceName, VersionName, hash_names};

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
    /// Parts that engines began to answer without a crash soon after.
    begun: ProofCache,
    /// Parts that were answered completely.
    complete: ProofCache,
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
            begun: ProofCache::default(),
            complete: ProofCache::default(),
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
        // Under answers that last longer, others do not wait for the result of a test that no engine
        // has crashed under so far.
        let mut lasting = suspects.iter();
        if lasting.all(|(key, blame)| self.has_lasting_test(now, key, *blame)) {
            return Admission::Send;
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
        let age = now.since(began_at);
        let mut suspects = suspects.iter();
        suspects.all(|(_, blame)| blame.last_at < began_at && age < self.test_timeout(*blame))
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
            is_open.then(|| began_at.after(self.test_timeout(blame)))
        });
        let due = tested_until.map_or(due, |until| due.max(until));
        let due = self
            .other_test_until(now, key, blame)
            .map_or(due, |until| due.max(until));
        due.since(now)
    }

    /// Time until which another part's test keeps that of this one waiting. Tests that crash engines
    /// at the same moment leave no chain. Sound parts must not wait for each other after many engines have
    /// died: only one recent test keeps others waiting, and only for a while after the first hold.
    fn other_test_until(
        &self,
        now: MonotonicTime,
        key: &PartKey,
        blame: Blame,
    ) -> Option<MonotonicTime> {
        let gap = self.settings.test_gap;
        let recent = self.tests.iter().filter(|(other, began_at)| {
            *other != key && other.service == key.service && now.since(**began_at) < gap * 2
        });
        let recent = recent.filter(|(other, _)| self.blame(now, other).is_some());
        let recent: Vec<MonotonicTime> = recent.map(|(_, began_at)| *began_at).collect();
        let last = recent.iter().max()?;
        let [first, ..] = self.settings.holds;
        let latest = blame.last_at.after(first + gap * 2);
        (recent.len() < 2).then(|| last.after(gap).min(latest))
    }

    /// Time for which the result of a test is awaited.
    fn test_timeout(&self, blame: Blame) -> Duration {
        let settings = &self.settings;
        if blame.rounds == 1 && !self.is_separate(blame) {
            return settings.test_timeout;
        }
        settings.long_test_timeout
    }

    /// Whether the part is the only suspect of crashes that no common reason in the engines explains.
    fn is_separate(&self, blame: Blame) -> bool {
        blame.was_sole_suspect && blame.round_span >= self.settings.cut_gap
    }

    /// Whether a test of a part with one round has lasted for as long as its result is awaited.
    fn has_lasting_test(&self, now: MonotonicTime, key: &PartKey, blame: Blame) -> bool {
        let began_at = self.tests.get(key).copied();
        let began_at = began_at.filter(|began_at| *began_at > blame.last_at);
        blame.rounds == 1
            && began_at.is_some_and(|began_at| now.since(began_at) >= self.test_timeout(blame))
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
            let is_certain = blame.crashes >= settings.untested_crashes
                && (blame.rounds > 2 || blame.rounds > 1 && self.is_separate(blame));
            hold.filter(|_| !is_certain).unwrap_or(settings.retention)
        } else {
            first
        };
        let spread = settings.test_spread.saturating_mul(self.hosts);
        let spread = spread.min(settings.max_test_spread);
        let spread = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX).max(1);
        let offset = hash_names(&self.host, &format!("{key} {}", blame.crashes)) % spread;
        blame
            .last_at
            .after(hold)
            .after(Duration::from_micros(offset))
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
