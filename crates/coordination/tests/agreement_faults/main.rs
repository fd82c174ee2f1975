//! Agreement under faults, in virtual time. `POLLENDRIFT_SEEDS=1000` runs that many seeds a case.
#![allow(clippy::unwrap_used)]

mod callers;
mod cases;
mod checks;
mod cluster;
mod disk;
mod faults;
mod host;

use std::fmt::Write;

use cases::{CASES, FaultCase};

/// Seeds that run by default; every one that ever showed a fault is added to `FOUND_SEEDS`.
const FIXED_SEEDS: u64 = 4;

/// Seeds that showed a fault once: case and seed.
const FOUND_SEEDS: [(&str, u64); 1] = [("disk put back from an old copy", 2)];

fn seed_count() -> u64 {
    let wanted = std::env::var("POLLENDRIFT_SEEDS").ok();
    wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(FIXED_SEEDS)
}

/// One line per case: seeds that held all invariants, and the first findings against them.
#[test]
fn all_invariants_hold_under_every_fault() {
    let mut findings = String::new();
    for case in CASES {
        let summary = run_seeds(case, &mut findings);
        println!("{summary}");
    }
    insta::assert_snapshot!(findings, @"");
}

#[test]
fn seeds_that_once_failed_hold() {
    let mut findings = String::new();
    for (name, seed) in FOUND_SEEDS {
        let case = CASES.iter().find(|case| case.name == name).unwrap();
        note_findings(case, seed, &mut findings);
    }
    insta::assert_snapshot!(findings, @"");
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

fn note_findings(case: &FaultCase, seed: u64, findings: &mut String) {
    for violation in case.run(seed).check.violations {
        writeln!(findings, "{} seed {seed}: {violation}", case.name).unwrap();
    }
}
