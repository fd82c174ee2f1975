//! Hosts that die, come back, or are alone.

use std::time::Duration;

use pollendrift::keeper::{KeeperSettings, KeeperStatus, SnapshotThresholds, SubmitError};
use pollendrift_coordination::agreement::KeeperRole;
use pollendrift_store::StoreSettings;

use crate::cluster::{Cluster, KEEPERS, SLOW, others, settings};

/// Longest time that a keeper may work at its log before it answers again. A change is to be in force
/// two seconds after it was accepted, and an election takes most of the first.
const LONGEST_REPLAY: Duration = Duration::from_secs(1);

/// The caller sees: after the leader's host dies, the next command is accepted by the others, and
/// nothing that was accepted is lost, also on the dead host once it is back from its disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_leader_loses_nothing() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    cluster.submit_until_accepted(leader, "2").await;
    cluster.kill(leader).await;
    let [one, two] = others(leader);
    cluster.leader().await;
    cluster.submit_until_accepted(one, "3").await;
    cluster.submit_until_accepted(two, "4").await;
    cluster.restart(leader).await;
    cluster.assert_lists(&["1", "2", "3", "4"]).await;
    let status = cluster
        .wait_for(leader, "a voter", KeeperStatus::is_voter)
        .await;
    assert_eq!(status.membership.voters.len(), 3);
}

/// The caller sees: all keepers die at once after many commands, and everything accepted is there
/// when they are back, in the same order, from snapshots and what follows them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_keepers_killed_at_once_lose_nothing() {
    let small = KeeperSettings {
        store: StoreSettings {
            segment_bytes: 2_000,
        },
        snapshots: SnapshotThresholds {
            log_bytes: 4_000,
            ..SnapshotThresholds::default()
        },
        ..settings()
    };
    let mut cluster = Cluster::start(small).await;
    let texts: Vec<String> = (0..200).map(|number| format!("command {number}")).collect();
    for (position, text) in texts.iter().enumerate() {
        cluster
            .submit_until_accepted(KEEPERS[position % 3], text)
            .await;
    }
    for name in KEEPERS {
        cluster.kill(name).await;
    }
    for name in KEEPERS {
        cluster.restart(name).await;
    }
    let expected: Vec<&str> = texts.iter().map(String::as_str).collect();
    cluster.assert_lists(&expected).await;
    cluster.submit_until_accepted("b", "after").await;
    let usage = cluster.running["b"].keeper.handle().status().usage;
    assert!(
        usage.snapshot_bytes > 0 && usage.log_bytes < 20_000,
        "{usage:?}"
    );
}

/// The caller sees: without a quorum nothing is accepted. What the lone leader had taken is
/// "unknown", what it refuses is "not run" and is nowhere when the others are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lone_keeper_accepts_nothing() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let dead = others(leader);
    for name in dead {
        cluster.kill(name).await;
    }
    let first = cluster.submit(leader, "first").await;
    let deposed = |status: &KeeperStatus| status.role != KeeperRole::Leader;
    cluster.wait_for(leader, "the lost quorum", deposed).await;
    let second = cluster.submit(leader, "second").await;
    assert!(first.is_err(), "{first:?}");
    assert!(
        matches!(second, Err(SubmitError::NotRun { .. })),
        "{second:?}"
    );
    for name in dead {
        cluster.restart(name).await;
    }
    cluster.submit_until_accepted(leader, "last").await;
    let list = cluster.list(leader).await;
    let rest: Vec<&str> = list
        .iter()
        .map(String::as_str)
        .filter(|text| *text != "first")
        .collect();
    assert_eq!(rest, ["1", "last"]);
    if matches!(first, Err(SubmitError::NotRun { .. })) {
        assert!(!list.contains(&"first".to_owned()));
    }
}

/// The operator sees: a keeper whose disk fails a sync stops and says what to do; the others go on.
/// The caller of the command in flight is told "unknown": the others may hold it, as a leader sends
/// entries while it syncs them. Its keeper must not count itself, nor try the sync again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_sync_stops_the_leader_and_the_others_go_on() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    cluster.failing.fail(cluster.folders[leader].path());
    let in_flight = cluster.submit(leader, "in flight").await;
    let known = !matches!(in_flight, Err(SubmitError::NotRun { .. }));
    assert!(
        known,
        "a command that the leader took is never not run: {in_flight:?}"
    );
    let stopped = cluster
        .wait_for(leader, "a stop", |status| status.stopped.is_some())
        .await;
    let reason = stopped.stopped.expect("just seen").to_string();
    let (_, advice) = reason.split_once(": ").expect("path and reason");
    insta::assert_snapshot!(advice, @"medium error while syncing the log: check the disk; restart the keeper if it is sound, replace the disk and empty the data folder if not");
    cluster.kill(leader).await;
    let [one, two] = others(leader);
    cluster.leader().await;
    cluster.submit_until_accepted(one, "2").await;
    let list = cluster.list(two).await;
    assert_eq!(
        (list.first(), list.last()),
        (Some(&"1".to_owned()), Some(&"2".to_owned()))
    );
    assert!(in_flight.is_err() || list.contains(&"in flight".to_owned()));
}

/// The operator sees: the disk of the leader fills in the middle of a record. It stops and says why; the
/// others go on. It can't start while there is no room, and then catches up with what it missed; nothing
/// that was acknowledged is lost, and no half of a record is taken for a whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_whose_disk_was_full_catches_up() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    cluster
        .failing
        .fill_disk(Some(cluster.folders[leader].path()));
    let in_flight = cluster.submit(leader, "in flight").await;
    let stopped = cluster
        .wait_for(leader, "a stop", |status| status.stopped.is_some())
        .await;
    assert!(stopped.is_disk_full, "{:?}", stopped.stopped);
    cluster.kill(leader).await;
    let [one, two] = others(leader);
    cluster.leader().await;
    cluster.submit_until_accepted(one, "2").await;
    let refused = cluster.try_start(leader).await.err();
    assert!(refused.is_some_and(|error| error.is_disk_full()));
    cluster.failing.fill_disk(None);
    cluster.restart(leader).await;
    let expected = cluster.list(two).await;
    assert_eq!(cluster.list(leader).await, expected);
    assert!(in_flight.is_err() || expected.contains(&"in flight".to_owned()));
    assert_eq!(expected.last(), Some(&"2".to_owned()));
}

// Callers of all hosts are refused until keepers know what is in force. All keepers are killed and
// start again, each with 40 commands in its log that take 40 ms to apply, four times as long as an
// election. A leader that applied them in one go sent no heartbeat, stepped down and was followed by
// the next; it must lead on while it applies them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_leads_on_while_it_applies_a_long_log() {
    let no_snapshot = KeeperSettings {
        snapshots: SnapshotThresholds {
            replay_work: Duration::MAX,
            ..SnapshotThresholds::default()
        },
        ..settings()
    };
    let mut cluster = Cluster::start(no_snapshot).await;
    let commands: Vec<String> = (0..40).map(|index| format!("{SLOW} {index}")).collect();
    let leader = cluster.leader().await;
    for command in &commands {
        cluster.submit_until_accepted(leader, command).await;
    }
    for name in KEEPERS {
        cluster.kill(name).await;
    }
    for name in KEEPERS {
        cluster.restart(name).await;
    }
    let first = cluster.leader().await;
    let elected = cluster.wait_for(first, "a term", |_| true).await.term;
    let expected: Vec<&str> = commands.iter().map(String::as_str).collect();
    cluster.assert_lists(&expected).await;
    let now = cluster.wait_for(first, "a term", |_| true).await;
    assert_eq!(
        (now.term, now.role.to_string().as_str()),
        (elected, "leader")
    );
}

// Callers of a route whose change was acknowledged are told that there is none, and operators get no
// answer. Keepers accepted many changes in quick succession, all of them are killed and start again;
// a leader is elected at once, and then every keeper applies its whole log before it answers a read,
// as snapshots counted entries and bytes, not the work of a start. The more changes the group had ever
// accepted, the longer that took; a figure of each keeper told so, one leader in one term ruled
// elections out, and hosts knew what keepers knew 15 ms later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keepers_that_start_again_apply_a_bounded_part_of_their_log() {
    let mut cluster = Cluster::start(settings()).await;
    let leader = cluster.leader().await;
    for index in 0..60 {
        cluster
            .submit_until_accepted(leader, &format!("{SLOW} {index}"))
            .await;
    }
    for name in KEEPERS {
        cluster.kill(name).await;
    }
    for name in KEEPERS {
        cluster.restart(name).await;
    }
    for name in KEEPERS {
        let replayed = |status: &KeeperStatus| status.replay.is_some();
        let status = cluster.wait_for(name, "an applied log", replayed).await;
        let report = status.replay.expect("just seen");
        assert!(report.work <= LONGEST_REPLAY, "{name}: {report:?}");
    }
}
