//! Cluster of keepers for the tests, on loopback links with real data folders.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pollendrift::clock::{SystemClock, TimeSource};
use pollendrift::keeper::{
    ClientSettings, KeeperError, KeeperFrameHandler, KeeperSettings, KeeperStart, KeeperStatus,
    RunningKeeper, SubmitError, keeper_queue, start_keeper_on,
};
use pollendrift::peers::{
    BoxFuture, LinkSettings, PeerAddress, PeerDialer, PeerFrame, PeerHandler, PeerHub, PeerNode,
    PeerStream, PeerTasks, PlainTransport, start_peers,
};
use pollendrift_coordination::agreement::{
    AgreementSettings, LogIndex, StateMachine, StateMachineError,
};
use pollendrift_coordination::base::{HostName, Incarnation};
use pollendrift_store::FileSystem;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::failing::{DiskFaults, FailingFiles};

/// Timeout of every wait, longer than any wait of a passing run.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const KEEPERS: [&str; 3] = ["a", "b", "c"];
/// The keepers and one host that is no keeper.
const HOSTS: [&str; 4] = ["a", "b", "c", "d"];

/// Prefix of commands that take [`SLOW_WORK`] to apply.
pub(crate) const SLOW: &str = "slow";
/// Time that applying a slow command takes.
const SLOW_WORK: Duration = Duration::from_millis(40);

pub(crate) type SharedList = Arc<Mutex<Vec<String>>>;

/// State machine that stores all commands in order; refuses commands that are not UTF-8.
pub(crate) struct ListMachine {
    list: SharedList,
}

impl StateMachine for ListMachine {
    fn apply(&mut self, _: LogIndex, command: &[u8]) -> Result<Vec<u8>, StateMachineError> {
        let text = String::from_utf8(command.to_vec()).map_err(|error| StateMachineError {
            what: "command",
            reason: error.to_string(),
        })?;
        if text.starts_with(SLOW) {
            std::thread::sleep(SLOW_WORK);
        }
        let mut list = self.list.lock().expect("no test panics with the list");
        list.push(text);
        Ok(list.len().to_string().into_bytes())
    }

    fn snapshot(&self) -> Result<Vec<u8>, StateMachineError> {
        let list = self.list.lock().expect("no test panics with the list");
        Ok(list.join("\n").into_bytes())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), StateMachineError> {
        let text = String::from_utf8_lossy(snapshot);
        let list = text.lines().map(str::to_owned).collect();
        *self.list.lock().expect("no test panics with the list") = list;
        Ok(())
    }
}

pub(crate) struct NoFrames;

impl PeerHandler for NoFrames {
    fn handle(&self, _: &PeerHub, _: &HostName, _: PeerFrame) {}
}

/// Connects to the current addresses of hosts. Each start of a host has a new port, and a crashed
/// host refuses connections.
#[derive(Clone, Default)]
pub(crate) struct MapDialer {
    addresses: Arc<Mutex<BTreeMap<HostName, SocketAddr>>>,
}

impl MapDialer {
    /// Starts the links of a host and registers its address.
    pub(crate) async fn link(&self, name: &str, handler: Arc<dyn PeerHandler>) -> PeerTasks {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let host = HostName::from(name);
        let peers = HOSTS.map(|name| PeerAddress {
            host: HostName::from(name),
            address,
        });
        let node = PeerNode {
            host: host.clone(),
            process: Incarnation(1),
            discovery: None,
        };
        let dialer = Box::new(self.clone());
        let mut tasks = start_peers(node, links(), peers.to_vec(), dialer, handler);
        tasks.accept(listener, Arc::new(PlainTransport));
        let mut addresses = self
            .addresses
            .lock()
            .expect("no test panics with the addresses");
        addresses.insert(host, address);
        tasks
    }

    pub(crate) fn remove(&self, name: &str) {
        let mut addresses = self
            .addresses
            .lock()
            .expect("no test panics with the addresses");
        addresses.remove(name);
    }
}

impl PeerDialer for MapDialer {
    fn dial<'scope>(
        &'scope self,
        host: &'scope HostName,
        _: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        let addresses = self
            .addresses
            .lock()
            .expect("no test panics with the addresses");
        match addresses.get(host) {
            Some(address) => PlainTransport.dial(host, *address),
            None => Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) }),
        }
    }
}

pub(crate) struct Host {
    pub(crate) peers: PeerTasks,
    pub(crate) keeper: RunningKeeper,
    list: SharedList,
}

/// Hosts of one group; a host that isn't in `running` is stopped, and its folder remains.
pub(crate) struct Cluster {
    pub(crate) dialer: MapDialer,
    pub(crate) folders: BTreeMap<&'static str, TempDir>,
    pub(crate) running: BTreeMap<&'static str, Host>,
    pub(crate) settings: KeeperSettings,
    pub(crate) clock: Arc<dyn TimeSource>,
    /// Fault injection for the disks of the hosts; initially no disk fails.
    pub(crate) faults: DiskFaults,
}

pub(crate) fn settings() -> KeeperSettings {
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

pub(crate) fn links() -> LinkSettings {
    LinkSettings {
        heartbeat: Duration::from_millis(50),
        silence_timeout: Duration::from_secs(2),
        base_backoff: Duration::from_millis(2),
        max_backoff: Duration::from_millis(20),
        ..LinkSettings::default()
    }
}

pub(crate) fn keepers() -> Vec<HostName> {
    KEEPERS.map(HostName::from).to_vec()
}

pub(crate) async fn within<F>(what: &str, work: F) -> F::Output
where
    F: Future,
{
    timeout(TIMEOUT, work)
        .await
        .unwrap_or_else(|_| panic!("{what} takes too long"))
}

impl Cluster {
    /// Starts all three keepers on empty folders.
    pub(crate) async fn start(settings: KeeperSettings) -> Self {
        let mut cluster = Self::prepare(settings);
        for name in KEEPERS {
            cluster.restart(name).await;
        }
        cluster
    }

    /// Creates empty folders; starts no keeper.
    pub(crate) fn prepare(settings: KeeperSettings) -> Self {
        let folder = || tempfile::tempdir().expect("a folder");
        Self {
            dialer: MapDialer::default(),
            folders: KEEPERS.map(|name| (name, folder())).into(),
            running: BTreeMap::new(),
            settings,
            clock: Arc::new(SystemClock::default()),
            faults: DiskFaults::default(),
        }
    }

    pub(crate) async fn restart(&mut self, name: &'static str) {
        self.try_start(name).await.expect("the keeper starts");
    }

    pub(crate) async fn try_start(&mut self, name: &'static str) -> Result<(), KeeperError> {
        let files = FailingFiles::new(self.folders[name].path(), self.faults.clone());
        self.start_on(name, Box::new(files)).await
    }

    /// Starts a keeper on `files` in place of its folder.
    pub(crate) async fn start_on(
        &mut self,
        name: &'static str,
        files: Box<dyn FileSystem>,
    ) -> Result<(), KeeperError> {
        let (port, inbox) = keeper_queue(self.settings.queue);
        let handler = Arc::new(KeeperFrameHandler::new(port.clone(), Arc::new(NoFrames)));
        let peers = self.dialer.link(name, handler).await;
        let list = SharedList::default();
        let start = KeeperStart {
            folder: self.folders[name].path().to_owned(),
            settings: self.settings.clone(),
            client: ClientSettings::default(),
            keepers: keepers().into(),
            hub: peers.hub().clone(),
            port,
            inbox,
            machine: Box::new(ListMachine { list: list.clone() }),
            clock: self.clock.clone(),
        };
        let keeper = start_keeper_on(start, files)?;
        let host = Host {
            peers,
            keeper,
            list,
        };
        self.running.insert(name, host);
        Ok(())
    }

    /// Aborts all tasks of a host at once, like a crash.
    pub(crate) async fn crash(&mut self, name: &str) {
        let host = self.running.remove(name).expect("it runs");
        self.dialer.remove(name);
        drop(host.peers);
        within("the end of a keeper", host.keeper.abort()).await;
    }

    pub(crate) async fn wait_for<P>(&self, name: &str, what: &str, predicate: P) -> KeeperStatus
    where
        P: FnMut(&KeeperStatus) -> bool,
    {
        let mut status = self.running[name].keeper.handle().watch_status();
        let reached = within(what, status.wait_for(predicate)).await;
        reached.expect("keeper runs").clone()
    }

    /// Waits until a running keeper knows a running leader, and returns the leader's name.
    pub(crate) async fn leader(&self) -> &'static str {
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

    pub(crate) async fn submit(&self, name: &str, text: &str) -> Result<String, SubmitError> {
        let handle = self.running[name].keeper.handle();
        let answer = within("a submit", handle.submit(text.as_bytes().to_vec())).await?;
        Ok(String::from_utf8(answer).expect("the machine answers text"))
    }

    /// Submits a command until it is accepted. Retries only after "not run", since after other
    /// errors the command could run twice.
    pub(crate) async fn submit_until_accepted(&self, name: &str, text: &str) {
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

    pub(crate) async fn list(&self, name: &str) -> Vec<String> {
        let handle = self.running[name].keeper.handle();
        let reading = async { while handle.read_barrier().await.is_err() {} };
        within("a read barrier", reading).await;
        self.running[name]
            .list
            .lock()
            .expect("no test panics with the list")
            .clone()
    }

    pub(crate) async fn assert_lists(&self, expected: &[&str]) {
        for name in self.running.keys() {
            assert_eq!(self.list(name).await, expected, "host {name}");
        }
    }
}

pub(crate) fn others(leader: &str) -> [&'static str; 2] {
    let mut names = KEEPERS.into_iter().filter(|name| *name != leader);
    [names.next().expect("three"), names.next().expect("three")]
}
