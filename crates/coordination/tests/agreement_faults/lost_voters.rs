//! Automatic removal of voters that never return.

use std::fmt::Write;
use std::time::Duration;

use pollendrift_coordination::agreement::AgreementSettings;

use super::cases::small_settings;
use super::cluster::{Cluster, SECOND};
use super::seed_count;

/// Time without an answer after which the group removes a voter.
const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(2);

fn removal_settings() -> AgreementSettings {
    AgreementSettings {
        lost_voter_timeout: Some(LOST_VOTER_TIMEOUT),
        ..small_settings()
    }
}

// Guards against lost voters that stay in the membership: the third loss in a group of five would
// leave two voters and no quorum ever again. Each loss must shrink the group before the next one,
// so that the two remaining keepers of the original five still accept commands and lose none.
#[test]
fn group_survives_successive_losses_of_voters() {
    let mut findings = String::new();
    for seed in 0..seed_count() {
        let mut cluster = Cluster::new(seed, 5, removal_settings());
        cluster.await_leader();
        for (loss, voters) in [4, 3, 3].into_iter().enumerate() {
            // The first loss is the leader.
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
            cluster.expect(
                counted == Some(voters),
                "the group has an unexpected number of voters",
            );
        }
        record_findings(&cluster, seed, &mut findings);
    }
    insta::assert_snapshot!(findings, @"");
}

// Guards against two groups after a partition that lasts longer than the timeout for lost voters,
// because the side without a quorum removed voters. Its callers get no answer; those of the other
// side are served.
#[test]
fn side_without_a_quorum_removes_no_voter() {
    let mut findings = String::new();
    for seed in 0..seed_count() {
        let mut cluster = Cluster::new(seed, 5, removal_settings());
        let leader = cluster.await_leader();
        let other = (leader + 1) % 5;
        cluster.partition(&[leader, other]);
        cluster.run_for(10 * SECOND);
        cluster.expect_accepting("the side with a quorum accepts no command");
        for host in [leader, other] {
            let voters = cluster
                .node(host)
                .map(|node| node.membership().voters.len());
            cluster.expect(
                voters == Some(5),
                "a side without a quorum changed the membership",
            );
            cluster.expect(!cluster.leads(host), "a side without a quorum has a leader");
        }
        record_findings(&cluster, seed, &mut findings);
    }
    insta::assert_snapshot!(findings, @"");
}

fn record_findings(cluster: &Cluster, seed: u64, findings: &mut String) {
    for violation in &cluster.check.violations {
        writeln!(findings, "seed {seed}: {violation}").unwrap();
    }
}
