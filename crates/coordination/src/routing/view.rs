//! What a policy sees when it picks the engine of one stage.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fleet::{EngineKey, EngineRecord, FleetTable, GraphKey};
use super::graph::{GroupKey, LayerBoundary, LayerGraph, RoutePhase};
use super::link::DataCentreIndex;
use super::outliers::EngineOutliers;
use super::plan::{RejectReason, RoutePriority, RouteQuery};
use super::prefix::PrefixIndex;
use super::settings::RoutingSettings;
use super::unit::ByteRate;
use crate::base::{LayerRange, MonotonicTime};
use crate::retries::slow_start_share;

/// Tables that all stages of one choice look at.
#[derive(Clone, Copy)]
pub(crate) struct ChoiceContext<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) settings: &'a RoutingSettings,
    pub(crate) fleet: &'a FleetTable,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) outliers: &'a EngineOutliers,
    pub(crate) graph_key: GraphKey,
    pub(crate) graph: &'a LayerGraph,
    pub(crate) query: &'a RouteQuery<'a>,
    /// Data centre in which the whole route must lie.
    pub(crate) within: Option<DataCentreIndex>,
    pub(crate) phase: RoutePhase,
    /// Whether doubtful engines may be taken, because there is no pipeline without them: those that are
    /// ejected, and those that declined a short while ago.
    pub(crate) with_ejected: bool,
}

/// Where a walk through the graph has come to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WalkPoint {
    /// Layer at which the next stage begins.
    pub(crate) layer: u32,
    pub(crate) data_centre: DataCentreIndex,
    /// Link of the engine before; none before the first stage.
    pub(crate) link_rate: Option<ByteRate>,
}

/// What a stage adds to the time of a request, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StageTime {
    pub(crate) first_token: f64,
    pub(crate) per_token: f64,
}

impl StageTime {
    #[must_use]
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            first_token: self.first_token + other.first_token,
            per_token: self.per_token + other.per_token,
        }
    }

    #[must_use]
    pub(crate) fn times(self, factor: f64) -> Self {
        Self {
            first_token: self.first_token * factor,
            per_token: self.per_token * factor,
        }
    }

    pub(crate) fn finish(self, expected_tokens: u32) -> f64 {
        self.first_token + self.per_token * f64::from(expected_tokens)
    }
}

impl ChoiceContext<'_> {
    /// Whether an engine may be taken, and if not, why.
    pub(crate) fn check(&self, key: EngineKey, engine: &EngineRecord) -> Result<(), RejectReason> {
        if !self.phase.fits(engine.announcement.role) {
            return Err(RejectReason::Role);
        }
        if self
            .within
            .is_some_and(|within| within != engine.data_centre)
        {
            return Err(RejectReason::NotPermitted);
        }
        if self.query.excluded.contains(&engine.announcement.server) {
            return Err(RejectReason::Excluded);
        }
        if !self.with_ejected && self.is_doubtful(key, engine) {
            return Err(RejectReason::Ejected);
        }
        if !self.query.allowed.permits(engine) {
            return Err(RejectReason::NotPermitted);
        }
        if !self.has_room(engine) {
            return Err(RejectReason::KvFull);
        }
        Ok(())
    }

    /// Time that a stage on `engine` from `point` on adds.
    pub(crate) fn predict(
        &self,
        key: EngineKey,
        engine: &EngineRecord,
        point: &WalkPoint,
    ) -> StageTime {
        self.predict_with(engine, point, self.cached_tokens(key))
    }

    /// Time that a stage adds when `cached` tokens of the prompt need not be worked through.
    pub(crate) fn predict_with(
        &self,
        engine: &EngineRecord,
        point: &WalkPoint,
        cached: u32,
    ) -> StageTime {
        let fresh = f64::from(self.phase_prompt_tokens().saturating_sub(cached));
        let own = engine_time(engine, fresh, point.layer);
        let (latency, per_token) = self.hop(engine, point);
        StageTime {
            first_token: own.first_token + latency + fresh * per_token,
            per_token: self.generates(own.per_token + latency + per_token),
        }
    }

    /// Tokens of the prompt that an engine holds, where this phase works on the prompt.
    pub(crate) fn cached_tokens(&self, key: EngineKey) -> u32 {
        if self.query.prefixes.is_empty() || self.phase_prompt_tokens() == 0 {
            return 0;
        }
        self.prefixes.cached_tokens(key, self.query.prefixes)
    }

    /// Prompt tokens that this phase works through.
    pub(crate) fn phase_prompt_tokens(&self) -> u32 {
        match self.phase {
            RoutePhase::Combined | RoutePhase::Prefill => self.query.prompt_tokens,
            RoutePhase::Decode => 0,
        }
    }

    /// Seconds of latency, and seconds per token on the wire, from the stage before.
    fn hop(&self, engine: &EngineRecord, point: &WalkPoint) -> (f64, f64) {
        let Some(link_rate) = point.link_rate else {
            return (0.0, 0.0);
        };
        let link = self.fleet.links.get(point.data_centre, engine.data_centre);
        let rate = link_rate
            .slower(engine.announcement.link_rate)
            .slower(link.rate);
        let bytes = f64::from(engine.announcement.activation_bytes);
        (link.latency.as_secs_f64(), bytes / rate.per_second())
    }

    fn generates(&self, seconds: f64) -> f64 {
        if self.phase == RoutePhase::Prefill {
            return 0.0;
        }
        seconds
    }

    /// Whether an engine is left out while others can serve.
    ///
    /// Failure: an engine declines a request for want of room while its last report shows some. Symptom:
    /// each request of this host went there and was declined in turn, up to six times each, until a
    /// later report came; they used up the retries of the host. The first one that is declined is
    /// enough to know it. Where no other holds its layers it is asked all the same: room comes within
    /// milliseconds there, and a request that waits for a quarter of a second is late.
    fn is_doubtful(&self, key: EngineKey, engine: &EngineRecord) -> bool {
        self.outliers.is_ejected(self.now, key) || engine.load.is_full(self.now)
    }

    /// Whether an engine is expected to have room.
    fn has_room(&self, engine: &EngineRecord) -> bool {
        let capacity = engine.announcement.kv_capacity.0;
        let mut reserve = self.settings.kv_headroom_percent;
        if self.query.priority == RoutePriority::Normal {
            reserve += self.settings.urgent_reserve_percent;
        }
        let usable = capacity.saturating_mul(u64::from(100_u32.saturating_sub(reserve))) / 100;
        engine.load.estimate().kv.0.saturating_add(self.kv_tokens()) <= usable
    }

    /// KV cache that the request takes on each engine, in tokens.
    pub(crate) fn kv_tokens(&self) -> u64 {
        let expected = match self.phase {
            RoutePhase::Prefill => 0,
            RoutePhase::Combined | RoutePhase::Decode => self.query.expected_tokens,
        };
        u64::from(self.query.prompt_tokens) + u64::from(expected)
    }
}

/// Time that `engine` itself takes from `layer` on, for `fresh` prompt tokens and each token.
///
/// Slow start is left out: it says how much of the load an engine gets, not how fast it is. Counted
/// as speed, it made deadlines look out of reach after a restart of all engines, and requests were
/// refused that would have ended in a tenth of the predicted time.
pub(crate) fn engine_time(engine: &EngineRecord, fresh: f64, layer: u32) -> StageTime {
    let announced = &engine.announcement;
    let load = engine.load.estimate();
    let part = span_share(announced.layers, layer);
    let waiting = load.prefill.as_f64() + fresh * part;
    let prefill = announced.prefill_rate.seconds_for(waiting);
    let batch = f64::from(load.sequences) + 1.0;
    let step = announced
        .decode_rate
        .seconds_for(batch)
        .max(announced.step_floor.as_secs_f64());
    let step = step * part;
    StageTime {
        first_token: prefill + step,
        per_token: step,
    }
}

/// Part of `layers` that a stage from `first` on runs, above 0 and at most 1.
pub(crate) fn span_share(layers: LayerRange, first: u32) -> f64 {
    let run = layers.end.saturating_sub(first.max(layers.first));
    f64::from(run) / f64::from(layers.len().max(1))
}

/// One boundary, as a policy sees it: it samples members and asks whether they may be taken.
pub(crate) struct StageView<'a> {
    pub(crate) context: ChoiceContext<'a>,
    pub(crate) boundary: &'a LayerBoundary,
    pub(crate) point: WalkPoint,
    pub(crate) rng: &'a mut ChaCha8Rng,
}

impl<'a> StageView<'a> {
    /// Engines that may run a stage here.
    pub(crate) fn len(&self) -> u32 {
        self.boundary.len()
    }

    /// Engine number `index` of `0..len`.
    pub(crate) fn member(&self, index: u32) -> Option<EngineKey> {
        let cumulative = &self.boundary.cumulative;
        let position = cumulative.partition_point(|end| *end <= index);
        let group_key = *self.boundary.groups.get(position)?;
        let group = self.context.graph.groups.get(group_key)?;
        let before = position.checked_sub(1).map_or(0, |p| cumulative[p]);
        group.members.get((index - before) as usize).copied()
    }

    /// Any engine, each as likely.
    ///
    /// Of a route within one data centre, any group of it: most of the others are of no use.
    pub(crate) fn sample_uniform(&mut self) -> Option<EngineKey> {
        if self.context.query.within.is_some() {
            let row_key = (self.context.phase, self.point.data_centre);
            if let Some(row) = self.boundary.rows.get(&row_key) {
                let index = self.rng.random_range(0..row.groups.len().max(1));
                return self.sample_member(*row.groups.get(index)?);
            }
        }
        let count = self.len();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        self.member(index)
    }

    /// Any engine, groups as likely as the flow that comes into them from the stage before.
    pub(crate) fn sample_by_flow(&mut self) -> Option<EngineKey> {
        let row_key = (self.context.phase, self.point.data_centre);
        let Some(row) = self.boundary.rows.get(&row_key) else {
            return self.sample_uniform();
        };
        let total = Some(row.total()).filter(|total| *total > 0.0)?;
        let mark = self.rng.random_range(0.0..total);
        let position = row.ends.partition_point(|end| *end <= mark);
        self.sample_member(*row.groups.get(position)?)
    }

    /// Any engine of a group, unless the group is gone.
    fn sample_member(&mut self, group: GroupKey) -> Option<EngineKey> {
        let group = self.context.graph.groups.get(group)?;
        if group.members.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..group.members.len());
        group.members.get(index).copied()
    }

    /// Whether an engine may be taken now. An engine in its slow start declines by chance.
    pub(crate) fn accepts(&mut self, key: EngineKey) -> bool {
        let Some(engine) = self.context.fleet.get(key) else {
            return false;
        };
        if self.context.check(key, engine).is_err() {
            return false;
        }
        let settings = &self.context.settings.slow_start;
        let share = slow_start_share(self.context.now, engine.joined, settings);
        share >= 1.0 || self.rng.random_range(0.0..1.0) < share
    }

    /// Whether an engine could run a stage from here on at all.
    pub(crate) fn holds_layer(&self, key: EngineKey) -> bool {
        let point = self.point.layer;
        let holds = |engine: &EngineRecord| {
            let layers = engine.announcement.layers;
            layers.first <= point && point < layers.end
        };
        let graph = &self.context.graph;
        self.context.fleet.get(key).is_some_and(|engine| {
            let end = engine.announcement.layers.end;
            let leads_on = end == graph.id.layers || graph.boundaries.contains_key(&end);
            holds(engine) && leads_on && engine.announcement.version == graph.id.version
        })
    }

    /// Own requests on an engine that have not ended.
    pub(crate) fn outstanding(&self, key: EngineKey) -> u64 {
        let engine = self.context.fleet.get(key);
        engine.map_or(u64::MAX, |engine| engine.load.own_sequences())
    }

    /// Predicted seconds from here to the last token over the engine, with the mean time of the
    /// layers after it. Without those, engines that hold few layers would always look quick.
    pub(crate) fn predicted_finish(&self, key: EngineKey) -> f64 {
        let Some(engine) = self.context.fleet.get(key) else {
            return f64::INFINITY;
        };
        let time = self.context.predict(key, engine, &self.point);
        let end = engine.announcement.layers.end;
        let ahead = self.context.graph.remaining_time(self.context.phase, end);
        time.plus(ahead).finish(self.context.query.expected_tokens)
    }
}
