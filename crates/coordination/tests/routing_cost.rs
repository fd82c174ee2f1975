//! Cost of routing decisions, which must not grow with the fleet.

use std::cell::Cell;
use std::time::Duration;

use pollendrift_coordination::base::{
    Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber,
};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRecord, EngineRole, FleetPlanner, RoutePlanner,
    RoutePriority, RouteQuery, RoutingSettings, TokenCount, TokenRate,
};

const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);
const DECISIONS: u32 = 100;

/// Builds an engine of a fleet with two stages and four kinds: each run of four engines holds one
/// half of the layers, one engine of each kind 0 to 3.
fn engine(index: u32) -> EngineAnnouncement {
    let first = index / 4 % 2 * 32;
    EngineAnnouncement {
        server: format!("engine-{index}").into(),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        kind: format!("kind-{}", index % 4).into(),
        data_centre: "dc-a".into(),
        model: "m".into(),
        version: "v1".into(),
        model_layers: 64,
        layers: LayerRange {
            first,
            end: first + 32,
        },
        adapters: Vec::new(),
        role: EngineRole::Both,
        kv_capacity: TokenCount(200_000),
        prefill_rate: TokenRate(5_000),
        decode_rate: TokenRate(500),
        step_floor: Duration::from_millis(4),
        link_rate: ByteRate(1_250_000_000),
        activation_bytes: 16_384,
        kv_bytes: 65_536,
    }
}

/// Returns the mean number of filter checks per decision, and the number of decisions with a route.
fn count_checks(engines: u32, allowed: &dyn Fn(&EngineRecord) -> bool) -> (u32, usize) {
    let mut planner = FleetPlanner::new(RoutingSettings::default(), 7);
    for index in 0..engines {
        let announced = planner.announce(MonotonicTime::START, engine(index));
        assert!(announced.is_ok());
    }
    planner.tick(LATER);
    let checks = Cell::new(0);
    let filter = |record: &EngineRecord| {
        checks.set(checks.get() + 1);
        allowed(record)
    };
    let model = ModelName::from("m");
    let mut routed = 0;
    for _ in 0..DECISIONS {
        let plan = planner.choose(
            LATER,
            &RouteQuery {
                model: &model,
                version: None,
                adapter: None,
                within: None,
                allowed: &filter,
                excluded: &[],
                prompt_tokens: 512,
                expected_tokens: 208,
                prefixes: &[],
                deadline: None,
                priority: RoutePriority::Normal,
                share: None,
                continues_answer: false,
                connected: &[],
            },
        );
        if let Ok(plan) = plan {
            assert!(plan.stages.iter().all(|stage| stage.layers.len() == 32));
            routed += 1;
        }
    }
    (checks.get() / DECISIONS, routed)
}

// Guards against an entry whose CPU saturates as the fleet grows. A selector allows one kind in
// four, so the few samples of the policy fail for most requests, and each of them checked every
// engine of the model. The number of checks must depend on the selector's share only.
#[test]
fn checks_per_decision_under_a_selector_are_independent_of_fleet_size() {
    let one_kind = |record: &EngineRecord| record.announcement.kind == "kind-1".into();
    let lines = [400, 4_000, 12_000].map(|engines| {
        let (checks, routed) = count_checks(engines, &one_kind);
        format!("{engines}: {checks} checks, {routed} routed")
    });
    insta::assert_snapshot!(lines.join("\n"), @r"
    400: 20 checks, 100 routed
    4000: 20 checks, 100 routed
    12000: 20 checks, 100 routed
    ");
}

// Guards against a refusal although one engine per stage could serve. Samples do not find one
// engine among thousands, so the full search must find it for every request.
#[test]
fn a_selector_that_allows_one_engine_per_stage_always_gets_a_route() {
    let pair = |record: &EngineRecord| {
        ["engine-1", "engine-5"].contains(&record.announcement.server.as_str())
    };
    let (_, routed) = count_checks(4_000, &pair);
    assert_eq!(routed, DECISIONS as usize);
}
