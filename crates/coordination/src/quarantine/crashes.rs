//! Crashes of engines, and the parts that are suspected of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::interface::{CrashId, PartKey};
use super::settings::QuarantineSettings;
use crate::base::{MonotonicTime, PartName, ServiceName, VersionName};

/// Time by which a crash may be placed after an answer that was given later. Hosts place both by the
/// age that a notice states, which leaves out its time under way.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// A crash of an engine.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) service: ServiceName,
    /// Version of the engine's model; `None` if it held no layers.
    pub(super) version: Option<VersionName>,
    /// Time at which the first host noticed it.
    pub(super) at: MonotonicTime,
    /// Suspected parts. Not empty.
    pub(super) suspects: BTreeMap<PartName, Suspect>,
}

/// A part that is suspected of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Suspect {
    /// Time at which the latest request with the part on the engine was sent.
    pub(super) sent_at: MonotonicTime,
    /// Whether the part had a whole answer lately before the crash. It is suspected only if no part
    /// without one is: else parts that all requests share are, when crashes follow each other faster
    /// than answers end.
    pub(super) was_proven: bool,
}

/// Crashes that a part is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Blame {
    pub(super) crashes: u32,
    /// Times at which requests with the part were sent and crashed engines, knowing of the crashes
    /// before. What was on engines at the first crash is one round, whenever it crashes its engine.
    pub(super) rounds: u32,
    pub(super) first_at: MonotonicTime,
    pub(super) last_at: MonotonicTime,
    /// Longest time between the first and the last crash of one round.
    pub(super) round_span: Duration,
    /// Whether the part is the only one that is still suspected of one of the crashes.
    pub(super) is_sole_suspect: bool,
    /// Whether it was the only one soon after one of the crashes. A sound part can become the only one
    /// later, as answers to the others end before one to it does.
    pub(super) was_sole_suspect: bool,
}

/// Crashes, and the last answers to the parts that were suspected of one.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashTable {
    records: BTreeMap<CrashId, CrashRecord>,
    cleared: BTreeMap<PartKey, MonotonicTime>,
    /// Time of the latest crash ever added.
    latest_at: MonotonicTime,
}

impl CrashTable {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (&CrashId, &CrashRecord)> {
        self.records.iter()
    }

    pub(super) fn get(&self, id: &CrashId) -> Option<&CrashRecord> {
        self.records.get(id)
    }

    /// Whether all crashes were before `at`.
    pub(super) fn are_before(&self, at: MonotonicTime) -> bool {
        self.records.is_empty() || self.latest_at < at
    }

    pub(super) fn cleared_at(&self, key: &PartKey) -> Option<MonotonicTime> {
        self.cleared.get(key).copied()
    }

    pub(super) fn clearances(&self) -> impl Iterator<Item = (&PartKey, &MonotonicTime)> {
        self.cleared.iter()
    }

    /// Parts that are or were suspected, each once.
    pub(super) fn parts(&self) -> BTreeSet<PartKey> {
        let records = self.records.values();
        let parts = records.flat_map(|record| {
            record.suspects.keys().map(|part| PartKey {
                service: record.service.clone(),
                part: part.clone(),
            })
        });
        parts.collect()
    }

    /// Adds a crash, or suspects to a known one; returns the added suspects.
    pub(super) fn add(
        &mut self,
        settings: &QuarantineSettings,
        id: &CrashId,
        crash: CrashRecord,
    ) -> Vec<PartName> {
        if crash.suspects.is_empty() {
            return Vec::new();
        }
        let record = self
            .records
            .entry(id.clone())
            .or_insert_with(|| CrashRecord {
                suspects: BTreeMap::new(),
                ..crash.clone()
            });
        record.at = record.at.min(crash.at);
        self.latest_at = self.latest_at.max(record.at);
        let mut added = Vec::new();
        for (part, suspect) in crash.suspects {
            if let Some(known) = record.suspects.get_mut(&part) {
                known.sent_at = suspect.sent_at.max(known.sent_at);
                known.was_proven |= suspect.was_proven;
            } else if record.suspects.len() < settings.max_suspects {
                record.suspects.insert(part.clone(), suspect);
                added.push(part);
            }
        }
        self.evict(settings);
        added
    }

    /// Records an answer to a part; returns whether it is later than the last one.
    pub(super) fn clear(&mut self, key: &PartKey, at: MonotonicTime) -> bool {
        let is_later = self.cleared.get(key).is_none_or(|last| *last < at);
        if is_later {
            self.cleared.insert(key.clone(), at);
        }
        is_later
    }

    /// Returns the crashes that a part is suspected of; `None` if there are none.
    pub(super) fn blame(
        &self,
        now: MonotonicTime,
        settings: &QuarantineSettings,
        key: &PartKey,
    ) -> Option<Blame> {
        let counted = self.records.values().filter_map(|record| {
            let suspect = record.suspects.get(&key.part)?;
            let is_counted = record.service == key.service
                && !self.is_cleared(key, record.at)
                && !(suspect.was_proven && self.has_unproven_suspect(record));
            is_counted.then_some((record, suspect.sent_at))
        });
        let mut counted: Vec<(&CrashRecord, MonotonicTime)> = counted.collect();
        counted.sort_by_key(|(record, _)| record.at);
        let (first_at, last_at) = (counted.first()?.0.at, counted.last()?.0.at);
        let (mut round_at, mut rounds, mut round_span) = (first_at, 1, Duration::ZERO);
        for (record, sent_at) in &counted {
            if sent_at.since(round_at) > settings.round_gap {
                rounds += 1;
                round_at = record.at;
            }
            round_span = round_span.max(record.at.since(round_at));
        }
        if rounds == 1 && now.since(last_at) >= settings.suspicion {
            return None;
        }
        let service = &key.service;
        let is_sole_until = |until: Option<Duration>| {
            counted.iter().any(|(record, _)| {
                let until = until.map(|time| record.at.after(time));
                let others = record.suspects.iter();
                let mut others = others.filter(|(part, _)| **part != key.part);
                others.all(|(part, suspect)| {
                    let other = PartKey {
                        service: service.clone(),
                        part: part.clone(),
                    };
                    let cleared_at = self.cleared_at(&other);
                    suspect.was_proven
                        || self.is_cleared(&other, record.at)
                            && until.is_none_or(|until| cleared_at.is_some_and(|at| at <= until))
                })
            })
        };
        let is_sole_suspect = is_sole_until(None);
        let was_sole_suspect = is_sole_suspect && is_sole_until(Some(settings.round_gap));
        Some(Blame {
            crashes: u32::try_from(counted.len()).unwrap_or(u32::MAX),
            rounds,
            first_at,
            last_at,
            round_span,
            is_sole_suspect,
            was_sole_suspect,
        })
    }

    /// Time of the last crash under a part in a round before that of `at`, whether it was cleared of
    /// it or not.
    pub(super) fn last_before(
        &self,
        settings: &QuarantineSettings,
        key: &PartKey,
        at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let before = at.before(settings.round_gap);
        let records = self.records.values().filter(|record| {
            record.service == key.service
                && record.suspects.contains_key(&key.part)
                && record.at < before
        });
        records.map(|record| record.at).max()
    }

    /// Removes crashes of `service` on versions that no engine holds any more.
    pub(super) fn retain_versions(&mut self, service: &ServiceName, held: &BTreeSet<VersionName>) {
        self.records.retain(|_, record| {
            let version = record.version.as_ref();
            record.service != *service || version.is_none_or(|version| held.contains(version))
        });
        self.remove_unused();
    }

    /// Removes crashes that are older than the retention.
    pub(super) fn forget(&mut self, now: MonotonicTime, settings: &QuarantineSettings) {
        self.records
            .retain(|_, record| now.since(record.at) < settings.retention);
        self.remove_unused();
    }

    /// Whether a part is suspected of a crash and not cleared of it.
    pub(super) fn is_uncleared(&self, key: &PartKey) -> bool {
        self.records.values().any(|record| {
            record.service == key.service
                && record.suspects.contains_key(&key.part)
                && !self.is_cleared(key, record.at)
        })
    }

    fn has_unproven_suspect(&self, record: &CrashRecord) -> bool {
        record.suspects.iter().any(|(part, suspect)| {
            let key = PartKey {
                service: record.service.clone(),
                part: part.clone(),
            };
            !suspect.was_proven && !self.is_cleared(&key, record.at)
        })
    }

    fn is_cleared(&self, key: &PartKey, crashed_at: MonotonicTime) -> bool {
        let cleared_at = self.cleared.get(key);
        cleared_at.is_some_and(|at| at.after(CLOCK_MARGIN) >= crashed_at)
    }

    /// Keeps the number of crashes within its limit. Crashes of which no part is suspected any more go
    /// first, then the oldest.
    fn evict(&mut self, settings: &QuarantineSettings) {
        while self.records.len() > settings.max_crashes {
            let is_explained = |record: &CrashRecord| {
                record.suspects.keys().all(|part| {
                    let key = PartKey {
                        service: record.service.clone(),
                        part: part.clone(),
                    };
                    self.is_cleared(&key, record.at)
                })
            };
            let rank = |record: &CrashRecord| (!is_explained(record), record.at);
            let first = self.records.iter().min_by_key(|(_, record)| rank(record));
            let Some(id) = first.map(|(id, _)| id.clone()) else {
                return;
            };
            self.records.remove(&id);
        }
        self.remove_unused();
    }

    /// Removes the answers to parts that are in no crash.
    fn remove_unused(&mut self) {
        if self.cleared.is_empty() {
            return;
        }
        let parts = self.parts();
        self.cleared.retain(|key, _| parts.contains(key));
    }
}
