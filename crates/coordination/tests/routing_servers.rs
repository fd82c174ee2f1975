//! Selection of servers of plain services, and the validity of survey results.

use std::time::Duration;

use pollendrift_coordination::base::{Incarnation, MonotonicTime, ServerName};
use pollendrift_coordination::retries::OutlierSettings;
use pollendrift_coordination::routing::{
    EngineLoad, ReportedLoad, ServerCandidate, ServerLoads, SurveyResult, SurveyTable,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn name(server: &str) -> ServerName {
    ServerName::from(server)
}

fn candidate(server: &str, near: bool, cold: bool) -> ServerCandidate {
    ServerCandidate {
        server: name(server),
        slots: 4,
        cold,
        near,
    }
}

fn choose(loads: &ServerLoads, now: MonotonicTime, candidates: &[ServerCandidate]) -> String {
    let choice = loads.choose(now, candidates);
    choice.map_or_else(|| "none".to_owned(), |choice| choice.server.to_string())
}

// Guards against a call that queues on one server while another is idle. Calls stay in the
// local data centre, move to idle servers elsewhere as soon as the local one has work, and the
// weight of other hosts' reported requests decays.
#[test]
fn calls_go_to_the_least_loaded_server() {
    let candidates = [
        candidate("far", false, false),
        candidate("near", true, false),
        candidate("new", true, true),
    ];
    let mut loads = ServerLoads::new(OutlierSettings::default());
    let mut lines = vec![format!("idle: {}", choose(&loads, at(0), &candidates))];
    loads.started(at(0), &name("near"));
    lines.push(format!(
        "one runs near: {}",
        choose(&loads, at(0), &candidates)
    ));
    let busy = ReportedLoad {
        running: 4,
        waiting: 3,
    };
    loads.reported(at(10), &name("far"), busy);
    lines.push(format!(
        "far reported seven: {}",
        choose(&loads, at(10), &candidates)
    ));
    lines.push(format!(
        "one second later: {}",
        choose(&loads, at(1_010), &candidates)
    ));
    loads.ended(&name("near"));
    lines.push(format!(
        "the near call ended: {}",
        choose(&loads, at(1_010), &candidates)
    ));
    lines.push(format!("no candidates: {}", choose(&loads, at(1_010), &[])));
    insta::assert_snapshot!(lines.join("\n"), @"
    idle: near
    one runs near: far
    far reported seven: new
    one second later: far
    the near call ended: near
    no candidates: none
    ");
}

// Guards against calls to a server that fails every one of them, and against a refusal when every
// server is ejected. An ejected server receives calls again after its ejection; if all are ejected,
// calls are still sent.
#[test]
fn a_failing_server_is_ejected_and_later_used_again() {
    let candidates = [
        candidate("bad", true, false),
        candidate("good", false, false),
    ];
    let settings = OutlierSettings::default();
    let mut loads = ServerLoads::new(settings);
    for _ in 0..20 {
        loads.started(at(0), &name("bad"));
        loads.failed(at(0), &name("bad"), 2);
        loads.ended(&name("bad"));
    }
    let during = choose(&loads, at(1), &candidates);
    let alone = choose(&loads, at(1), &candidates[..1]);
    loads.tick(at(600_000));
    let after = choose(&loads, at(600_000), &candidates);
    assert_eq!([during, alone, after], ["good", "bad", "bad"]);
}

fn survey_result(incarnation: u64, running: Option<u32>, age: u64) -> SurveyResult {
    SurveyResult {
        server: name("e"),
        incarnation: Incarnation(incarnation),
        load: running.map(|running| EngineLoad {
            running,
            waiting: 0,
            kv_tokens: 0,
            slowness: 100,
        }),
        age: Duration::from_millis(age),
    }
}

// Guards against outdated survey results. After a partition the surveys of two keepers overlap, and
// an engine restarts under its name. An older result, a result of a previous incarnation, or a
// result that is two seconds old does not describe the current engine.
#[test]
fn outdated_survey_results_are_ignored() {
    let mut table = SurveyTable::default();
    let mut lines = Vec::new();
    let steps = [
        (1_000, survey_result(1, Some(5), 0)),
        (1_100, survey_result(1, Some(2), 600)),
        (1_200, survey_result(1, None, 0)),
        (1_300, survey_result(2, Some(1), 0)),
    ];
    for (millis, result) in steps {
        table.merge(at(millis), vec![result]);
        let incarnations = [1, 2].map(|incarnation| {
            let known = table.get(at(millis), &name("e"), Incarnation(incarnation));
            let load = known.map(|known| known.load.map(|load| load.running));
            format!("incarnation {incarnation}: {load:?}")
        });
        lines.push(format!("{millis} ms, {}", incarnations.join(", ")));
    }
    let late = table.get(at(3_300), &name("e"), Incarnation(2));
    lines.push(format!("two seconds later: {}", late.is_some()));
    insta::assert_snapshot!(lines.join("\n"), @"
    1000 ms, incarnation 1: Some(Some(5)), incarnation 2: None
    1100 ms, incarnation 1: Some(Some(5)), incarnation 2: None
    1200 ms, incarnation 1: Some(None), incarnation 2: None
    1300 ms, incarnation 1: None, incarnation 2: Some(Some(1))
    two seconds later: false
    ");
}
