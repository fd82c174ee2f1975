//! Estimated load of one engine: its last report, which lags, plus its own requests (those sent by
//! this process) that have started and ended since.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::unit::TokenCount;
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// Time for which an engine counts as full after it declined a request for lack of capacity,
/// unless a newer report arrives. It is a tenth of the running time of a request of 200 tokens, so
/// about a tenth of the running requests end in this time, which frees capacity for a request from
/// one host in ten.
const FULL_DURATION: Duration = Duration::from_millis(250);

/// Maximum number of own events kept individually between two reports; older events are merged.
const MAX_EVENTS: usize = 512;

/// Load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadValues {
    /// Prompt tokens that are queued or in prefill.
    pub prefill: TokenCount,
    /// Sequences that are being generated or are queued.
    pub sequences: u32,
    /// KV cache in use, in tokens.
    pub kv: TokenCount,
}

/// A load report of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Engine that the report describes.
    pub server: ServerName,
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; the tracker ignores numbers that are not higher
    /// than the last one.
    pub sequence: SequenceNumber,
    /// When the engine measured its load, on this process's clock: time of arrival minus the stated
    /// age.
    #[serde(rename = "taken")]
    pub measured_at: MonotonicTime,
    /// Measured load.
    pub figures: LoadValues,
}

/// Change of an engine's load by one own request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadDelta {
    pub(crate) prefill: i64,
    pub(crate) sequences: i64,
    pub(crate) kv: i64,
}

impl LoadDelta {
    pub(crate) fn negated(self) -> Self {
        Self {
            prefill: -self.prefill,
            sequences: -self.sequences,
            kv: -self.kv,
        }
    }

    fn add(&mut self, other: Self) {
        self.prefill += other.prefill;
        self.sequences += other.sequences;
        self.kv += other.kv;
    }
}

/// Reported load of one engine, and the load of the own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTracker {
    reported: LoadValues,
    report_number: (Incarnation, SequenceNumber),
    /// When the engine measured the reported load.
    reported_at: Option<MonotonicTime>,
    /// Own events since the report was measured, oldest first.
    events: VecDeque<(MonotonicTime, LoadDelta)>,
    /// Sum of `events`.
    own_since_report: LoadDelta,
    /// Sum of all own requests that have not ended; each field is at least 0.
    own: LoadDelta,
    /// When the engine last declined a request for lack of capacity.
    declined_at: Option<MonotonicTime>,
}

impl LoadTracker {
    /// Applies a report and drops own events up to its measurement time, since the report includes
    /// them. Returns false if the report is not newer than the last one.
    pub(crate) fn report(&mut self, report: &LoadReport) -> bool {
        let number = (report.incarnation, report.sequence);
        if number <= self.report_number {
            return false;
        }
        self.report_number = number;
        self.reported_at = Some(report.measured_at);
        self.declined_at = self.declined_at.filter(|at| *at >= report.measured_at);
        self.reported = report.figures;
        while let Some((at, delta)) = self.events.front().copied() {
            if at > report.measured_at {
                break;
            }
            self.own_since_report.add(delta.negated());
            self.events.pop_front();
        }
        true
    }

    /// Resets the tracker after a restart of the engine's process. Own requests stay counted until
    /// each of them ends; otherwise their ends would be subtracted from requests sent to the new
    /// process.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            own: self.own,
            ..Self::default()
        };
    }

    /// When the engine measured its last reported load; `None` before the first report.
    pub(crate) fn reported_at(&self) -> Option<MonotonicTime> {
        self.reported_at
    }

    /// KV cache in use according to the last report, in tokens.
    pub(crate) fn reported_kv(&self) -> u64 {
        self.reported.kv.0
    }

    /// Records that the engine declined a request for lack of capacity.
    pub(crate) fn decline(&mut self, now: MonotonicTime) {
        self.declined_at = Some(now);
    }

    /// Whether the engine declined a request within `FULL_DURATION` and no newer report has
    /// arrived.
    pub(crate) fn is_full(&self, now: MonotonicTime) -> bool {
        self.declined_at
            .is_some_and(|at| now.since(at) < FULL_DURATION)
    }

    /// Applies a load change caused by an own request.
    pub(crate) fn apply(&mut self, now: MonotonicTime, delta: LoadDelta) {
        self.own.add(delta);
        self.own_since_report.add(delta);
        self.events.push_back((now, delta));
        if self.events.len() > MAX_EVENTS {
            self.merge_oldest();
        }
    }

    /// Estimates the current load. The load of own requests is the lower bound, since these are
    /// known to be on the engine.
    pub(crate) fn estimate(&self) -> LoadValues {
        let prefill = add(self.reported.prefill.0, self.own_since_report.prefill)
            .max(count(self.own.prefill));
        let sequences = add(
            u64::from(self.reported.sequences),
            self.own_since_report.sequences,
        )
        .max(count(self.own.sequences));
        let kv = add(self.reported.kv.0, self.own_since_report.kv).max(count(self.own.kv));
        LoadValues {
            prefill: TokenCount(prefill),
            sequences: u32::try_from(sequences).unwrap_or(u32::MAX),
            kv: TokenCount(kv),
        }
    }

    /// KV memory that own requests took since the last report, minus what ended ones freed, in
    /// tokens.
    pub(crate) fn own_kv_since_report(&self) -> i64 {
        self.own_since_report.kv
    }

    /// KV memory of own requests that have not ended, in tokens.
    pub(crate) fn own_kv(&self) -> i64 {
        self.own.kv
    }

    /// Number of own requests that have not ended.
    pub(crate) fn own_sequences(&self) -> u64 {
        count(self.own.sequences)
    }

    fn merge_oldest(&mut self) {
        let Some((_, oldest)) = self.events.pop_front() else {
            return;
        };
        if let Some((_, next)) = self.events.front_mut() {
            next.add(oldest);
        }
    }
}

fn add(base: u64, delta: i64) -> u64 {
    base.saturating_add_signed(delta)
}

fn count(value: i64) -> u64 {
    u64::try_from(value).unwrap_or(0)
}
