//! Decisions cost no more in a large fleet than in a small one.

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

/// Kind 0 to 3 for four engines of one stage, two stages.
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

/// Engines that the filter was asked for, per decision.
fn asked(engines: u32, allowed: &dyn Fn(&EngineRecord) -> bool) -> (u32, usize) {
    let mut planner = FleetPlanner::new(RoutingSettings::default(), 7);
    for index in 0..engines {
        let announced = planner.announce(MonotonicTime::START, engine(index));
        assert!(announced.is_ok());
    }
    planner.tick(LATER);
    let asked = Cell::new(0);
    let filter = |record: &EngineRecord| {
        asked.set(asked.get() + 1);
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
            },
        );
        if let Ok(plan) = plan {
            assert!(plan.stages.iter().all(|stage| stage.layers.len() == 32));
            routed += 1;
        }
    }
    (asked.get() / DECISIONS, routed)
}

// Callers see the entry's processor run full as the fleet grows. A selector allows one kind of
// four, so the policy's few samples fail at most requests, and each of these looked at every engine
// of the model. What is looked at must depend on the selector's share and not on the fleet.
#[test]
fn a_selector_that_allows_a_part_looks_at_few_engines() {
    let one_kind = |record: &EngineRecord| record.announcement.kind == "kind-1".into();
    let seen = [400, 4_000, 12_000].map(|engines| {
        let (asked, routed) = asked(engines, &one_kind);
        format!("{engines}: {asked} asked, {routed} routed")
    });
    insta::assert_snapshot!(seen.join("\n"), @r"
    400: 20 asked, 100 routed
    4000: 20 asked, 100 routed
    12000: 20 asked, 100 routed
    ");
}

// The caller must not be told that there is no route while one engine could serve. Samples can't
// find one engine among many; the complete search behind them does, at every request.
#[test]
fn a_selector_that_allows_one_engine_a_stage_is_always_served() {
    let pair = |record: &EngineRecord| {
        ["engine-1", "engine-5"].contains(&record.announcement.server.as_str())
    };
    let (_, routed) = asked(4_000, &pair);
    assert_eq!(routed, DECISIONS as usize);
}
