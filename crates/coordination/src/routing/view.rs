//! Data that a policy reads to select the engine of one stage.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::allotment::Allotment;
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

/// Tables shared by all stages of one route selection.
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
    /// Memory that this host may add to each engine; `None` if the query states no share.
    pub(crate) allotment: Option<Allotment>,
    /// Data centre that must contain the entire route.
    pub(crate) within: Option<DataCentreIndex>,
    pub(crate) phase: RoutePhase,
    /// Whether ejected engines, and engines that recently declined a request as full, are eligible.
    /// Set only if no complete pipeline exists without them.
    pub(crate) with_ejected: bool,
}

/// Position of a walk through the graph.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WalkPoint {
    /// Layer at which the next stage begins.
    pub(crate) layer: u32,
    pub(crate) data_centre: DataCentreIndex,
    /// Link rate of the engine of the previous stage; `None` before the first stage.
    pub(crate) link_rate: Option<ByteRate>,
}

/// Time that a stage adds to a request, in seconds.
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
    /// Checks whether an engine is eligible.
    ///
    /// # Errors
    /// Returns the first reason for which the engine is not eligible.
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
        if !self.with_ejected && self.is_ejected_or_full(key, engine) {
            return Err(RejectReason::Ejected);
        }
        if !self.query.allowed.permits(engine) {
            return Err(RejectReason::NotPermitted);
        }
        let usable = self.usable_kv(engine);
        if !self.has_kv_capacity(engine, usable) {
            return Err(RejectReason::KvFull);
        }
        if !self.fits_allotment(engine, usable) {
            return Err(RejectReason::ShareUsed);
        }
        Ok(())
    }

    /// Predicts the time that a stage on `engine` adds if the stage starts at `point`.
    pub(crate) fn predict(
        &self,
        key: EngineKey,
        engine: &EngineRecord,
        point: &WalkPoint,
    ) -> StageTime {
        self.predict_with(engine, point, self.cached_tokens(key))
    }

    /// Predicts the time that a stage adds if the engine has `cached` prompt tokens and skips their
    /// prefill.
    pub(crate) fn predict_with(
        &self,
        engine: &EngineRecord,
        point: &WalkPoint,
        cached: u32,
    ) -> StageTime {
        let prefill_tokens = f64::from(self.phase_prompt_tokens().saturating_sub(cached));
        let own = engine_time(engine, prefill_tokens, point.layer);
        let (latency, per_token) = self.hop(engine, point);
        StageTime {
            first_token: own.first_token + latency + prefill_tokens * per_token,
            per_token: self.decode_seconds(own.per_token + latency + per_token),
        }
    }

    /// Prompt tokens in the engine's prefix cache; 0 in a phase without prefill.
    pub(crate) fn cached_tokens(&self, key: EngineKey) -> u32 {
        if self.query.prefixes.is_empty() || self.phase_prompt_tokens() == 0 {
            return 0;
        }
        self.prefixes.cached_tokens(key, self.query.prefixes)
    }

    /// Prompt tokens that this phase processes.
    pub(crate) fn phase_prompt_tokens(&self) -> u32 {
        match self.phase {
            RoutePhase::Combined | RoutePhase::Prefill => self.query.prompt_tokens,
            RoutePhase::Decode => 0,
        }
    }

    /// Latency in seconds, and transfer time per token in seconds, of the hop from the previous
    /// stage.
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

    fn decode_seconds(&self, seconds: f64) -> f64 {
        if self.phase == RoutePhase::Prefill {
            return 0.0;
        }
        seconds
    }

    /// Whether an engine is excluded while other engines can serve.
    ///
    /// An engine can decline a request as full while its last report still shows free capacity.
    /// Without this check every request of this host would go to that engine, which would decline
    /// each one up to six times until its next report, and the host would use up its retries. A
    /// single declined request is therefore enough to mark the engine as full. If no other engine
    /// holds its layers, the engine is still used: capacity is freed there within milliseconds,
    /// whereas a request that waits for a quarter of a second is late.
    fn is_ejected_or_full(&self, key: EngineKey, engine: &EngineRecord) -> bool {
        self.outliers.is_ejected(self.now, key) || engine.load.is_full(self.now)
    }

    /// KV memory of the engine that this request may use, in tokens: all of it without the reserves.
    fn usable_kv(&self, engine: &EngineRecord) -> u64 {
        let capacity = engine.announcement.kv_capacity.0;
        let mut reserve = self.settings.kv_headroom_percent;
        if self.query.priority == RoutePriority::Normal {
            reserve += self.settings.urgent_reserve_percent;
        }
        capacity.saturating_mul(u64::from(100_u32.saturating_sub(reserve))) / 100
    }

    /// Whether the engine's estimated free part of its `usable` KV memory is sufficient for the
    /// request.
    fn has_kv_capacity(&self, engine: &EngineRecord, usable: u64) -> bool {
        engine.load.estimate().kv.0.saturating_add(self.kv_tokens()) <= usable
    }

    /// Whether the request fits this host's share of the engine's free memory.
    fn fits_allotment(&self, engine: &EngineRecord, usable: u64) -> bool {
        let tokens = self.kv_tokens();
        self.allotment
            .is_none_or(|allotment| allotment.fits(self.now, engine, usable, tokens))
    }

    /// KV cache that the request occupies on each engine, in tokens.
    pub(crate) fn kv_tokens(&self) -> u64 {
        let expected = match self.phase {
            RoutePhase::Prefill => 0,
            RoutePhase::Combined | RoutePhase::Decode => self.query.expected_tokens,
        };
        u64::from(self.query.prompt_tokens) + u64::from(expected)
    }
}

/// Time that `engine` itself needs from `layer` on to prefill `prefill_tokens` prompt tokens, and
/// per generated token.
///
/// Slow start is not included: it limits the share of the load that an engine receives, not the
/// speed of the engine. When the prediction included it as a lower speed, deadlines seemed
/// unreachable after a restart of all engines, and requests were refused that would have finished
/// in a tenth of the predicted time.
///
/// The correction also applies to the time per token, although it was observed on first tokens. A
/// comparison of engines weighs that time by the expected number of tokens: with a chain ten times
/// as slow as announced, the mean time to the first token fell from 171 to 159 ms with a correction
/// of the first token alone, and to 104 ms with both.
pub(crate) fn engine_time(engine: &EngineRecord, prefill_tokens: f64, layer: u32) -> StageTime {
    let announced = &engine.announcement;
    let load = engine.load.estimate();
    let layer_share = span_share(announced.layers, layer);
    let waiting = load.prefill.as_f64() + prefill_tokens * layer_share;
    let prefill = announced.prefill_rate.seconds_for(waiting);
    let batch = f64::from(load.sequences) + 1.0;
    let step = announced
        .decode_rate
        .seconds_for(batch)
        .max(announced.step_floor.as_secs_f64());
    let step = step * layer_share;
    let time = StageTime {
        first_token: prefill + step,
        per_token: step,
    };
    time.times(engine.correction.factor())
}

/// Fraction of `layers` that a stage starting at `first` runs, above 0 and at most 1.
pub(crate) fn span_share(layers: LayerRange, first: u32) -> f64 {
    let run = layers.end.saturating_sub(first.max(layers.first));
    f64::from(run) / f64::from(layers.len().max(1))
}

/// One layer boundary of the graph. A policy samples its members and checks whether they are
/// eligible.
pub(crate) struct StageView<'a> {
    pub(crate) context: ChoiceContext<'a>,
    pub(crate) boundary: &'a LayerBoundary,
    pub(crate) point: WalkPoint,
    pub(crate) rng: &'a mut ChaCha8Rng,
}

impl<'a> StageView<'a> {
    /// Number of engines that can run a stage that starts at this boundary.
    pub(crate) fn len(&self) -> u32 {
        self.boundary.len()
    }

    /// Returns the engine at `index` in `0..len`.
    pub(crate) fn member(&self, index: u32) -> Option<EngineKey> {
        let cumulative = &self.boundary.cumulative_members;
        let position = cumulative.partition_point(|end| *end <= index);
        let group_key = *self.boundary.groups.get(position)?;
        let group = self.context.graph.groups.get(group_key)?;
        let before = position.checked_sub(1).map_or(0, |p| cumulative[p]);
        group.members.get((index - before) as usize).copied()
    }

    /// Samples an engine with uniform probability.
    ///
    /// For a route within one data centre, it samples a group of that data centre instead, since
    /// most other engines are not eligible.
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

    /// Samples an engine, with groups weighted by the flow from the previous stage into them.
    pub(crate) fn sample_by_flow(&mut self) -> Option<EngineKey> {
        let row_key = (self.context.phase, self.point.data_centre);
        let Some(row) = self.boundary.rows.get(&row_key) else {
            return self.sample_uniform();
        };
        let total = Some(row.total()).filter(|total| *total > 0.0)?;
        let threshold = self.rng.random_range(0.0..total);
        let position = row.cumulative_flow.partition_point(|end| *end <= threshold);
        self.sample_member(*row.groups.get(position)?)
    }

    /// Samples an engine of a group; `None` if the group no longer exists or is empty.
    fn sample_member(&mut self, group: GroupKey) -> Option<EngineKey> {
        let group = self.context.graph.groups.get(group)?;
        if group.members.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..group.members.len());
        group.members.get(index).copied()
    }

    /// Whether an engine is eligible now. During its slow start an engine is rejected at random, in
    /// proportion to the share of load that it must not receive yet.
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

    /// Whether an engine can run a stage that starts here and ends at a boundary of the graph.
    pub(crate) fn holds_layer(&self, key: EngineKey) -> bool {
        let point = self.point.layer;
        let holds_layer_here = |engine: &EngineRecord| {
            let layers = engine.announcement.layers;
            layers.first <= point && point < layers.end
        };
        let graph = &self.context.graph;
        self.context.fleet.get(key).is_some_and(|engine| {
            let end = engine.announcement.layers.end;
            let is_connected = end == graph.id.layers || graph.boundaries.contains_key(&end);
            holds_layer_here(engine)
                && is_connected
                && engine.announcement.version == graph.id.version
        })
    }

    /// Requests of this process on an engine that have not ended.
    pub(crate) fn outstanding(&self, key: EngineKey) -> u64 {
        let engine = self.context.fleet.get(key);
        engine.map_or(u64::MAX, |engine| engine.load.own_sequences())
    }

    /// Predicted seconds from here to the last token via this engine, plus the mean time of the
    /// layers after it. Without those layers, engines that hold few layers would always seem fast.
    pub(crate) fn predicted_finish(&self, key: EngineKey) -> f64 {
        let Some(engine) = self.context.fleet.get(key) else {
            return f64::INFINITY;
        };
        let time = self.context.predict(key, engine, &self.point);
        let end = engine.announcement.layers.end;
        let remaining = self.context.graph.remaining_time(self.context.phase, end);
        time.plus(remaining)
            .finish(self.context.query.expected_tokens)
    }
}
