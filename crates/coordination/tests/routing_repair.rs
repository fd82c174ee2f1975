//! Repair of pipelines: a rack of engines fails while drafts run, and the planner replaces the lost
//! stages with the remaining engines.

mod routing_support;

use std::collections::BTreeSet;

use pollendrift_coordination::base::{LayerRange, ModelName, MonotonicTime, ServerName};
use pollendrift_coordination::routing::{
    ChainScope, EngineAnnouncement, FleetPlanner, PermitAll, RoutePlan, RoutePlanner,
    RoutePriority, RouteQuery, RoutingSettings, is_complete_chain,
};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing_support::LAYERS;

const NOW: MonotonicTime = MonotonicTime::from_millis(60_000);
const PROMPT: u32 = 760;
/// Number of engines in the failing rack, in a data centre with four complete copies of the model.
const RACK: usize = 9;
/// Number of drafts that run when the rack fails.
const DRAFTS: usize = 60;

fn engine(index: usize, first: u32, end: u32) -> EngineAnnouncement {
    routing_support::engine(&format!("e-{index}"), "a", first, end)
}

/// Builds four complete copies of the model, each with ranges of a different mean length.
fn fleet(random: &mut ChaCha8Rng) -> Vec<EngineAnnouncement> {
    let mut ranges = Vec::new();
    for length in [5, 8, 10, 16] {
        let mut first = 0;
        while first < LAYERS {
            let end = (first + random.random_range(length - 1..=length + 1)).min(LAYERS);
            ranges.push((first, end));
            first = end;
        }
    }
    ranges.shuffle(random);
    let engines = ranges.into_iter().enumerate();
    engines
        .map(|(index, (first, end))| engine(index, first, end))
        .collect()
}

fn query<'query>(model: &'query ModelName, lost: &'query [ServerName]) -> RouteQuery<'query> {
    RouteQuery {
        model,
        version: None,
        adapter: None,
        within: None,
        allowed: &PermitAll,
        excluded: lost,
        prompt_tokens: PROMPT,
        expected_tokens: 70,
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
        share: None,
        continues_answer: false,
        connected: &[],
    }
}

/// Checks that a repaired pipeline is complete, keeps its first engine and all usable stages, and
/// uses no lost engine and no engine twice.
fn check(former: &RoutePlan, repaired: &RoutePlan, lost: &[ServerName], seed: u64) {
    let ranges: Vec<LayerRange> = repaired.stages.iter().map(|stage| stage.layers).collect();
    assert!(
        is_complete_chain(&ranges, LAYERS),
        "seed {seed}: {ranges:?}"
    );
    assert_eq!(
        former.stages[0].server, repaired.stages[0].server,
        "seed {seed}"
    );
    let names: BTreeSet<&ServerName> = repaired.stages.iter().map(|s| &s.server).collect();
    assert_eq!(
        names.len(),
        repaired.stages.len(),
        "seed {seed}: an engine occurs twice"
    );
    assert!(
        lost.iter().all(|server| !names.contains(server)),
        "seed {seed}"
    );
    let surviving = former
        .stages
        .iter()
        .filter(|stage| !lost.contains(&stage.server));
    for stage in surviving {
        let kept = repaired.stages.iter().find(|s| s.server == stage.server);
        assert_eq!(
            kept.map(|s| s.layers),
            Some(stage.layers),
            "seed {seed}: {stage:?}"
        );
    }
}

/// Returns whether no free engine holds some lost layer: neither a lost engine nor one that the
/// pipeline uses counts as free.
fn has_missing_layer(
    engines: &[EngineAnnouncement],
    plan: &RoutePlan,
    lost: &[ServerName],
) -> bool {
    let lost_stages = plan.stages.iter().filter(|s| lost.contains(&s.server));
    let mut layers = lost_stages.flat_map(|stage| stage.layers.first..stage.layers.end);
    let is_free = |engine: &EngineAnnouncement| {
        let is_used = plan.stages.iter().any(|s| s.server == engine.server);
        !is_used && !lost.contains(&engine.server)
    };
    layers.any(|layer| {
        let holds =
            |engine: &EngineAnnouncement| engine.layers.first <= layer && layer < engine.layers.end;
        !engines
            .iter()
            .any(|engine| is_free(engine) && holds(engine))
    })
}

// Guards against interrupted drafts after a rack fails. Without repair, all of them restart at
// once, process their whole prompt again, and count as retries, which hundreds of hosts share.
// With repair, drafts whose first engine survives continue and recompute only the lost layers.
#[test]
fn drafts_continue_after_a_rack_fails() {
    let model = ModelName::from("m");
    let mut totals = (0, 0);
    let (mut recomputed_layers, mut restart_layers) = (0, 0);
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let settings = RoutingSettings {
            chain_scope: ChainScope::WithinDataCentre,
            ..RoutingSettings::default()
        };
        let mut planner = FleetPlanner::new(settings, seed);
        let engines = fleet(&mut random);
        for engine in &engines {
            planner
                .announce(MonotonicTime::START, engine.clone())
                .expect("announcement is valid");
        }
        planner.tick(NOW);
        let mut running = Vec::new();
        for _ in 0..DRAFTS {
            let plan = planner
                .choose(NOW, &query(&model, &[]))
                .expect("a pipeline exists");
            running.push((planner.started(NOW, &plan), plan));
        }
        let rack = engines.sample(&mut random, RACK);
        let lost: Vec<ServerName> = rack.map(|engine| engine.server.clone()).collect();
        let (mut affected, mut repaired) = (0, 0);
        for (flight, plan) in running {
            let is_affected = plan.stages.iter().any(|stage| lost.contains(&stage.server));
            if !is_affected || lost.contains(&plan.stages[0].server) {
                continue;
            }
            affected += 1;
            let Ok(next) = planner.repair(NOW, &plan, &query(&model, &lost)) else {
                assert!(
                    has_missing_layer(&engines, &plan, &lost),
                    "seed {seed}: {plan:?}"
                );
                continue;
            };
            check(&plan, &next, &lost, seed);
            planner.failed(NOW, flight, None);
            planner.started(NOW, &next);
            repaired += 1;
            let recomputed = next.stages.iter().filter(|stage| stage.cached_tokens == 0);
            recomputed_layers += recomputed.map(|stage| stage.layers.len()).sum::<u32>();
            restart_layers += LAYERS;
        }
        assert!(affected > DRAFTS / 4, "seed {seed}: {affected}");
        totals.0 += repaired;
        totals.1 += affected;
    }
    assert!(totals.0 * 10 > totals.1 * 8, "{totals:?}");
    assert!(
        recomputed_layers * 2 < restart_layers,
        "{recomputed_layers} of {restart_layers}"
    );
}

// Guards against a repair that returns an unusable pipeline. The first engine holds the request
// and can't be replaced, and neither can an engine whose layers no other engine holds.
#[test]
fn a_pipeline_without_replacement_engines_is_not_repaired() {
    let model = ModelName::from("m");
    let mut planner = FleetPlanner::new(RoutingSettings::default(), 1);
    let ranges = [(0, 40), (40, 60), (60, 80), (30, 50), (0, 40)];
    for (index, (first, end)) in ranges.into_iter().enumerate() {
        planner
            .announce(MonotonicTime::START, engine(index, first, end))
            .expect("announcement is valid");
    }
    planner.tick(NOW);
    let plan = planner
        .choose(NOW, &query(&model, &[]))
        .expect("a pipeline exists");
    let first = plan.stages[0].server.clone();
    for lost in [first, "e-1".into(), "e-2".into()] {
        let lost = [lost];
        assert!(
            planner.repair(NOW, &plan, &query(&model, &lost)).is_err(),
            "{lost:?}"
        );
    }
}
