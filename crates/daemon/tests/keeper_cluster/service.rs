//! Requests to the keepers during normal operation, planned stops and founding.

use std::sync::Arc;
use std::time::Duration;

use pollendrift::keeper::{
    ClientSettings, KeeperClient, KeeperStatus, RetryPermission, SubmitError,
};
use pollendrift::peers::{PeerAnswer, PeerFrame, PeerHandler, PeerHub};
use pollendrift_coordination::agreement::KeeperRole;
use pollendrift_coordination::base::HostName;

use crate::cluster::{Cluster, KEEPERS, NoFrames, TIMEOUT, keepers, others, settings, within};

/// Guards against commands that only the leader accepts or shows: followers must send them to the
/// leader. A command that the state machine can't decode is "not run" and changes no keeper.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_keeper_accepts_and_shows_commands() {
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

/// Guards against failed commands during a planned stop of the leader: leadership must move to
/// another keeper before, and the host of the stopped keeper must still accept commands.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_transfers_leadership_without_failed_commands() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.submit_until_accepted("a", "1").await;
    let leader = cluster.leader().await;
    let handle = cluster.running[leader].keeper.handle().clone();
    assert!(handle.hand_over(TIMEOUT).await);
    cluster
        .submit(leader, "2")
        .await
        .expect("sent to the next leader");
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
        .expect("the other keepers accept it");
    let late = within("a submit", handle.submit(b"4".to_vec())).await;
    assert_eq!(
        late,
        Ok(b"4".to_vec()),
        "the host still sends commands to the other keepers"
    );
    drop(host.peers);
    cluster.assert_lists(&["1", "2", "3", "4"]).await;
}

/// Guards against a host without a keeper that can't submit: it must find the leader through any
/// keeper, and the next leader after a crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_without_keeper_submits_through_peers() {
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
    cluster.crash(leader).await;
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

/// Guards against refused commands after a keeper stops while the links of its host are still up:
/// its host must answer that it doesn't lead, so that the client calls another keeper.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_with_stopped_keeper_redirects_clients() {
    let mut cluster = Cluster::start(settings()).await;
    let peers = cluster.dialer.link("d", Arc::new(NoFrames)).await;
    let client_of_stopped_keeper = KeeperClient::new(
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
    // If a founder stopped before the group is founded, the other founders would wait for it.
    cluster.submit_until_accepted("b", "0").await;
    let stopped = cluster.running.remove("b").expect("it runs");
    assert!(stopped.keeper.handle().stop());
    within("a planned end", stopped.keeper.finish())
        .await
        .expect("no fault");
    cluster.submit_until_accepted("a", "1").await;
    let redirected = client_of_stopped_keeper
        .submit("2".into(), RetryPermission::Never)
        .await;
    let reason = "no keeper leads".to_owned();
    assert_eq!(
        redirected,
        Err(SubmitError::NotRun { reason }),
        "the host redirects the client"
    );
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

/// Handler that answers every call with "not leader" after a short delay.
struct SlowFollower;

impl PeerHandler for SlowFollower {
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame) {
        let PeerFrame::Call(call) = frame else { return };
        let (hub, from) = (hub.clone(), from.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(15)).await;
            let answer = PeerAnswer::NotLeader { leader: None };
            // The requester of a lost answer times out.
            let _ = hub.answer(&from, call.number, answer);
        });
    }
}

/// Guards against "unknown" for a command that no keeper accepted, since every keeper answered that
/// it doesn't lead. The last attempt started just before the deadline, and its timeout made the
/// outcome unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_timeout_does_not_make_a_refused_command_unknown() {
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

/// Guards against two groups with contradicting logs. Two of three keepers are a majority, but the
/// third may contain the log of a group that the two don't know. Commands are "not run" until all
/// keepers in the settings have been reachable at the same time once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn group_is_founded_only_with_all_keepers() {
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
