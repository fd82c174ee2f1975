//! Routes and refusals over fleets that lack something.

use crate::support::{
    LATER, LAYERS, changed, choose, choose_with, describe, engine, planner, planner_with,
};
use pollendrift_coordination::base::{
    AdapterName, DataCentreName, Incarnation, ModelName, SequenceNumber, ServerName, VersionName,
};
use pollendrift_coordination::ledger::check_chain;
use pollendrift_coordination::retries::OutlierSettings;
use pollendrift_coordination::routing::{
    ByteRate, EngineAnnouncement, EngineRecord, FleetPlanner, LinkFigures, LoadFigures, LoadReport,
    PolicyKind, RoutePlanner, RoutePriority, RoutingSettings, TokenCount,
};
use proptest::prelude::{ProptestConfig, prop, proptest};
use std::time::Duration;

// The caller gets a pipeline over all layers in one version, or the true reason why there is none.
// Each fleet lacks something: a layer, a version over all layers, an adapter, the model itself.
// The planner never joins versions, and cuts an overlapping engine at the front.
#[test]
fn fleets_give_a_whole_pipeline_or_the_reason() {
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

// The caller's request is never sent to an engine that it may not use, that failed it before, that
// has left, that is ejected or full. Ejected engines serve only where nothing else is left.
#[test]
fn engines_that_may_not_serve_are_passed_over() {
    let pair = || vec![engine("a", 0, 32), engine("b", 0, 32)];
    let full = |kv| {
        let report = LoadReport {
            server: ServerName::from("a"),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(1),
            taken: LATER,
            figures: LoadFigures {
                kv: TokenCount(kv),
                ..LoadFigures::default()
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
    let mut note = |name: &str, result| lines.push(format!("{name}: {}", describe(result)));
    let mut both = planner(pair());
    note(
        "selector",
        choose_with(&mut both, |query| query.allowed = &only_b),
    );
    note(
        "failed before",
        choose_with(&mut both, |query| query.excluded = &a_failed),
    );
    note(
        "all failed",
        choose_with(&mut both, |query| query.excluded = &both_failed),
    );
    assert!(both.remove(&ServerName::from("b")));
    note("left", choose(&mut both));
    note(
        "selector of one that left",
        choose_with(&mut both, |query| query.allowed = &only_b),
    );
    let soon = LATER.after(Duration::from_millis(100));
    note(
        "deadline",
        choose_with(&mut both, |query| query.deadline = Some(soon)),
    );
    note("room for urgent only", choose(&mut full(91_000)));
    let urgent = choose_with(&mut full(91_000), |q| q.priority = RoutePriority::Urgent);
    note("urgent", urgent);
    note(
        "no room at all",
        choose_with(&mut full(99_900), |q| q.priority = RoutePriority::Urgent),
    );
    insta::assert_snapshot!(lines.join("\n"), @r"
    selector: v1: b[0..32]
    failed before: v1: b[0..32]
    all failed: no route: no engine for layer 0 of version v1 could be taken: 2 failed before
    left: v1: a[0..32]
    selector of one that left: no route: no engine for layer 0 of version v1 could be taken: 1 not permitted
    deadline: no route: the best route takes 260 ms, after the deadline
    room for urgent only: no route: no engine for layer 0 of version v1 could be taken: 1 without room
    urgent: v1: a[0..32]
    no room at all: no route: no engine for layer 0 of version v1 could be taken: 1 without room
    ");
}

// The caller is served by the engine that works while its peer fails, and by the failing one again
// when the other is gone. Three failures eject `a`; then `b` fails too, but the floor keeps it.
// One ejected of two is the most that the floor allows, so no burst of failures empties a range.
#[test]
fn failing_engines_are_ejected_down_to_a_floor() {
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

// An announcement that is old, repeated or unfit changes nothing; all that is wrong is named.
// Arrival order is no guide, since the balancer sends heartbeats through any entry.
#[test]
fn stale_and_unfit_announcements_change_nothing() {
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

// The bound is the narrowest cut: compute of the few, then the link between data centres.
#[test]
fn the_bound_is_the_narrowest_cut() {
    let far = |name: &str| changed(name, 16, 32, |e| e.data_centre = DataCentreName::from("d2"));
    let mut planner = planner(vec![engine("a", 0, 16), far("b"), far("c")]);
    let (model, version) = (ModelName::from("m"), VersionName::from("v1"));
    let wide = planner.bound(&model, None, &version);
    let figures = LinkFigures {
        rate: ByteRate(1_000_000),
        latency: Duration::from_millis(1),
    };
    planner.set_link(&"d1".into(), &"d2".into(), figures);
    let narrow = planner.bound(&model, None, &version);
    let rounded = [wide.flow, wide.compute, narrow.flow, narrow.compute].map(f64::round);
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

    // The caller gets a whole, permitted chain whenever one exists, by every policy.
    // Fleets are random ranges of which some are not permitted; a plain reachability walk over the
    // permitted ranges says whether there is a pipeline. A refusal must be true.
    #[test]
    fn a_route_is_found_exactly_when_there_is_one(
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
                let whole = check_chain(&plan.chain(), LAYERS, &VersionName::from("v1"));
                assert_eq!(whole, Ok(()));
                assert!(plan.stages.iter().all(|s| s.server.as_str().starts_with("free")));
            }
        }
    }
}
