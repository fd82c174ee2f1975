//! Contract of the route planner: fault cases in tables, and coverage under any fleet.

use std::sync::LazyLock;
use std::time::Duration;

use pollendrift_coordination::base::{
    AdapterName, DataCentreName, Incarnation, LayerRange, ModelName, MonotonicTime, SequenceNumber,
    ServerName, VersionName,
};
use pollendrift_coordination::ledger::check_chain;
use pollendrift_coordination::retries::{OutlierSettings, SlowStartSettings};
use pollendrift_coordination::routing::{
    AcceleratorKind, ByteRate, CacheChange, CacheEvent, CacheOutcome, EngineAnnouncement,
    EngineRecord, EngineRole, FleetPlanner, LinkFigures, LoadFigures, LoadReport, NoRoute,
    PermitAll, PolicyKind, PrefixDigest, PromptPrefix, RoutePlan, RoutePlanner, RoutePriority,
    RouteQuery, RoutingSettings, TokenCount, TokenRate, UpsertOutcome,
};
use proptest::prelude::{ProptestConfig, prop, proptest};

const LAYERS: u32 = 32;
const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);

fn engine(name: &str, first: u32, end: u32) -> EngineAnnouncement {
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

fn planner_with(settings: RoutingSettings, engines: Vec<EngineAnnouncement>) -> FleetPlanner {
    let mut planner = FleetPlanner::new(settings, 7);
    for engine in engines {
        let outcome = planner.announce(MonotonicTime::START, engine);
        assert_eq!(outcome, Ok(UpsertOutcome::Joined));
    }
    planner.tick(LATER);
    planner
}

fn planner(engines: Vec<EngineAnnouncement>) -> FleetPlanner {
    planner_with(RoutingSettings::default(), engines)
}

fn changed<F>(name: &str, first: u32, end: u32, change: F) -> EngineAnnouncement
where
    F: FnOnce(&mut EngineAnnouncement),
{
    let mut announcement = engine(name, first, end);
    change(&mut announcement);
    announcement
}

fn query(model: &ModelName) -> RouteQuery<'_> {
    RouteQuery {
        model,
        version: None,
        adapter: None,
        allowed: &PermitAll,
        excluded: &[],
        prompt_tokens: 100,
        expected_tokens: 50,
        prefixes: &[],
        deadline: None,
        priority: RoutePriority::Normal,
    }
}

fn choose_with<'a, F>(planner: &mut FleetPlanner, change: F) -> Result<RoutePlan, NoRoute>
where
    F: FnOnce(&mut RouteQuery<'a>),
{
    static MODEL: LazyLock<ModelName> = LazyLock::new(|| ModelName::from("m"));
    let mut query = query(&MODEL);
    change(&mut query);
    planner.choose(LATER, &query)
}

fn choose(planner: &mut FleetPlanner) -> Result<RoutePlan, NoRoute> {
    choose_with(planner, |_| {})
}

fn describe(result: Result<RoutePlan, NoRoute>) -> String {
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

// The caller's prompt goes where its prefix is cached, and nowhere for a hit that may be gone.
// `b` tells of the prefix, then event 3 is lost and 4 arrives; a snapshot ends the doubt.
// Until the snapshot nothing of `b` counts, since event 3 may have evicted the prefix.
#[test]
fn a_gap_in_cache_events_means_not_known() {
    let slow = |name| changed(name, 0, 32, |e| e.prefill_rate = TokenRate(1_000));
    let mut planner = planner(vec![slow("a"), slow("b")]);
    let digest = PrefixDigest(9);
    let event = |sequence, change| CacheEvent {
        server: ServerName::from("b"),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(sequence),
        change,
    };
    let prefixes = [PromptPrefix { digest, tokens: 80 }];
    let mut outcomes = Vec::new();
    let steps = [
        event(1, CacheChange::Stored(vec![digest])),
        event(2, CacheChange::Stored(vec![PrefixDigest(1)])),
        event(4, CacheChange::Stored(vec![digest])),
        event(5, CacheChange::Stored(vec![digest])),
        event(3, CacheChange::Evicted(vec![digest])),
        event(6, CacheChange::Snapshot(vec![digest])),
        event(7, CacheChange::Evicted(vec![digest])),
    ];
    for step in steps {
        let outcome = planner.cache_event(&step);
        let plan = choose_with(&mut planner, |query| query.prefixes = &prefixes).unwrap();
        outcomes.push((step.sequence.0, outcome, plan.cached_tokens));
    }
    let expected = [
        (1, CacheOutcome::Applied, 80),
        (2, CacheOutcome::Applied, 80),
        (4, CacheOutcome::ResyncNeeded, 0),
        (5, CacheOutcome::ResyncNeeded, 0),
        (3, CacheOutcome::Ignored, 0),
        (6, CacheOutcome::Applied, 80),
        (7, CacheOutcome::Applied, 0),
    ];
    assert_eq!(outcomes, expected);
}

// The caller's requests are spread though every report still says that both engines are idle.
// 40 requests go out, then reports that were taken before them arrive late, then a fresh one.
// Own work after the time of a report counts on top of it; an older report changes nothing.
#[test]
fn lagging_reports_do_not_hide_own_work() {
    let mut planner = planner(vec![engine("a", 0, 32), engine("b", 0, 32)]);
    let report = |sequence, taken, sequences| LoadReport {
        server: ServerName::from("a"),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(sequence),
        taken,
        figures: LoadFigures {
            sequences,
            ..LoadFigures::default()
        },
    };
    let mut flights = Vec::new();
    for _ in 0..40 {
        let plan = choose(&mut planner).unwrap();
        flights.push(planner.started(LATER, &plan));
    }
    let own: Vec<u64> = planner
        .dump(LATER)
        .engines
        .iter()
        .map(|e| e.own_sequences)
        .collect();
    assert!(own.iter().all(|count| (18..=22).contains(count)), "{own:?}");
    let before = MonotonicTime::from_millis(59_000);
    let after = MonotonicTime::from_millis(61_000);
    let mut seen = Vec::new();
    for step in [
        report(1, before, 7),
        report(3, after, 30),
        report(2, after, 0),
    ] {
        planner.report(&step);
        seen.push(planner.dump(after).engines[0].load.sequences - u32::try_from(own[0]).unwrap());
    }
    let others = u32::try_from(own[0]).unwrap();
    assert_eq!(seen, [7, 30 - others, 30 - others]);
    for flight in flights {
        planner.finished(after, flight);
    }
    assert_eq!(planner.dump(after).engines[0].load.sequences, 30 - others);
    assert_eq!(planner.dump(after).flights, 0);
}

// The caller's prompt is worked through apart only where the hand-over pays.
// A prefill engine is twenty times as fast as the whole one; then its link is a hundred times
// slower. The hand-over of the KV cache counts in the prediction, so the slow link loses.
#[test]
fn a_hand_over_counts_the_link() {
    let fleet = |link| {
        let role = |name: &str, role| {
            changed(name, 0, 32, |e| {
                e.role = role;
                e.prefill_rate = TokenRate(20_000);
                e.link_rate = ByteRate(link);
            })
        };
        let whole = changed("w", 0, 32, |e| e.prefill_rate = TokenRate(1_000));
        planner(vec![
            role("p", EngineRole::Prefill),
            role("d", EngineRole::Decode),
            whole,
        ])
    };
    let long = |planner: &mut FleetPlanner| {
        describe(choose_with(planner, |query| query.prompt_tokens = 2_000))
    };
    assert_eq!(long(&mut fleet(1_000_000_000)), "v1: p[0..32] => d[0..32]");
    assert_eq!(long(&mut fleet(10_000_000)), "v1: w[0..32]");
}

// The caller sees no burst onto a cold engine: one that joined a moment ago takes a tenth.
// `b` joins beside `a` at the time of the choices; both are idle, so prediction alone would halve.
#[test]
fn a_new_engine_starts_slowly() {
    let settings = RoutingSettings {
        policy: PolicyKind::PowerOfTwo,
        slow_start: SlowStartSettings::default(),
        ..RoutingSettings::default()
    };
    let mut planner = planner_with(settings, vec![engine("a", 0, 32)]);
    assert!(planner.announce(LATER, engine("b", 0, 32)).is_ok());
    let picks = (0..1_000).map(|_| choose(&mut planner).unwrap());
    let to_new = picks
        .filter(|plan| plan.stages[0].server.as_str() == "b")
        .count();
    assert!((20..300).contains(&to_new), "{to_new}");
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
