//! Which hosts are known, for how long, and whether enough keepers are reached.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_coordination::agreement::{KeeperId, Membership};
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime};
use pollendrift_coordination::hosts::{DirectorySettings, HostDirectory, HostGossip, HostReach};

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn reach(port: u16, keeper: bool) -> HostReach {
    HostReach {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        keeper,
        data_centre: None,
        heartbeats: None,
    }
}

fn note(host: &str, port: u16, age: u64) -> HostGossip {
    HostGossip {
        host: HostName::from(host),
        reach: reach(port, true),
        age: Duration::from_secs(age),
    }
}

fn directory() -> HostDirectory {
    HostDirectory::new(HostName::from("own"), DirectorySettings::default())
}

fn membership(hosts: &[&str]) -> Membership {
    let voters = hosts.iter().map(|host| KeeperId {
        host: HostName::from(*host),
        incarnation: Incarnation(1),
    });
    Membership {
        voters: voters.collect(),
        learners: BTreeSet::new(),
    }
}

// A backend server that heartbeats to a keeper without a quorum is acknowledged, and taken for gone
// everywhere else. A sixth keeper that was lost and retired must not count: three of the five that
// vote then turned every heartbeat away, and all leases ended at once.
#[test]
fn heartbeats_are_taken_where_a_quorum_of_the_voters_is_reached() {
    let cases: [(&str, &[&str], &[&str]); 6] = [
        ("no group yet", &[], &["a"]),
        ("alone of one", &["a"], &["a"]),
        ("two of five", &["a", "b", "c", "d", "e"], &["a", "b"]),
        (
            "three of five",
            &["a", "b", "c", "d", "e"],
            &["a", "b", "c"],
        ),
        ("half of four", &["a", "b", "c", "d"], &["a", "b"]),
        ("others than voters", &["a", "b", "c"], &["a", "x", "y"]),
    ];
    let mut lines = Vec::new();
    for (case, voters, reached) in cases {
        let reached = reached.iter().map(|host| HostName::from(*host)).collect();
        lines.push(format!(
            "{case}: {}",
            membership(voters).is_quorum(&reached)
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @"
    no group yet: false
    alone of one: true
    two of five: false
    three of five: true
    half of four: false
    others than voters: false
    ");
}

// A keeper that was replaced is reached at its new address, whatever those say who heard of it
// before. Gossip that was older than what is known would else send links back to the dead address.
#[test]
fn the_newer_word_on_a_host_wins_whatever_the_order() {
    let steps: [(u64, HostGossip); 5] = [
        (1, note("k", 1, 0)),
        (2, note("k", 2, 0)),
        (3, note("k", 1, 2)),
        (4, note("k", 3, 2)),
        (5, note("own", 9, 0)),
    ];
    let mut directory = directory();
    let mut lines = Vec::new();
    for (second, note) in steps {
        let told = format!(
            "{} at {} aged {:?}",
            note.host, note.reach.address, note.age
        );
        let news = directory.observe_gossip(at(second), &note);
        lines.push(format!("{second} s, {told}: {news:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    1 s, k at 10.0.0.1:1 aged 0ns: Some(Reach { host: HostName("k"), reach: HostReach { address: 10.0.0.1:1, keeper: true, data_centre: None, heartbeats: None } })
    2 s, k at 10.0.0.1:2 aged 0ns: Some(Reach { host: HostName("k"), reach: HostReach { address: 10.0.0.1:2, keeper: true, data_centre: None, heartbeats: None } })
    3 s, k at 10.0.0.1:1 aged 2s: None
    4 s, k at 10.0.0.1:3 aged 2s: None
    5 s, own at 10.0.0.1:9 aged 0ns: None
    "#);
}

// A dead host that two others keep telling each other of must be forgotten in the end: knowledge
// travels with its age. Told without an age it would come back with each round for ever.
#[test]
fn a_dead_host_is_forgotten_however_often_it_is_told_on() {
    let (mut left, mut right) = (directory(), directory());
    left.observe(at(0), &HostName::from("dead"), reach(1, true));
    let mut forgotten = Vec::new();
    for second in 1..=40 {
        for note in left.gossip(at(second)) {
            right.observe_gossip(at(second), &note);
        }
        for note in right.gossip(at(second)) {
            left.observe_gossip(at(second), &note);
        }
        let gone = left.tick(at(second)).len() + right.tick(at(second)).len();
        if gone > 0 {
            forgotten.push((second, gone));
        }
    }
    assert_eq!(forgotten, [(30, 2)]);
}

// The retry budget of the system is divided by the hosts that take callers. Keepers take none, and
// counting them would leave a part of the budget to nobody.
#[test]
fn only_hosts_that_take_callers_share_the_budget() {
    let mut directory = directory();
    directory.observe(at(0), &HostName::from("k"), reach(1, true));
    directory.observe(at(0), &HostName::from("e1"), reach(2, false));
    directory.observe(at(20), &HostName::from("e2"), reach(3, false));
    let before = directory.entry_count();
    directory.tick(at(30));
    assert_eq!((before, directory.entry_count()), (2, 1));
}
