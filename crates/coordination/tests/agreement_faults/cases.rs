//! The table of faults. Each case opens with what a caller sees, what happens, and why it holds.

use std::time::Duration;

use pollendrift_coordination::agreement::{AgreementSettings, HandOverOutcome, MembershipChange};
use rand::RngExt;

use super::cluster::{Cluster, MILLISECOND, NetworkFaults, SECOND};

/// One fault, brought about at random moments.
pub(crate) struct FaultCase {
    pub(crate) name: &'static str,
    pub(crate) keepers: usize,
    pub(crate) act: fn(&mut Cluster),
}

impl FaultCase {
    /// Runs the case to its end and heals it.
    pub(crate) fn run(&self, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(seed, self.keepers, small_settings());
        cluster.await_leader();
        cluster.run_for(300 * MILLISECOND);
        (self.act)(&mut cluster);
        cluster.converge();
        cluster
    }
}

/// Small bounds, so that batches, windows, chunks and snapshots all come into play.
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
    case("rough network", 5, rough_network),
    case("disks stall", 3, disks_stall),
    case("paused leader wakes", 3, paused_leader),
    case("disk emptied", 3, disk_emptied),
    case("disk put back from an old copy", 3, old_disk),
    case("second loss after a repair", 3, second_loss),
    case(
        "second loss during a repair, five keepers",
        5,
        loss_during_repair,
    ),
    case("all killed at once", 3, all_killed),
    case("from three keepers to five and back", 3, grow_and_shrink),
    case("replacement on a rough network", 3, rough_replacement),
    case("hand-over under load", 3, hand_over),
    case("anything at any time", 5, anything),
    case("replacements amid other faults", 5, busy_replacements),
];

const fn case(name: &'static str, keepers: usize, act: fn(&mut Cluster)) -> FaultCase {
    FaultCase { name, keepers, act }
}

/// Callers are answered; nothing fails.
fn no_fault(cluster: &mut Cluster) {
    cluster.run_for(SECOND);
}

/// Callers of the lost leader get no answer; the next leader serves the others.
/// The process dies before its command leaves, while it is written or sent, or after the commit,
/// and a write that was under way is left in part.
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

/// Callers at the isolated leader are told `unknown` and then refused; the others are served.
/// It steps down before the other side elects, since its time counts from the sending of the last
/// heartbeat that a quorum answered. Its return unseats nobody, because of the pre-vote.
fn leader_cut_off(cluster: &mut Cluster) {
    cluster.client_interval = 200 * MILLISECOND;
    let leader = cluster.await_leader();
    cluster.partition(&[leader]);
    cluster.propose(leader);
    cluster.run_for(SECOND);
    cluster.expect(
        cluster.leader() != Some(leader),
        "an isolated leader leads on",
    );
    cluster.run_for(120 * SECOND);
    let term = cluster.leader_term();
    cluster.heal();
    cluster.run_for(2 * SECOND);
    cluster.expect(
        cluster.leader_term() == term,
        "a returning keeper unseats the leader",
    );
}

/// Callers of the isolated leader get no answer, and never an old one. Its clock runs at a tenth of
/// the true rate, so it believes to lead long after the others elected another; its reads hold
/// because they rest on a quorum's answers and on no clock.
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
        "the clock is not slow enough to matter",
    );
    cluster.heal();
    cluster.run_for(SECOND);
    cluster.set_clock_rate(leader, 100);
}

/// Callers wait for an election. The leader hears nobody, yet all hear it: no one would stand
/// against it, so it must step down by itself, as no heartbeat of it is answered.
fn leader_cut_one_way(cluster: &mut Cluster) {
    let leader = cluster.await_leader();
    for host in (0..3).filter(|host| *host != leader) {
        cluster.cut_one_way(host, leader);
    }
    cluster.run_for(3 * SECOND);
    cluster.expect(cluster.leader() != Some(leader), "a deaf leader leads on");
    cluster.expect_accepting("nobody follows a deaf leader");
}

/// Callers notice nothing. One follower loses its link to the leader alone and asks the other for
/// votes; as no command comes in, its log is as new as any. The other hears the leader and gives
/// none, so the leader stays.
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
        "one cut link unseats the leader",
    );
    cluster.client_interval = 7 * MILLISECOND;
    cluster.run_for(10 * SECOND);
}

/// Callers wait for some elections. All links but those of one follower are cut, so no other can
/// lead: the leader steps down, and the one that reaches all is elected in the end.
fn one_reaches_all(cluster: &mut Cluster) {
    let centre = (cluster.await_leader() + 1) % 5;
    for left in (0..5).filter(|host| *host != centre) {
        for right in (0..5).filter(|host| *host != centre && *host != left) {
            cluster.cut_one_way(left, right);
        }
    }
    cluster.run_for(15 * SECOND);
    cluster.expect(
        cluster.leader() == Some(centre),
        "the one that reaches all doesn't lead",
    );
    cluster.expect_accepting("the one that reaches all accepts nothing");
}

/// Callers wait for the slowest disk of a quorum. Syncs take up to three election timeouts; no
/// election follows from it, as heartbeats wait for no disk.
fn disks_stall(cluster: &mut Cluster) {
    let term = cluster.leader_term();
    cluster.max_sync = 900 * MILLISECOND;
    cluster.run_for(5 * SECOND);
    cluster.max_sync = 3 * MILLISECOND;
    cluster.expect(
        cluster.leader_term() == term,
        "a slow disk costs an election",
    );
}

/// Callers notice nothing, save for a hand-over where the leader itself is to go. Two keepers are
/// added one after the other, then two of the old ones are removed.
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

/// Callers wait longer. Messages are lost, doubled, delayed beyond the heartbeat, and overtake.
fn rough_network(cluster: &mut Cluster) {
    cluster.faults = NetworkFaults::ROUGH;
    cluster.run_for(5 * SECOND);
}

/// Callers at the woken leader are refused or left unknown, and no read of theirs is stale.
/// The process stops for longer than an election, then reads what came in meanwhile in one go,
/// believing that no time has passed; the check of its leadership comes before all of it.
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

/// Callers notice one election at most. A disk is lost, its host returns under a new incarnation
/// that nobody counts, catches up as a learner and takes the place of the former one.
fn disk_emptied(cluster: &mut Cluster) {
    let host = cluster.random_host();
    cluster.crash(host, false);
    cluster.run_for_random(SECOND);
    cluster.empty_disk(host);
    cluster.start(host);
    cluster.run_for_random(SECOND);
    cluster.replace(host);
}

/// Callers notice one election at most. The disk returns under its old identity and without what
/// it acknowledged since; a vote of it could elect a leader that lacks committed entries. Its
/// peers remember the acknowledgements and refuse it, so it retires and is replaced.
fn old_disk(cluster: &mut Cluster) {
    let host = cluster.random_host();
    let copy = cluster.copy_disk(host);
    cluster.run_for_random(2 * SECOND);
    cluster.run_for(100 * MILLISECOND);
    cluster.crash(host, false);
    cluster.run_for_random(SECOND);
    cluster.put_disk_back(host, copy);
    cluster.start(host);
    if cluster.random.random_range(0..2) == 0 {
        let leader = cluster.await_leader();
        cluster.crash(leader, true);
        cluster.run_for_random(SECOND);
        cluster.start(leader);
    }
    cluster.run_for(3 * SECOND);
    cluster.expect(cluster.has_lost_identity(host), "an old disk is counted");
    cluster.crash(host, false);
    cluster.empty_disk(host);
    cluster.start(host);
    cluster.replace(host);
}

/// Callers notice an election. Right after the first lost host was replaced a second one loses
/// its disk too; the replaced one holds everything by then, so nothing accepted is lost.
fn second_loss(cluster: &mut Cluster) {
    disk_emptied(cluster);
    let host = cluster.random_host();
    cluster.crash(host, false);
    cluster.empty_disk(host);
    cluster.start(host);
    cluster.replace(host);
}

/// Callers notice an election. While one host is being replaced, a second one loses its disk:
/// three of five hold everything, and both are replaced in turn.
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

/// Callers get no answer to what was under way. All processes die within one moment after
/// hundreds of commands, each perhaps in a write, and all return on their disks.
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

/// Callers wait longer. A lost disk is replaced while messages are lost, doubled and delayed.
fn rough_replacement(cluster: &mut Cluster) {
    cluster.faults = NetworkFaults {
        max_delay: 10 * MILLISECOND,
        ..NetworkFaults::ROUGH
    };
    disk_emptied(cluster);
}

/// Callers are refused for some milliseconds, and none is left unknown: the leader lets go only
/// once all that it took in is committed and its successor holds it.
fn hand_over(cluster: &mut Cluster) {
    for _ in 0..5 {
        let leader = cluster.await_leader();
        let target = (leader + 1) % 3;
        cluster.hand_over(leader, target);
        cluster.run_for(100 * MILLISECOND);
        cluster.expect(cluster.leader() == Some(target), "the target doesn't lead");
    }
    let done = vec![HandOverOutcome::Done; 5];
    cluster.expect(cluster.hand_overs == done, "a hand-over failed");
    cluster.expect(
        cluster.tally.unknown == 0,
        "a hand-over leaves callers unknown",
    );
}

/// Callers see any of the above. Crashes, pauses, partitions and rough spells come at random and
/// overlap, with at most two of five keepers down or paused.
fn anything(cluster: &mut Cluster) {
    for _ in 0..12 {
        let host = cluster.random_host();
        match cluster.random.random_range(0..6) {
            0 => cluster.crash_some(host, 2),
            1 => cluster.start_all(),
            2 => cluster.pause(host),
            3 => cluster.partition(&[host, (host + 1) % 5]),
            4 => cluster.faults = NetworkFaults::ROUGH,
            _ => cluster.heal(),
        }
        cluster.run_for_random(700 * MILLISECOND);
    }
}

/// Callers see any of the above. Disks are lost one after the other; while each is being replaced,
/// a second host dies, is paused or cut off, messages suffer, or leadership is handed over.
fn busy_replacements(cluster: &mut Cluster) {
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
            3 => cluster.faults = NetworkFaults::ROUGH,
            _ => cluster.hand_over(cluster.leader().unwrap_or(other), other),
        }
        cluster.replace(lost);
        cluster.run_for_random(SECOND);
        cluster.heal();
        cluster.start_all();
    }
}
