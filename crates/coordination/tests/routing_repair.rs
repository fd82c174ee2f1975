//! Failover within a pipeline: a rack of engines dies under running drafts, and each goes on over the
//! engines that are left.

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
/// Engines of the rack that dies, of a data centre with four whole copies of the model.
const RACK: usize = 9;
/// Drafts that run when it does.
const DRAFTS: usize = 60;

fn engine(name: usize, first: u32, end: u32) -> EngineAnnouncement {
    routing_support::engine(&format!("e-{name}"), "a", first, end)
}

/// Rows of whole copies, each cut into ranges of another length.
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
        .map(|(name, (first, end))| engine(name, first, end))
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
    }
}

/// What must hold of a repaired pipeline beside the one before it.
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
        "seed {seed}: an engine twice"
    );
    assert!(
        lost.iter().all(|server| !names.contains(server)),
        "seed {seed}"
    );
    let well = former
        .stages
        .iter()
        .filter(|stage| !lost.contains(&stage.server));
    for stage in well {
        let kept = repaired.stages.iter().find(|s| s.server == stage.server);
        assert_eq!(
            kept.map(|s| s.layers),
            Some(stage.layers),
            "seed {seed}: {stage:?}"
        );
    }
}

/// Whether a lost layer is held by no engine outside of the pipeline.
fn has_hole(engines: &[EngineAnnouncement], plan: &RoutePlan, lost: &[ServerName]) -> bool {
    let gone = plan.stages.iter().filter(|s| lost.contains(&s.server));
    let mut layers = gone.flat_map(|stage| stage.layers.first..stage.layers.end);
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

/// A rack dies under sixty drafts. Callers saw them cut: each was to begin anew at once, to read its
/// whole prompt once more, as a retry that hundreds of hosts share. All whose first engine lives go on
/// instead, and read no more than the lost layers again.
#[test]
fn drafts_go_on_when_a_rack_dies() {
    let model = ModelName::from("m");
    let mut all = (0, 0);
    let (mut read, mut anew) = (0, 0);
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
                .expect("a good engine");
        }
        planner.tick(NOW);
        let mut running = Vec::new();
        for _ in 0..DRAFTS {
            let plan = planner
                .choose(NOW, &query(&model, &[]))
                .expect("a pipeline");
            running.push((planner.started(NOW, &plan), plan));
        }
        let rack = engines.sample(&mut random, RACK);
        let lost: Vec<ServerName> = rack.map(|engine| engine.server.clone()).collect();
        let (mut hit, mut repaired) = (0, 0);
        for (flight, plan) in running {
            let is_hit = plan.stages.iter().any(|stage| lost.contains(&stage.server));
            if !is_hit || lost.contains(&plan.stages[0].server) {
                continue;
            }
            hit += 1;
            let Ok(next) = planner.repair(NOW, &plan, &query(&model, &lost)) else {
                assert!(has_hole(&engines, &plan, &lost), "seed {seed}: {plan:?}");
                continue;
            };
            check(&plan, &next, &lost, seed);
            planner.failed(NOW, flight, None);
            planner.started(NOW, &next);
            repaired += 1;
            let fresh = next.stages.iter().filter(|stage| stage.cached_tokens == 0);
            read += fresh.map(|stage| stage.layers.len()).sum::<u32>();
            anew += LAYERS;
        }
        assert!(hit > DRAFTS / 4, "seed {seed}: {hit}");
        all.0 += repaired;
        all.1 += hit;
    }
    assert!(all.0 * 10 > all.1 * 8, "{all:?}");
    assert!(read * 2 < anew, "{read} of {anew}");
}

/// What can't be repaired is said to be so: the first engine holds the request, and a layer that nobody
/// else holds can't be made up for.
#[test]
fn a_pipeline_without_a_way_on_is_not_repaired() {
    let model = ModelName::from("m");
    let mut planner = FleetPlanner::new(RoutingSettings::default(), 1);
    let ranges = [(0, 40), (40, 60), (60, 80), (30, 50), (0, 40)];
    for (name, (first, end)) in ranges.into_iter().enumerate() {
        planner
            .announce(MonotonicTime::START, engine(name, first, end))
            .expect("a good engine");
    }
    planner.tick(NOW);
    let plan = planner
        .choose(NOW, &query(&model, &[]))
        .expect("a pipeline");
    let first = plan.stages[0].server.clone();
    for lost in [first, "e-1".into(), "e-2".into()] {
        let lost = [lost];
        assert!(
            planner.repair(NOW, &plan, &query(&model, &lost)).is_err(),
            "{lost:?}"
        );
    }
}
