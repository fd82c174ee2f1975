//! Three keepers in one process, over loopback websockets and real folders.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pollendrift::clock::SystemClock;
use pollendrift::keeper::{
    ClientSettings, KeeperClient, KeeperFrames, KeeperSettings, KeeperStart, KeeperStatus,
    RetryPermission, RunningKeeper, SubmitError, keeper_queue, start_keeper,
};
use pollendrift::peers::{
    LinkSettings, PeerAddress, PeerFrame, PeerHandler, PeerHub, PeerNode, PeerTasks,
    PlainTransport, start_peers,
};
use pollendrift_coordination::agreement::{
    AgreementSettings, KeeperRole, LogIndex, MachineError, StateMachine,
};
use pollendrift_coordination::base::{HostName, Incarnation};
use pollendrift_store::StoreSettings;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Longer than any wait of a sound run; a test that reaches it fails.
const GUARD: Duration = Duration::from_secs(30);
const KEEPERS: [&str; 3] = ["a", "b", "c"];

type SharedList = Arc<Mutex<Vec<String>>>;

/// Keeps all commands in order; refuses what is no text.
struct ListMachine {
    list: SharedList,
}

impl StateMachine for ListMachine {
    fn apply(&mut self, _: LogIndex, command: &[u8]) -> Result<Vec<u8>, MachineError> {
        let text = String::from_utf8(command.to_vec()).map_err(|error| MachineError {
            what: "command",
            reason: error.to_string(),
        })?;
        let mut list = self.list.lock().expect("no test panics with the list");
        list.push(text);
        Ok(list.len().to_string().into_bytes())
    }

    fn snapshot(&self) -> Result<Vec<u8>, MachineError> {
        let list = self.list.lock().expect("no test panics with the list");
        Ok(list.join("\n").into_bytes())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError> {
        let text = String::from_utf8_lossy(snapshot);
        let list = text.lines().map(str::to_owned).collect();
        *self.list.lock().expect("no test panics with the list") = list;
        Ok(())
    }
}

struct NoFrames;

impl PeerHandler for NoFrames {
    fn handle(&self, _: &PeerHub, _: &HostName, _: PeerFrame) {}
}

struct Host {
    peers: PeerTasks,
    keeper: RunningKeeper,
    list: SharedList,
}

/// Hosts of one group; a host that isn't in `running` is dead, its folder stays.
struct Cluster {
    addresses: Vec<PeerAddress>,
    folders: BTreeMap<&'static str, TempDir>,
    running: BTreeMap<&'static str, Host>,
    settings: KeeperSettings,
}

fn settings() -> KeeperSettings {
    KeeperSettings {
        agreement: AgreementSettings {
            heartbeat_interval: Duration::from_millis(40),
            election_timeout: Duration::from_millis(400),
            ..AgreementSettings::default()
        },
        join_pause: Duration::from_millis(10),
        ..KeeperSettings::default()
    }
}

fn links() -> LinkSettings {
    LinkSettings {
        heartbeat: Duration::from_millis(50),
        silence: Duration::from_secs(2),
        retry_first: Duration::from_millis(2),
        retry_most: Duration::from_millis(20),
        ..LinkSettings::default()
    }
}

fn keepers() -> Vec<HostName> {
    KEEPERS.map(HostName::from).to_vec()
}

async fn within<F>(what: &str, work: F) -> F::Output
where
    F: Future,
{
    timeout(GUARD, work)
        .await
        .unwrap_or_else(|_| panic!("{what} takes too long"))
}

impl Cluster {
    /// Three keepers and the free host `d`, all listening.
    async fn start(settings: KeeperSettings) -> Self {
        let mut addresses = Vec::new();
        let mut listeners = BTreeMap::new();
        for name in ["a", "b", "c", "d"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("bound");
            addresses.push(PeerAddress {
                host: HostName::from(name),
                address,
            });
            listeners.insert(name, listener);
        }
        let mut cluster = Self {
            addresses,
            folders: BTreeMap::new(),
            running: BTreeMap::new(),
            settings,
        };
        for name in KEEPERS {
            cluster
                .folders
                .insert(name, tempfile::tempdir().expect("a folder"));
            let listener = listeners.remove(name).expect("bound above");
            cluster.run(name, listener);
        }
        cluster
    }

    fn address(&self, name: &str) -> SocketAddr {
        let mut peers = self.addresses.iter();
        peers
            .find(|peer| peer.host.as_str() == name)
            .expect("known")
            .address
    }

    fn run(&mut self, name: &'static str, listener: TcpListener) {
        let (port, inbox) = keeper_queue(self.settings.queue);
        let handler = Arc::new(KeeperFrames::new(port.clone(), Arc::new(NoFrames)));
        let node = PeerNode {
            host: HostName::from(name),
            process: Incarnation(1),
        };
        let dialer = Box::new(PlainTransport);
        let mut peers = start_peers(node, links(), self.addresses.clone(), dialer, handler);
        peers.accept(listener, Arc::new(PlainTransport));
        let list = SharedList::default();
        let start = KeeperStart {
            folder: self.folders[name].path().to_owned(),
            settings: self.settings.clone(),
            client: ClientSettings::default(),
            keepers: keepers(),
            hub: peers.hub().clone(),
            port,
            inbox,
            machine: Box::new(ListMachine { list: list.clone() }),
            clock: Arc::new(SystemClock::default()),
        };
        let keeper = start_keeper(start).expect("sound folder");
        self.running.insert(
            name,
            Host {
                peers,
                keeper,
                list,
            },
        );
    }

    async fn restart(&mut self, name: &'static str) {
        let listener = TcpListener::bind(self.address(name))
            .await
            .expect("its port is free");
        self.run(name, listener);
    }

    /// Ends a host's tasks where they stand.
    async fn kill(&mut self, name: &str) {
        let host = self.running.remove(name).expect("it runs");
        drop(host.peers);
        within("the end of a keeper", host.keeper.abort()).await;
    }

    async fn wait_for<P>(&self, name: &str, what: &str, predicate: P) -> KeeperStatus
    where
        P: FnMut(&KeeperStatus) -> bool,
    {
        let mut status = self.running[name].keeper.handle().watch_status();
        let reached = within(what, status.wait_for(predicate)).await;
        reached.expect("keeper runs").clone()
    }

    /// Name of the leader that all running keepers know.
    async fn leader(&self) -> &'static str {
        let first = self.running.keys().next().expect("one runs");
        let known = |status: &KeeperStatus| {
            let leader = status.leader.as_ref().map(|leader| leader.host.as_str());
            leader.is_some_and(|leader| self.running.contains_key(leader))
        };
        let status = self.wait_for(first, "a leader", known).await;
        let leader = status.leader.expect("just seen");
        let name = KEEPERS
            .into_iter()
            .find(|name| *name == leader.host.as_str());
        name.expect("leader is a keeper")
    }

    async fn submit(&self, name: &str, text: &str) -> Result<String, SubmitError> {
        let handle = self.running[name].keeper.handle();
        let answer = within("a submit", handle.submit(text.as_bytes().to_vec())).await?;
        Ok(String::from_utf8(answer).expect("the machine answers text"))
    }

    /// Submits until it is accepted; only "not run" may be tried again without doubling.
    async fn accept(&self, name: &str, text: &str) {
        let accepting = async {
            loop {
                match self.submit(name, text).await {
                    Ok(_) => return,
                    Err(SubmitError::NotRun { .. }) => {}
                    Err(error) => panic!("{text}: {error}"),
                }
            }
        };
        within("an accepted command", accepting).await;
    }

    async fn list(&self, name: &str) -> Vec<String> {
        let handle = self.running[name].keeper.handle();
        let reading = async { while handle.read_barrier().await.is_err() {} };
        within("a read barrier", reading).await;
        self.running[name]
            .list
            .lock()
            .expect("no test panics with the list")
            .clone()
    }

    async fn assert_lists(&self, expected: &[&str]) {
        for name in self.running.keys() {
            assert_eq!(self.list(name).await, expected, "host {name}");
        }
    }
}

fn others(leader: &str) -> [&'static str; 2] {
    let mut names = KEEPERS.into_iter().filter(|name| *name != leader);
    [names.next().expect("three"), names.next().expect("three")]
}

/// The caller sees: every keeper takes commands and shows them, whoever leads; a command that the
/// state machine can't read is "not run" and changes nothing anywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_keeper_takes_commands_and_shows_them() {
    let cluster = Cluster::start(settings()).await;
    for (position, name) in KEEPERS.into_iter().enumerate() {
        cluster.accept(name, &format!("from {name}")).await;
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

/// The caller sees: after the leader's host dies, the next command is accepted by the others, and
/// nothing that was accepted is lost, also on the dead host once it is back from its disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_leader_loses_nothing() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.accept("a", "1").await;
    let leader = cluster.leader().await;
    cluster.accept(leader, "2").await;
    cluster.kill(leader).await;
    let [one, two] = others(leader);
    cluster.leader().await;
    cluster.accept(one, "3").await;
    cluster.accept(two, "4").await;
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
        snapshot_log_bytes: 4_000,
        ..settings()
    };
    let mut cluster = Cluster::start(small).await;
    let texts: Vec<String> = (0..200).map(|number| format!("command {number}")).collect();
    for (position, text) in texts.iter().enumerate() {
        cluster.accept(KEEPERS[position % 3], text).await;
    }
    for name in KEEPERS {
        cluster.kill(name).await;
    }
    for name in KEEPERS {
        cluster.restart(name).await;
    }
    let expected: Vec<&str> = texts.iter().map(String::as_str).collect();
    cluster.assert_lists(&expected).await;
    cluster.accept("b", "after").await;
    let usage = cluster.running["b"].keeper.handle().status().usage;
    assert!(
        usage.snapshot_bytes > 0 && usage.log_bytes < 20_000,
        "{usage:?}"
    );
}

/// The operator sees: a keeper whose disk was emptied comes back by itself under a new incarnation,
/// learns, and votes; then redundancy is whole and a second host can be lost at once. Its old votes
/// are forgotten, so its former self must never count again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_emptied_disk_returns_as_a_learner_and_a_second_loss_is_borne() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.accept("a", "1").await;
    let leader = cluster.leader().await;
    let [emptied, second] = others(leader);
    let former = cluster
        .wait_for(emptied, "its own name", |status| status.keeper.is_some())
        .await;
    cluster.kill(emptied).await;
    cluster.accept(leader, "2").await;
    cluster
        .folders
        .insert(emptied, tempfile::tempdir().expect("a folder"));
    cluster.restart(emptied).await;
    let returned = cluster
        .wait_for(emptied, "a vote", KeeperStatus::is_voter)
        .await;
    assert_ne!(returned.keeper, former.keeper);
    let former = former.keeper.expect("known");
    let gone = |status: &KeeperStatus| !status.membership.contains(&former);
    cluster
        .wait_for(emptied, "the former self's removal", gone)
        .await;
    let leader = cluster.leader().await;
    let whole = |status: &KeeperStatus| {
        status
            .redundancy
            .as_ref()
            .is_some_and(|report| report.is_whole())
    };
    cluster.wait_for(leader, "whole redundancy", whole).await;
    cluster.kill(second).await;
    cluster.accept(emptied, "3").await;
    cluster.assert_lists(&["1", "2", "3"]).await;
}

/// The caller sees: during a planned stop of the leader no command fails; leadership goes to
/// another keeper, and the host of the old one goes on taking commands for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_hands_leadership_over() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.accept("a", "1").await;
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

/// The caller sees: without a quorum nothing is accepted. What the lone leader had taken is
/// "unknown", what it refuses is "not run" and is nowhere when the others are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lone_keeper_accepts_nothing() {
    let mut cluster = Cluster::start(settings()).await;
    cluster.accept("a", "1").await;
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
    cluster.accept(leader, "last").await;
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

/// The caller sees: a host without a disk submits through any keeper and finds the next leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_no_keeper_submits_through_peers() {
    let mut cluster = Cluster::start(settings()).await;
    let node = PeerNode {
        host: HostName::from("d"),
        process: Incarnation(1),
    };
    let addresses = cluster.addresses.clone();
    let mut peers = start_peers(
        node,
        links(),
        addresses,
        Box::new(PlainTransport),
        Arc::new(NoFrames),
    );
    let listener = TcpListener::bind(cluster.address("d"))
        .await
        .expect("its port is free");
    peers.accept(listener, Arc::new(PlainTransport));
    let client = KeeperClient::new(
        peers.hub().clone(),
        keepers(),
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
