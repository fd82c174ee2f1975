//! Derives which parts are suspected of late crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LateCrash, LateTable};
use crate::base::MonotonicTime;
use crate::quarantine::crashes::CLOCK_MARGIN;
use crate::quarantine::interface::PartKey;
use crate::quarantine::settings::QuarantineSettings;

/// Time between crashes of engines that lose power together, as hosts notice them.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Weight of a round with a crash that came alone.
const ALONE_WEIGHT: u32 = 3;
/// Weight of a round whose crashes came soon after others. One failure that stops several engines may
/// have the same effect as a part on them.
const CLOSE_WEIGHT: u32 = 2;
/// Weight of a round whose crashes came at the moment of others, as after a loss of power.
const JOINT_WEIGHT: u32 = 1;
/// Weight of all rounds from which a part without a known whole answer is suspected. Two rounds at the
/// moments of other crashes are not enough: these also hit parts that all drafts share, if no answer
/// ends between two losses of power.
const UNANSWERED_WEIGHT: u32 = 4;
/// Rounds from which such a part is suspected whatever their weight.
const UNANSWERED_ROUNDS: u32 = 3;
/// Weight of all rounds from which a part that was answered before is suspected: it may have begun to
/// crash engines.
const ANSWERED_WEIGHT: u32 = 7;

/// Rounds up to which a part is not certain by the number of its broken answers.
const FREQUENT_ROUNDS: u32 = 2;

/// What a part is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::quarantine) struct LateBlame {
    pub(in crate::quarantine) crashes: u32,
    /// Times at which answers that were sent after a crash under the part crashed engines.
    pub(in crate::quarantine) rounds: u32,
    pub(in crate::quarantine) last_at: MonotonicTime,
    /// Crashes under tests of the part.
    pub(in crate::quarantine) failed_tests: usize,
    /// Answers that broke with the engines.
    pub(in crate::quarantine) broken: u32,
    /// Whether no other suspect was on all of the same engines. Otherwise the answers that run tell
    /// which of them it is.
    pub(in crate::quarantine) is_sole: bool,
}

impl LateBlame {
    /// Whether the part is held back until a whole answer to it.
    pub(in crate::quarantine) fn is_certain(&self, settings: &QuarantineSettings) -> bool {
        self.crashes >= settings.untested_crashes || self.is_frequent(settings)
    }

    /// Whether many answers broke and none came whole. Its test would only cost another engine. Two
    /// crashes are not enough: they can hit a sound part that is in all drafts before its first answer
    /// has ended.
    pub(in crate::quarantine) fn is_frequent(&self, settings: &QuarantineSettings) -> bool {
        self.rounds > FREQUENT_ROUNDS && self.broken >= settings.frequent_answers
    }
}

/// Crashes under a part since the last whole answer to it.
struct CrashSeries<'a> {
    /// In the order of their times.
    crashes: Vec<&'a LateCrash>,
    rounds: u32,
    weight: u32,
    failed_tests: usize,
    broken: u32,
    was_answered: bool,
}

impl CrashSeries<'_> {
    fn is_suspicious(&self) -> bool {
        if self.was_answered {
            return self.weight >= ANSWERED_WEIGHT;
        }
        self.rounds >= UNANSWERED_ROUNDS || self.weight >= UNANSWERED_WEIGHT
    }

    fn rank(&self) -> (u32, usize) {
        (self.rounds, self.crashes.len())
    }
}

impl LateTable {
    /// Returns the suspected parts.
    ///
    /// A part without a known whole answer explains its crashes if there are several, and an answered
    /// part is suspected of the others only. A part is not suspected either if another one with more
    /// rounds was on each of its engines.
    pub(super) fn derive_blames(
        &self,
        settings: &QuarantineSettings,
    ) -> BTreeMap<PartKey, LateBlame> {
        let mut counts: BTreeMap<PartKey, u32> = BTreeMap::new();
        for record in self.records.values() {
            let keys = record.parts.keys().map(|part| record.key_of(part));
            for key in keys.filter(|key| !self.is_cleared(key, record.at)) {
                *counts.entry(key).or_default() += 1;
            }
        }
        let several = counts.into_iter().filter(|(_, crashes)| *crashes > 1);
        let series = several.filter_map(|(key, _)| {
            let series = self.series_of(settings, &key, |_| true)?;
            Some((key, series))
        });
        let (answered, unanswered): (BTreeMap<_, _>, BTreeMap<_, _>) =
            series.partition(|(_, series)| series.was_answered);
        let is_unexplained = |crash: &LateCrash| {
            let mut keys = crash.parts.keys().map(|part| crash.key_of(part));
            !keys.any(|key| unanswered.contains_key(&key) && !self.is_cleared(&key, crash.at))
        };
        let answered = answered.into_keys().filter_map(|key| {
            let series = self.series_of(settings, &key, is_unexplained)?;
            Some((key, series))
        });
        let answered: Vec<(PartKey, CrashSeries<'_>)> = answered.collect();
        let series = unanswered.into_iter().chain(answered);
        let series = series.filter(|(_, series)| series.is_suspicious());
        let series: BTreeMap<PartKey, CrashSeries<'_>> = series.collect();
        let blames = series.iter().filter_map(|(key, of_key)| {
            let is_explained = of_key.crashes.iter().all(|crash| {
                let mut others = series
                    .iter()
                    .filter(|(_, other)| other.rank() > of_key.rank());
                others.any(|(other, _)| self.is_on(other, crash))
            });
            let mut others = series.iter().filter(|(other, _)| *other != key);
            let is_sole = !others.any(|(other, _)| {
                let mut crashes = of_key.crashes.iter();
                crashes.all(|crash| self.is_on(other, crash))
            });
            let blame = LateBlame {
                crashes: u32::try_from(of_key.crashes.len()).unwrap_or(u32::MAX),
                rounds: of_key.rounds,
                last_at: of_key.crashes.last()?.at,
                failed_tests: of_key.failed_tests,
                broken: of_key.broken,
                is_sole,
            };
            (!is_explained).then(|| (key.clone(), blame))
        });
        blames.collect()
    }

    /// Whether a part was on the engine of a crash, and is not cleared of it.
    fn is_on(&self, key: &PartKey, crash: &LateCrash) -> bool {
        crash.service == key.service
            && crash.parts.contains_key(&key.part)
            && !self.is_cleared(key, crash.at)
    }

    /// Returns the crashes under a part that `is_counted` selects; `None` if there are none.
    fn series_of<F>(
        &self,
        settings: &QuarantineSettings,
        key: &PartKey,
        is_counted: F,
    ) -> Option<CrashSeries<'_>>
    where
        F: Fn(&LateCrash) -> bool,
    {
        let of_part = |crash: &&LateCrash| self.is_on(key, crash) && is_counted(crash);
        let mut crashes: Vec<&LateCrash> = self.records.values().filter(of_part).collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut last_at = crashes.first()?.at;
        let mut round_at = last_at;
        // Weight of each round.
        let mut rounds = vec![JOINT_WEIGHT];
        let (mut failed_tests, mut broken_count, mut was_answered) = (0, 0_u32, false);
        for crash in &crashes {
            let Some(broken) = crash.parts.get(&key.part) else {
                continue;
            };
            was_answered |= broken.was_answered;
            broken_count = broken_count.saturating_add(broken.counts.values().sum());
            let is_after = broken.sent_at > round_at;
            if is_after && crash.at.since(round_at) >= settings.late_round_gap {
                rounds.push(JOINT_WEIGHT);
                round_at = crash.at;
            }
            let [hold, ..] = settings.holds;
            failed_tests += usize::from(broken.sent_at.since(last_at) >= hold);
            last_at = crash.at;
            if let Some(weight) = rounds.last_mut() {
                *weight = (*weight).max(self.weight_of(settings, key, crash, round_at));
            }
        }
        Some(CrashSeries {
            rounds: u32::try_from(rounds.len()).unwrap_or(u32::MAX),
            weight: rounds.iter().sum(),
            crashes,
            failed_tests,
            broken: broken_count,
            was_answered,
        })
    }

    /// Weight of a crash under a part, by the crashes at about the same time of engines without the
    /// part, and of those with it in the same round.
    fn weight_of(
        &self,
        settings: &QuarantineSettings,
        key: &PartKey,
        crash: &LateCrash,
        round_at: MonotonicTime,
    ) -> u32 {
        let mut weight = ALONE_WEIGHT;
        let others = self.records.values();
        for other in others.filter(|other| !std::ptr::eq(*other, crash)) {
            let apart = other.at.since(crash.at).max(crash.at.since(other.at));
            let has_part = other.service == key.service && other.parts.contains_key(&key.part);
            if has_part && other.at < round_at {
                continue;
            }
            if apart < SAME_MOMENT {
                weight = JOINT_WEIGHT;
            } else if !has_part && apart < settings.common_reason_time {
                weight = weight.min(CLOSE_WEIGHT);
            }
        }
        weight
    }

    pub(super) fn is_cleared(&self, key: &PartKey, crashed_at: MonotonicTime) -> bool {
        let whole_at = self.whole.get(key);
        whole_at.is_some_and(|at| at.after(CLOCK_MARGIN) >= crashed_at)
    }
}
