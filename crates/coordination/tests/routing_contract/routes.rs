//! Routes and refusals over fleets that lack layers, versions, adapters or usable engines.

use crate::support::{
    LATER, LAYERS, changed, choose, choose_with, describe, engine, planner, planner_with,
};
use pollendrift_coordination::base::{
    AdapterName, DataCentreName, Incarnation, ModelName, SequenceNumber, ServerName, VersionName,
};
use pollendrift_coordination::ledger::check_chain;
use pollendrift_coordination::retries::OutlierSettings;
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRecord, FleetPlanner, LinkProperties, LoadReport,
    LoadValues, PolicyKind, RoutePlanner, RoutePriority, RoutingSettings, TokenCount,
};
use proptest::prelude::{ProptestConfig, prop, proptest};
use std::time::Duration;

// Guards against incomplete pipelines, pipelines that mix versions, and wrong reasons for a
// refusal. The fleets lack a layer, a version over all layers, an adapter, or all engines of the
// model. The planner starts a stage within the range of an overlapping engine.
#[test]
fn a_fleet_yields_a_complete_pipeline_or_the_reason_for_none() {
    let v2 = |name, first, end| changed(name, first, end, |e| e.version = VersionName::from("v2"));
    let plain = |name, first, end| changed(name, first, end, |e| e.adapters.clear());
    let cases = [
        ("two halves", vec![engine("a", 0, 16), engine("b", 16, 32)]),
        (
            "overlap is cut",
            vec![engine("a", 0, 20), engine("b", 12, 32)],
        ),
        ("gap", vec![engine("a", 0, 15), engine("b", 16, 32)]),
        ("end missing", vec![engine("a", 0, 16), engine("b", 16, 31)]),
        (
            "cut after a short one",
            vec![engine("a", 0, 8), engine("b", 0, 16), engine("c", 16, 32)],
        ),
        ("two versions", vec![engine("a", 0, 32), v2("b", 0, 32)]),
        (
            "roll-out half way",
            vec![engine("a", 0, 32), v2("b", 0, 16)],
        ),
        ("mixed only", vec![engine("a", 0, 16), v2("b", 16, 32)]),
        ("no adapter", vec![engine("a", 0, 16), plain("b", 16, 32)]),
        ("empty", Vec::new()),
    ];
    let mut lines = Vec::new();
    let adapter = AdapterName::from("a1");
    for (name, engines) in cases {
        let mut planner = planner(engines);
        let result = choose_with(&mut planner, |query| query.adapter = Some(&adapter));
        lines.push(format!("{name}: {}", describe(result)));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    two halves: v1: a[0..16] b[16..32]
    overlap is cut: v1: a[0..20] b[20..32]
    gap: no route: no engine holds layer 15 of version v1
    end missing: no route: no engine holds layer 31 of version v1
    cut after a short one: v1: a[0..8] b[8..16] c[16..32]
    two versions: v1: a[0..32]
    roll-out half way: v1: a[0..32]
    mixed only: no route: no engine holds layer 16 of version v1; no engine holds layer 0 of version v2
    no adapter: no route: no engine holds layer 16 of version v1
    empty: no route: no engine serves the model with the adapter in the version
    ");
}

// Guards against a request that is sent to an engine that the selector forbids, that failed an
// earlier attempt, that left, or whose KV memory is full; and against a route after the deadline.
#[test]
fn unusable_engines_receive_no_request() {
    let pair = || vec![engine("a", 0, 32), engine("b", 0, 32)];
    let full = |kv| {
        let report = LoadReport {
            server: ServerName::from("a"),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(1),
            measured_at: LATER,
            figures: LoadValues {
                kv: TokenCount(kv),
                ..LoadValues::default()
            },
        };
        let mut planner = planner(vec![engine("a", 0, 32)]);
        assert!(planner.report(&report));
        planner
    };
    let only_b = |engine: &EngineRecord| engine.announcement.server.as_str() == "b";
    let a_failed = [ServerName::from("a")];
    let both_failed = [ServerName::from("a"), ServerName::from("b")];
    let mut lines = Vec::new();
    let mut add_line = |name: &str, result| lines.push(format!("{name}: {}", describe(result)));
    let mut both = planner(pair());
    add_line(
        "selector",
        choose_with(&mut both, |query| query.allowed = &only_b),
    );
    add_line(
        "failed before",
        choose_with(&mut both, |query| query.excluded = &a_failed),
    );
    add_line(
        "all failed",
        choose_with(&mut both, |query| query.excluded = &both_failed),
    );
    assert!(both.remove(&ServerName::from("b")));
    add_line("left", choose(&mut both));
    add_line(
        "selector allows only a removed engine",
        choose_with(&mut both, |query| query.allowed = &only_b),
    );
    let soon = LATER.after(Duration::from_millis(100));
    add_line(
        "deadline",
        choose_with(&mut both, |query| query.deadline = Some(soon)),
    );
    add_line("memory for urgent only", choose(&mut full(91_000)));
    let urgent = choose_with(&mut full(91_000), |q| q.priority = RoutePriority::Urgent);
    add_line("urgent", urgent);
    add_line(
        "no memory",
        choose_with(&mut full(99_900), |q| q.priority = RoutePriority::Urgent),
    );
    insta::assert_snapshot!(lines.join("\n"), @r"
    selector: v1: b[0..32]
    failed before: v1: b[0..32]
    all failed: no route: no engine for layer 0 of version v1 could be taken: 2 failed before
    left: v1: a[0..32]
    selector allows only a removed engine: no route: no engine for layer 0 of version v1 could be taken: 1 not permitted
    deadline: no route: the best route takes 260 ms, after the deadline
    memory for urgent only: no route: no engine for layer 0 of version v1 could be taken: 1 without room
    urgent: v1: a[0..32]
    no memory: no route: no engine for layer 0 of version v1 could be taken: 1 without room
    ");
}

// Guards against a burst of failures that ejects all engines of a range. Three failures eject `a`;
// then `b` fails too, but at most one of two engines may be ejected. If `b` leaves, the ejected `a`
// serves again, and its ejection ends after the base ejection time.
#[test]
fn ejection_keeps_a_minimum_of_engines_in_service() {
    let mut planner = planner(vec![engine("a", 0, 32), engine("b", 0, 32)]);
    let fail = |planner: &mut FleetPlanner, name: &str| {
        let plan = choose(planner).unwrap();
        let flight = planner.started(LATER, &plan);
        planner.failed(LATER, flight, Some(&ServerName::from(name)));
    };
    for name in ["a", "a", "a", "b", "b", "b", "b"] {
        fail(&mut planner, name);
    }
    let ejected: Vec<(String, bool)> = planner
        .dump(LATER)
        .engines
        .iter()
        .map(|e| (e.announcement.server.to_string(), e.ejected))
        .collect();
    assert_eq!(ejected, [("a".to_owned(), true), ("b".to_owned(), false)]);
    assert_eq!(describe(choose(&mut planner)), "v1: b[0..32]");
    planner.remove(&ServerName::from("b"));
    assert_eq!(describe(choose(&mut planner)), "v1: a[0..32]");
    let back = LATER.after(OutlierSettings::default().base_ejection);
    planner.tick(back);
    assert!(!planner.dump(back).engines[0].ejected);
}

// Guards against an old, repeated or invalid announcement that replaces a newer one. Announcements
// can arrive out of order because servers send them to any entry. An error
// lists every finding.
#[test]
fn stale_and_invalid_announcements_change_nothing() {
    let mut planner = planner(Vec::new());
    let numbered = |incarnation, sequence, end| {
        changed("a", 0, end, |e| {
            e.incarnation = Incarnation(incarnation);
            e.sequence = SequenceNumber(sequence);
        })
    };
    let mut lines = Vec::new();
    for (incarnation, sequence, end) in [
        (2, 5, 32),
        (2, 5, 16),
        (2, 4, 16),
        (1, 9, 16),
        (2, 6, 33),
        (3, 1, 16),
        (3, 2, 32),
    ] {
        let outcome = planner.announce(LATER, numbered(incarnation, sequence, end));
        let outcome = outcome.map_err(|findings| findings.to_string().trim_end().to_owned());
        let route = describe(choose(&mut planner));
        lines.push(format!(
            "{incarnation}/{sequence} ..{end}: {outcome:?}; {route}"
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    2/5 ..32: Ok(Joined); v1: a[0..32]
    2/5 ..16: Ok(Ignored); v1: a[0..32]
    2/4 ..16: Ok(Ignored); v1: a[0..32]
    1/9 ..16: Ok(Ignored); v1: a[0..32]
    2/6 ..33: Err("a:0:0: error: layers of the announcement (accepted: a range within the model's layers)"); v1: a[0..32]
    3/1 ..16: Ok(Updated); no route: no engine holds layer 16 of version v1
    3/2 ..32: Ok(Updated); v1: a[0..32]
    "#);
}

// Guards against a throughput bound that ignores a bottleneck. The bottleneck is first the compute
// of the single engine of the first half, then the link between the data centres.
#[test]
fn the_throughput_bound_is_the_minimum_cut() {
    let remote = |name: &str| changed(name, 16, 32, |e| e.data_centre = DataCentreName::from("d2"));
    let mut planner = planner(vec![engine("a", 0, 16), remote("b"), remote("c")]);
    let (model, version) = (ModelName::from("m"), VersionName::from("v1"));
    let fast_link = planner.bound(&model, None, &version);
    let figures = LinkProperties {
        rate: ByteRate(1_000_000),
        latency: Duration::from_millis(1),
    };
    planner.set_link(&"d1".into(), &"d2".into(), figures);
    let slow_link = planner.bound(&model, None, &version);
    let rounded = [
        fast_link.flow,
        fast_link.compute,
        slow_link.flow,
        slow_link.compute,
    ]
    .map(f64::round);
    insta::assert_debug_snapshot!(rounded, @r"
    [
        802.0,
        802.0,
        35.0,
        802.0,
    ]
    ");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a refusal although a permitted pipeline exists, and against incomplete or
    // forbidden chains, for every policy. Fleets are random ranges, some of them not permitted; a
    // reachability check over the permitted ranges determines whether a pipeline exists.
    #[test]
    fn every_policy_finds_a_route_exactly_when_one_exists(
        ranges in prop::collection::vec((0_u32..8, 1_u32..5, 0_u8..4), 0..24),
    ) {
        let engines: Vec<EngineAnnouncement> = ranges
            .iter()
            .enumerate()
            .map(|(index, (first, span, mark))| {
                let end = (first + span).min(8) * 4;
                let name = format!("{}-{index}", if *mark == 0 { "barred" } else { "free" });
                engine(&name, first * 4, end)
            })
            .collect();
        let free = |engine: &EngineRecord| engine.announcement.server.as_str().starts_with("free");
        let mut reached = 0;
        for _ in 0..8 {
            let permitted = engines.iter().filter(|e| e.server.as_str().starts_with("free"));
            let usable = permitted.filter(|e| e.layers.first <= reached);
            reached = usable.map(|e| e.layers.end).max().unwrap_or(0).max(reached);
        }
        for policy in PolicyKind::ALL {
            let settings = RoutingSettings { policy, ..RoutingSettings::default() };
            let mut planner = planner_with(settings, engines.clone());
            let result = choose_with(&mut planner, |query| query.allowed = &free);
            assert_eq!(result.is_ok(), reached == LAYERS, "{policy}: {result:?}");
            if let Ok(plan) = result {
                let checked = check_chain(&plan.chain(), LAYERS, &VersionName::from("v1"));
                assert_eq!(checked, Ok(()));
                assert!(plan.stages.iter().all(|s| s.server.as_str().starts_with("free")));
            }
        }
    }
}
