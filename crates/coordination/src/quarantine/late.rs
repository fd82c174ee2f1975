//! Second tier of the quarantine: parts under which engines crash late in answers.
//!
//! An answer that has lasted for a while says nothing about a crash at its end, and no whole answer to a
//! rare sound part may be known when engines crash for other reasons. So one crash is no evidence here.
//! A part is suspected if answers that were sent after its first crash crash engines again, and no answer
//! to it came whole in the meantime.

mod blame;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub(super) use blame::LateBlame;

use super::interface::{CrashId, PartKey};
use super::settings::QuarantineSettings;
use crate::base::{MonotonicTime, PartName, ServiceName, VersionName};

/// Answers to one part that an engine ran when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BrokenAnswers {
    /// Time at which the latest of their requests was sent.
    pub(super) sent_at: MonotonicTime,
    /// Number of answers of each host.
    pub(super) counts: BTreeMap<Arc<str>, u32>,
    /// Whether a whole answer to the part was known when the engine crashed.
    pub(super) was_answered: bool,
}

/// A crash of an engine, with the answers that it ran.
#[derive(Clone, Debug)]
pub(super) struct LateCrash {
    pub(super) service: ServiceName,
    /// Version of the engine's model; `None` if it held no layers.
    pub(super) version: Option<VersionName>,
    /// Time at which the first host noticed it.
    pub(super) at: MonotonicTime,
    /// Empty if the engine ran no answer. Such crashes reduce the weight of others at about the same time.
    pub(super) parts: BTreeMap<PartName, BrokenAnswers>,
}

impl LateCrash {
    fn key_of(&self, part: &PartName) -> PartKey {
        PartKey {
            service: self.service.clone(),
            part: part.clone(),
        }
    }
}

/// Change of the verdict on a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LateChange {
    pub(super) key: PartKey,
    /// `None` if the part is no longer suspected.
    pub(super) blame: Option<LateBlame>,
}

/// Crashes with the answers on the engines, whole answers to their parts, and what follows from both.
#[derive(Clone, Debug, Default)]
pub(super) struct LateTable {
    records: BTreeMap<CrashId, LateCrash>,
    /// Time of the last whole answer to parts in `records`.
    whole: BTreeMap<PartKey, MonotonicTime>,
    /// Suspected parts. Derived from the other fields at each change, as all requests read it.
    blames: BTreeMap<PartKey, LateBlame>,
}

impl LateTable {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (&CrashId, &LateCrash)> {
        self.records.iter()
    }

    pub(super) fn get(&self, id: &CrashId) -> Option<&LateCrash> {
        self.records.get(id)
    }

    pub(super) fn whole_at(&self, key: &PartKey) -> Option<MonotonicTime> {
        self.whole.get(key).copied()
    }

    pub(super) fn whole_answers(&self) -> impl Iterator<Item = &PartKey> {
        self.whole.keys()
    }

    pub(super) fn has_suspects(&self) -> bool {
        !self.blames.is_empty()
    }

    /// Whether a part is certain to crash engines, so that running answers to it are cut.
    pub(super) fn has_certain(&self, settings: &QuarantineSettings) -> bool {
        let mut blames = self.blames.values();
        blames.any(|blame| blame.is_certain(settings))
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &PartKey> {
        self.blames.keys()
    }

    /// Returns what a part is suspected of; `None` if it is not.
    pub(super) fn blame(
        &self,
        now: MonotonicTime,
        settings: &QuarantineSettings,
        key: &PartKey,
    ) -> Option<LateBlame> {
        let blame = self.blames.get(key)?;
        let is_current =
            blame.is_certain(settings) || now < blame.last_at.after(settings.late_release);
        is_current.then_some(*blame)
    }

    /// Adds a crash, or answers to a known one; returns whether anything was new.
    pub(super) fn add(
        &mut self,
        settings: &QuarantineSettings,
        id: &CrashId,
        crash: LateCrash,
    ) -> bool {
        let is_new = !self.records.contains_key(id);
        let record = self.records.entry(id.clone()).or_insert_with(|| LateCrash {
            parts: BTreeMap::new(),
            ..crash.clone()
        });
        record.at = record.at.min(crash.at);
        let mut has_changed = is_new;
        for (part, broken) in crash.parts {
            if let Some(known) = record.parts.get_mut(&part) {
                // Ages in notices vary by their transit time: a changed time alone is not passed on.
                known.sent_at = known.sent_at.max(broken.sent_at);
                has_changed |= broken.was_answered && !known.was_answered;
                known.was_answered |= broken.was_answered;
                for (host, count) in broken.counts {
                    let counted = known.counts.entry(host).or_default();
                    has_changed |= count > *counted;
                    *counted = count.max(*counted);
                }
            } else if record.parts.len() < settings.max_late_suspects {
                record.parts.insert(part, broken);
                has_changed = true;
            }
        }
        if has_changed {
            self.evict(settings);
        }
        has_changed
    }

    /// Records a whole answer to a part. Returns whether it is the first since a crash under the part.
    pub(super) fn record_whole(&mut self, key: &PartKey, at: MonotonicTime) -> bool {
        let is_open = self.records.values().any(|record| {
            record.service == key.service
                && record.parts.contains_key(&key.part)
                && !self.is_cleared(key, record.at)
        });
        let is_later = self.whole.get(key).is_none_or(|last| *last < at);
        if is_open && is_later {
            self.whole.insert(key.clone(), at);
        }
        is_open && is_later
    }

    /// Derives the verdicts anew; returns those that have changed.
    pub(super) fn update(&mut self, settings: &QuarantineSettings) -> Vec<LateChange> {
        let blames = self.derive_blames(settings);
        let before = std::mem::replace(&mut self.blames, blames);
        let mut changes = Vec::new();
        for (key, blame) in &self.blames {
            if before.get(key) != Some(blame) {
                changes.push(LateChange {
                    key: key.clone(),
                    blame: Some(*blame),
                });
            }
        }
        let ended = before
            .into_keys()
            .filter(|key| !self.blames.contains_key(key));
        changes.extend(ended.map(|key| LateChange { key, blame: None }));
        changes
    }

    /// Removes crashes of `service` on versions that no engine holds any more.
    pub(super) fn retain_versions(
        &mut self,
        settings: &QuarantineSettings,
        service: &ServiceName,
        held: &BTreeSet<VersionName>,
    ) {
        let count = self.records.len();
        self.records.retain(|_, record| {
            let version = record.version.as_ref();
            record.service != *service || version.is_none_or(|version| held.contains(version))
        });
        if self.records.len() != count {
            self.remove_unused();
            self.update(settings);
        }
    }

    /// Removes crashes that are older than the retention, and earlier those under no certain part.
    pub(super) fn forget(&mut self, now: MonotonicTime, settings: &QuarantineSettings) {
        let count = self.records.len();
        let blames = &self.blames;
        self.records.retain(|_, record| {
            let age = now.since(record.at);
            let is_certain = || {
                let keys = record.parts.keys().map(|part| record.key_of(part));
                let mut blames = keys.filter_map(|key| blames.get(&key));
                blames.any(|blame| blame.is_certain(settings))
            };
            age < settings.suspicion || age < settings.retention && is_certain()
        });
        if self.records.len() != count {
            self.remove_unused();
            self.update(settings);
        }
    }

    /// Keeps the number of crashes within its limit. Crashes under no suspected part go first, then the
    /// oldest.
    fn evict(&mut self, settings: &QuarantineSettings) {
        while self.records.len() > settings.max_crashes {
            let rank = |record: &LateCrash| {
                let mut keys = record.parts.keys().map(|part| record.key_of(part));
                (keys.any(|key| self.blames.contains_key(&key)), record.at)
            };
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
        let records = &self.records;
        self.whole.retain(|key, _| {
            let mut of_service = records
                .values()
                .filter(|record| record.service == key.service);
            of_service.any(|record| record.parts.contains_key(&key.part))
        });
    }
}
