//! Plain servers and surveyed engines: whom to ask, and how long what was told is believed.

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

fn chosen(loads: &ServerLoads, now: MonotonicTime, candidates: &[ServerCandidate]) -> String {
    let choice = loads.choose(now, candidates);
    choice.map_or_else(|| "none".to_owned(), |choice| choice.server.to_string())
}

// A permit check waits behind nobody while a server is idle: it stays near, leaves for idle servers
// elsewhere as soon as the near one has work, and what was told of others' requests fades.
#[test]
fn calls_go_to_the_least_loaded_server() {
    let candidates = [
        candidate("far", false, false),
        candidate("near", true, false),
        candidate("new", true, true),
    ];
    let mut loads = ServerLoads::new(OutlierSettings::default());
    let mut lines = vec![format!("idle: {}", chosen(&loads, at(0), &candidates))];
    loads.started(at(0), &name("near"));
    lines.push(format!(
        "one runs near: {}",
        chosen(&loads, at(0), &candidates)
    ));
    let busy = ReportedLoad {
        running: 4,
        waiting: 3,
    };
    loads.reported(at(10), &name("far"), busy);
    lines.push(format!(
        "far told of seven: {}",
        chosen(&loads, at(10), &candidates)
    ));
    lines.push(format!(
        "a second on: {}",
        chosen(&loads, at(1_010), &candidates)
    ));
    loads.ended(&name("near"));
    lines.push(format!(
        "it ended: {}",
        chosen(&loads, at(1_010), &candidates)
    ));
    lines.push(format!("nobody left: {}", chosen(&loads, at(1_010), &[])));
    insta::assert_snapshot!(lines.join("\n"), @"
    idle: near
    one runs near: far
    far told of seven: new
    a second on: far
    it ended: near
    nobody left: none
    ");
}

// A server that fails every call is left for the others, and comes back after its ejection; where
// all fail, calls still go somewhere, since a refusal helps nobody.
#[test]
fn a_server_that_fails_is_left_and_tried_again() {
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
    let during = chosen(&loads, at(1), &candidates);
    let alone = chosen(&loads, at(1), &candidates[..1]);
    loads.tick(at(600_000));
    let after = chosen(&loads, at(600_000), &candidates);
    assert_eq!([during, alone, after], ["good", "bad", "bad"]);
}

fn engine_note(incarnation: u64, running: Option<u32>, age: u64) -> SurveyResult {
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

// Surveys of two keepers meet after a partition, and an engine starts anew under its name: an older
// note, one of a former life and one that is two seconds old tell nothing of the engine of now.
#[test]
fn only_fresh_notes_of_the_present_life_are_believed() {
    let mut board = SurveyTable::default();
    let mut lines = Vec::new();
    let steps = [
        (1_000, engine_note(1, Some(5), 0)),
        (1_100, engine_note(1, Some(2), 600)),
        (1_200, engine_note(1, None, 0)),
        (1_300, engine_note(2, Some(1), 0)),
    ];
    for (millis, note) in steps {
        board.merge(at(millis), vec![note]);
        let lives = [1, 2].map(|life| {
            let known = board.get(at(millis), &name("e"), Incarnation(life));
            let load = known.map(|known| known.load.map(|load| load.running));
            format!("life {life}: {load:?}")
        });
        lines.push(format!("{millis} ms, {}", lives.join(", ")));
    }
    let late = board.get(at(3_300), &name("e"), Incarnation(2));
    lines.push(format!("two seconds on: {}", late.is_some()));
    insta::assert_snapshot!(lines.join("\n"), @"
    1000 ms, life 1: Some(Some(5)), life 2: None
    1100 ms, life 1: Some(Some(5)), life 2: None
    1200 ms, life 1: Some(None), life 2: None
    1300 ms, life 1: None, life 2: Some(Some(1))
    two seconds on: false
    ");
}
