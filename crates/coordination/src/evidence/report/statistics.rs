//! Statistics of a report, in time buckets whose width grows with the period of the export.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hdrhistogram::Histogram;

use crate::base::{HostName, RequestId, Revision, WallTime};
use crate::evidence::record::{EvidenceEvent, EvidenceRecord, OutcomeKind};

/// Limit of buckets. In excess of it, pairs of buckets are merged, which bounds the memory of a
/// report.
const MAX_BUCKETS: usize = 240;
/// Initial width of a bucket in milliseconds.
const FIRST_WIDTH_MILLIS: u64 = 1_000;
/// Significant digits of recorded latencies.
const DIGITS: u8 = 2;
/// Maximum recorded latency in microseconds: one day. Longer ones count as this value.
const MAX_MICROS: u64 = 86_400_000_000;

/// Statistics of one period of time.
#[derive(Debug, Default)]
pub(super) struct ReportBucket {
    /// Number of ended and refused requests by outcome.
    pub(super) outcomes: BTreeMap<OutcomeKind, u64>,
    /// Time to the first byte, in microseconds.
    pub(super) first: Latencies,
    /// Time to the end, in microseconds.
    pub(super) total: Latencies,
    /// Last revision that each host put in force.
    pub(super) revisions: BTreeMap<HostName, Revision>,
}

/// Distribution of latencies, allocated with the first value.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    values: Option<Histogram<u32>>,
}

/// Statistics of a complete export.
#[derive(Debug, Default)]
pub(super) struct ReportStatistics {
    /// Time of the oldest record.
    pub(super) first: Option<WallTime>,
    /// Time of the newest record.
    pub(super) last: Option<WallTime>,
    /// Number of ended and refused requests by outcome.
    pub(super) outcomes: BTreeMap<OutcomeKind, u64>,
    /// Number of refusals by kind.
    pub(super) refusals: BTreeMap<Arc<str>, u64>,
    /// Requests that began and did not end.
    pub(super) open: BTreeSet<RequestId>,
    /// Number of accepted changes.
    pub(super) changes_accepted: u64,
    /// Number of refused changes.
    pub(super) changes_refused: u64,
    /// Number of refusals without records of their own.
    pub(super) omitted: u64,
    buckets: BTreeMap<u64, ReportBucket>,
    /// Number of times that pairs of buckets were merged; at most 53: then every `u64` time
    /// falls into at most three buckets.
    merges: u32,
}

impl Latencies {
    /// Returns the quantile `part` (0 to 1) in seconds; `None` without values.
    pub(super) fn quantile(&self, part: f64) -> Option<f64> {
        let micros = self.values.as_ref()?.value_at_quantile(part);
        Some(std::time::Duration::from_micros(micros).as_secs_f64())
    }

    fn add(&mut self, micros: u64) {
        if self.values.is_none() {
            self.values = Histogram::new(DIGITS).ok();
        }
        if let Some(values) = &mut self.values {
            // The limit keeps the histogram small if an export contains a wrong value.
            let _ = values.record(micros.min(MAX_MICROS));
        }
    }

    fn merge(&mut self, other: Self) {
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
    /// Adds a record to the statistics.
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

    /// Buckets with their start times.
    pub(super) fn buckets(&self) -> impl Iterator<Item = (WallTime, &ReportBucket)> {
        let width = self.width();
        let start = move |index: u64| WallTime(index.saturating_mul(width));
        let buckets = self.buckets.iter();
        buckets.map(move |(index, bucket)| (start(*index), bucket))
    }

    /// Width of a bucket in milliseconds.
    pub(super) fn width(&self) -> u64 {
        FIRST_WIDTH_MILLIS << self.merges
    }

    fn count(&mut self, time: WallTime, outcome: OutcomeKind) {
        *self.outcomes.entry(outcome).or_default() += 1;
        *self.bucket(time).outcomes.entry(outcome).or_default() += 1;
    }

    fn bucket(&mut self, time: WallTime) -> &mut ReportBucket {
        let index = time.0 / self.width();
        self.buckets.entry(index).or_default();
        while self.buckets.len() > MAX_BUCKETS {
            self.merge_pairs();
        }
        let index = time.0 / self.width();
        self.buckets.entry(index).or_default()
    }

    fn merge_pairs(&mut self) {
        self.merges += 1;
        let mut merged: BTreeMap<u64, ReportBucket> = BTreeMap::new();
        for (index, bucket) in std::mem::take(&mut self.buckets) {
            merged.entry(index / 2).or_default().merge(bucket);
        }
        self.buckets = merged;
    }
}

impl ReportBucket {
    /// Merges a later bucket into this one.
    fn merge(&mut self, later: Self) {
        for (outcome, count) in later.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        self.first.merge(later.first);
        self.total.merge(later.total);
        self.revisions.extend(later.revisions);
    }
}
