//! Streams over engines that die, and over engines that are only slow.

use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::routing::{ChainHealth, HealthSettings, StreamSilence};

const EARLY: Duration = Duration::from_millis(120);
const LATE: Duration = Duration::from_millis(400);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn chain(names: &[&str]) -> Vec<ServerName> {
    names.iter().map(|name| ServerName::from(*name)).collect()
}

fn silence(since: u64) -> StreamSilence {
    StreamSilence {
        since: at(since),
        early: EARLY,
        late: LATE,
    }
}

fn names(servers: &[ServerName]) -> String {
    let names: Vec<&str> = servers.iter().map(ServerName::as_str).collect();
    names.join(" ")
}

/// The caller sees: one pause below its limit. Three streams run over a-d-z, others over a-e-z; d
/// dies at 1,000 ms. Events of the other streams go on, so a and z are known to be alive, and d
/// alone is left out when its streams have been silent for long enough together.
#[test]
fn the_dead_stage_is_told_from_those_beside_it() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let (dead, other) = (chain(&["a", "d", "z"]), chain(&["a", "e", "z"]));
    for _ in 0..3 {
        health.started(&dead);
        health.started(&other);
    }
    health.heard(at(1_000), &dead);
    let mut seen = Vec::new();
    for now in [1_050, 1_100, 1_130] {
        health.heard(at(now), &other);
        let suspects = health.suspect(at(now), silence(1_000), &dead);
        seen.push(format!("{now}: {}", names(&suspects)));
    }
    let left_out = ["a", "d", "e", "z"].map(|name| {
        let server = ServerName::from(name);
        format!("{name} {}", health.is_suspected(at(2_000), &server))
    });
    seen.push(left_out.join(", "));
    health.heard(at(2_100), &dead);
    seen.push(format!(
        "after an event of d: {}",
        health.is_suspected(at(2_100), &ServerName::from("d"))
    ));
    insta::assert_snapshot!(seen.join("\n"), @r"
    1050: 
    1100: 
    1130: d
    a false, d true, e false, z false
    after an event of d: false
    ");
}

/// The caller sees: its stream pauses and goes on where it was. Engines are short of memory and put
/// its request back, while other streams over the same engines go on. Sent again, it would be read
/// once more by engines that are short already, and so would hundreds of others.
#[test]
fn a_stream_that_is_slow_beside_others_is_left_alone() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    for _ in 0..4 {
        health.started(&engines);
    }
    let mut suspected = 0;
    for now in (1_000..4_000).step_by(40) {
        health.heard(at(now), &engines);
        suspected += health.suspect(at(now), silence(900), &engines).len();
    }
    assert_eq!(suspected, 0);
}

/// The caller sees: a stream that is alone on its chain waits for longer before it is sent again,
/// since nothing else tells a dead engine from a slow one.
#[test]
fn a_lone_stream_waits_for_longer() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    health.heard(at(1_000), &engines);
    let seen = [1_130, 1_390, 1_400].map(|now| {
        let suspects = health.suspect(at(now), silence(1_000), &engines);
        format!("{now}: {}", names(&suspects))
    });
    insta::assert_snapshot!(seen.join("\n"), @r"
    1130: 
    1390: 
    1400: a b
    ");
}
