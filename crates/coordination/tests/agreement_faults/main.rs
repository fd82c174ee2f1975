//! Agreement under faults, in virtual time. `POLLENDRIFT_SEEDS=1000` runs 1,000 seeds per case;
//! `POLLENDRIFT_CASE=disk` runs only the cases whose name contains `disk`.
#![allow(clippy::unwrap_used)]

mod callers;
mod cases;
mod checks;
mod cluster;
mod disk;
mod faults;
mod host;
mod lost_voters;
mod recovery;

use std::fmt::Write;

use pollendrift_coordination::agreement::MembershipChange;

use cases::{CASES, FaultCase, small_settings};
use cluster::{Cluster, MILLISECOND, SECOND};
use recovery::{ELECTION_TIMEOUTS, LeaderEnd, measure_recovery};

/// Seeds that run by default; each seed that shows a fault is added to `FOUND_SEEDS`.
const FIXED_SEEDS: u64 = 4;

/// Case and seed of each fault that was found.
const FOUND_SEEDS: [(&str, u64); 1] = [("disk restored from an old copy", 2)];

fn seed_count() -> u64 {
    let requested = std::env::var("POLLENDRIFT_SEEDS").ok();
    requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(FIXED_SEEDS)
}

// Guards against faults that violate an invariant of agreement, such as two leaders in one term or a
// lost accepted command. Prints one line per case and reports the first violation of each seed.
#[test]
fn all_invariants_hold_under_every_fault() {
    let mut findings = String::new();
    let requested = std::env::var("POLLENDRIFT_CASE").unwrap_or_default();
    for case in CASES.iter().filter(|case| case.name.contains(&requested)) {
        let summary = run_seeds(case, &mut findings);
        println!("{summary}");
    }
    insta::assert_snapshot!(findings, @"");
}

// Guards against the return of faults that were found with these seeds.
#[test]
fn found_seeds_keep_all_invariants() {
    let mut findings = String::new();
    for (name, seed) in FOUND_SEEDS {
        let case = CASES.iter().find(|case| case.name == name).unwrap();
        record_findings(case, seed, &mut findings);
    }
    insta::assert_snapshot!(findings, @"");
}

// Guards against long waits for a leader. Callers wait for one election when the leader is lost,
// and for a second one when two keepers start one at the same time: the longest wait of all seeds
// must be below four election timeouts.
#[test]
fn next_command_is_accepted_within_four_election_timeouts() {
    let setups = [3, 5].map(|keepers| ELECTION_TIMEOUTS.map(|timeout| (keepers, timeout)));
    for (keepers, timeout) in setups.into_iter().flatten() {
        let (median, longest) = measure_recovery(LeaderEnd::Crash, keepers, timeout, seed_count());
        let election = timeout / MILLISECOND;
        println!("{keepers} keepers, timeout {election} ms: p50 {median} us, max {longest} us");
        assert!(median > 0 && longest < 4 * timeout, "{median} {longest}");
    }
}

// Guards against a planned stop that takes an election timeout: the leader requests the election of
// its successor, and callers are refused only meanwhile.
#[test]
fn hand_over_takes_less_than_an_election_timeout() {
    let timeout = 300 * MILLISECOND;
    let (median, longest) = measure_recovery(LeaderEnd::HandOver, 3, timeout, seed_count());
    println!("hand-over, timeout 300 ms: p50 {median} us, max {longest} us");
    assert!(median > 0 && longest < timeout, "{median} {longest}");
}

// Guards against a wrong redundancy report, after which an operator stops a host that the group
// needs. The group tolerates one loss of three, none from the loss of a disk until its replacement
// votes, then one again.
#[test]
fn redundancy_is_complete_again_after_a_replacement() {
    let mut cluster = Cluster::new(3, 3, small_settings());
    let mut report = String::new();
    let leader = cluster.await_leader();
    let host = (leader + 1) % 3;
    cluster.run_for(SECOND);
    report.push_str(&cluster.describe_redundancy(leader));
    cluster.crash(host, false);
    cluster.run_for(SECOND);
    report.push_str(&cluster.describe_redundancy(leader));
    cluster.empty_disk(host);
    cluster.start(host);
    let id = cluster.id(host);
    cluster.change_until_done(&MembershipChange::AddLearner(id));
    report.push_str(&cluster.describe_redundancy(leader));
    cluster.replace(host);
    cluster.run_for(SECOND);
    report.push_str(&cluster.describe_redundancy(leader));
    insta::assert_snapshot!(report, @"
    3 of 3 voters current, can lose 1; gaps: []
    2 of 3 voters current, can lose 0; gaps: [keeper-0#1 does not answer]
    2 of 3 voters current, can lose 0; gaps: [keeper-0#1 does not answer, keeper-0#2 is being brought up to date]
    3 of 3 voters current, can lose 1; gaps: []
    ");
}

fn run_seeds(case: &FaultCase, findings: &mut String) -> String {
    let count = seed_count();
    let mut failed = 0;
    let mut accepted = 0;
    let mut unknown = 0;
    for seed in 0..count {
        let cluster = case.run(seed);
        accepted += cluster.tally.accepted;
        unknown += cluster.tally.unknown;
        if !cluster.check.violations.is_empty() {
            failed += 1;
            let first = &cluster.check.violations[0];
            writeln!(findings, "{} seed {seed}: {first}", case.name).unwrap();
        }
    }
    let name = case.name;
    format!("{name}: seeds {count}, failed {failed}, accepted {accepted}, unknown {unknown}")
}

fn record_findings(case: &FaultCase, seed: u64, findings: &mut String) {
    for violation in case.run(seed).check.violations {
        writeln!(findings, "{} seed {seed}: {violation}", case.name).unwrap();
    }
}
