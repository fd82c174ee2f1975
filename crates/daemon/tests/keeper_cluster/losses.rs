//! Hosts that crash, restart or lose their quorum, and disks that fail.

use std::time::Duration;

use pollendrift::keeper::{KeeperSettings, KeeperStatus, SnapshotThresholds, SubmitError};
use pollendrift_coordination::agreement::KeeperRole;
use pollendrift_store::StoreSettings;

use crate::cluster::{Cluster, KEEPERS, SLOW, others, settings};

/// Maximum time that a restarted keeper may spend applying its log. A change must be in force two
/// seconds after it was accepted, and an election takes most of the first second.
const MAX_REPLAY: Duration = Duration::from_secs(1);

/// Guards against lost commands and outages after the leader's host crashes: the other keepers must
/// accept commands, and the restarted host must have every accepted command.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashed_leader_loses_no_accepted_command() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    cluster.submit_until_accepted(leader, "2").await;
    cluster.crash(leader).await;
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

/// Guards against lost or reordered commands when all keepers crash at the same time after many
/// commands. They must restore every accepted command from snapshots and the log after them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_keepers_crashed_at_once_lose_no_accepted_command() {
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
        cluster.crash(name).await;
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

/// Guards against accepted commands without a quorum. A command that the isolated leader appended
/// before it stepped down is "unknown"; a later one is "not run" and must not appear anywhere after
/// the other keepers restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeper_without_quorum_accepts_no_command() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let stopped_hosts = others(leader);
    for name in stopped_hosts {
        cluster.crash(name).await;
    }
    let first = cluster.submit(leader, "first").await;
    let is_not_leader = |status: &KeeperStatus| status.role != KeeperRole::Leader;
    cluster
        .wait_for(leader, "the leader to step down", is_not_leader)
        .await;
    let second = cluster.submit(leader, "second").await;
    assert!(first.is_err(), "{first:?}");
    assert!(
        matches!(second, Err(SubmitError::NotRun { .. })),
        "{second:?}"
    );
    for name in stopped_hosts {
        cluster.restart(name).await;
    }
    cluster.submit_until_accepted(leader, "last").await;
    let list = cluster.list(leader).await;
    let without_first: Vec<&str> = list
        .iter()
        .map(String::as_str)
        .filter(|text| *text != "first")
        .collect();
    assert_eq!(without_first, ["1", "last"]);
    if matches!(first, Err(SubmitError::NotRun { .. })) {
        assert!(!list.contains(&"first".to_owned()));
    }
}

/// Guards against lost entries after a failed sync: the keeper must neither count its own copy nor
/// retry the sync, but stop with advice for the operator. The command in flight is "unknown", since
/// a leader sends entries while it syncs them, so the other keepers may contain it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_sync_stops_leader_and_other_keepers_continue() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    cluster.faults.fail(cluster.folders[leader].path());
    let in_flight = cluster.submit(leader, "in flight").await;
    let may_have_run = !matches!(in_flight, Err(SubmitError::NotRun { .. }));
    assert!(
        may_have_run,
        "a command that the leader appended must not be \"not run\": {in_flight:?}"
    );
    let stopped = cluster
        .wait_for(leader, "a stop", |status| status.stopped.is_some())
        .await;
    let reason = stopped.stopped.expect("just seen").to_string();
    let (_, advice) = reason.split_once(": ").expect("path and reason");
    insta::assert_snapshot!(advice, @"medium error while syncing the log: check the disk; restart the keeper if it is sound, replace the disk and empty the data folder if not");
    cluster.crash(leader).await;
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

/// Guards against lost entries when the leader's disk becomes full in the middle of a record: the
/// keeper must stop with that reason and refuse to start while the disk is full. After that it must
/// catch up, and must not read the incomplete record as a complete one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeper_with_a_full_disk_stops_and_catches_up_later() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    cluster
        .faults
        .fill_disk(Some(cluster.folders[leader].path()));
    let in_flight = cluster.submit(leader, "in flight").await;
    let stopped = cluster
        .wait_for(leader, "a stop", |status| status.stopped.is_some())
        .await;
    assert!(stopped.is_disk_full, "{:?}", stopped.stopped);
    cluster.crash(leader).await;
    let [one, two] = others(leader);
    cluster.leader().await;
    cluster.submit_until_accepted(one, "2").await;
    let refused = cluster.try_start(leader).await.err();
    assert!(refused.is_some_and(|error| error.is_disk_full()));
    cluster.faults.fill_disk(None);
    cluster.restart(leader).await;
    let expected = cluster.list(two).await;
    assert_eq!(cluster.list(leader).await, expected);
    assert!(in_flight.is_err() || expected.contains(&"in flight".to_owned()));
    assert_eq!(expected.last(), Some(&"2".to_owned()));
}

// Guards against repeated elections after a restart of all keepers, during which all callers are
// refused. Each log has 40 commands that take 40 ms to apply, four times an election timeout in
// total. A leader that applied them without a break sent no heartbeats and lost its leadership.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_keeps_leadership_while_it_applies_a_long_log() {
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
        cluster.crash(name).await;
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

// Guards against a long outage after a restart of all keepers, in which acknowledged routes are
// unknown and operators get no answer. A keeper applies its log before it answers a read. If
// only log entries and bytes triggered snapshots, this time would grow with every accepted change.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_keepers_apply_a_bounded_part_of_their_log() {
    let mut cluster = Cluster::start(settings()).await;
    let leader = cluster.leader().await;
    for index in 0..60 {
        cluster
            .submit_until_accepted(leader, &format!("{SLOW} {index}"))
            .await;
    }
    for name in KEEPERS {
        cluster.crash(name).await;
    }
    for name in KEEPERS {
        cluster.restart(name).await;
    }
    for name in KEEPERS {
        let replayed = |status: &KeeperStatus| status.replay.is_some();
        let status = cluster.wait_for(name, "an applied log", replayed).await;
        let report = status.replay.expect("just seen");
        assert!(report.work <= MAX_REPLAY, "{name}: {report:?}");
    }
}
