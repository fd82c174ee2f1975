//! Voters that never come back, one after another, in a group that takes them out by itself.

use std::fmt::Write;
use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;

use super::cases::small_settings;
use super::cluster::{Cluster, SECOND};
use super::seed_count;

/// Silence after which a voter is taken out here.
const PATIENCE: Duration = Duration::from_secs(2);

fn retiring_settings() -> AgreementSettings {
    AgreementSettings {
        lost_voter_timeout: Some(PATIENCE),
        ..small_settings()
    }
}

/// Callers are served on, with two of five keepers left in the end of those that began; nothing
/// that was accepted is lost. Each loss shrinks the group before the next comes. Were lost voters
/// kept, the third loss would leave two of five, and no quorum ever again.
#[test]
fn a_group_outlives_the_losses_that_it_had_time_to_note() {
    let mut findings = String::new();
    for seed in 0..seed_count() {
        let mut cluster = Cluster::new(seed, 5, retiring_settings());
        cluster.await_leader();
        for (loss, voters) in [4, 3, 3].into_iter().enumerate() {
            // The leader is lost too.
            let lost = if loss == 0 {
                cluster.await_leader()
            } else {
                let up = (0..5).find(|host| cluster.node(*host).is_some());
                up.unwrap()
            };
            cluster.crash(lost, true);
            cluster.run_for(5 * SECOND);
            cluster.expect_accepting("no command is accepted after a loss");
            let leader = cluster.await_leader();
            let counted = cluster
                .node(leader)
                .map(|node| node.membership().voters.len());
            cluster.expect(counted == Some(voters), "the group has another size");
        }
        note(&cluster, seed, &mut findings);
    }
    insta::assert_snapshot!(findings, @"");
}

/// Callers of a keeper that was cut off get no answer from it; those of the others are served. Both
/// sides wait longer than the patience: the side without a quorum must take nobody out, or there
/// would be two groups once the cut heals.
#[test]
fn a_side_without_a_quorum_takes_nobody_out() {
    let mut findings = String::new();
    for seed in 0..seed_count() {
        let mut cluster = Cluster::new(seed, 5, retiring_settings());
        let leader = cluster.await_leader();
        let other = (leader + 1) % 5;
        cluster.partition(&[leader, other]);
        cluster.run_for(10 * SECOND);
        cluster.expect_accepting("the side with a quorum does not serve");
        for host in [leader, other] {
            let voters = cluster
                .node(host)
                .map(|node| node.membership().voters.len());
            cluster.expect(
                voters == Some(5),
                "a side without a quorum changed the group",
            );
            cluster.expect(!cluster.leads(host), "a side without a quorum has a leader");
        }
        note(&cluster, seed, &mut findings);
    }
    insta::assert_snapshot!(findings, @"");
}

fn note(cluster: &Cluster, seed: u64, findings: &mut String) {
    for violation in &cluster.check.violations {
        writeln!(findings, "seed {seed}: {violation}").unwrap();
    }
}
