//! Repairs the pipeline of a running request by replacing its lost engines.
//!
//! A draft that restarts elsewhere processes its whole prompt again, adds a request to a service,
//! and uses memory on every stage. If only the lost stages are replaced, the other stages keep
//! their KV cache. After the loss of a rack, a repair recomputes a few stages, while a restart
//! would make hundreds of drafts begin again at the same time on the remaining engines.

use std::collections::BTreeMap;

use super::fleet::{EngineKey, EngineRecord};
use super::plan::{NoRoute, NoRouteReason, RejectCounts, RoutePlan, RouteStage};
use super::unit::duration_of;
use super::view::{ChoiceContext, StageTime, engine_time, span_share};
use crate::base::LayerRange;

/// Fastest sequence of stages found from the start of a gap to a layer within it.
#[derive(Clone, Debug, Default)]
struct GapPath {
    time: StageTime,
    stages: Vec<RouteStage>,
}

/// Returns `plan` with its stages on excluded engines replaced.
///
/// The first stage receives the request and sends its tokens, so it can't be replaced.
///
/// # Errors
/// Fails if the first stage is excluded, or if no usable engines cover the lost layers.
pub(crate) fn repair_route(
    context: &ChoiceContext<'_>,
    plan: &RoutePlan,
) -> Result<RoutePlan, NoRoute> {
    let is_lost = |stage: &RouteStage| context.query.excluded.contains(&stage.server);
    if plan.stages.first().is_none_or(is_lost) {
        let reasons = vec![NoRouteReason::NotServed];
        return Err(NoRoute { reasons });
    }
    let mut stages: Vec<RouteStage> = Vec::with_capacity(plan.stages.len());
    let mut time = StageTime::default();
    let mut remaining = plan.stages.as_slice();
    while let Some(stage) = remaining.first() {
        let lost_count = remaining.iter().take_while(|stage| is_lost(stage)).count();
        if lost_count == 0 {
            // The stage has already processed the prompt.
            let cached_tokens = context.query.prompt_tokens;
            let kept_stage = RouteStage {
                cached_tokens,
                ..stage.clone()
            };
            stages.push(kept_stage);
            remaining = &remaining[1..];
            continue;
        }
        let gap = LayerRange {
            first: stage.layers.first,
            end: remaining[lost_count - 1].layers.end,
        };
        let is_in_use = |key: EngineKey| {
            let is_kept = |stage: &RouteStage| stage.engine == key && !is_lost(stage);
            plan.stages.iter().any(is_kept) || stages.iter().any(|stage| stage.engine == key)
        };
        let path = fill_gap(context, gap, is_in_use)?;
        time = time.plus(path.time);
        stages.extend(path.stages);
        remaining = &remaining[lost_count..];
    }
    Ok(RoutePlan {
        stages,
        prefill: Vec::new(),
        continues_answer: true,
        first_token: duration_of(time.first_token),
        ..plan.clone()
    })
}

/// Returns the stages that run `gap` with the earliest predicted finish.
///
/// Skips engines for which `is_in_use` is true, and uses no engine twice.
fn fill_gap<F>(
    context: &ChoiceContext<'_>,
    gap: LayerRange,
    is_in_use: F,
) -> Result<GapPath, NoRoute>
where
    F: Fn(EngineKey) -> bool,
{
    let mut counts = RejectCounts::default();
    let mut usable: Vec<(EngineKey, &EngineRecord)> = Vec::new();
    for (key, engine) in context.fleet.iter().filter(|(key, _)| !is_in_use(*key)) {
        if !overlaps(context, engine, gap) {
            continue;
        }
        match context.check(key, engine) {
            Ok(()) => usable.push((key, engine)),
            Err(reason) => counts.add(reason),
        }
    }
    let mut paths = BTreeMap::from([(gap.first, GapPath::default())]);
    while let Some((layer, path)) = paths.pop_first() {
        if layer == gap.end {
            return Ok(path);
        }
        for (key, engine) in &usable {
            extend_path(context, &mut paths, &path, (*key, engine), layer, gap.end);
        }
    }
    let reasons = vec![NoRouteReason::Rejected {
        version: context.graph.id.version.clone(),
        layer: gap.first,
        counts,
    }];
    Err(NoRoute { reasons })
}

fn overlaps(context: &ChoiceContext<'_>, engine: &EngineRecord, gap: LayerRange) -> bool {
    let announced = &engine.announcement;
    let id = &context.graph.id;
    let layers = announced.layers;
    announced.model == id.model
        && announced.version == id.version
        && layers.first < gap.end
        && gap.first < layers.end
}

fn extend_path(
    context: &ChoiceContext<'_>,
    paths: &mut BTreeMap<u32, GapPath>,
    path: &GapPath,
    (key, engine): (EngineKey, &EngineRecord),
    layer: u32,
    gap_end: u32,
) {
    let engine_layers = engine.announcement.layers;
    let is_used = path.stages.iter().any(|stage| stage.engine == key);
    if is_used || layer < engine_layers.first || engine_layers.end <= layer {
        return;
    }
    let end = engine_layers.end.min(gap_end);
    let stage_layers = LayerRange { first: layer, end };
    let share = f64::from(stage_layers.len())
        / f64::from(engine_layers.len().max(1))
        / span_share(engine_layers, layer);
    let prompt_tokens = f64::from(context.query.prompt_tokens);
    let time = path
        .time
        .plus(engine_time(engine, prompt_tokens, layer).times(share));
    let expected = context.query.expected_tokens;
    let is_better = |existing: &GapPath| time.finish(expected) < existing.time.finish(expected);
    if paths.get(&end).is_some_and(|existing| !is_better(existing)) {
        return;
    }
    let mut stages = path.stages.clone();
    stages.push(RouteStage {
        engine: key,
        server: engine.announcement.server.clone(),
        layers: stage_layers,
        cached_tokens: 0,
    });
    paths.insert(end, GapPath { time, stages });
}
