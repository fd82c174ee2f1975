//! Times for which requests with suspected parts are held back, and their tests.

use std::time::Duration;

use super::{QuarantineTable, Suspicion, key_of};
use crate::base::{MonotonicTime, PartName, ServiceName, hash_names};
use crate::quarantine::crashes::Blame;
use crate::quarantine::interface::PartKey;
use crate::quarantine::late::LateBlame;

impl QuarantineTable {
    pub(super) fn suspects(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        parts: &[PartName],
    ) -> Vec<Suspicion> {
        let keys = parts.iter().map(|part| key_of(service, part));
        let suspects = keys.filter_map(|key| {
            let early = self.blame(now, &key);
            let late = self.late.blame(now, &self.settings, &key);
            (early.is_some() || late.is_some()).then_some(Suspicion { key, early, late })
        });
        suspects.collect()
    }

    /// Whether a test that began at `began_at`, in the time of the caller, has no result yet.
    pub(super) fn is_valid_test(
        &self,
        now: MonotonicTime,
        began_at: MonotonicTime,
        suspects: &[Suspicion],
    ) -> bool {
        let began_at = self.internal(began_at);
        let mut has_crashed = suspects.iter().map(|suspicion| {
            let early = suspicion.early.map(|blame| blame.last_at);
            let late = suspicion.late.map(|blame| blame.last_at);
            early.max(late) >= Some(began_at)
        });
        let late = suspects.iter().filter_map(|suspicion| suspicion.late);
        let timeouts = late.map(|blame| self.late_test_timeout(blame));
        let timeout = timeouts.max().unwrap_or(self.settings.test_timeout);
        !has_crashed.any(|has_crashed| has_crashed) && now.since(began_at) < timeout
    }

    /// Time for which a request must wait for a suspected part; `is_single` if it has no other one that
    /// is suspected of crashes early in answers.
    pub(super) fn longest_wait(
        &self,
        now: MonotonicTime,
        suspicion: &Suspicion,
        is_single: bool,
    ) -> Duration {
        let key = &suspicion.key;
        let early = suspicion
            .early
            .map(|blame| self.wait_of(now, key, blame, is_single));
        let late = suspicion
            .late
            .map(|blame| self.late_wait_of(now, key, blame));
        early.max(late).unwrap_or_default()
    }

    /// Time for which a request must wait for a part that is suspected of late crashes.
    pub(super) fn late_wait_of(
        &self,
        now: MonotonicTime,
        key: &PartKey,
        blame: LateBlame,
    ) -> Duration {
        let settings = &self.settings;
        let is_certain = blame.is_certain(settings);
        let [first, ..] = settings.holds;
        let hold = if is_certain {
            let index = blame.failed_tests + usize::from(blame.is_frequent(settings));
            let hold = settings.holds.get(index).copied();
            hold.unwrap_or(settings.retention)
        } else {
            first
        };
        let spread = settings.late_test_spread.saturating_mul(self.hosts);
        let offset = self.offset(key, blame.crashes, spread.min(settings.max_late_spread));
        let mut due = blame.last_at.after(hold).after(offset);
        if let Some(began_at) = self.open_test(key, blame) {
            due = due.max(began_at.after(self.late_test_timeout(blame)));
        }
        let others = self.tests.iter().filter(|(other, _)| *other != key);
        let last_test = others.map(|(_, began_at)| *began_at).max();
        due = due.max(last_test.map_or(due, |began_at| began_at.after(settings.late_test_gap)));
        if !is_certain {
            due = due.min(blame.last_at.after(settings.late_release));
        }
        due.since(now)
    }

    /// Whether a request that is not held back need not be a test of a part: an answer to its last one
    /// has lasted for a while, and few engines have crashed.
    pub(super) fn needs_no_test(&self, now: MonotonicTime, suspicion: &Suspicion) -> bool {
        let late = suspicion.late.filter(|_| suspicion.early.is_none());
        late.is_some_and(|blame| {
            let test = self.open_test(&suspicion.key, blame);
            let has_lasted =
                test.is_some_and(|began_at| now.since(began_at) >= self.settings.test_timeout);
            has_lasted && !blame.is_certain(&self.settings)
        })
    }

    /// Begin of the test of a part since its last crash.
    fn open_test(&self, key: &PartKey, blame: LateBlame) -> Option<MonotonicTime> {
        let began_at = self.tests.get(key).copied();
        began_at.filter(|began_at| *began_at > blame.last_at)
    }

    fn late_test_timeout(&self, blame: LateBlame) -> Duration {
        if blame.is_certain(&self.settings) {
            self.settings.late_test_timeout
        } else {
            self.settings.test_timeout
        }
    }

    /// Offset of this host's tests of a part within `spread`.
    fn offset(&self, key: &PartKey, crashes: u32, spread: Duration) -> Duration {
        let spread = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX).max(1);
        Duration::from_micros(hash_names(&self.host, &format!("{key} {crashes}")) % spread)
    }

    /// Time for which a request must wait for a suspected part; `is_single` if it has no other one.
    pub(super) fn wait_of(
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
        let offset = self.offset(key, blame.crashes, spread);
        blame.last_at.after(hold).after(offset)
    }
}
