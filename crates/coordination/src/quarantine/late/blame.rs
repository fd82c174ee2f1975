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
/// Weight of a round with a crash that came alone. One failure that stops several engines at a time has
/// the same effect as a part on them, so other rounds have the weight 1.
const ALONE_WEIGHT: u32 = 2;
/// Rounds, and their weight, from which a part without a known whole answer is suspected.
const UNANSWERED_BOUND: (u32, u32) = (2, 3);
/// The same for a part that was answered before, which may have begun to crash engines.
const ANSWERED_BOUND: (u32, u32) = (3, 5);

/// What a part is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::quarantine) struct LateBlame {
    pub(in crate::quarantine) crashes: u32,
    /// Times at which answers that were sent after a crash under the part crashed engines.
    pub(in crate::quarantine) rounds: u32,
    pub(in crate::quarantine) last_at: MonotonicTime,
    /// Crashes under tests of the part.
    pub(in crate::quarantine) failed_tests: usize,
}

impl LateBlame {
    /// Whether the part is held back until a whole answer to it.
    pub(in crate::quarantine) fn is_certain(&self, settings: &QuarantineSettings) -> bool {
        self.crashes >= settings.untested_crashes
    }
}

/// Crashes under a part since the last whole answer to it.
struct CrashSeries<'a> {
    /// In the order of their times.
    crashes: Vec<&'a LateCrash>,
    rounds: u32,
    weight: u32,
    failed_tests: usize,
    was_answered: bool,
}

impl CrashSeries<'_> {
    fn is_suspicious(&self) -> bool {
        let (rounds, weight) = if self.was_answered {
            ANSWERED_BOUND
        } else {
            UNANSWERED_BOUND
        };
        self.rounds >= rounds && self.weight >= weight
    }

    fn rank(&self) -> (u32, usize) {
        (self.rounds, self.crashes.len())
    }
}

impl LateTable {
    /// Returns the suspected parts. A part is not suspected if another one with more rounds was on each
    /// of its engines.
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
            let series = self.series_of(settings, &key)?;
            series.is_suspicious().then_some((key, series))
        });
        let series: BTreeMap<PartKey, CrashSeries<'_>> = series.collect();
        let is_explained = |key: &PartKey, of_key: &CrashSeries<'_>| {
            of_key.crashes.iter().all(|crash| {
                let mut others = crash.parts.keys().filter(|part| **part != key.part);
                others.any(|part| {
                    let other = crash.key_of(part);
                    let rank = series.get(&other).map(CrashSeries::rank);
                    rank.is_some_and(|rank| rank > of_key.rank())
                        && !self.is_cleared(&other, crash.at)
                })
            })
        };
        let suspected = series
            .iter()
            .filter(|(key, of_key)| !is_explained(key, of_key));
        let blames = suspected.filter_map(|(key, of_key)| {
            let blame = LateBlame {
                crashes: u32::try_from(of_key.crashes.len()).unwrap_or(u32::MAX),
                rounds: of_key.rounds,
                last_at: of_key.crashes.last()?.at,
                failed_tests: of_key.failed_tests,
            };
            Some((key.clone(), blame))
        });
        blames.collect()
    }

    fn series_of(&self, settings: &QuarantineSettings, key: &PartKey) -> Option<CrashSeries<'_>> {
        let of_part = |crash: &&LateCrash| {
            crash.service == key.service
                && crash.parts.contains_key(&key.part)
                && !self.is_cleared(key, crash.at)
        };
        let mut crashes: Vec<&LateCrash> = self.records.values().filter(of_part).collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut last_at = crashes.first()?.at;
        let mut round_at = last_at;
        // Weight of each round.
        let mut rounds = vec![1];
        let (mut failed_tests, mut was_answered) = (0, false);
        for crash in &crashes {
            let Some(broken) = crash.parts.get(&key.part) else {
                continue;
            };
            was_answered |= broken.was_answered;
            let is_after = broken.sent_at > round_at;
            if is_after && crash.at.since(round_at) >= settings.late_round_gap {
                rounds.push(1);
                round_at = crash.at;
            }
            let [hold, ..] = settings.holds;
            failed_tests += usize::from(broken.sent_at.since(last_at) >= hold);
            last_at = crash.at;
            if self.is_alone(settings, key, crash, round_at)
                && let Some(weight) = rounds.last_mut()
            {
                *weight = ALONE_WEIGHT;
            }
        }
        Some(CrashSeries {
            rounds: u32::try_from(rounds.len()).unwrap_or(u32::MAX),
            weight: rounds.iter().sum(),
            crashes,
            failed_tests,
            was_answered,
        })
    }

    /// Whether a crash under a part has no common reason with others: no engine without the part crashed
    /// at about the same time, and none with the part in its round at the same moment.
    fn is_alone(
        &self,
        settings: &QuarantineSettings,
        key: &PartKey,
        crash: &LateCrash,
        round_at: MonotonicTime,
    ) -> bool {
        let is_within = |other: &LateCrash, time: Duration| {
            other.at.since(crash.at) < time && crash.at.since(other.at) < time
        };
        let others = self.records.values();
        let mut others = others.filter(|other| !std::ptr::eq(*other, crash));
        !others.any(|other| {
            let has_part = other.service == key.service && other.parts.contains_key(&key.part);
            if has_part {
                other.at >= round_at && is_within(other, SAME_MOMENT)
            } else {
                is_within(other, settings.common_reason_time)
            }
        })
    }

    pub(super) fn is_cleared(&self, key: &PartKey, crashed_at: MonotonicTime) -> bool {
        let whole_at = self.whole.get(key);
        whole_at.is_some_and(|at| at.after(CLOCK_MARGIN) >= crashed_at)
    }
}
