//! Chooses one route: selects a version, walks its layer graph, and falls back to a full search.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::allotment::{Allotment, AllotmentRounding};
use super::fleet::{EngineKey, FleetTable, GraphKey};
use super::graph::{LayerGraph, RoutePhase};
use super::link::DataCentreIndex;
use super::outliers::EngineOutliers;
use super::plan::{NoRoute, NoRouteReason, RoutePlan, RouteQuery, RouteStage};
use super::policy::{ExtendedSampling, MAX_SAMPLES, RoutePolicy};
use super::prefix::PrefixIndex;
use super::repair::repair_route;
use super::search::{SearchOutcome, search, start_point};
use super::settings::RoutingSettings;
use super::unit::duration_of;
use super::view::{ChoiceContext, StageTime, StageView, WalkPoint};
use crate::base::{LayerRange, MonotonicTime};

/// Tables from which a route is chosen.
#[derive(Clone, Copy)]
pub(crate) struct ChoiceTables<'a> {
    pub(crate) settings: &'a RoutingSettings,
    pub(crate) fleet: &'a FleetTable,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) outliers: &'a EngineOutliers,
    pub(crate) rounding: &'a AllotmentRounding,
}

impl<'a> ChoiceTables<'a> {
    /// Builds the context that all stages of one route through a graph share.
    fn context(
        self,
        now: MonotonicTime,
        (graph_key, graph): VersionGraph<'a>,
        query: &'a RouteQuery<'a>,
        within: Option<DataCentreIndex>,
    ) -> ChoiceContext<'a> {
        ChoiceContext {
            now,
            settings: self.settings,
            fleet: self.fleet,
            prefixes: self.prefixes,
            outliers: self.outliers,
            graph_key,
            graph,
            query,
            allotment: query
                .share
                .and_then(|share| Allotment::new(share, self.rounding)),
            within,
            phase: RoutePhase::Combined,
            with_ejected: false,
        }
    }
}

/// Layer graph of one version, with its key.
type VersionGraph<'a> = (GraphKey, &'a LayerGraph);

/// Stages of a pipeline, their predicted time, and the prompt tokens that all of them cache.
struct Walk {
    stages: Vec<RouteStage>,
    time: StageTime,
    cached_tokens: u32,
}

/// Chooses a route in the requested version.
///
/// Without a requested version, draws one with a probability proportional to its flow, and tries
/// the others if it has no route. During a roll-out, the first engines of a new version therefore
/// do not receive every request.
pub(crate) fn choose_route(
    now: MonotonicTime,
    tables: ChoiceTables<'_>,
    policy: &mut dyn RoutePolicy,
    rng: &mut ChaCha8Rng,
    query: &RouteQuery<'_>,
) -> Result<RoutePlan, NoRoute> {
    let mut reasons = Vec::new();
    let within = query.within.map(|name| tables.fleet.links.find(name));
    if within == Some(None) {
        let reasons = vec![NoRouteReason::NotServed];
        return Err(NoRoute { reasons });
    }
    let within = within.flatten();
    let mut graphs: Vec<VersionGraph<'_>> = tables
        .fleet
        .graphs_of(query.model, query.adapter)
        .filter(|(_, graph)| query.version.is_none_or(|v| graph.id.version == *v))
        .collect();
    draw_version(&mut graphs, rng);
    for (graph_key, graph) in graphs {
        let context = tables.context(now, (graph_key, graph), query, within);
        match plan_in_graph(context, policy, rng) {
            Ok(plan) => return check_deadline(now, query, plan),
            Err(graph_reasons) => reasons.extend(graph_reasons),
        }
    }
    if reasons.is_empty() {
        reasons.push(NoRouteReason::NotServed);
    }
    Err(NoRoute { reasons })
}

/// Replaces the excluded engines of `plan`, the route of a running request.
pub(crate) fn repair_in_tables(
    now: MonotonicTime,
    tables: ChoiceTables<'_>,
    plan: &RoutePlan,
    query: &RouteQuery<'_>,
) -> Result<RoutePlan, NoRoute> {
    let within = query.within.map(|name| tables.fleet.links.find(name));
    let graph = tables
        .fleet
        .graphs_of(query.model, query.adapter)
        .find(|(_, graph)| graph.id.version == plan.version);
    let (Some((graph_key, graph)), false) = (graph, within == Some(None)) else {
        let reasons = vec![NoRouteReason::NotServed];
        return Err(NoRoute { reasons });
    };
    let context = tables.context(now, (graph_key, graph), query, within.flatten());
    repair_route(&context, plan)
}

/// Moves one version to the front, drawn with a probability proportional to its flow.
fn draw_version(graphs: &mut [VersionGraph<'_>], rng: &mut ChaCha8Rng) {
    let total: u64 = graphs.iter().map(|(_, graph)| graph.flow).sum();
    if graphs.len() < 2 || total == 0 {
        return;
    }
    let mut offset = rng.random_range(0..total);
    let drawn = graphs.iter().position(|(_, graph)| {
        let is_drawn = offset < graph.flow;
        offset = offset.saturating_sub(graph.flow);
        is_drawn
    });
    graphs.swap(0, drawn.unwrap_or(0));
}

fn check_deadline(
    now: MonotonicTime,
    query: &RouteQuery<'_>,
    plan: RoutePlan,
) -> Result<RoutePlan, NoRoute> {
    let predicted = plan.finish;
    if query
        .deadline
        .is_some_and(|deadline| now.after(predicted) > deadline)
    {
        let reasons = vec![NoRouteReason::DeadlineMissed { predicted }];
        return Err(NoRoute { reasons });
    }
    Ok(plan)
}

fn plan_in_graph(
    context: ChoiceContext<'_>,
    policy: &mut dyn RoutePolicy,
    rng: &mut ChaCha8Rng,
) -> Result<RoutePlan, Vec<NoRouteReason>> {
    if !context.graph.has_pipeline() {
        return Err(vec![find_missing_layer(context.graph)]);
    }
    let combined = walk(context, policy, rng);
    if !context.graph.has_split_roles {
        return combined.map(|walk| make_plan(&context, walk, None));
    }
    let split = walk_split(context, policy, rng);
    match (combined, split) {
        (Ok(combined), Ok((prefill, decode))) => {
            let combined = make_plan(&context, combined, None);
            let split = make_plan(&context, decode, Some(prefill));
            Ok(if split.finish < combined.finish {
                split
            } else {
                combined
            })
        }
        (Ok(combined), Err(_)) => Ok(make_plan(&context, combined, None)),
        (Err(_), Ok((prefill, decode))) => Ok(make_plan(&context, decode, Some(prefill))),
        (Err(mut reasons), Err(split_reasons)) => {
            reasons.extend(split_reasons);
            Err(reasons)
        }
    }
}

fn find_missing_layer(graph: &LayerGraph) -> NoRouteReason {
    NoRouteReason::LayerMissing {
        version: graph.id.version.clone(),
        layer: graph.first_uncovered().unwrap_or(graph.id.layers),
    }
}

fn walk_split(
    context: ChoiceContext<'_>,
    policy: &mut dyn RoutePolicy,
    rng: &mut ChaCha8Rng,
) -> Result<(Walk, Walk), Vec<NoRouteReason>> {
    let in_phase = |phase| ChoiceContext { phase, ..context };
    let prefill = walk(in_phase(RoutePhase::Prefill), policy, rng)?;
    let decode = walk(in_phase(RoutePhase::Decode), policy, rng)?;
    Ok((prefill, decode))
}

/// Finds a pipeline by the samples of `policy`.
///
/// Falls back to more samples if a boundary has many engines, then to the full search, and last to
/// a search that includes ejected engines: an unreliable pipeline is better than a refusal.
fn walk(
    context: ChoiceContext<'_>,
    policy: &mut dyn RoutePolicy,
    rng: &mut ChaCha8Rng,
) -> Result<Walk, Vec<NoRouteReason>> {
    if let Some(keys) = walk_by_policy(&context, policy, rng) {
        return Ok(finish_walk(&context, &keys));
    }
    // With fewer engines the full search is as fast and finds the best pipeline.
    let mut boundaries = context.graph.boundaries.values();
    if boundaries.any(|boundary| boundary.len() > MAX_SAMPLES)
        && let Some(keys) = walk_by_policy(&context, &mut ExtendedSampling, rng)
    {
        return Ok(finish_walk(&context, &keys));
    }
    match search(&context) {
        SearchOutcome::Found(keys) => Ok(finish_walk(&context, &keys)),
        SearchOutcome::Missing {
            has_ejected: true, ..
        } if !context.with_ejected => {
            let context = ChoiceContext {
                with_ejected: true,
                ..context
            };
            walk(context, policy, rng)
        }
        SearchOutcome::Missing { reasons, .. } => Err(reasons),
    }
}

fn walk_by_policy(
    context: &ChoiceContext<'_>,
    policy: &mut dyn RoutePolicy,
    rng: &mut ChaCha8Rng,
) -> Option<Vec<EngineKey>> {
    let mut point = start_point(context);
    let mut keys = Vec::new();
    while point.layer < context.graph.id.layers {
        let mut view = StageView {
            context: *context,
            boundary: context.graph.boundaries.get(&point.layer)?,
            point,
            rng,
        };
        let key = policy.pick(&mut view)?;
        point = step(context, key)?;
        keys.push(key);
    }
    Some(keys)
}

fn step(context: &ChoiceContext<'_>, key: EngineKey) -> Option<WalkPoint> {
    let engine = context.fleet.get(key)?;
    Some(WalkPoint {
        layer: engine.announcement.layers.end,
        data_centre: engine.data_centre,
        link_rate: Some(engine.announcement.link_rate),
    })
}

fn finish_walk(context: &ChoiceContext<'_>, keys: &[EngineKey]) -> Walk {
    let mut point = start_point(context);
    let mut time = StageTime::default();
    let mut stages = Vec::with_capacity(keys.len());
    let cached = find_cached(context, keys);
    for (key, cached_tokens) in keys.iter().zip(&cached) {
        let Some(engine) = context.fleet.get(*key) else {
            continue;
        };
        time = time.plus(context.predict_with(engine, &point, *cached_tokens));
        let end = engine.announcement.layers.end;
        stages.push(RouteStage {
            engine: *key,
            server: engine.announcement.server.clone(),
            layers: LayerRange {
                first: point.layer,
                end,
            },
            cached_tokens: *cached_tokens,
        });
        point = step(context, *key).unwrap_or(point);
    }
    Walk {
        stages,
        time,
        cached_tokens: cached.first().copied().unwrap_or(0),
    }
}

/// Returns the number of prompt tokens that each stage can skip.
///
/// A stage skips only tokens that all later stages also cache, because a later stage needs the
/// activations of the tokens that it lacks. A stage that caches more tokens than the stages before
/// it therefore processes fewer tokens than they do.
fn find_cached(context: &ChoiceContext<'_>, keys: &[EngineKey]) -> Vec<u32> {
    let mut cached: Vec<u32> = keys.iter().map(|key| context.cached_tokens(*key)).collect();
    let mut min_tokens = u32::MAX;
    for tokens in cached.iter_mut().rev() {
        min_tokens = min_tokens.min(*tokens);
        *tokens = min_tokens;
    }
    cached
}

fn make_plan(context: &ChoiceContext<'_>, walk: Walk, prefill: Option<Walk>) -> RoutePlan {
    let id = &context.graph.id;
    let query = context.query;
    let mut first_token = walk.time.first_token;
    let mut cached_tokens = walk.cached_tokens;
    let mut prefill_stages = Vec::new();
    if let Some(prefill) = prefill {
        first_token += prefill.time.first_token;
        first_token += hand_over_seconds(context, &prefill.stages, &walk.stages);
        cached_tokens = prefill.cached_tokens;
        prefill_stages = prefill.stages;
    }
    let rest = query.expected_tokens.saturating_sub(1);
    RoutePlan {
        model: id.model.clone(),
        version: id.version.clone(),
        adapter: id.adapter.clone(),
        model_layers: id.layers,
        stages: walk.stages,
        prefill: prefill_stages,
        cached_tokens,
        prompt_tokens: query.prompt_tokens,
        expected_tokens: query.expected_tokens,
        continues_answer: query.continues_answer,
        first_token: duration_of(first_token),
        finish: duration_of(first_token + walk.time.per_token * f64::from(rest)),
    }
}

/// Predicts the seconds until all decode stages have received their KV cache.
///
/// The stages receive in parallel, and each waits for the slowest sender of its layers.
fn hand_over_seconds(
    context: &ChoiceContext<'_>,
    prefill: &[RouteStage],
    decode: &[RouteStage],
) -> f64 {
    let mut longest: f64 = 0.0;
    for stage in decode {
        let senders = prefill.iter().filter(|sender| {
            sender.layers.first < stage.layers.end && stage.layers.first < sender.layers.end
        });
        for sender in senders {
            longest = longest.max(transfer_seconds(context, sender, stage));
        }
    }
    longest
}

fn transfer_seconds(context: &ChoiceContext<'_>, from: &RouteStage, to: &RouteStage) -> f64 {
    let (Some(sender), Some(receiver)) =
        (context.fleet.get(from.engine), context.fleet.get(to.engine))
    else {
        return 0.0;
    };
    let link = context
        .fleet
        .links
        .get(sender.data_centre, receiver.data_centre);
    let rate = sender
        .announcement
        .link_rate
        .slower(receiver.announcement.link_rate)
        .slower(link.rate);
    let bytes = f64::from(receiver.announcement.kv_bytes) * f64::from(context.query.prompt_tokens);
    link.latency.as_secs_f64() + bytes / rate.per_second()
}
