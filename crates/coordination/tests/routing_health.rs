//! Streams over engines that die, and over engines that are only slow.

use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::routing::{ChainHealth, ChainVerdict, HealthSettings};

const PATIENCE: Duration = Duration::from_millis(100);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn chain(names: &[&str]) -> Vec<ServerName> {
    names.iter().map(|name| ServerName::from(*name)).collect()
}

fn told(now: u64, verdict: &ChainVerdict) -> String {
    let names = |servers: &[ServerName]| {
        let names: Vec<&str> = servers.iter().map(ServerName::as_str).collect();
        names.join(" ")
    };
    let (suspects, ask) = (names(&verdict.suspects), names(&verdict.probe));
    format!("{now}: suspects [{suspects}], ask [{ask}]")
}

/// The caller sees: one pause below its limit. Streams run over a-d-z, others over a-e-z; d dies at
/// 1,000 ms. Events of the other streams go on, so a and z are known to be alive, and d alone is
/// asked, once for all of its streams. It does not answer, and is left out until an event clears it.
#[test]
fn the_dead_stage_is_told_from_those_beside_it() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let (dead, other) = (chain(&["a", "d", "z"]), chain(&["a", "e", "z"]));
    for _ in 0..3 {
        health.started(&dead);
        health.started(&other);
    }
    health.mark_alive(at(1_000), &dead);
    let mut seen = Vec::new();
    for now in [1_050, 1_100, 1_110] {
        health.mark_alive(at(now), &other);
        seen.push(told(
            now,
            &health.diagnose(at(now), at(1_000), PATIENCE, &dead),
        ));
    }
    health.unanswered(at(1_180), &ServerName::from("d"));
    seen.push(told(
        1_180,
        &health.diagnose(at(1_180), at(1_000), PATIENCE, &dead),
    ));
    let left_out = ["a", "d", "e", "z"].map(|name| {
        let server = ServerName::from(name);
        format!("{name} {}", health.is_suspected(at(2_000), &server))
    });
    seen.push(left_out.join(", "));
    health.mark_alive(at(2_100), &dead);
    let cleared = health.is_suspected(at(2_100), &ServerName::from("d"));
    seen.push(format!("after an event of d: {cleared}"));
    insta::assert_snapshot!(seen.join("\n"), @r"
    1050: suspects [], ask []
    1100: suspects [], ask [d]
    1110: suspects [], ask []
    1180: suspects [d], ask []
    a false, d true, e false, z false
    after an event of d: false
    ");
}

/// The caller sees: its stream pauses and goes on where it was. Engines are short of memory and put
/// its request back, or read a long prompt, and answer when they are asked. Sent again, the request
/// would be read once more by engines that are short already, and so would hundreds of others.
#[test]
fn a_slow_stream_is_left_alone() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let (mut suspected, mut asked) = (0, 0);
    for now in (1_000..4_000).step_by(25) {
        let verdict = health.diagnose(at(now), at(900), PATIENCE, &engines);
        suspected += verdict.suspects.len();
        asked += verdict.probe.len();
        health.mark_alive(at(now + 5), &verdict.probe);
    }
    assert_eq!(suspected, 0);
    assert!((10..80).contains(&asked), "asked {asked} times");
}

/// One slow engine holds up the streams over hundreds of others, on hundreds of hosts. Each of them asked
/// all engines of its chains eight times a second though they answered. Engines that answer are asked less
/// and less often, and one that dies after it answered is still asked within half a second.
#[test]
fn engines_that_answer_are_asked_less_often() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let mut asked = Vec::new();
    for now in (1_000..4_000).step_by(25) {
        let verdict = health.diagnose(at(now), at(900), PATIENCE, &engines);
        for server in verdict.probe {
            if server.as_str() == "a" {
                asked.push(now);
            }
            health.answered(at(now + 5), &server);
        }
    }
    let gaps: Vec<u64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(&gaps[..2], [225, 425]);
    assert!(gaps[2..].iter().all(|gap| *gap == 425), "{gaps:?}");
    health.mark_alive(at(4_000), &engines);
    let verdict = health.diagnose(at(4_100), at(4_000), PATIENCE, &engines);
    assert_eq!(verdict.probe, engines, "an event starts anew");
}

/// The caller sees: a stream that is alone on its chain waits for an answer, not for a lease. An
/// asker that went away with its caller leaves the question open; the next one asks again.
#[test]
fn a_question_without_an_asker_is_asked_again() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a"]);
    health.started(&engines);
    let seen = [1_100, 1_200, 1_260].map(|now| {
        told(
            now,
            &health.diagnose(at(now), at(1_000), PATIENCE, &engines),
        )
    });
    insta::assert_snapshot!(seen.join("\n"), @r"
    1100: suspects [], ask [a]
    1200: suspects [], ask []
    1260: suspects [], ask [a]
    ");
}

/// The caller sees: its draft goes on elsewhere at once where an engine is gone, and only once
/// another has taken it where an engine is merely quiet. An event clears both.
#[test]
fn an_engine_that_is_gone_is_told_from_one_that_is_quiet() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let mut seen = Vec::new();
    let mut judge = |health: &mut ChainHealth, now: u64| {
        let verdict = health.diagnose(at(now), at(900), PATIENCE, &engines);
        let is_dead = verdict.is_dead;
        seen.push(format!("{}, dead {is_dead}", told(now, &verdict)));
    };
    health.unanswered(at(1_000), &ServerName::from("a"));
    judge(&mut health, 1_010);
    health.mark_unreachable(at(1_020), &ServerName::from("b"));
    judge(&mut health, 1_030);
    health.mark_alive(at(1_040), &chain(&["a", "b"]));
    judge(&mut health, 1_200);
    insta::assert_snapshot!(seen.join("\n"), @"
    1010: suspects [a], ask [b], dead false
    1030: suspects [a b], ask [], dead true
    1200: suspects [], ask [a b], dead false
    ");
}

/// The caller sees: its draft goes on though this host was too busy to read an answer in time. Another
/// host had one later, which clears the suspicion; a second suspicion stands, since then the path from
/// here is what is broken, and so does one of an engine at whose address nobody listens.
#[test]
fn another_hosts_answer_clears_a_suspicion_once() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let (a, b) = (ServerName::from("a"), ServerName::from("b"));
    health.unanswered(at(1_000), &a);
    health.mark_unreachable(at(1_000), &b);
    let mut seen = Vec::new();
    let mut note = |what: &str, health: &ChainHealth, now: u64| {
        let suspects = health.suspects(at(now));
        let names: Vec<&str> = suspects.iter().map(ServerName::as_str).collect();
        seen.push(format!("{what}: {}", names.join(" ")));
    };
    for (what, answered) in [
        ("answered before", 990),
        ("answered after", 1_300),
        ("answered again", 1_800),
    ] {
        health.cleared_by_peer(&a, at(answered));
        health.cleared_by_peer(&b, at(answered));
        note(what, &health, answered + 100);
        if answered == 1_300 {
            health.unanswered(at(1_500), &a);
        }
    }
    health.mark_alive(at(2_000), &engines);
    note("heard here", &health, 2_010);
    insta::assert_snapshot!(seen.join("\n"), @r"
    answered before: a b
    answered after: b
    answered again: a b
    heard here:
    ");
}
