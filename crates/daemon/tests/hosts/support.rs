//! Test support: several hosts in one process.

use std::future::Future;
use std::panic::Location;
use std::path::PathBuf;
use std::time::Duration;

use pollendrift::agreed::AgreedState;
use pollendrift::daemon::RouterDaemon;
use pollendrift::settings::{DaemonSettings, TokenDigest};
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{ChangeAnswer, ChangeRequest};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_http::HttpClient;
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, OPERATOR_TOKEN};

/// Time between two checks of a condition; without it, waiting tests use the CPU time of the hosts
/// that they wait for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait for a condition; only a failing test waits that long.
const TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const SELECTORS: &str = "kind: selector
name: drafts
model: draft
---
kind: selector
name: portal
service: portal
";

/// Hosts that are configured as one group; the first ones are keepers.
pub(crate) struct HostGroup {
    pub(crate) builder: HostBuilder,
    /// Text that is appended to the settings, by host index.
    extra_settings: Vec<String>,
    /// Replacements in the list of peers, by host index.
    replacements: Vec<Vec<(String, String)>>,
    folders: Vec<tempfile::TempDir>,
    hosts: Vec<Option<RouterDaemon>>,
    client: HttpClient,
}

impl HostGroup {
    /// Starts `hosts` hosts, the first `keepers` of them keepers, and puts [`SELECTORS`] in force.
    pub(crate) async fn start(hosts: usize, keepers: usize) -> Self {
        Self::stopped(hosts, keepers).start_all().await
    }

    /// Starts all hosts and puts [`SELECTORS`] in force.
    pub(crate) async fn start_all(self) -> Self {
        self.start_all_with(SELECTORS).await
    }

    /// Starts all hosts and puts `selectors` in force.
    pub(crate) async fn start_all_with(mut self, selectors: &str) -> Self {
        let hosts = self.hosts.len();
        let group = &mut self;
        for index in 0..hosts {
            group.restart(index).await;
        }
        let answer = group.change(0, "first", Revision(0), selectors).await;
        assert!(
            matches!(answer, Some(ChangeAnswer::Accepted { .. })),
            "{answer:?}"
        );
        for index in 0..hosts {
            group.wait_revision(index, Revision(1)).await;
        }
        self
    }

    /// Creates a group of hosts that are not running yet.
    pub(crate) fn stopped(hosts: usize, keepers: usize) -> Self {
        let digest = |token: &str| TokenDigest::of(token.as_bytes()).to_hex();
        let builder = HostBuilder::new(
            hosts,
            keepers,
            digest(CUSTOMER_TOKEN),
            digest(OPERATOR_TOKEN),
        )
        .unwrap();
        Self {
            builder: builder.with("drain: {notice: 0ms}\n"),
            extra_settings: vec![String::new(); hosts],
            replacements: vec![Vec::new(); hosts],
            folders: (0..hosts).map(|_| tempfile::tempdir().unwrap()).collect(),
            hosts: (0..hosts).map(|_| None).collect(),
            client: HttpClient::new(1 << 22),
        }
    }

    /// Starts a host that is not running.
    pub(crate) async fn restart(&mut self, index: usize) {
        let is_running = self.hosts[index].is_some();
        assert!(!is_running, "host {index} is still running");
        let mut text =
            self.builder.settings(index, self.folders[index].path()) + &self.extra_settings[index];
        for (old, new) in &self.replacements[index] {
            text = text.replace(old, new);
        }
        let settings = DaemonSettings::parse(&"test".into(), PathBuf::new(), &text);
        let settings = settings.unwrap().settings;
        // A crashed host releases its folder lock and its ports once its tasks have ended.
        let started = retry_until_ok(|| RouterDaemon::start(&settings, Vec::new())).await;
        let error = started.as_ref().err();
        assert!(error.is_none(), "host {index} did not start: {error:?}");
        self.hosts[index] = started.ok();
    }

    /// Appends to the settings of a host that is not running yet.
    pub(crate) fn add_settings(&mut self, index: usize, more: &str) {
        self.extra_settings[index].push_str(more);
    }

    /// Replaces text in the settings of a host that is not running yet.
    pub(crate) fn replace_settings(&mut self, index: usize, old: &str, new: &str) {
        self.replacements[index].push((old.to_owned(), new.to_owned()));
    }

    /// Stops a host without a planned stop, as a crash does.
    pub(crate) fn crash(&mut self, index: usize) {
        self.hosts[index] = None;
    }

    /// Removes a running host from the group, for a planned stop.
    pub(crate) fn take_host(&mut self, index: usize) -> RouterDaemon {
        self.hosts[index].take().unwrap()
    }

    pub(crate) fn host(&self, index: usize) -> &RouterDaemon {
        self.hosts[index].as_ref().unwrap()
    }

    /// Index of the keeper that leads.
    pub(crate) async fn leader(&self) -> usize {
        let leader = || {
            let mut hosts = self.hosts.iter().flatten();
            let status = hosts.find_map(|host| host.node().keeper_status());
            let leader = status?.leader?.host;
            (0..self.hosts.len()).find(|index| leader.as_str() == HostBuilder::name(*index))
        };
        self.wait_for("a leader", || leader().is_some()).await;
        leader().unwrap()
    }

    /// `ip:port` of a host's entry.
    pub(crate) fn entry(&self, index: usize) -> String {
        self.builder.hosts()[index].entry.to_string()
    }

    /// `ip:port` of every entry.
    pub(crate) fn entries(&self) -> Vec<String> {
        (0..self.hosts.len())
            .map(|index| self.entry(index))
            .collect()
    }

    /// Proposes a change through one host and resends it with the same id until it is answered, as
    /// an operator does.
    pub(crate) async fn change(
        &self,
        index: usize,
        id: &str,
        based_on: Revision,
        text: &str,
    ) -> Option<ChangeAnswer> {
        let change = ChangeRequest {
            change_id: id.into(),
            based_on,
            operator: "operator-1".into(),
            text: text.into(),
        };
        let node = self.host(index).node();
        let resend = async {
            loop {
                let command = ReplicatedCommand::ChangeConfiguration(change.clone());
                match node.submit(command).await {
                    Ok(CommandAnswer::Change(answer)) => return Some(answer),
                    Ok(_) => return None,
                    Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        };
        let ended = tokio::time::timeout(TIMEOUT, resend).await;
        assert!(ended.is_ok(), "change {id} timed out; {}", self.states());
        ended.ok().flatten()
    }

    /// Waits until `condition` returns true. A time-out names `awaited` and the state of each host.
    async fn wait_for<F>(&self, awaited: &str, condition: F)
    where
        F: Fn() -> bool,
    {
        let polling = async {
            while !condition() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let ended = tokio::time::timeout(TIMEOUT, polling).await;
        assert!(
            ended.is_ok(),
            "time-out of the wait for {awaited}; {}",
            self.states()
        );
    }

    /// State of each host and its keeper, for the message of a failed wait.
    fn states(&self) -> String {
        let state = |(index, host): (usize, &Option<RouterDaemon>)| {
            let Some(host) = host else {
                return format!("host {index}: stopped");
            };
            let node = host.node();
            let revision = node.configuration().map(|current| current.revision());
            let keeper = node.keeper_status().map(|status| {
                (
                    status.role,
                    status.term,
                    status.leader,
                    status.commit,
                    status.stopped,
                )
            });
            let reason = host.unready_reason();
            format!("host {index}: {revision:?}, not ready: {reason:?}, keeper: {keeper:?}")
        };
        let states: Vec<String> = self.hosts.iter().enumerate().map(state).collect();
        states.join("; ")
    }

    /// Waits until a host is ready and serves `revision`.
    pub(crate) async fn wait_revision(&self, index: usize, revision: Revision) {
        let host = self.host(index);
        self.wait_for(&format!("{revision:?} at host {index}"), || {
            let current = host
                .node()
                .configuration()
                .map(|current| current.revision());
            current == Ok(revision) && host.unready_reason().is_none()
        })
        .await;
    }

    /// Waits until each running host's dump contains `count` backend servers.
    pub(crate) async fn wait_servers(&self, count: usize) {
        for (index, _) in self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.is_some())
        {
            let polling = async {
                while self.dumped_servers(index).await != count {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            let ended = tokio::time::timeout(TIMEOUT, polling).await;
            assert!(
                ended.is_ok(),
                "time-out of the wait for {count} servers at host {index}; {}",
                self.states()
            );
        }
    }

    async fn dumped_servers(&self, index: usize) -> usize {
        let dump = self.dump(index).await;
        dump["backend_servers"].as_array().unwrap().len()
    }

    /// Returns the dump of a running host.
    pub(crate) async fn dump(&self, index: usize) -> serde_json::Value {
        let platform = self.builder.hosts()[index].platform;
        let request = http::Request::get(format!("http://{platform}/dump"))
            .body(Default::default())
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let body = self.client.read(response).await.unwrap();
        serde_json::from_slice(&body).unwrap()
    }
}

/// Waits until `condition` returns true. A time-out names the line of the caller.
#[track_caller]
pub(crate) fn wait_until<F>(condition: F) -> impl Future<Output = ()>
where
    F: Fn() -> bool,
{
    let caller = Location::caller();
    async move {
        let polling = async {
            while !condition() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let ended = tokio::time::timeout(TIMEOUT, polling).await;
        assert!(ended.is_ok(), "time-out of the wait at {caller}");
    }
}

/// Repeats `attempt` until it succeeds, or returns its last error at the time-out.
async fn retry_until_ok<F, R, T, E>(attempt: F) -> Result<T, Option<E>>
where
    F: Fn() -> R,
    R: Future<Output = Result<T, E>>,
{
    let mut last = None;
    let polling = async {
        loop {
            match attempt().await {
                Ok(value) => return value,
                Err(error) => last = Some(error),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, polling)
        .await
        .map_err(|_| last)
}
