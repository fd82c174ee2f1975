//! Exchange with other hosts.

use std::collections::BTreeSet;

use super::LossKind;
use super::digest::ContentDigest;
use super::interface::{PoisonEvent, SendNumber};
use super::losses::LossRecord;
use super::notice::{DigestNote, LossNote, PendingChanges, PoisonNotice, TrialNote, WithdrawnNote};
use super::sends::RemoteTrial;
use super::table::PoisonTable;
use crate::base::MonotonicTime;
use crate::quarantine::{CrashId, NoticeAudience, NoticeSource};

impl PoisonTable {
    /// Applies a notice of a keeper, or of a host without one; returns what it changes.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        notice: PoisonNotice,
        is_from_keeper: bool,
    ) -> Vec<PoisonEvent> {
        let now = self.internal(now);
        let source = NoticeSource::of_peer(is_from_keeper);
        let mut events = Vec::new();
        for note in notice.cleared {
            events.extend(self.clear(note.digest, now.before(note.age), &source));
        }
        for note in notice.trials {
            let trial = RemoteTrial {
                digest: note.digest,
                servers: note.servers,
                began_at: now.before(note.age),
            };
            if self.sends.add_trial(note.send, trial, &self.settings) {
                self.queue(&source, |changes| {
                    changes.trials.insert(note.send);
                });
            }
        }
        for note in notice.losses {
            let requests = note.requests.into_iter();
            let kind = if note.silent {
                LossKind::Silent
            } else {
                LossKind::Gone
            };
            let requests = requests.map(|lost| ((lost.digest, lost.send), lost.servers));
            let loss = LossRecord {
                requests: requests.collect(),
                ..LossRecord::new(note.service, now.before(note.age), kind)
            };
            if self.losses.is_news(&self.settings, &note.id, &loss) {
                events.extend(self.add_loss(&note.id, loss, &source));
            }
        }
        for send in notice.ended {
            if self.sends.end_trial(now, send, &self.settings) {
                self.queue(&source, |changes| {
                    changes.trials.remove(&send);
                    changes.ended.insert(send);
                });
            }
        }
        for note in notice.withdrawn {
            self.withdraw(&note.id, now.before(note.age), &source);
        }
        for note in notice.stopped {
            self.stop(note.digest, now.before(note.age), &source);
        }
        events
    }

    /// Whether a change must be sent to other hosts.
    pub fn has_changes(&self) -> bool {
        !self.for_keepers.is_empty() || !self.for_followers.is_empty()
    }

    /// Returns the changes since the last call for the same audience.
    pub fn take_changes(&mut self, now: MonotonicTime, audience: NoticeAudience) -> PoisonNotice {
        let now = self.internal(now);
        let changes = match audience {
            NoticeAudience::Keepers => &mut self.for_keepers,
            NoticeAudience::Followers => &mut self.for_followers,
        };
        let taken = changes.take(self.settings.max_noted);
        self.notice_of(now, taken)
    }

    /// Returns what hosts that restarted or missed a change need: stopped requests, those that were on
    /// several servers that ended, and their sends.
    pub fn full_notice(&self, now: MonotonicTime) -> PoisonNotice {
        let now = self.internal(now);
        let repeated = self.losses.repeated_requests();
        let losses = self.losses.records().filter_map(|(id, record)| {
            let requests = record.requests.keys().copied();
            let requests: BTreeSet<_> = requests
                .filter(|(digest, _)| repeated.contains(digest))
                .collect();
            (!requests.is_empty()).then(|| (id.clone(), requests))
        });
        let trials = self.sends.told();
        let trials = trials.filter(|(_, digest)| repeated.contains(digest));
        let mut changes = PendingChanges {
            losses: losses.collect(),
            trials: trials.map(|(send, _)| send).collect(),
            stopped: self.stopped.keys().copied().collect(),
            ..PendingChanges::default()
        };
        let taken = changes.take(self.settings.max_noted);
        self.notice_of(now, taken)
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

    fn loss_note(
        &self,
        now: MonotonicTime,
        id: &CrashId,
        requests: &BTreeSet<(ContentDigest, SendNumber)>,
    ) -> Option<LossNote> {
        let record = self.losses.get(id)?;
        Some(LossNote {
            id: id.clone(),
            service: record.service.clone(),
            age: now.since(record.at),
            silent: record.kind == LossKind::Silent,
            requests: record.lost_requests(requests).collect(),
        })
    }

    fn notice_of(&self, now: MonotonicTime, changes: PendingChanges) -> PoisonNotice {
        let losses = changes.losses.iter();
        let withdrawn = changes.withdrawn.into_iter().filter_map(|id| {
            let age = now.since(self.losses.withdrawn_at(&id)?);
            Some(WithdrawnNote { id, age })
        });
        let trials = changes.trials.into_iter().filter_map(|send| {
            let trial = self.sends.find(send)?;
            Some(TrialNote {
                send,
                digest: trial.digest,
                servers: trial.servers,
                age: now.since(trial.began_at),
            })
        });
        let cleared = changes.cleared.into_iter().filter_map(|digest| {
            let age = now.since(*self.cleared.get(&digest)?);
            Some(DigestNote { digest, age })
        });
        let stopped = changes.stopped.into_iter().filter_map(|digest| {
            let age = now.since(*self.stopped.get(&digest)?);
            Some(DigestNote { digest, age })
        });
        PoisonNotice {
            losses: losses
                .filter_map(|(id, requests)| self.loss_note(now, id, requests))
                .collect(),
            withdrawn: withdrawn.collect(),
            trials: trials.collect(),
            ended: changes.ended.into_iter().collect(),
            cleared: cleared.collect(),
            stopped: stopped.collect(),
        }
    }
}
