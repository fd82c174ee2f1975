//! What hosts see while all goes to plan.

use std::sync::Arc;
use std::time::Duration;

use pollendrift::keeper::{
    ClientSettings, KeeperClient, KeeperStatus, RetryPermission, SubmitError,
};
use pollendrift::peers::{PeerAnswer, PeerFrame, PeerHandler, PeerHub};
use pollendrift_coordination::agreement::KeeperRole;
use pollendrift_coordination::base::HostName;

use crate::cluster::{Cluster, GUARD, KEEPERS, NoFrames, keepers, others, settings, within};

/// The caller sees: every keeper takes commands and shows them, whoever leads; a command that the
/// state machine can't read is "not run" and changes nothing anywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_keeper_takes_commands_and_shows_them() {
    let cluster = Cluster::start(settings()).await;
    for (position, name) in KEEPERS.into_iter().enumerate() {
        cluster
            .submit_until_accepted(name, &format!("from {name}"))
            .await;
        assert_eq!(cluster.list(name).await.len(), position + 1);
    }
    let handle = cluster.running["b"].keeper.handle();
    let refused = within("a refusal", handle.submit(vec![0xff])).await;
    assert!(
        matches!(refused, Err(SubmitError::NotRun { .. })),
        "{refused:?}"
    );
    cluster.assert_lists(&["from a", "from b", "from c"]).await;
}

/// The caller sees: during a planned stop of the leader no command fails; leadership goes to
/// another keeper, and the host of the old one goes on taking commands for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_hands_leadership_over() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let handle = cluster.running[leader].keeper.handle().clone();
    assert!(handle.hand_over(GUARD).await);
    cluster
        .submit(leader, "2")
        .await
        .expect("taken to the next leader");
    let follows = |status: &KeeperStatus| status.role == KeeperRole::Follower;
    cluster.wait_for(leader, "another leader", follows).await;
    assert!(handle.stop());
    let host = cluster.running.remove(leader).expect("it runs");
    within("a planned end", host.keeper.finish())
        .await
        .expect("no fault");
    cluster
        .submit(others(leader)[0], "3")
        .await
        .expect("the others go on");
    let late = within("a submit", handle.submit(b"4".to_vec())).await;
    assert_eq!(
        late,
        Ok(b"4".to_vec()),
        "the host's links outlive its keeper"
    );
    drop(host.peers);
    cluster.assert_lists(&["1", "2", "3", "4"]).await;
}

/// The caller sees: a host without a disk submits through any keeper and finds the next leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_no_keeper_submits_through_peers() {
    let mut cluster = Cluster::start(settings()).await;
    let peers = cluster.dialer.link("d", Arc::new(NoFrames)).await;
    let client = KeeperClient::new(
        peers.hub().clone(),
        keepers().into(),
        None,
        ClientSettings::default(),
    );
    for text in ["1", "2"] {
        let submitting = client.submit(text.into(), RetryPermission::Never);
        within("a submit", submitting).await.expect("accepted");
    }
    let leader = cluster.leader().await;
    cluster.kill(leader).await;
    let submitting = client.submit("3".into(), RetryPermission::Idempotent);
    within("a submit", submitting)
        .await
        .expect("accepted by the next leader");
    let barrier = within("a barrier", client.read_barrier())
        .await
        .expect("a leader");
    let [one, _] = others(leader);
    let applied = |status: &KeeperStatus| status.applied >= barrier;
    cluster.wait_for(one, "the barrier", applied).await;
    cluster.assert_lists(&["1", "2", "3"]).await;
}

/// The caller sees: its command is accepted, though the first host that it asks has stopped its keeper
/// and still has its links. That host knows that it ran nothing, but another one can.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_keeper_has_stopped_sends_callers_on() {
    let mut cluster = Cluster::start(settings()).await;
    let peers = cluster.dialer.link("d", Arc::new(NoFrames)).await;
    let ask_first = KeeperClient::new(
        peers.hub().clone(),
        vec![HostName::from("b")].into(),
        None,
        ClientSettings {
            request_timeout: Duration::from_secs(1),
            ..ClientSettings::default()
        },
    );
    let mut link = peers
        .hub()
        .watch_link(&HostName::from("b"))
        .expect("a peer");
    within("a link", link.wait_for(|up| *up))
        .await
        .expect("it runs");
    // A founder that stops before the group is founded leaves the others waiting for it.
    cluster.submit_until_accepted("b", "0").await;
    let stopped = cluster.running.remove("b").expect("it runs");
    assert!(stopped.keeper.handle().stop());
    within("a planned end", stopped.keeper.finish())
        .await
        .expect("no fault");
    cluster.submit_until_accepted("a", "1").await;
    let alone = ask_first.submit("2".into(), RetryPermission::Never).await;
    let reason = "no keeper leads".to_owned();
    assert_eq!(alone, Err(SubmitError::NotRun { reason }), "it sends on");
    let client = KeeperClient::new(
        peers.hub().clone(),
        keepers().into(),
        None,
        ClientSettings::default(),
    );
    let submitting = client.submit("3".into(), RetryPermission::Never);
    within("a submit", submitting).await.expect("accepted");
    drop(stopped.peers);
}

/// A keeper that leads nothing, and says so a little later.
struct SlowFollower;

impl PeerHandler for SlowFollower {
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame) {
        let PeerFrame::Call(call) = frame else { return };
        let (hub, from) = (hub.clone(), from.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(15)).await;
            let answer = PeerAnswer::NotLeader { leader: None };
            // An answer that is lost is a timeout of the asker.
            let _ = hub.answer(&from, call.number, answer);
        });
    }
}

/// The caller sees: "not run", since every keeper said that it leads nothing. The last attempt used
/// to begin just before time was up, and its cut made the whole "unknown".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn time_that_is_up_does_not_make_a_command_unknown() {
    let cluster = Cluster::prepare(settings());
    let mut followers = Vec::new();
    for name in KEEPERS {
        followers.push(cluster.dialer.link(name, Arc::new(SlowFollower)).await);
    }
    let own = cluster.dialer.link("d", Arc::new(NoFrames)).await;
    let client = KeeperClient::new(
        own.hub().clone(),
        keepers().into(),
        None,
        ClientSettings {
            request_timeout: Duration::from_millis(700),
            base_backoff: Duration::from_millis(1),
            ..ClientSettings::default()
        },
    );
    for name in KEEPERS {
        let mut link = own.hub().watch_link(&HostName::from(name)).expect("a peer");
        within("a link", link.wait_for(|up| *up))
            .await
            .expect("it runs");
    }
    for _ in 0..6 {
        let outcome = client.submit("1".into(), RetryPermission::Never).await;
        assert!(
            matches!(outcome, Err(SubmitError::NotRun { .. })),
            "{outcome:?}"
        );
    }
}

/// The caller sees: "not run" until all keepers of the settings have met once; then it is accepted.
/// Two of three could already be a majority, but the third may hold the log of a group that the
/// two have never heard of, and a second group beside it would contradict the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_group_is_founded_only_with_all_keepers() {
    let mut cluster = Cluster::prepare(settings());
    for name in ["a", "b"] {
        cluster.restart(name).await;
    }
    let mut link = cluster.running["a"]
        .peers
        .hub()
        .watch_link(&HostName::from("b"))
        .expect("a peer");
    within("a link", link.wait_for(|up| *up))
        .await
        .expect("it runs");
    let early = cluster.submit("a", "early").await;
    assert!(
        matches!(early, Err(SubmitError::NotRun { .. })),
        "{early:?}"
    );
    assert_eq!(cluster.running["a"].keeper.handle().status().keeper, None);
    cluster.restart("c").await;
    cluster.submit_until_accepted("b", "1").await;
    cluster.assert_lists(&["1"]).await;
}
