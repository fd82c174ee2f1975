//! Slow start in the prediction of deadlines.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, LayerRange, MonotonicTime, SequenceNumber};
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRole, FleetPlanner, PermitAll, RoutePlanner, RoutePriority,
    RouteQuery, RoutingSettings, TokenCount, TokenRate,
};

fn engine() -> EngineAnnouncement {
    EngineAnnouncement {
        server: "engine-1".into(),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        kind: "kind-a".into(),
        data_centre: "dc-a".into(),
        model: "draft".into(),
        version: "v1".into(),
        model_layers: 8,
        layers: LayerRange::new(0, 8).unwrap(),
        adapters: Vec::new(),
        role: EngineRole::Both,
        kv_capacity: TokenCount(100_000),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(1_000),
        step_floor: Duration::from_millis(10),
        link_rate: ByteRate(1_000_000_000),
        activation_bytes: 1_024,
        kv_bytes: 1_024,
    }
}

// Guards against a refusal with "after the deadline" of a request that would have finished in time.
// All engines have just joined, and the prediction treated them as ten times slower because of slow
// start. Slow start limits the share of the load of an engine and must not affect the prediction.
#[test]
fn slow_start_does_not_affect_the_predicted_finish() {
    let mut planner = FleetPlanner::new(RoutingSettings::default(), 1);
    planner.announce(MonotonicTime::START, engine()).unwrap();
    planner.tick(MonotonicTime::START);
    let model = "draft".into();
    let mut predicted = Vec::new();
    for seconds in [0, 30] {
        let now = MonotonicTime::from_millis(seconds * 1_000);
        let query = RouteQuery {
            model: &model,
            version: None,
            adapter: None,
            within: None,
            allowed: &PermitAll,
            excluded: &[],
            prompt_tokens: 100,
            expected_tokens: 100,
            prefixes: &[],
            deadline: Some(now.after(Duration::from_secs(2))),
            priority: RoutePriority::Normal,
            share: None,
            continues_answer: false,
            connected: &[],
        };
        predicted.push(planner.choose(now, &query).map(|plan| plan.finish));
    }
    insta::assert_debug_snapshot!(predicted, @r"
    [
        Ok(
            1.01s,
        ),
        Ok(
            1.01s,
        ),
    ]
    ");
}
