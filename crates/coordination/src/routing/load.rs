//! Load of one engine: its lagging report plus what this entry has sent and seen end since.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::unit::TokenCount;
use crate::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};

/// Time for which an engine that declined for want of room is taken to be full, unless it tells
/// otherwise before. A tenth of the time that a request of 200 tokens runs: about as much has ended by
/// then as one host in ten may send.
const FULL_TIME: Duration = Duration::from_millis(250);

/// Most own events that are kept apart between two reports; older ones are merged.
const MAX_EVENTS: usize = 512;

/// Load of an engine at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFigures {
    /// Prompt tokens that wait or are being worked on.
    pub prefill: TokenCount,
    /// Sequences that are generating or waiting to.
    pub sequences: u32,
    /// KV cache in use, in tokens.
    pub kv: TokenCount,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Engine that it speaks of.
    pub server: ServerName,
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Number within that life; a lower one is ignored.
    pub sequence: SequenceNumber,
    /// When the engine took the figures, on this process's clock: arrival less the stated age.
    pub taken: MonotonicTime,
    /// The figures.
    pub figures: LoadFigures,
}

/// Change to an engine's load by one own request.
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

/// Reported and own load of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTracker {
    reported: LoadFigures,
    report_number: (Incarnation, SequenceNumber),
    /// Own events after the report was taken, oldest first.
    events: VecDeque<(MonotonicTime, LoadDelta)>,
    /// Sum of `events`.
    since: LoadDelta,
    /// Sum of all own requests that have not ended; each field is at least 0.
    own: LoadDelta,
    /// When it last declined a request for want of room.
    declined_at: Option<MonotonicTime>,
}

impl LoadTracker {
    /// Takes a report; own events up to the time it was taken are contained in it.
    pub(crate) fn report(&mut self, report: &LoadReport) -> bool {
        let number = (report.incarnation, report.sequence);
        if number <= self.report_number {
            return false;
        }
        self.report_number = number;
        self.declined_at = self.declined_at.filter(|at| *at >= report.taken);
        self.reported = report.figures;
        while let Some((at, delta)) = self.events.front().copied() {
            if at > report.taken {
                break;
            }
            self.since.add(delta.negated());
            self.events.pop_front();
        }
        true
    }

    /// The engine's process restarted. Own requests stay counted until each of them ends, or their
    /// ends would be subtracted from requests that were sent to the new process.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            own: self.own,
            ..Self::default()
        };
    }

    /// The engine declined a request for want of room.
    pub(crate) fn decline(&mut self, now: MonotonicTime) {
        self.declined_at = Some(now);
    }

    /// Whether it declined a short while ago, and no later report has come.
    pub(crate) fn is_full(&self, now: MonotonicTime) -> bool {
        self.declined_at.is_some_and(|at| now.since(at) < FULL_TIME)
    }

    /// Counts a change by an own request.
    pub(crate) fn apply(&mut self, now: MonotonicTime, delta: LoadDelta) {
        self.own.add(delta);
        self.since.add(delta);
        self.events.push_back((now, delta));
        if self.events.len() > MAX_EVENTS {
            self.merge_oldest();
        }
    }

    /// Load expected now. Own requests are a lower bound, since they are known to be there.
    pub(crate) fn estimate(&self) -> LoadFigures {
        let prefill = add(self.reported.prefill.0, self.since.prefill).max(count(self.own.prefill));
        let sequences = add(u64::from(self.reported.sequences), self.since.sequences)
            .max(count(self.own.sequences));
        let kv = add(self.reported.kv.0, self.since.kv).max(count(self.own.kv));
        LoadFigures {
            prefill: TokenCount(prefill),
            sequences: u32::try_from(sequences).unwrap_or(u32::MAX),
            kv: TokenCount(kv),
        }
    }

    /// Own requests that have not ended.
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
