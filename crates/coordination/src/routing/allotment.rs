//! Limits how much KV memory of an engine one host may add between two reports of that engine.
//!
//! All hosts see the same report, up to 0.7 s old, and predict the same engine to be the fastest.
//! If each of them fills the free memory of the report, together they exceed it as many times as
//! there are hosts. Each host therefore fills only the part that corresponds to its share of the
//! demand.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{EngineKey, EngineRecord, FleetTable};
use super::graph::LayerGraph;
use super::link::DataCentreIndex;
use crate::base::{LayerRange, MonotonicTime, ServerName};

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
/// One number is drawn for all engines, and each lane of engines adds its own constant (see
/// [`assign_lanes`]). With a number drawn for each engine, a chain of ten stages whose engines each
/// allow half a draft would be available once in a thousand draws. With one number, it is available
/// in every second draw.
#[derive(Debug)]
pub(crate) struct AllotmentRounding {
    /// Part of a draft that is added to the allotments of the first lane, in `0.0..1.0`.
    offset: f64,
    /// The same for engines without a recent report. It is never drawn again: the drafts of such an
    /// engine all count, so that each new number would let the host start another one.
    fixed_offset: f64,
    drawn_at: MonotonicTime,
    rng: ChaCha8Rng,
}

impl AllotmentRounding {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(ROUNDING_STREAM);
        Self {
            offset: rng.random_range(0.0..1.0),
            fixed_offset: rng.random_range(0.0..1.0),
            drawn_at: MonotonicTime::START,
            rng,
        }
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
    /// See [`AllotmentRounding`].
    offset: f64,
    fixed_offset: f64,
}

/// Sets the rounding constants of the engines of a graph in the data centres that changed.
///
/// Engines whose layer ranges follow one another form a lane. The constants of the lanes of a data
/// centre are evenly spaced: if each engine allows a third of a draft and there are three lanes, one
/// lane is available at any time. With the same rounding for all engines, all of them would be
/// available at a third of the time and none at the others.
pub(crate) fn assign_lanes(fleet: &mut FleetTable, graph: &LayerGraph) {
    let groups = graph.groups.values();
    let keys = groups.flat_map(|group| group.members.iter().copied());
    let mut engines: Vec<(DataCentreIndex, LayerRange, ServerName, EngineKey)> = keys
        .filter_map(|key| {
            let engine = fleet.get(key)?;
            if !graph.stale.contains(&engine.data_centre) {
                return None;
            }
            let announced = &engine.announcement;
            let server = announced.server.clone();
            Some((engine.data_centre, announced.layers, server, key))
        })
        .collect();
    engines.sort_by(|one, other| {
        let position = |(centre, layers, ..): &(DataCentreIndex, LayerRange, _, _)| {
            (*centre, layers.first, layers.end)
        };
        position(one)
            .cmp(&position(other))
            .then_with(|| one.2.cmp(&other.2))
    });
    for engines in engines.chunk_by(|one, other| one.0 == other.0) {
        let mut lane_ends: Vec<u32> = Vec::new();
        let mut lanes = Vec::with_capacity(engines.len());
        for (_, layers, ..) in engines {
            lanes.push(find_lane(&mut lane_ends, *layers));
        }
        for ((.., key), lane) in engines.iter().zip(lanes) {
            if let Some(engine) = fleet.engines.get_mut(*key) {
                engine.rounding = lane as f64 / lane_ends.len() as f64;
            }
        }
    }
}

/// Adds a range to the lane that ends last before it, or else to a new one, and returns the lane.
fn find_lane(lane_ends: &mut Vec<u32>, layers: LayerRange) -> usize {
    let ends = lane_ends.iter().enumerate();
    let free = ends.filter(|(_, end)| **end <= layers.first);
    let Some((lane, _)) = free.max_by_key(|(_, end)| **end) else {
        lane_ends.push(layers.end);
        return lane_ends.len() - 1;
    };
    lane_ends[lane] = layers.end;
    lane
}

impl Allotment {
    /// Returns the allotment of a host with this demand share; `None` if the share is not a number.
    pub(crate) fn new(share: f64, rounding: &AllotmentRounding) -> Option<Self> {
        share.is_finite().then_some(Self {
            share: share.clamp(0.0, 1.0),
            offset: rounding.offset,
            fixed_offset: rounding.fixed_offset,
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
        engine: &EngineRecord,
        usable: u64,
        draft_tokens: u64,
    ) -> bool {
        let load = &engine.load;
        let reported_at = load.reported_at();
        let is_recent = reported_at.is_some_and(|at| now.since(at) < REPORT_LIFETIME);
        let (free, own, offset) = if is_recent {
            let free = usable as f64 - load.reported_kv() as f64;
            (free, load.own_kv_since_report(), self.offset)
        } else {
            (usable as f64, load.own_kv(), self.fixed_offset)
        };
        let draft = draft_tokens as f64;
        let rounding = (offset + engine.rounding).fract();
        own as f64 + draft <= self.share * free + rounding * draft
    }
}
