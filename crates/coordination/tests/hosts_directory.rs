//! Host directory and the quorum of reached voters.

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

fn gossip(host: &str, port: u16, age: u64) -> HostGossip {
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

// Guards against a keeper that acknowledges heartbeats without a quorum: the server's lease expires
// on all other hosts. Only voters count: if a lost and removed sixth keeper counted, three of the
// five voters would reject every heartbeat, and all leases would expire at once.
#[test]
fn a_quorum_counts_reached_voters_only() {
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

// Guards against links to the old address of a replaced keeper. Other hosts may still send gossip
// with that address; gossip that is older than the stored entry must not change it.
#[test]
fn the_newest_gossip_wins_in_any_order_of_arrival() {
    let steps: [(u64, HostGossip); 5] = [
        (1, gossip("k", 1, 0)),
        (2, gossip("k", 2, 0)),
        (3, gossip("k", 1, 2)),
        (4, gossip("k", 3, 2)),
        (5, gossip("own", 9, 0)),
    ];
    let mut directory = directory();
    let mut lines = Vec::new();
    for (second, gossip) in steps {
        let received = format!(
            "{} at {} aged {:?}",
            gossip.host, gossip.reach.address, gossip.age
        );
        let change = directory.observe_gossip(at(second), &gossip);
        lines.push(format!("{second} s, {received}: {change:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    1 s, k at 10.0.0.1:1 aged 0ns: Some(Reach { host: HostName("k"), reach: HostReach { address: 10.0.0.1:1, keeper: true, data_centre: None, heartbeats: None } })
    2 s, k at 10.0.0.1:2 aged 0ns: Some(Reach { host: HostName("k"), reach: HostReach { address: 10.0.0.1:2, keeper: true, data_centre: None, heartbeats: None } })
    3 s, k at 10.0.0.1:1 aged 2s: None
    4 s, k at 10.0.0.1:3 aged 2s: None
    5 s, own at 10.0.0.1:9 aged 0ns: None
    "#);
}

// Guards against a failed host that stays in the directory. Two hosts keep sending each other
// gossip about it. Without the age in the gossip, each round would add the failed host again; with
// it, both remove the host after the retention.
#[test]
fn forwarded_gossip_does_not_keep_a_failed_host() {
    let (mut left, mut right) = (directory(), directory());
    left.observe(at(0), &HostName::from("failed"), reach(1, true));
    let mut removed = Vec::new();
    for second in 1..=40 {
        for gossip in left.gossip(at(second)) {
            right.observe_gossip(at(second), &gossip);
        }
        for gossip in right.gossip(at(second)) {
            left.observe_gossip(at(second), &gossip);
        }
        let expired = left.tick(at(second)).len() + right.tick(at(second)).len();
        if expired > 0 {
            removed.push((second, expired));
        }
    }
    assert_eq!(removed, [(30, 2)]);
}

// Guards against a part of the retry budget that stays unused. The hosts that accept callers share
// the budget of the system; keepers accept none, so they must not count.
#[test]
fn keepers_do_not_count_as_entries() {
    let mut directory = directory();
    directory.observe(at(0), &HostName::from("k"), reach(1, true));
    directory.observe(at(0), &HostName::from("e1"), reach(2, false));
    directory.observe(at(20), &HostName::from("e2"), reach(3, false));
    let before = directory.entry_count();
    directory.tick(at(30));
    assert_eq!((before, directory.entry_count()), (2, 1));
}
