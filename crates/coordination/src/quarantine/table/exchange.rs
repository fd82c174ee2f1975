//! Exchange of crashes, answers and tests with other hosts.

use super::QuarantineTable;
use crate::base::MonotonicTime;
use crate::quarantine::crashes::CrashRecord;
use crate::quarantine::interface::{CrashId, PartKey, QuarantineEvent};
use crate::quarantine::late::{BrokenAnswers, LateCrash};
use crate::quarantine::notice::{
    BrokenNote, CrashNote, NoticeAudience, NoticeSource, PartNote, PendingChanges, QuarantineNotice,
};

impl QuarantineTable {
    /// Applies a notice of a keeper, or of a host without one; returns what it changes.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        notice: QuarantineNotice,
        is_from_keeper: bool,
    ) -> Vec<QuarantineEvent> {
        let now = self.internal(now);
        let source = NoticeSource::of_peer(is_from_keeper);
        for proven in notice.proven {
            self.add_proof(now, proven, &source);
        }
        for answered in notice.answered {
            self.add_whole(now, answered, &source);
        }
        let mut events = Vec::new();
        for note in notice.crashes {
            let late = self.late_crash_of(now, &note);
            let crash = CrashRecord {
                service: note.service,
                version: note.version,
                at: now.before(note.age),
                suspects: note.suspects.into_iter().collect(),
            };
            events.extend(self.add_crash(now, &note.id, crash, &source));
            events.extend(self.add_late_crash(&note.id, late, &source));
        }
        for note in notice.whole {
            let at = now.before(note.age);
            events.extend(self.clear_late(&note.key, at, &source));
        }
        for note in notice.cleared {
            let at = now.before(note.age);
            events.extend(self.clear(now, &note.key, at, &source));
        }
        for note in notice.tested {
            let began_at = now.before(note.age);
            let known = self.tests.get(&note.key);
            if known.is_none_or(|known| began_at.since(*known) > self.settings.test_spread) {
                self.tests.insert(note.key.clone(), began_at);
                self.queue(&source, |changes| {
                    changes.tested.insert(note.key.clone());
                });
            }
        }
        events
    }

    /// Whether a change must be sent to other hosts at once.
    pub fn has_urgent_changes(&self) -> bool {
        self.for_keepers.is_urgent() || self.for_followers.is_urgent()
    }

    /// Returns the changes since the last call for the same audience.
    pub fn take_changes(
        &mut self,
        now: MonotonicTime,
        audience: NoticeAudience,
    ) -> QuarantineNotice {
        let now = self.internal(now);
        let changes = std::mem::take(match audience {
            NoticeAudience::Keepers => &mut self.for_keepers,
            NoticeAudience::Followers => &mut self.for_followers,
        });
        self.notice_of(now, changes)
    }

    /// Returns everything that concerns suspected parts, for hosts that may have missed a change.
    pub fn full_notice(&self, now: MonotonicTime) -> QuarantineNotice {
        if self.crashes.is_empty() && self.late.is_empty() {
            return QuarantineNotice::default();
        }
        let now = self.internal(now);
        let mut changes = PendingChanges::default();
        let crashes = self.crashes.records().map(|(id, _)| id.clone());
        changes.crashes = crashes.collect();
        let late = self.late.records().map(|(id, _)| id.clone());
        changes.crashes.extend(late);
        changes.whole = self.late.whole_answers().cloned().collect();
        changes.cleared = self
            .crashes
            .clearances()
            .map(|(key, _)| key.clone())
            .collect();
        self.notice_of(now, changes)
    }

    /// Queues a change for the hosts that the source of the change has not told itself.
    pub(super) fn queue<F>(&mut self, source: &NoticeSource, mut change: F)
    where
        F: FnMut(&mut PendingChanges),
    {
        change(&mut self.for_followers);
        if !matches!(source, NoticeSource::Keeper) {
            change(&mut self.for_keepers);
        }
    }

    fn late_crash_of(&self, now: MonotonicTime, note: &CrashNote) -> LateCrash {
        let at = now.before(note.age);
        let parts = note.broken.iter().map(|broken| {
            let was_answered = self.was_answered(now, &note.service, &broken.part);
            let answers = BrokenAnswers {
                sent_at: now.before(broken.sent).min(at),
                counts: broken.counts.clone(),
                was_answered: broken.answered || was_answered,
            };
            (broken.part.clone(), answers)
        });
        LateCrash {
            service: note.service.clone(),
            version: note.version.clone(),
            at,
            parts: parts.collect(),
        }
    }

    fn crash_note(&self, now: MonotonicTime, id: &CrashId) -> Option<CrashNote> {
        let (early, late) = (self.crashes.get(id), self.late.get(id));
        let mut note = match (early, late) {
            (Some(early), _) => CrashNote {
                id: id.clone(),
                service: early.service.clone(),
                version: early.version.clone(),
                age: now.since(early.at),
                suspects: early.suspects.iter().cloned().collect(),
                broken: Vec::new(),
            },
            (None, late) => {
                let late = late?;
                CrashNote {
                    id: id.clone(),
                    service: late.service.clone(),
                    version: late.version.clone(),
                    age: now.since(late.at),
                    suspects: Vec::new(),
                    broken: Vec::new(),
                }
            }
        };
        let broken = late.into_iter().flat_map(|late| &late.parts);
        let broken = broken.map(|(part, answers)| BrokenNote {
            part: part.clone(),
            sent: now.since(answers.sent_at),
            counts: answers.counts.clone(),
            answered: answers.was_answered,
        });
        note.broken.extend(broken);
        Some(note)
    }

    fn notice_of(&self, now: MonotonicTime, changes: PendingChanges) -> QuarantineNotice {
        let crashes = changes.crashes.iter();
        let crashes = crashes.filter_map(|id| self.crash_note(now, id));
        let note = |key: PartKey, at: MonotonicTime| PartNote {
            key,
            age: now.since(at),
        };
        let cleared = changes.cleared.into_iter().filter_map(|key| {
            let at = self.crashes.cleared_at(&key)?;
            Some(note(key, at))
        });
        let tested = changes.tested.into_iter().filter_map(|key| {
            let at = self.tests.get(&key).copied()?;
            Some(note(key, at))
        });
        let whole = changes.whole.into_iter().filter_map(|key| {
            let at = self.late.whole_at(&key)?;
            Some(note(key, at))
        });
        QuarantineNotice {
            whole: whole.collect(),
            answered: changes.answered.into_iter().collect(),
            crashes: crashes.collect(),
            cleared: cleared.collect(),
            tested: tested.collect(),
            proven: changes.proven.into_iter().collect(),
        }
    }
}
