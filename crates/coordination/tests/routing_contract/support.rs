//! Builders of engines, planners and queries for the planner contract tests.

use pollendrift_coordination::base::{
    AdapterName, DataCentreName, Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber,
    ServerName, VersionName,
};
use pollendrift_coordination::routing::{
    AcceleratorKind, ByteRate, EngineAnnouncement, EngineRole, FleetPlanner, NoRoute, PermitAll,
    RoutePlan, RoutePlanner, RoutePriority, RouteQuery, RoutingSettings, TokenCount, TokenRate,
    UpsertOutcome,
};
use std::sync::LazyLock;
use std::time::Duration;

pub(crate) const LAYERS: u32 = 32;
pub(crate) const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);

pub(crate) fn engine(name: &str, first: u32, end: u32) -> EngineAnnouncement {
    EngineAnnouncement {
        server: ServerName::from(name),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        kind: AcceleratorKind::from("k"),
        data_centre: DataCentreName::from("d1"),
        model: ModelName::from("m"),
        version: VersionName::from("v1"),
        model_layers: LAYERS,
        layers: LayerRange { first, end },
        adapters: vec![AdapterName::from("a1")],
        role: EngineRole::Both,
        kv_capacity: TokenCount(100_000),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(1_000),
        step_floor: Duration::from_millis(5),
        link_rate: ByteRate(1_000_000_000),
        activation_bytes: 8_192,
        kv_bytes: 65_536,
    }
}

pub(crate) fn planner_with(
    settings: RoutingSettings,
    engines: Vec<EngineAnnouncement>,
) -> FleetPlanner {
    let mut planner = FleetPlanner::new(settings, 7);
    for engine in engines {
        let outcome = planner.announce(MonotonicTime::START, engine);
        assert_eq!(outcome, Ok(UpsertOutcome::Joined));
    }
    planner.tick(LATER);
    planner
}

pub(crate) fn planner(engines: Vec<EngineAnnouncement>) -> FleetPlanner {
    planner_with(RoutingSettings::default(), engines)
}

pub(crate) fn changed<F>(name: &str, first: u32, end: u32, change: F) -> EngineAnnouncement
where
    F: FnOnce(&mut EngineAnnouncement),
{
    let mut announcement = engine(name, first, end);
    change(&mut announcement);
    announcement
}

pub(crate) fn query(model: &ModelName) -> RouteQuery<'_> {
    RouteQuery {
        model,
        version: None,
        adapter: None,
        within: None,
        allowed: &PermitAll,
        excluded: &[],
        prompt_tokens: 100,
        expected_tokens: 50,
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
        share: None,
        continues_answer: false,
        connected: &[],
    }
}

pub(crate) fn choose_with<'a, F>(
    planner: &mut FleetPlanner,
    change: F,
) -> Result<RoutePlan, NoRoute>
where
    F: FnOnce(&mut RouteQuery<'a>),
{
    static MODEL: LazyLock<ModelName> = LazyLock::new(|| ModelName::from("m"));
    let mut query = query(&MODEL);
    change(&mut query);
    planner.choose(LATER, &query)
}

pub(crate) fn choose_at(
    planner: &mut FleetPlanner,
    now: MonotonicTime,
) -> Result<RoutePlan, NoRoute> {
    planner.choose(now, &query(&ModelName::from("m")))
}

pub(crate) fn choose(planner: &mut FleetPlanner) -> Result<RoutePlan, NoRoute> {
    choose_with(planner, |_| {})
}

pub(crate) fn describe(result: Result<RoutePlan, NoRoute>) -> String {
    let plan = match result {
        Ok(plan) => plan,
        Err(error) => return error.to_string(),
    };
    let stages = |stages: &[pollendrift_coordination::routing::RouteStage]| {
        let texts = stages.iter().map(|s| format!("{}[{}]", s.server, s.layers));
        texts.collect::<Vec<_>>().join(" ")
    };
    if plan.prefill.is_empty() {
        return format!("{}: {}", plan.version, stages(&plan.stages));
    }
    let (prefill, decode) = (stages(&plan.prefill), stages(&plan.stages));
    format!("{}: {prefill} => {decode}", plan.version)
}
