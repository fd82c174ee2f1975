//! Exchange of crashes, answers and tests with other hosts.

use super::QuarantineTable;
use crate::base::MonotonicTime;
use crate::quarantine::crashes::CrashRecord;
use crate::quarantine::interface::{PartKey, QuarantineEvent};
use crate::quarantine::notice::{
    CrashNote, NoticeAudience, PartNote, PendingChanges, QuarantineNotice,
};

/// Origin of a change.
pub(super) enum NoticeSource {
    /// This host.
    Own,
    /// A host without a keeper.
    Entry,
    /// A keeper, which tells the other keepers itself.
    Keeper,
}

impl QuarantineTable {
    /// Applies a notice of a keeper, or of a host without one; returns what it changes.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        notice: QuarantineNotice,
        is_from_keeper: bool,
    ) -> Vec<QuarantineEvent> {
        let now = self.internal(now);
        let source = if is_from_keeper {
            NoticeSource::Keeper
        } else {
            NoticeSource::Entry
        };
        for proven in notice.proven {
            self.add_proof(now, proven, &source);
        }
        let mut events = Vec::new();
        for note in notice.crashes {
            let crash = CrashRecord {
                service: note.service,
                version: note.version,
                at: now.before(note.age),
                suspects: note.suspects.into_iter().collect(),
            };
            events.extend(self.add_crash(now, &note.id, crash, &source));
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
        if self.crashes.is_empty() {
            return QuarantineNotice::default();
        }
        let now = self.internal(now);
        let mut changes = PendingChanges::default();
        let crashes = self.crashes.records().map(|(id, _)| id.clone());
        changes.crashes = crashes.collect();
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

    fn notice_of(&self, now: MonotonicTime, changes: PendingChanges) -> QuarantineNotice {
        let crashes = changes.crashes.iter().filter_map(|id| {
            let record = self.crashes.get(id)?;
            Some(CrashNote {
                id: id.clone(),
                service: record.service.clone(),
                version: record.version.clone(),
                age: now.since(record.at),
                suspects: record.suspects.iter().cloned().collect(),
            })
        });
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
        QuarantineNotice {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
            tested: tested.collect(),
            proven: changes.proven.into_iter().collect(),
        }
    }
}
