//! Figures of a report, in buckets of time whose width grows with the period.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hdrhistogram::Histogram;

use crate::base::{HostName, RequestId, Revision, WallTime};
use crate::evidence::record::{EvidenceEvent, EvidenceRecord, OutcomeKind};

/// Most buckets; when there are more, pairs are joined, so the memory of a report is bounded.
const MAX_BUCKETS: usize = 240;
/// Width of the first buckets.
const FIRST_WIDTH_MILLIS: u64 = 1_000;
/// Digits of the latencies that are kept.
const DIGITS: u8 = 2;
/// Longest latency that is kept apart: a day.
const MAX_MICROS: u64 = 86_400_000_000;

/// Figures of one stretch of time.
#[derive(Debug, Default)]
pub(super) struct ReportBucket {
    /// Ended and refused requests by outcome.
    pub(super) outcomes: BTreeMap<OutcomeKind, u64>,
    /// Time to the first byte, microseconds.
    pub(super) first: Latencies,
    /// Time to the end, microseconds.
    pub(super) total: Latencies,
    /// Revision that each host put in force last.
    pub(super) revisions: BTreeMap<HostName, Revision>,
}

/// A distribution that is made when the first value comes.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    values: Option<Histogram<u32>>,
}

/// Figures of a whole export.
#[derive(Debug, Default)]
pub(super) struct ReportStatistics {
    /// Time of the oldest record.
    pub(super) first: Option<WallTime>,
    /// Time of the newest record.
    pub(super) last: Option<WallTime>,
    /// Ended and refused requests by outcome.
    pub(super) outcomes: BTreeMap<OutcomeKind, u64>,
    /// Refusals by kind.
    pub(super) refusals: BTreeMap<Arc<str>, u64>,
    /// Requests that have begun and not ended.
    pub(super) open: BTreeSet<RequestId>,
    /// Changes that became a revision.
    pub(super) changes_accepted: u64,
    /// Changes that were refused.
    pub(super) changes_refused: u64,
    /// Refusals that were counted only.
    pub(super) omitted: u64,
    buckets: BTreeMap<u64, ReportBucket>,
    /// How often buckets were joined in pairs: at most 53 times, since by then any time there is
    /// falls into one of three.
    joined: u32,
}

impl Latencies {
    /// The value that `part` of all values do not pass, in seconds.
    pub(super) fn quantile(&self, part: f64) -> Option<f64> {
        let micros = self.values.as_ref()?.value_at_quantile(part);
        Some(std::time::Duration::from_micros(micros).as_secs_f64())
    }

    fn add(&mut self, micros: u64) {
        if self.values.is_none() {
            self.values = Histogram::new(DIGITS).ok();
        }
        if let Some(values) = &mut self.values {
            // Values are bounded, so that a false one from an export takes no memory.
            let _ = values.record(micros.min(MAX_MICROS));
        }
    }

    fn join(&mut self, other: Self) {
        match (&mut self.values, other.values) {
            (Some(own), Some(others)) => {
                let _ = own.add(others);
            }
            (own, Some(others)) => *own = Some(others),
            (_, None) => {}
        }
    }
}

impl ReportStatistics {
    /// Counts a record.
    pub(super) fn add(&mut self, record: &EvidenceRecord) {
        let time = record.time;
        self.first = Some(self.first.map_or(time, |first| first.min(time)));
        self.last = Some(self.last.map_or(time, |last| last.max(time)));
        match &record.event {
            EvidenceEvent::RequestBegun(event) => {
                self.open.insert(event.request.clone());
            }
            EvidenceEvent::RequestFinished(event) => {
                self.open.remove(&event.request);
                self.count(time, event.outcome);
                let timings = event.timings;
                let bucket = self.bucket(time);
                bucket.total.add(timings.total_us);
                if timings.first_us > 0 {
                    bucket.first.add(timings.first_us);
                }
            }
            EvidenceEvent::RequestRefused(event) => {
                self.count(time, event.outcome);
                *self.refusals.entry(Arc::clone(&event.kind)).or_default() += 1;
            }
            EvidenceEvent::RefusalsOmitted(event) => self.omitted += event.count,
            EvidenceEvent::ConfigurationChanged(event) => match event.revision {
                Some(_) => self.changes_accepted += 1,
                None => self.changes_refused += 1,
            },
            EvidenceEvent::RevisionInForce(event) => {
                let host = record.writer.host.clone();
                self.bucket(time).revisions.insert(host, event.revision);
            }
            EvidenceEvent::RetentionApplied(_) => {}
        }
    }

    /// Buckets by the time at which they start.
    pub(super) fn buckets(&self) -> impl Iterator<Item = (WallTime, &ReportBucket)> {
        let width = self.width();
        let start = move |index: u64| WallTime(index.saturating_mul(width));
        let buckets = self.buckets.iter();
        buckets.map(move |(index, bucket)| (start(*index), bucket))
    }

    /// Width of a bucket in milliseconds.
    pub(super) fn width(&self) -> u64 {
        FIRST_WIDTH_MILLIS << self.joined
    }

    fn count(&mut self, time: WallTime, outcome: OutcomeKind) {
        *self.outcomes.entry(outcome).or_default() += 1;
        *self.bucket(time).outcomes.entry(outcome).or_default() += 1;
    }

    fn bucket(&mut self, time: WallTime) -> &mut ReportBucket {
        let index = time.0 / self.width();
        self.buckets.entry(index).or_default();
        while self.buckets.len() > MAX_BUCKETS {
            self.join_pairs();
        }
        let index = time.0 / self.width();
        self.buckets.entry(index).or_default()
    }

    fn join_pairs(&mut self) {
        self.joined += 1;
        let mut joined: BTreeMap<u64, ReportBucket> = BTreeMap::new();
        for (index, bucket) in std::mem::take(&mut self.buckets) {
            joined.entry(index / 2).or_default().join(bucket);
        }
        self.buckets = joined;
    }
}

impl ReportBucket {
    /// Joins a later bucket to this one.
    fn join(&mut self, later: Self) {
        for (outcome, count) in later.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        self.first.join(later.first);
        self.total.join(later.total);
        self.revisions.extend(later.revisions);
    }
}
