//! Limits how much KV memory of an engine one host may add between two reports of that engine.
//!
//! All hosts see the same report, up to 0.7 s old, and predict the same engine to be the fastest.
//! If each of them fills the free memory of the report, together they exceed it as many times as
//! there are hosts. Each host therefore fills only the part that corresponds to its share of the
//! demand.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::load::LoadTracker;
use crate::base::MonotonicTime;

/// Interval at which the rounding is drawn again. A draft that the rounding excludes from all
/// engines waits at most this long for another draw.
const ROUNDING_INTERVAL: Duration = Duration::from_millis(200);

/// Age from which a report no longer limits a host, because surveys of this age are dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Random number stream of the rounding, apart from that of the choices: a planner without shares
/// chooses the same routes whether or not the rounding is drawn.
const ROUNDING_STREAM: u64 = 1;

/// Rounding of all allotments of one host to whole drafts.
///
/// All engines have the same rounding. With a rounding for each engine, a chain of ten stages whose
/// engines each allow half a draft would be available once in a thousand draws. With one for all of
/// them, it is available in every second draw.
#[derive(Debug)]
pub(crate) struct AllotmentRounding {
    /// Part of a draft that is added to each allotment, in `0.0..1.0`.
    offset: f64,
    drawn_at: MonotonicTime,
    rng: ChaCha8Rng,
}

impl AllotmentRounding {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(ROUNDING_STREAM);
        Self {
            offset: rng.random_range(0.0..1.0),
            drawn_at: MonotonicTime::START,
            rng,
        }
    }

    /// Part of a draft that is added to each allotment now, in `0.0..1.0`.
    pub(crate) fn offset(&self) -> f64 {
        self.offset
    }

    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        if now.since(self.drawn_at) < ROUNDING_INTERVAL {
            return;
        }
        self.offset = self.rng.random_range(0.0..1.0);
        self.drawn_at = now;
    }
}

/// Share of an engine's free memory that one host may fill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allotment {
    /// Share of this host in the demand of all hosts, in `0.0..=1.0`.
    share: f64,
    /// See [`AllotmentRounding::offset`].
    rounding: f64,
}

impl Allotment {
    /// Returns the allotment of a host with this demand share; `None` if the share is not a number.
    pub(crate) fn new(share: f64, rounding: f64) -> Option<Self> {
        share.is_finite().then_some(Self {
            share: share.clamp(0.0, 1.0),
            rounding,
        })
    }

    /// Whether a draft fits the allotment of this host on an engine with `usable` tokens of memory.
    ///
    /// The drafts that this host started since the report count, and those that ended since are
    /// subtracted. Without a recent report, all of the memory is allotted, and all drafts of this
    /// host count.
    pub(crate) fn fits(
        self,
        now: MonotonicTime,
        load: &LoadTracker,
        usable: u64,
        draft_tokens: u64,
    ) -> bool {
        let reported_at = load.reported_at();
        let is_recent = reported_at.is_some_and(|at| now.since(at) < REPORT_LIFETIME);
        let (free, own) = if is_recent {
            let free = usable as f64 - load.reported_kv() as f64;
            (free, load.own_kv_since_report())
        } else {
            (usable as f64, load.own_kv())
        };
        let draft = draft_tokens as f64;
        own as f64 + draft <= self.share * free + self.rounding * draft
    }
}
