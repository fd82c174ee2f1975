//! Chains within one data centre: selection, and the cost of a change in another data centre.

mod routing_support;

use std::time::Instant;

use pollendrift_coordination::base::{DataCentreName, ModelName, MonotonicTime, ServerName};
use pollendrift_coordination::routing::{
    ChainScope, EngineAnnouncement, FleetPlanner, PermitAll, RoutePlan, RoutePlanner,
    RoutePriority, RouteQuery, RoutingSettings,
};
use routing_support::LAYERS;

const NOW: MonotonicTime = MonotonicTime::from_millis(60_000);
const LATER: MonotonicTime = MonotonicTime::from_millis(62_000);

fn engine(centre: &str, first: u32, end: u32) -> EngineAnnouncement {
    routing_support::engine(&format!("{centre}-{first}-{end}"), centre, first, end)
}

fn planner(scope: ChainScope, engines: &[EngineAnnouncement]) -> FleetPlanner {
    let settings = RoutingSettings {
        chain_scope: scope,
        ..RoutingSettings::default()
    };
    let mut planner = FleetPlanner::new(settings, 7);
    for engine in engines {
        assert!(
            planner
                .announce(MonotonicTime::START, engine.clone())
                .is_ok()
        );
    }
    planner.tick(NOW);
    planner
}

fn choose(planner: &mut FleetPlanner, within: Option<&DataCentreName>) -> Option<RoutePlan> {
    let model = ModelName::from("m");
    let query = RouteQuery {
        model: &model,
        version: None,
        adapter: None,
        within,
        allowed: &PermitAll,
        excluded: &[],
        prompt_tokens: 700,
        expected_tokens: 100,
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
        share: None,
        continues_answer: false,
        connected: &[],
    };
    planner.choose(NOW, &query).ok()
}

/// Builds three complete copies of the model, with ranges of 5, 7 and 9 layers.
fn copies(centre: &str) -> Vec<EngineAnnouncement> {
    let copy = |length: u32| {
        let starts = (0..LAYERS).step_by(length as usize);
        starts.map(move |first| (first, (first + length).min(LAYERS)))
    };
    let ranges = [5, 7, 9].into_iter().flat_map(copy);
    ranges
        .map(|(first, end)| engine(centre, first, end))
        .collect()
}

// Guards against drafts that span data centres, whose activations saturate the link between them.
// Data centre `b` lacks layers and `nowhere` is unknown, so neither has a chain of its own. After
// the engines of `a` leave, a query without a restriction gets a chain from `b` to `c`.
#[test]
fn a_route_restricted_to_a_data_centre_does_not_leave_it() {
    let mut engines = copies("a");
    engines.push(engine("b", 0, 40));
    engines.push(engine("c", 40, 80));
    let mut planner = planner(ChainScope::WithinDataCentre, &engines);
    let mut lines = Vec::new();
    for name in ["a", "b", "nowhere"] {
        let centre = DataCentreName::from(name);
        let plans: Vec<RoutePlan> = (0..100)
            .filter_map(|_| choose(&mut planner, Some(&centre)))
            .collect();
        let stages = plans.iter().flat_map(|plan| &plan.stages);
        let outside = stages.filter(|stage| !stage.server.as_str().starts_with(name));
        lines.push(format!(
            "{name}: {} chains, {} stages elsewhere",
            plans.len(),
            outside.count()
        ));
    }
    for engine in copies("a") {
        planner.remove(&engine.server);
    }
    let crossing = choose(&mut planner, None).map(|plan| {
        let servers = plan.stages.iter().map(|stage| stage.server.as_str());
        servers.collect::<Vec<&str>>().join(" ")
    });
    lines.push(format!("unrestricted: {}", crossing.unwrap_or_default()));
    insta::assert_snapshot!(lines.join("\n"), @r"
    a: 100 chains, 0 stages elsewhere
    b: 0 chains, 0 stages elsewhere
    nowhere: 0 chains, 0 stages elsewhere
    unrestricted: b-0-40 c-40-80
    ");
}

// Guards against pauses of all streams of a host while it recomputes the flow. After the loss of
// one engine, the flow over three data centres with 37 engines each took 24 ms of CPU time, which
// is 250 ms on a tenth of a core. The affected data centre alone may take a third of it at most.
#[test]
fn a_lost_engine_recomputes_only_the_flow_of_its_data_centre() {
    let engines: Vec<EngineAnnouncement> = ["a", "b", "c"].into_iter().flat_map(copies).collect();
    let tick_time = |scope| {
        let mut planner = planner(scope, &engines);
        planner.remove(&ServerName::from("b-35-42"));
        let started = Instant::now();
        planner.tick(LATER);
        started.elapsed()
    };
    let best = |scope| (0..5).map(|_| tick_time(scope)).min();
    let within = best(ChainScope::WithinDataCentre);
    let across = best(ChainScope::AcrossDataCentres);
    assert!(
        within.map(|time| time * 3) <= across,
        "{within:?} within, {across:?} across"
    );
}
