//! Complete search for a pipeline, when a policy's few samples found none.
//!
//! A refusal must be true: before the caller is told that there is no route, every engine that
//! could run a stage has been looked at. It costs time that grows with the engines of the model,
//! and is reached only where nearly all of them are rejected.

use std::collections::BTreeMap;

use super::bound::ENTRY;
use super::fleet::EngineKey;
use super::plan::{NoRouteReason, RejectCounts, RejectReason};
use super::settings::ChainScope;
use super::view::{ChoiceContext, WalkPoint};

/// Best way found to a layer.
#[derive(Clone, Debug)]
struct BestWay {
    seconds: f64,
    point: WalkPoint,
    stages: Vec<EngineKey>,
}

/// What the search found.
pub(crate) enum SearchOutcome {
    /// Engines of a whole pipeline.
    Found(Vec<EngineKey>),
    /// No pipeline; where and why, and whether ejected engines stood in the way.
    Missing {
        reasons: Vec<NoRouteReason>,
        has_ejected: bool,
    },
}

/// Start of every walk.
pub(crate) fn start_point(context: &ChoiceContext<'_>) -> WalkPoint {
    let alone = context.settings.chain_scope == ChainScope::WithinDataCentre;
    WalkPoint {
        layer: 0,
        data_centre: context.within.filter(|_| alone).unwrap_or(ENTRY),
        link_rate: None,
    }
}

/// Looks for the pipeline with the earliest predicted finish over all engines.
pub(crate) fn search(context: &ChoiceContext<'_>) -> SearchOutcome {
    let start = BestWay {
        seconds: 0.0,
        point: start_point(context),
        stages: Vec::new(),
    };
    let mut ways = BTreeMap::from([(0, start)]);
    let mut reasons = Vec::new();
    let mut has_ejected = false;
    while let Some((layer, way)) = ways.pop_first() {
        if layer == context.graph.id.layers {
            return SearchOutcome::Found(way.stages);
        }
        let counts = extend_way(context, &way, &mut ways);
        has_ejected |= counts.ejected > 0;
        if counts != RejectCounts::default() {
            reasons.push(NoRouteReason::Rejected {
                version: context.graph.id.version.clone(),
                layer,
                counts,
            });
        }
    }
    SearchOutcome::Missing {
        reasons,
        has_ejected,
    }
}

fn extend_way(
    context: &ChoiceContext<'_>,
    way: &BestWay,
    ways: &mut BTreeMap<u32, BestWay>,
) -> RejectCounts {
    let mut counts = RejectCounts::default();
    let Some(boundary) = context.graph.boundaries.get(&way.point.layer) else {
        return counts;
    };
    let groups = boundary
        .groups
        .iter()
        .filter_map(|key| context.graph.groups.get(*key));
    for key in groups.flat_map(|group| group.members.iter().copied()) {
        if let Err(reason) = try_engine(context, way, key, ways) {
            counts.add(reason);
        }
    }
    counts
}

fn try_engine(
    context: &ChoiceContext<'_>,
    way: &BestWay,
    key: EngineKey,
    ways: &mut BTreeMap<u32, BestWay>,
) -> Result<(), RejectReason> {
    let Some(engine) = context.fleet.get(key) else {
        return Ok(());
    };
    context.check(key, engine)?;
    let time = context.predict(key, engine, &way.point);
    let seconds = way.seconds + time.finish(context.query.expected_tokens);
    let end = engine.announcement.layers.end;
    if ways.get(&end).is_some_and(|known| known.seconds <= seconds) {
        return Ok(());
    }
    let mut stages = way.stages.clone();
    stages.push(key);
    let point = WalkPoint {
        layer: end,
        data_centre: engine.data_centre,
        link_rate: Some(engine.announcement.link_rate),
    };
    ways.insert(
        end,
        BestWay {
            seconds,
            point,
            stages,
        },
    );
    Ok(())
}
