//! Routes chosen from load reports and cache events that arrive late or get lost.

use crate::support::{
    LATER, changed, choose, choose_at, choose_with, describe, engine, planner, planner_with,
};
use pollendrift_coordination::base::{Incarnation, MonotonicTime, SequenceNumber, ServerName};
use pollendrift_coordination::retries::SlowStartSettings;
use pollendrift_coordination::routing::{
    ByteRate, CacheChange, CacheEvent, CacheOutcome, EngineRole, FleetPlanner, LoadReport,
    LoadValues, PolicyKind, PrefixDigest, PromptPrefix, RoutePlanner, RoutingSettings, TokenRate,
};

// Guards against routing prompts to an engine for a cached prefix that it has evicted. `b` stores
// the prefix, then event 3 is lost and event 4 arrives. Event 3 may have evicted the prefix, so
// nothing of `b` counts as cached until a snapshot arrives.
#[test]
fn no_prefix_counts_as_cached_between_an_event_gap_and_a_snapshot() {
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

// Guards against a stage that skips tokens whose activations a later stage needs. `a` runs the
// first half of the layers and `b` the second, and each holds the 80-token prefix or not. If `b`
// lacks the prefix, `a` must process it too; if only `a` lacks it, `b` still skips it.
#[test]
fn a_stage_skips_only_tokens_that_all_later_stages_cache() {
    let digest = PrefixDigest(9);
    let prefixes = [PromptPrefix { digest, tokens: 80 }];
    let mut saved = Vec::new();
    for holders in [vec!["a", "b"], vec!["a"], vec!["b"], Vec::new()] {
        let mut planner = planner(vec![engine("a", 0, 16), engine("b", 16, 32)]);
        for server in holders {
            planner.cache_event(&CacheEvent {
                server: ServerName::from(server),
                incarnation: Incarnation(1),
                sequence: SequenceNumber(1),
                change: CacheChange::Stored(vec![digest]),
            });
        }
        let plan = choose_with(&mut planner, |query| query.prefixes = &prefixes).unwrap();
        let stages: Vec<u32> = plan
            .stages
            .iter()
            .map(|stage| stage.cached_tokens)
            .collect();
        planner.started(LATER, &plan);
        let load: Vec<u64> = planner
            .dump(LATER)
            .engines
            .iter()
            .map(|e| e.load.prefill.0)
            .collect();
        saved.push((stages, load));
    }
    let expected = [
        (vec![80, 80], vec![20, 20]),
        (vec![0, 0], vec![100, 100]),
        (vec![0, 80], vec![100, 20]),
        (vec![0, 0], vec![100, 100]),
    ];
    assert_eq!(saved, expected);
}

// Guards against sending all requests to one engine because delayed reports show it as idle. 40
// requests start, then a report taken before them arrives, then a newer and an older one. Own
// requests since a report add to its load; an older report changes nothing.
#[test]
fn own_requests_add_to_the_load_of_delayed_reports() {
    let mut planner = planner(vec![engine("a", 0, 32), engine("b", 0, 32)]);
    let report = |sequence, measured_at, sequences| LoadReport {
        server: ServerName::from("a"),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(sequence),
        measured_at,
        figures: LoadValues {
            sequences,
            ..LoadValues::default()
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

// Guards against split prefill and decode over a link that makes the request slower. The prefill
// engine is twenty times as fast as the combined engine, but in the second case the link is a
// hundred times slower. The predicted time must include the transfer of the KV cache.
#[test]
fn the_prediction_of_split_roles_includes_the_kv_transfer() {
    let fleet = |link| {
        let role = |name: &str, role| {
            changed(name, 0, 32, |e| {
                e.role = role;
                e.prefill_rate = TokenRate(20_000);
                e.link_rate = ByteRate(link);
            })
        };
        let combined = changed("w", 0, 32, |e| e.prefill_rate = TokenRate(1_000));
        planner(vec![
            role("p", EngineRole::Prefill),
            role("d", EngineRole::Decode),
            combined,
        ])
    };
    let describe_long_prompt = |planner: &mut FleetPlanner| {
        describe(choose_with(planner, |query| query.prompt_tokens = 2_000))
    };
    assert_eq!(
        describe_long_prompt(&mut fleet(1_000_000_000)),
        "v1: p[0..32] => d[0..32]"
    );
    assert_eq!(describe_long_prompt(&mut fleet(10_000_000)), "v1: w[0..32]");
}

// Guards against a burst of requests onto a cold engine. `b` joins at the time of the choices and
// both engines are idle, so without slow start `b` would receive half of the requests instead of
// about a tenth.
#[test]
fn a_new_engine_receives_a_reduced_share() {
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

// Guards against drafts of one host being declined one after another by an engine whose last report
// shows free memory. After the first decline the planner avoids the engine until a report taken
// after the decline arrives or 250 ms have passed, unless no other engine exists.
#[test]
fn an_engine_that_declined_is_avoided_while_another_can_serve() {
    let after = |millis: u64| MonotonicTime::from_millis(60_000 + millis);
    let report = |measured_at| LoadReport {
        server: ServerName::from("a"),
        incarnation: Incarnation(1),
        sequence: SequenceNumber(1),
        measured_at,
        figures: LoadValues::default(),
    };
    let both = || vec![engine("a", 0, 32), engine("b", 0, 32)];
    let cases = [
        ("at once", both(), 10, None),
        ("reported before", both(), 20, Some(report(after(0)))),
        ("reported after", both(), 20, Some(report(after(15)))),
        ("249 ms later", both(), 259, None),
        ("250 ms later", both(), 260, None),
        ("alone", vec![engine("a", 0, 32)], 10, None),
    ];
    let mut lines = Vec::new();
    for (name, engines, millis, sent_report) in cases {
        let mut planner = planner(engines);
        planner.declined(after(10), &ServerName::from("a"));
        if let Some(report) = sent_report {
            planner.report(&report);
        }
        let plans = (0..50).filter_map(|_| choose_at(&mut planner, after(millis)).ok());
        let to_declining = plans.filter(|plan| plan.stages[0].server.as_str() == "a");
        let share = match to_declining.count() {
            0 => "none",
            50 => "all",
            _ => "some",
        };
        lines.push(format!("{name}: {share} of 50 to it"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    at once: none of 50 to it
    reported before: none of 50 to it
    reported after: some of 50 to it
    249 ms later: none of 50 to it
    250 ms later: some of 50 to it
    alone: all of 50 to it
    ");
}
