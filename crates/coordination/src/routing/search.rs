//! Full search for a pipeline, for cases where the samples of a policy find none.
//!
//! A request may be refused only if no route exists, so the search checks every engine that could
//! run a stage. Its cost grows with the number of engines of the model, but it runs only where
//! nearly all of them are rejected.

use std::collections::BTreeMap;

use super::bound::BEFORE_FIRST_STAGE;
use super::fleet::EngineKey;
use super::plan::{NoRouteReason, RejectCounts, RejectReason};
use super::settings::ChainScope;
use super::view::{ChoiceContext, WalkPoint};

/// Fastest partial pipeline found that ends at a layer.
#[derive(Clone, Debug)]
struct PartialPath {
    seconds: f64,
    point: WalkPoint,
    stages: Vec<EngineKey>,
}

/// Result of the search.
pub(crate) enum SearchOutcome {
    /// Engines of a complete pipeline, in order.
    Found(Vec<EngineKey>),
    /// No pipeline exists. Holds the rejections by layer, and whether any engine was rejected as
    /// ejected.
    Missing {
        reasons: Vec<NoRouteReason>,
        has_ejected: bool,
    },
}

/// Returns the point at which every walk starts.
///
/// A route restricted to one data centre starts there if the chain scope is one data centre.
pub(crate) fn start_point(context: &ChoiceContext<'_>) -> WalkPoint {
    let is_local = context.settings.chain_scope == ChainScope::WithinDataCentre;
    WalkPoint {
        layer: 0,
        data_centre: context
            .within
            .filter(|_| is_local)
            .unwrap_or(BEFORE_FIRST_STAGE),
        link_rate: None,
    }
}

/// Searches all engines for the pipeline with the earliest predicted finish.
pub(crate) fn search(context: &ChoiceContext<'_>) -> SearchOutcome {
    let start = PartialPath {
        seconds: 0.0,
        point: start_point(context),
        stages: Vec::new(),
    };
    let mut paths = BTreeMap::from([(0, start)]);
    let mut reasons = Vec::new();
    let mut has_ejected = false;
    while let Some((layer, path)) = paths.pop_first() {
        if layer == context.graph.id.layers {
            return SearchOutcome::Found(path.stages);
        }
        let counts = extend_path(context, &path, &mut paths);
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

fn extend_path(
    context: &ChoiceContext<'_>,
    path: &PartialPath,
    paths: &mut BTreeMap<u32, PartialPath>,
) -> RejectCounts {
    let mut counts = RejectCounts::default();
    let Some(boundary) = context.graph.boundaries.get(&path.point.layer) else {
        return counts;
    };
    let groups = boundary
        .groups
        .iter()
        .filter_map(|key| context.graph.groups.get(*key));
    for key in groups.flat_map(|group| group.members.iter().copied()) {
        if let Err(reason) = try_engine(context, path, key, paths) {
            counts.add(reason);
        }
    }
    counts
}

fn try_engine(
    context: &ChoiceContext<'_>,
    path: &PartialPath,
    key: EngineKey,
    paths: &mut BTreeMap<u32, PartialPath>,
) -> Result<(), RejectReason> {
    let Some(engine) = context.fleet.get(key) else {
        return Ok(());
    };
    context.check(key, engine)?;
    let time = context.predict(key, engine, &path.point);
    let seconds = path.seconds + time.finish(context.query.expected_tokens);
    let end = engine.announcement.layers.end;
    if paths
        .get(&end)
        .is_some_and(|existing| existing.seconds <= seconds)
    {
        return Ok(());
    }
    let mut stages = path.stages.clone();
    stages.push(key);
    let point = WalkPoint {
        layer: end,
        data_centre: engine.data_centre,
        link_rate: Some(engine.announcement.link_rate),
    };
    paths.insert(
        end,
        PartialPath {
            seconds,
            point,
            stages,
        },
    );
    Ok(())
}
