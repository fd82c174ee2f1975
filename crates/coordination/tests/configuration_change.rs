//! Concurrent changes, resends, history and deltas of the configuration.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    CanonicalText, ChangeAnswer, ChangeLog, ChangeRequest, ChangeRetention, EditRequest,
    FollowedConfiguration, PublishedSource, source_document,
};
use pollendrift_coordination::replicated::ReplicatedTime;
use pollendrift_coordination::routes::SourceVersion;
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const NOW: ReplicatedTime = ReplicatedTime::from_micros(0);

fn weight(customer: &str, weight: u32) -> String {
    format!("kind: labels\non: customer\nname: {customer}\nlabels: {{weight: {weight}}}\n")
}

fn change(id: &str, based_on: u64, operator: &str, text: &str) -> ChangeRequest {
    ChangeRequest {
        change_id: id.into(),
        based_on: Revision(based_on),
        operator: operator.into(),
        text: text.into(),
    }
}

fn describe(answer: &ChangeAnswer) -> String {
    match answer {
        ChangeAnswer::Accepted { revision, warnings } => {
            format!(
                "accepted as {revision}, {} warnings",
                warnings.iter().count()
            )
        }
        ChangeAnswer::Conflict(conflict) => format!("conflict: {conflict}"),
        ChangeAnswer::Refused { findings } => format!("refused: {}", findings.to_string().trim()),
        ChangeAnswer::ChangeIdReused => "change id reused".to_owned(),
    }
}

fn restore(log: &ChangeLog) -> ChangeLog {
    let mut bytes = Vec::new();
    ciborium::into_writer(log, &mut bytes).unwrap();
    ciborium::from_reader(bytes.as_slice()).unwrap()
}

// Guards against a resend that takes effect twice or gets another answer than the first call.
// Operators resend after a lost answer, also after later changes and after a restart of the
// keeper. Each line of the snapshot is one call and its answer, in order.
#[test]
fn one_concurrent_change_wins_and_resends_repeat_the_first_answer() {
    let a = weight("a", 1);
    let b = weight("b", 2);
    let calls = [
        ("first", change("c1", 0, "anna", &a)),
        ("same base revision loses", change("c2", 0, "bert", &b)),
        (
            "based on the first change",
            change("c3", 1, "bert", &format!("{a}---\n{b}")),
        ),
        (
            "resend of the first after later changes",
            change("c1", 0, "anna", &a),
        ),
        ("resend of the refused change", change("c2", 0, "bert", &b)),
        (
            "resend with a comment only",
            change("c1", 0, "anna", &format!("# again\n{a}")),
        ),
        ("same id, other content", change("c1", 0, "anna", &b)),
        ("same id, other base revision", change("c1", 2, "anna", &a)),
        ("same id, other operator", change("c1", 0, "bert", &a)),
        ("bad text", change("c4", 2, "anna", "kind: label\n")),
        (
            "resend of the bad text",
            change("c4", 2, "anna", "kind: label\n"),
        ),
        ("corrected under the same id", change("c4", 2, "anna", &a)),
        ("unknown base revision", change("c5", 9, "anna", &a)),
    ];
    let mut log = ChangeLog::new(ChangeRetention::default());
    let mut report = String::new();
    for (name, request) in &calls {
        let answer = log.decide(request, WallTime(0), NOW);
        let _ = writeln!(report, "{name} -> {}", describe(&answer));
        log = restore(&log);
        assert!(log.answer(&request.change_id).is_some(), "{name}");
    }
    insta::assert_snapshot!(report, @r#"
    first -> accepted as 1, 0 warnings
    same base revision loses -> conflict: based on revision 0, but 1 is in force; change c1 by anna made revision 1; yours against it: + labels on customer b, - labels on customer a
    based on the first change -> accepted as 2, 0 warnings
    resend of the first after later changes -> accepted as 1, 0 warnings
    resend of the refused change -> conflict: based on revision 0, but 1 is in force; change c1 by anna made revision 1; yours against it: + labels on customer b, - labels on customer a
    resend with a comment only -> accepted as 1, 0 warnings
    same id, other content -> change id reused
    same id, other base revision -> change id reused
    same id, other operator -> change id reused
    bad text -> refused: c4:1:7: error: there is no kind label (accepted: kind: labels, kind: selector or kind: source)
    resend of the bad text -> refused: c4:1:7: error: there is no kind label (accepted: kind: labels, kind: selector or kind: source)
    corrected under the same id -> change id reused
    unknown base revision -> conflict: based on revision 9, but 2 is in force; yours against it: - labels on customer b
    "#);
}

// Guards against a wrong or unmarked answer on the revision in force at a time. The clock of a
// proposer can jump, so that times and revisions are in different order.
#[test]
fn history_finds_the_revision_in_force_and_reports_clock_jumps() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    let times = [1_000, 2_000, 9_000, 3_000, 4_000];
    for (index, time) in times.into_iter().enumerate() {
        let based_on = u64::try_from(index).unwrap();
        let request = change(
            &format!("c{index}"),
            based_on,
            "anna",
            &weight("a", 1 + index as u32),
        );
        log.decide(&request, WallTime(time), NOW);
    }
    let mut report = String::new();
    for time in [500, 1_000, 2_999, 3_500, 4_000, 9_500] {
        let _ = match log.in_force_at(WallTime(time)) {
            None => writeln!(report, "{time}: before the history"),
            Some(answer) => writeln!(
                report,
                "{time}: revision {}, {}, clocks disagree: {}",
                answer.change.revision,
                answer.text.lines().last().unwrap_or_default().trim(),
                answer.clocks_disagree,
            ),
        };
    }
    insta::assert_snapshot!(report, @r#"
    500: before the history
    1000: revision 1, "weight": "1", clocks disagree: false
    2999: revision 2, "weight": "2", clocks disagree: false
    3500: revision 4, "weight": "4", clocks disagree: true
    4000: revision 5, "weight": "5", clocks disagree: true
    9500: revision 5, "weight": "5", clocks disagree: false
    "#);
}

// Guards against unbounded answers and history, and against a change that takes effect twice: a
// resend can arrive after its answer has expired.
#[test]
fn retention_limits_answers_and_history_by_count_and_age() {
    let retention = ChangeRetention {
        answers: 3,
        answer_age: Duration::from_secs(60),
        history: 2,
        ..ChangeRetention::default()
    };
    let mut log = ChangeLog::new(retention);
    let request = |index: u64| {
        change(
            &format!("c{index}"),
            index,
            "anna",
            &weight("a", 1 + index as u32),
        )
    };
    for index in 0..5 {
        log.decide(&request(index), WallTime(index), NOW);
    }
    assert_eq!((log.answer_count(), log.history().count()), (3, 2));
    assert!(log.canonical_at(Revision(2)).is_none());
    assert!(log.canonical_at(Revision(3)).is_some());

    let resent = log.decide(&request(0), WallTime(9), NOW);
    assert!(matches!(resent, ChangeAnswer::Conflict(_)), "{resent:?}");

    let later = NOW.after(Duration::from_secs(61));
    let answer = log.decide(&request(5), WallTime(9), later);
    assert_eq!(describe(&answer), "accepted as 6, 0 warnings");
    assert_eq!(log.answer_count(), 1);
}

// Guards against followers with different content at the same revision. A follower applies each
// delta, skips some or fetches the complete text; a delta that is repeated, starts from another
// revision or was altered in transit must not change its copy.
#[test]
fn deltas_and_complete_texts_lead_to_the_same_content() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    let mut follower_by_deltas = FollowedConfiguration::default();
    let mut followers = vec![follower_by_deltas.clone()];
    let texts = ["a b c", "a c", "a c d", "d"];
    for (index, customers) in texts.iter().enumerate() {
        let documents: Vec<String> = customers
            .split(' ')
            .map(|customer| weight(customer, 1 + index as u32))
            .collect();
        let based_on = u64::try_from(index).unwrap();
        let request = change(
            &format!("c{index}"),
            based_on,
            "anna",
            &documents.join("---\n"),
        );
        log.decide(&request, WallTime(0), NOW);
        follower_by_deltas
            .apply_delta(&log.delta_since(Revision(based_on)).unwrap())
            .unwrap();
        followers.push(follower_by_deltas.clone());
    }
    for (from, mut follower) in followers.into_iter().enumerate() {
        let delta = log.delta_since(Revision(from as u64)).unwrap();
        follower.apply_delta(&delta).unwrap();
        assert_eq!(follower.current().canonical(), log.canonical());
        assert_eq!(follower.current().revision(), Revision(4));
    }
    let mut from_text = FollowedConfiguration::default();
    from_text
        .apply_text(Revision(4), &log.canonical().text())
        .unwrap();
    assert_eq!(
        from_text.current().digest(),
        follower_by_deltas.current().digest()
    );

    let mut altered = log.delta_since(Revision(3)).unwrap();
    altered.from = Revision(4);
    altered.to = Revision(5);
    altered.changes[0].text = None;
    let refusals = [
        follower_by_deltas.apply_delta(&log.delta_since(Revision(3)).unwrap()),
        follower_by_deltas.apply_delta(&altered),
        follower_by_deltas.apply_text(Revision(3), ""),
        follower_by_deltas.apply_text(Revision(5), "kind: pipeline\n"),
    ];
    let refusals: Vec<String> = refusals
        .map(|refusal| refusal.unwrap_err().to_string())
        .into();
    insta::assert_debug_snapshot!(refusals, @r#"
    [
        "the delta starts from revision 3, not 4",
        "revision 5 has another content than its digest says",
        "revision 3 is below 4",
        "revision 5 can't be read: revision 5:1:7: error: there is no kind pipeline (accepted: kind: labels, kind: selector or kind: source)\n",
    ]
    "#);
    assert_eq!(follower_by_deltas.current().revision(), Revision(4));
    assert!(log.delta_since(Revision(5)).is_none());
}

// Guards against a keeper that loses or changes the accepted configuration after an upgrade. A new
// version of this software can refuse the operator's text or read other content from it, so that
// the keeper has to fall back to the canonical text.
#[test]
fn a_restart_builds_the_accepted_content_from_the_canonical_text() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    log.decide(&change("c1", 0, "anna", &weight("a", 3)), WallTime(0), NOW);
    let accepted = log.build().unwrap().digest();
    for text in ["kind: former\n".to_owned(), weight("a", 4)] {
        let mut value = ciborium::Value::serialized(&log).unwrap();
        for (key, field) in value.as_map_mut().unwrap() {
            if key.as_text() == Some("text") {
                *field = ciborium::Value::Text(text.clone());
            }
        }
        let mut restarted: ChangeLog = value.deserialized().unwrap();
        assert_eq!(&**restarted.text(), text);
        assert_eq!(restarted.build().unwrap().digest(), accepted);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 24,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against two changes that create the same revision, and against a change id whose
    // answer changes. Fifty operators send changes based on recent revisions and resend them while
    // the log is restored.
    #[test]
    fn each_revision_has_one_change_and_each_change_id_one_answer(
        calls in proptest::collection::vec((0..50_u8, any::<bool>()), 1..200),
    ) {
        let mut log = ChangeLog::new(ChangeRetention::default());
        let mut seen: BTreeMap<u8, (u64, ChangeRequest, ChangeAnswer)> = BTreeMap::new();
        let mut winners: BTreeMap<Revision, String> = BTreeMap::new();
        for (operator, resend) in calls {
            let last = seen.get(&operator).cloned();
            if let (Some((_, request, first)), true) = (&last, resend) {
                assert_eq!(&log.decide(request, WallTime(0), NOW), first);
                continue;
            }
            let number = last.map_or(0, |(number, _, _)| number + 1);
            let based_on = log.revision().0.saturating_sub(u64::from(operator % 3));
            let id = format!("{operator}-{number}");
            let request = change(&id, based_on, "anna", &weight("a", 1 + u32::from(operator)));
            let answer = log.decide(&request, WallTime(0), NOW);
            if let ChangeAnswer::Accepted { revision, .. } = &answer {
                assert_eq!(revision.0, based_on + 1);
                assert!(winners.insert(*revision, id).is_none());
            }
            seen.insert(operator, (number, request, answer));
            if operator % 8 == 0 {
                log = restore(&log);
            }
        }
        let kept: Vec<u64> = log.history().map(|change| change.revision.0).collect();
        let expected: Vec<u64> = (1..=log.revision().0).rev().collect();
        assert_eq!(kept, expected);
    }
}

// Guards against deltas that carry the complete source of 1,400 routes when one route is added,
// removed or moved; such deltas added up to 2 GB between hosts in a busy minute. The follower has
// to get exactly the published text.
#[test]
fn a_delta_for_one_route_of_many_is_small() {
    let source = |version: u64, routes: &[u64]| {
        let routes: Vec<String> = routes
            .iter()
            .map(|route| {
                format!(r#"{{"name":"r-{route}","host":"a.example","prefix":"/p{route}/"}}"#)
            })
            .collect();
        let text = format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(","));
        source_document(&PublishedSource {
            version: SourceVersion(version),
            text: text.into(),
        })
    };
    let mut routes: Vec<u64> = (0..1_400).collect();
    let mut log = ChangeLog::new(ChangeRetention::default());
    let mut follower = FollowedConfiguration::default();
    let mut report = Vec::new();
    for (version, step) in [
        (1, "first"),
        (2, "one less"),
        (3, "one more"),
        (4, "one moved"),
        (5, "reversed"),
    ] {
        match step {
            "one less" => drop(routes.remove(700)),
            "one more" => routes.push(5_000),
            "one moved" => routes.swap(3, 1_200),
            "reversed" => routes.reverse(),
            _ => {}
        }
        let text = source(version, &routes);
        let change = change(&format!("c{version}"), version - 1, "anna", &text);
        let before = log.revision();
        log.decide(&change, WallTime(1), NOW);
        let delta = log.delta_since(before).unwrap();
        let mut frame = Vec::new();
        ciborium::into_writer(&delta, &mut frame).unwrap();
        follower.apply_delta(&delta).unwrap();
        let is_equal = follower.current().canonical().text() == text;
        let size = if frame.len() < 2_000 {
            "below 2 kB"
        } else {
            "more"
        };
        report.push(format!("{step}: {size}, equal {is_equal}"));
    }
    let first = restore(&log).canonical_at(Revision(1)).unwrap().text();
    report.push(format!(
        "history holds the first text: {}",
        first == source(1, &(0..1_400).collect::<Vec<u64>>())
    ));
    insta::assert_snapshot!(report.join("\n"), @r"
    first: more, equal true
    one less: below 2 kB, equal true
    one more: below 2 kB, equal true
    one moved: below 2 kB, equal true
    reversed: more, equal true
    history holds the first text: true
    ");
}

fn routes(version: u64, names: &[u64]) -> PublishedSource {
    let route = |name: &u64| format!(r#"{{"name":"r-{name}","prefix":"/p{name}/"}}"#);
    let routes: Vec<String> = names.iter().map(route).collect();
    PublishedSource {
        version: SourceVersion(version),
        text: format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(",")).into(),
    }
}

fn edit(id: &str, log: &ChangeLog, source: &PublishedSource) -> EditRequest {
    let later = log.canonical().with_source(source);
    EditRequest {
        change_id: id.into(),
        based_on: log.revision(),
        operator: "anna".into(),
        changes: log.canonical().changes_to(&later),
        digest: later.digest(),
    }
}

// Guards against an edit that is decided differently from the complete text that it produces. The
// calls include resends, a concurrent change and an edit whose digest does not match its content.
#[test]
fn an_edit_is_decided_as_its_complete_text() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    log.decide(&change("w", 0, "anna", &weight("a", 1)), WallTime(0), NOW);
    let first = edit("e1", &log, &routes(1, &[1, 2, 3]));
    let concurrent = edit("e2", &log, &routes(2, &[4]));
    let mut forged = edit("e3", &log, &routes(3, &[5]));
    forged.digest = first.digest;
    let mut report = String::new();
    let calls = [
        ("wrong digest", &forged),
        ("first", &first),
        ("concurrent", &concurrent),
        ("first again", &first),
        ("concurrent again", &concurrent),
        ("wrong digest again", &forged),
    ];
    for (name, request) in calls {
        let answer = log.decide_edit(request, WallTime(0), NOW).answer;
        let _ = writeln!(report, "{name} -> {}", describe(&answer));
        log = restore(&log);
    }
    let complete = log.canonical().text();
    let resent = change("e1", first.based_on.0, "anna", &complete);
    let answer = log.decide(&resent, WallTime(0), NOW);
    let _ = writeln!(report, "first as a complete text -> {}", describe(&answer));
    insta::assert_snapshot!(report, @r"
    wrong digest -> refused: e3:0:0: error: the edit leads to another content than it names (accepted: the digest of its content)
    first -> accepted as 2, 0 warnings
    concurrent -> conflict: based on revision 1, but 2 is in force; change e1 by anna made revision 2; yours against it: ~ source
    first again -> accepted as 2, 0 warnings
    concurrent again -> conflict: based on revision 1, but 2 is in force; change e1 by anna made revision 2; yours against it: ~ source
    wrong digest again -> refused: e3:0:0: error: the edit leads to another content than it names (accepted: the digest of its content)
    first as a complete text -> accepted as 2, 0 warnings
    ");
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(27),
        ..Config::default()
    })]

    // Guards against keepers whose log differs between edits and complete texts: both have to lead
    // to the same text, history and deltas for any added, removed and moved routes.
    #[test]
    fn edits_and_complete_texts_lead_to_the_same_log(
        steps in proptest::collection::vec(proptest::collection::vec(0_u64..60, 0..40), 1..8)
    ) {
        let mut edited = ChangeLog::new(ChangeRetention::default());
        let mut complete = ChangeLog::new(ChangeRetention::default());
        for (index, names) in steps.iter().enumerate() {
            let number = index as u64;
            let source = routes(number, names);
            let request = edit(&format!("c{number}"), &edited, &source);
            let decision = edited.decide_edit(&request, WallTime(1), NOW);
            assert!(decision.configuration.is_some(), "{names:?}");
            let text = source_document(&source);
            complete.decide(&change(&format!("c{number}"), number, "anna", &text), WallTime(1), NOW);
            assert_eq!(edited.canonical(), complete.canonical());
        }
        for revision in 0..=edited.revision().0 {
            let revision = Revision(revision);
            let texts = [&edited, &complete].map(|log| log.canonical_at(revision).map(|c| c.text()));
            assert_eq!(texts[0], texts[1], "revision {revision}");
            let mut follower = FollowedConfiguration::default();
            if let (Some(text), Some(delta)) = (&texts[0], edited.delta_since(revision)) {
                follower.apply_text(revision, text).unwrap();
                follower.apply_delta(&delta).unwrap();
                assert_eq!(follower.current().canonical(), edited.canonical());
            }
        }
    }
}

// Guards against quadratic time to compare two texts when thousands of routes are added at once.
// Keepers blocked for seconds, hosts lost their leases, and half of all requests were refused.
#[test]
fn many_new_routes_in_a_row_cost_linear_time() {
    let before = CanonicalText::default().with_source(&routes(1, &[1]));
    let names: Vec<u64> = (2..200_000).collect();
    let after = before.with_source(&routes(2, &names));
    let begun = std::time::Instant::now();
    let changes = before.changes_to(&after);
    assert_eq!(changes.len(), 1);
    // Copying 8 MB in quadratic time takes minutes.
    assert!(begun.elapsed() < Duration::from_secs(20));
}

// Guards against keepers that compare the texts of thousands of routes for each host that asks from another
// revision: their answers came too late, and the hosts asked again.
#[test]
fn deltas_for_hosts_at_many_revisions_cost_no_comparison_of_texts() {
    const REVISIONS: u64 = 24;
    let mut log = ChangeLog::new(ChangeRetention::default());
    for number in 0..REVISIONS {
        let names: Vec<u64> = (0..20_000 + number).collect();
        let request = edit(&format!("c{number}"), &log, &routes(number, &names));
        let decision = log.decide_edit(&request, WallTime(1), NOW);
        assert!(decision.configuration.is_some());
    }
    let begun = std::time::Instant::now();
    for _ in 0..200 {
        for revision in 1..REVISIONS {
            let delta = log.delta_since(Revision(revision)).unwrap();
            assert_eq!(delta.changes.len(), 1);
            // Comparing the texts each time takes minutes.
            assert!(begun.elapsed() < Duration::from_secs(20));
        }
    }
}
