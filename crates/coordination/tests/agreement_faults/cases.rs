//! Table of fault cases. Each comment states the effect on callers, the fault, and the safeguard.

use std::time::Duration;

use pollendrift_coordination::agreement::{AgreementSettings, HandOverOutcome, MembershipChange};
use rand::RngExt;

use super::cluster::{Cluster, MILLISECOND, NetworkFaults, SECOND};

/// One fault, injected at random times.
pub(crate) struct FaultCase {
    pub(crate) name: &'static str,
    pub(crate) keepers: usize,
    pub(crate) inject: fn(&mut Cluster),
}

impl FaultCase {
    /// Runs the case to its end, repairs all faults and checks that the cluster converges.
    pub(crate) fn run(&self, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(seed, self.keepers, small_settings());
        cluster.await_leader();
        cluster.run_for(300 * MILLISECOND);
        (self.inject)(&mut cluster);
        cluster.converge();
        cluster
    }
}

/// Small limits, so that batches, windows, chunks and snapshots are all exercised.
pub(crate) fn small_settings() -> AgreementSettings {
    AgreementSettings {
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(300),
        max_append_entries: 8,
        max_inflight_appends: 4,
        snapshot_chunk_bytes: 48,
        snapshot_after_entries: 60,
        retained_entries: 20,
        ..AgreementSettings::default()
    }
}

pub(crate) const CASES: &[FaultCase] = &[
    case("no fault", 3, no_fault),
    case("leader lost around a commit", 3, leader_lost),
    case("leader cut off for minutes", 3, leader_cut_off),
    case("isolated leader with a slow clock", 3, slow_clock),
    case("leader cut off one way", 3, leader_cut_one_way),
    case("one link to the leader cut", 3, one_link_cut),
    case("only one keeper reaches all", 5, one_reaches_all),
    case("unreliable network", 5, unreliable_network),
    case("disks stall", 3, disks_stall),
    case("paused leader resumes", 3, paused_leader),
    case("disk emptied", 3, disk_emptied),
    case("disk restored from an old copy", 3, old_disk),
    case("second loss after a repair", 3, second_loss),
    case(
        "second loss during a repair, five keepers",
        5,
        loss_during_repair,
    ),
    case("all killed at once", 3, all_killed),
    case("from three keepers to five and back", 3, grow_and_shrink),
    case(
        "replacement on an unreliable network",
        3,
        unreliable_replacement,
    ),
    case("hand-over under load", 3, hand_over),
    case("random faults", 5, random_faults),
    case(
        "replacements during other faults",
        5,
        replacements_under_faults,
    ),
];

const fn case(name: &'static str, keepers: usize, inject: fn(&mut Cluster)) -> FaultCase {
    FaultCase {
        name,
        keepers,
        inject,
    }
}

/// Callers are answered; no fault is injected.
fn no_fault(cluster: &mut Cluster) {
    cluster.run_for(SECOND);
}

/// Callers of the lost leader get no answer; the next leader serves the others.
/// The process crashes before it sends its command, during the write or the sending, or after the
/// commit, and a write in progress is partly on disk.
fn leader_lost(cluster: &mut Cluster) {
    for latest in [1, 2 * MILLISECOND, 20 * MILLISECOND] {
        let leader = cluster.await_leader();
        cluster.propose(leader);
        cluster.run_for_random(latest);
        cluster.crash(leader, true);
        cluster.run_for_random(2 * SECOND);
        cluster.start(leader);
    }
}

/// Callers at the isolated leader receive `Unknown` and are refused from then on; the others are
/// served. The leader steps down before the other side elects a new one, because its timeout
/// counts from the sending of the last heartbeat that a quorum answered. Because of the pre-vote,
/// its return doesn't depose the new leader.
fn leader_cut_off(cluster: &mut Cluster) {
    cluster.client_interval = 200 * MILLISECOND;
    let leader = cluster.await_leader();
    cluster.partition(&[leader]);
    cluster.propose(leader);
    cluster.run_for(SECOND);
    cluster.expect(
        cluster.leader() != Some(leader),
        "an isolated leader still leads",
    );
    cluster.run_for(120 * SECOND);
    let term = cluster.leader_term();
    cluster.heal();
    cluster.run_for(2 * SECOND);
    cluster.expect(
        cluster.leader_term() == term,
        "a returning keeper deposed the leader",
    );
}

/// Callers of the isolated leader get no answer, and never a stale one. Its clock runs at a tenth
/// of the real rate, so it claims leadership long after the others elected a new leader; its reads
/// stay linearizable because they depend on a quorum's replies and not on a clock.
fn slow_clock(cluster: &mut Cluster) {
    let leader = cluster.await_leader();
    cluster.set_clock_rate(leader, 10);
    cluster.partition(&[leader]);
    for _ in 0..30 {
        cluster.run_for(50 * MILLISECOND);
        cluster.read(leader);
    }
    cluster.expect(
        cluster.leads(leader),
        "the isolated leader stepped down: its clock is not slow enough for this case",
    );
    cluster.heal();
    cluster.run_for(SECOND);
    cluster.set_clock_rate(leader, 100);
}

/// Callers wait for an election. The leader receives no messages, but all followers receive its
/// heartbeats, so none starts an election: the leader must step down by itself, because no
/// heartbeat is answered.
fn leader_cut_one_way(cluster: &mut Cluster) {
    let leader = cluster.await_leader();
    for host in (0..3).filter(|host| *host != leader) {
        cluster.cut_one_way(host, leader);
    }
    cluster.run_for(3 * SECOND);
    cluster.expect(
        cluster.leader() != Some(leader),
        "a leader that receives no messages still leads",
    );
    cluster.expect_accepting("no command is accepted after the leader stopped receiving");
}

/// Callers are not affected. One follower loses only its link to the leader and requests a vote
/// from the other; since no command arrives, its log is up to date. The other follower still
/// receives heartbeats and grants no vote, so the leader stays.
fn one_link_cut(cluster: &mut Cluster) {
    cluster.client_interval = 10 * SECOND;
    cluster.run_for(100 * MILLISECOND);
    let leader = cluster.await_leader();
    let term = cluster.leader_term();
    let follower = (leader + 1) % 3;
    cluster.cut_one_way(leader, follower);
    cluster.cut_one_way(follower, leader);
    cluster.run_for(5 * SECOND);
    cluster.expect(
        cluster.leader_term() == term,
        "one cut link deposed the leader",
    );
    cluster.client_interval = 7 * MILLISECOND;
    cluster.run_for(10 * SECOND);
}

/// Callers wait for several elections. All links except those of one follower are cut, so no other
/// keeper can lead: the leader steps down, and the keeper that reaches all is eventually elected.
fn one_reaches_all(cluster: &mut Cluster) {
    let connected_keeper = (cluster.await_leader() + 1) % 5;
    for left in (0..5).filter(|host| *host != connected_keeper) {
        for right in (0..5).filter(|host| *host != connected_keeper && *host != left) {
            cluster.cut_one_way(left, right);
        }
    }
    cluster.run_for(15 * SECOND);
    cluster.expect(
        cluster.leader() == Some(connected_keeper),
        "the keeper that reaches all doesn't lead",
    );
    cluster.expect_accepting("the keeper that reaches all accepts no command");
}

/// Callers wait for the slowest disk of a quorum. Syncs take up to three election timeouts; this
/// causes no election, because heartbeats don't wait for disks.
fn disks_stall(cluster: &mut Cluster) {
    let term = cluster.leader_term();
    cluster.max_sync = 900 * MILLISECOND;
    cluster.run_for(5 * SECOND);
    cluster.max_sync = 3 * MILLISECOND;
    cluster.expect(
        cluster.leader_term() == term,
        "a slow disk caused an election",
    );
}

/// Callers are not affected, except by a hand-over when the leader itself is removed. Two keepers
/// are added one after the other, then two of the old ones are removed.
fn grow_and_shrink(cluster: &mut Cluster) {
    for _ in 0..2 {
        let host = cluster.add_host();
        cluster.replace(host);
    }
    for host in [0, 1] {
        if cluster.await_leader() == host {
            cluster.hand_over(host, 4);
            cluster.run_for(100 * MILLISECOND);
        }
        let id = cluster.id(host);
        cluster.change_until_done(&MembershipChange::Remove(id));
    }
}

/// Callers wait longer. Messages are lost, duplicated, reordered, and delayed beyond the heartbeat
/// interval.
fn unreliable_network(cluster: &mut Cluster) {
    cluster.faults = NetworkFaults::UNRELIABLE;
    cluster.run_for(5 * SECOND);
}

/// Callers at the resumed leader are refused or get `Unknown`, and none of their reads is stale.
/// The process is paused for longer than an election, then processes all messages that arrived
/// meanwhile in one tick, although its own time has not advanced. It checks its leadership
/// before it processes any of them.
fn paused_leader(cluster: &mut Cluster) {
    for _ in 0..3 {
        let leader = cluster.await_leader();
        cluster.pause(leader);
        cluster.run_for_random(3 * SECOND);
        cluster.resume(leader);
        cluster.read(leader);
        cluster.propose(leader);
        cluster.run_for_random(500 * MILLISECOND);
    }
}

/// Callers wait for one election at most. A disk is lost; its host returns under a new incarnation
/// that doesn't count, catches up as a learner and replaces the earlier incarnation.
fn disk_emptied(cluster: &mut Cluster) {
    let host = cluster.random_host();
    cluster.crash(host, false);
    cluster.run_for_random(SECOND);
    cluster.empty_disk(host);
    cluster.start(host);
    cluster.run_for_random(SECOND);
    cluster.replace(host);
}

/// Callers wait for one election at most. The disk returns with its old identity, without the
/// entries that it acknowledged since; its vote could elect a leader that lacks committed
/// entries. Its peers remember the acknowledgements and reject it, so it retires and is replaced.
fn old_disk(cluster: &mut Cluster) {
    let host = cluster.random_host();
    let copy = cluster.copy_disk(host);
    cluster.run_for_random(2 * SECOND);
    cluster.run_for(100 * MILLISECOND);
    cluster.crash(host, false);
    cluster.run_for_random(SECOND);
    cluster.restore_disk_copy(host, copy);
    cluster.start(host);
    if cluster.random.random_range(0..2) == 0 {
        let leader = cluster.await_leader();
        cluster.crash(leader, true);
        cluster.run_for_random(SECOND);
        cluster.start(leader);
    }
    cluster.run_for(3 * SECOND);
    cluster.expect(cluster.has_lost_identity(host), "an old disk is accepted");
    cluster.crash(host, false);
    cluster.empty_disk(host);
    cluster.start(host);
    cluster.replace(host);
}

/// Callers wait for an election. Right after the first lost host is replaced, a second one loses
/// its disk; the replacement has all entries by then, so no accepted command is lost.
fn second_loss(cluster: &mut Cluster) {
    disk_emptied(cluster);
    let host = cluster.random_host();
    cluster.crash(host, false);
    cluster.empty_disk(host);
    cluster.start(host);
    cluster.replace(host);
}

/// Callers wait for an election. During the replacement of one host, a second one loses its disk:
/// three of five have all entries, and both hosts are replaced in turn.
fn loss_during_repair(cluster: &mut Cluster) {
    for host in [0, 1] {
        cluster.crash(host, false);
        cluster.empty_disk(host);
        cluster.start(host);
        let id = cluster.id(host);
        cluster.change_until_done(&MembershipChange::AddLearner(id));
        cluster.run_for_random(100 * MILLISECOND);
    }
    for host in [0, 1] {
        let id = cluster.id(host);
        cluster.change_until_done(&MembershipChange::Promote(id));
    }
}

/// Callers get no answer to pending requests. All processes crash at the same time after hundreds
/// of commands, each possibly during a write, and all restart from their disks.
fn all_killed(cluster: &mut Cluster) {
    for _ in 0..2 {
        cluster.run_for(2 * SECOND);
        for host in 0..3 {
            cluster.crash(host, true);
        }
        cluster.run_for_random(SECOND);
        for host in 0..3 {
            cluster.start(host);
            cluster.run_for_random(100 * MILLISECOND);
        }
    }
}

/// Callers wait longer. A lost disk is replaced while messages are lost, duplicated and delayed.
fn unreliable_replacement(cluster: &mut Cluster) {
    cluster.faults = NetworkFaults {
        max_delay: 10 * MILLISECOND,
        ..NetworkFaults::UNRELIABLE
    };
    disk_emptied(cluster);
}

/// Callers are refused for some milliseconds, and none gets `Unknown`: the leader hands over only
/// after all its proposals are committed and the successor has them.
fn hand_over(cluster: &mut Cluster) {
    for _ in 0..5 {
        let leader = cluster.await_leader();
        let target = (leader + 1) % 3;
        cluster.hand_over(leader, target);
        cluster.run_for(100 * MILLISECOND);
        cluster.expect(
            cluster.leader() == Some(target),
            "the target of the hand-over doesn't lead",
        );
    }
    let done = vec![HandOverOutcome::Done; 5];
    cluster.expect(cluster.hand_overs == done, "a hand-over failed");
    cluster.expect(
        cluster.tally.unknown == 0,
        "a hand-over left a proposal with an unknown outcome",
    );
}

/// Callers may wait, be refused or get `Unknown`. Crashes, pauses, partitions and message faults occur at random
/// and overlap, with at most two of five keepers down or paused.
fn random_faults(cluster: &mut Cluster) {
    for _ in 0..12 {
        let host = cluster.random_host();
        match cluster.random.random_range(0..6) {
            0 => cluster.crash_some(host, 2),
            1 => cluster.start_all(),
            2 => cluster.pause(host),
            3 => cluster.partition(&[host, (host + 1) % 5]),
            4 => cluster.faults = NetworkFaults::UNRELIABLE,
            _ => cluster.heal(),
        }
        cluster.run_for_random(700 * MILLISECOND);
    }
}

/// Callers may see any of the above. Disks are lost one after the other; during each replacement a
/// second host crashes, is paused or cut off, messages are lost, or leadership is handed over.
fn replacements_under_faults(cluster: &mut Cluster) {
    for _ in 0..3 {
        let lost = cluster.random_host();
        cluster.crash(lost, true);
        cluster.empty_disk(lost);
        cluster.start(lost);
        let id = cluster.id(lost);
        cluster.change_until_done(&MembershipChange::AddLearner(id));
        let other = (lost + cluster.random.random_range(1..5)) % 5;
        match cluster.random.random_range(0..5) {
            0 => cluster.crash(other, true),
            1 => cluster.pause(other),
            2 => cluster.partition(&[other]),
            3 => cluster.faults = NetworkFaults::UNRELIABLE,
            _ => cluster.hand_over(cluster.leader().unwrap_or(other), other),
        }
        cluster.replace(lost);
        cluster.run_for_random(SECOND);
        cluster.heal();
        cluster.start_all();
    }
}
