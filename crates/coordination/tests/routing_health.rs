//! Liveness of chains: failed engines and engines that are only slow.

use std::time::Duration;

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::routing::{ChainHealth, ChainVerdict, HealthSettings};

const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn chain(names: &[&str]) -> Vec<ServerName> {
    names.iter().map(|name| ServerName::from(*name)).collect()
}

fn describe(now: u64, verdict: &ChainVerdict) -> String {
    let names = |servers: &[ServerName]| {
        let names: Vec<&str> = servers.iter().map(ServerName::as_str).collect();
        names.join(" ")
    };
    let (suspects, probe) = (names(&verdict.suspects), names(&verdict.probe));
    format!("{now}: suspects [{suspects}], probe [{probe}]")
}

// Guards against a stream that stalls for longer than its limit between events after one engine of
// its chain fails. Streams run over a-d-z and over a-e-z; d fails at 1,000 ms. Events of
// the other streams show that a and z are alive, so only d is probed, once for all of its streams.
// It does not answer, and is excluded until an event clears it.
#[test]
fn only_the_failed_engine_of_a_chain_is_suspected() {
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
        seen.push(describe(
            now,
            &health.diagnose(at(now), at(1_000), SILENCE_TIMEOUT, &dead),
        ));
    }
    health.unanswered(at(1_180), &ServerName::from("d"));
    seen.push(describe(
        1_180,
        &health.diagnose(at(1_180), at(1_000), SILENCE_TIMEOUT, &dead),
    ));
    let excluded = ["a", "d", "e", "z"].map(|name| {
        let server = ServerName::from(name);
        format!("{name} {}", health.is_suspected(at(2_000), &server))
    });
    seen.push(excluded.join(", "));
    health.mark_alive(at(2_100), &dead);
    let cleared = health.is_suspected(at(2_100), &ServerName::from("d"));
    seen.push(format!("after an event of d: {cleared}"));
    insta::assert_snapshot!(seen.join("\n"), @r"
    1050: suspects [], probe []
    1100: suspects [], probe [d]
    1110: suspects [], probe []
    1180: suspects [d], probe []
    a false, d true, e false, z false
    after an event of d: false
    ");
}

// Guards against moving a stream whose engines are only slow. Engines that lack memory preempt a
// request, or prefill a long prompt, and still answer probes. A retry would repeat the prefill on
// engines that are short of memory already, for hundreds of requests at a time.
#[test]
fn a_slow_stream_is_not_moved() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let (mut suspected, mut probed) = (0, 0);
    for now in (1_000..4_000).step_by(25) {
        let verdict = health.diagnose(at(now), at(900), SILENCE_TIMEOUT, &engines);
        suspected += verdict.suspects.len();
        probed += verdict.probe.len();
        health.mark_alive(at(now + 5), &verdict.probe);
    }
    assert_eq!(suspected, 0);
    assert!((10..80).contains(&probed), "probed {probed} times");
}

// Guards against excessive probes. One slow engine stalls the streams over hundreds of other
// engines on hundreds of hosts, and each host probed all engines of its chains eight times per
// second although they answered. Engines that answer are probed less often, and one that fails
// after an answer is still probed within half a second.
#[test]
fn engines_that_answer_are_probed_less_often() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let mut probed = Vec::new();
    for now in (1_000..4_000).step_by(25) {
        let verdict = health.diagnose(at(now), at(900), SILENCE_TIMEOUT, &engines);
        for server in verdict.probe {
            if server.as_str() == "a" {
                probed.push(now);
            }
            health.answered(at(now + 5), &server);
        }
    }
    let gaps: Vec<u64> = probed.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(&gaps[..2], [225, 425]);
    assert!(gaps[2..].iter().all(|gap| *gap == 425), "{gaps:?}");
    health.mark_alive(at(4_000), &engines);
    let verdict = health.diagnose(at(4_100), at(4_000), SILENCE_TIMEOUT, &engines);
    assert_eq!(verdict.probe, engines, "an event resets the probe interval");
}

// Guards against a stream that waits for the expiry of a lease because a probe was lost. A
// requester that ended with its caller leaves its probe without a result; the next requester
// probes the engine again.
#[test]
fn a_lost_probe_is_repeated() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a"]);
    health.started(&engines);
    let seen = [1_100, 1_200, 1_260].map(|now| {
        describe(
            now,
            &health.diagnose(at(now), at(1_000), SILENCE_TIMEOUT, &engines),
        )
    });
    insta::assert_snapshot!(seen.join("\n"), @r"
    1100: suspects [], probe [a]
    1200: suspects [], probe []
    1260: suspects [], probe [a]
    ");
}

// Guards against a draft that stays on an unreachable engine, or leaves one that is only silent. A
// draft moves at once if the chain is dead, which needs an unreachable engine;
// otherwise it moves only after another engine has accepted it. An event clears both states.
#[test]
fn only_an_unreachable_engine_makes_a_chain_dead() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let mut seen = Vec::new();
    let mut diagnose_at = |health: &mut ChainHealth, now: u64| {
        let verdict = health.diagnose(at(now), at(900), SILENCE_TIMEOUT, &engines);
        let is_dead = verdict.is_dead;
        seen.push(format!("{}, dead {is_dead}", describe(now, &verdict)));
    };
    health.unanswered(at(1_000), &ServerName::from("a"));
    diagnose_at(&mut health, 1_010);
    health.mark_unreachable(at(1_020), &ServerName::from("b"));
    diagnose_at(&mut health, 1_030);
    health.mark_alive(at(1_040), &chain(&["a", "b"]));
    diagnose_at(&mut health, 1_200);
    insta::assert_snapshot!(seen.join("\n"), @"
    1010: suspects [a], probe [b], dead false
    1030: suspects [a b], probe [], dead true
    1200: suspects [], probe [a b], dead false
    ");
}

// Guards against a chain that seems dead because this host lacked CPU time to read an answer. A
// later answer to another host clears the suspicion. A second suspicion stays, since then the
// network path from this host is broken, and so does the suspicion of an unreachable engine.
#[test]
fn an_answer_to_another_host_clears_a_suspicion_once() {
    let mut health = ChainHealth::new(HealthSettings::default());
    let engines = chain(&["a", "b"]);
    health.started(&engines);
    let (a, b) = (ServerName::from("a"), ServerName::from("b"));
    health.unanswered(at(1_000), &a);
    health.mark_unreachable(at(1_000), &b);
    let mut seen = Vec::new();
    let mut record = |what: &str, health: &ChainHealth, now: u64| {
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
        record(what, &health, answered + 100);
        if answered == 1_300 {
            health.unanswered(at(1_500), &a);
        }
    }
    health.mark_alive(at(2_000), &engines);
    record("event seen here", &health, 2_010);
    insta::assert_snapshot!(seen.join("\n"), @r"
    answered before: a b
    answered after: b
    answered again: a b
    event seen here:
    ");
}
