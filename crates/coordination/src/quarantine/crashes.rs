//! Crashes of engines, and the parts that are suspected of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::interface::{CrashId, PartKey};
use super::settings::QuarantineSettings;
use crate::base::{MonotonicTime, PartName, ServiceName, VersionName};

/// Time by which a crash may be placed after an answer that was given later. Hosts place both by the
/// age that a notice states, which leaves out its time under way.
pub(super) const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// A crash of an engine.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) service: ServiceName,
    /// Version of the engine's model; `None` if it held no layers.
    pub(super) version: Option<VersionName>,
    /// Time at which the first host noticed it.
    pub(super) at: MonotonicTime,
    /// Not empty.
    pub(super) suspects: BTreeSet<PartName>,
}

/// Crashes that a part is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Blame {
    pub(super) crashes: u32,
    pub(super) rounds: u32,
    pub(super) last_at: MonotonicTime,
    /// Whether the part is the only one that is still suspected of one of the crashes.
    pub(super) is_sole_suspect: bool,
}

/// Crashes, and the last answers to the parts that were suspected of one.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashTable {
    records: BTreeMap<CrashId, CrashRecord>,
    cleared: BTreeMap<PartKey, MonotonicTime>,
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
            record.suspects.iter().map(|part| PartKey {
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
                suspects: BTreeSet::new(),
                ..crash.clone()
            });
        record.at = record.at.min(crash.at);
        let mut added = Vec::new();
        for part in crash.suspects {
            if record.suspects.len() < settings.max_suspects && record.suspects.insert(part.clone())
            {
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
        let counted = |record: &&CrashRecord| {
            record.service == key.service
                && record.suspects.contains(&key.part)
                && !self.is_cleared(key, record.at)
        };
        let mut counted: Vec<&CrashRecord> = self.records.values().filter(counted).collect();
        counted.sort_by_key(|record| record.at);
        let (mut round_at, last_at) = (counted.first()?.at, counted.last()?.at);
        let mut rounds = 1;
        for record in &counted {
            if record.at.since(round_at) > settings.round_gap {
                rounds += 1;
                round_at = record.at;
            }
        }
        if rounds == 1 && now.since(last_at) >= settings.suspicion {
            return None;
        }
        let is_sole_suspect = counted.iter().any(|record| {
            let mut others = record.suspects.iter().filter(|part| **part != key.part);
            others.all(|part| {
                let other = PartKey {
                    service: key.service.clone(),
                    part: part.clone(),
                };
                self.is_cleared(&other, record.at)
            })
        });
        Some(Blame {
            crashes: u32::try_from(counted.len()).unwrap_or(u32::MAX),
            rounds,
            last_at,
            is_sole_suspect,
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
                && record.suspects.contains(&key.part)
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

    fn is_cleared(&self, key: &PartKey, crashed_at: MonotonicTime) -> bool {
        let cleared_at = self.cleared.get(key);
        cleared_at.is_some_and(|at| at.after(CLOCK_MARGIN) >= crashed_at)
    }

    /// Keeps the number of crashes within its limit. Crashes of which no part is suspected any more go
    /// first, then the oldest.
    fn evict(&mut self, settings: &QuarantineSettings) {
        while self.records.len() > settings.max_crashes {
            let is_explained = |record: &CrashRecord| {
                record.suspects.iter().all(|part| {
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
