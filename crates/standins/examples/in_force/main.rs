//! Latencies of the replicated state on nine hosts in one process over loopback: from the
//! acceptance of a change until it is in force on all hosts, and from the loss of the leader until
//! the next accepted change.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use pollendrift::agreed::AgreedState;
use pollendrift::daemon::RouterDaemon;
use pollendrift::settings::{DaemonSettings, TokenDigest};
use pollendrift_coordination::agreement::KeeperRole;
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{ChangeAnswer, ChangeRequest};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, OPERATOR_TOKEN};
use tokio::time::Instant;

const HOSTS: usize = 9;
const KEEPERS: usize = 3;
/// Index of the host that submits changes; it is not a keeper.
const PROPOSER: usize = 5;

/// Measures how soon changes are in force, and how soon they are accepted after a loss.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct InForceOptions {
    /// Changes to make
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    changes: u64,
    /// Leaders to lose
    #[bpaf(argument("N"), fallback(15), display_fallback)]
    losses: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = in_force_options().run();
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("in_force: {error}");
            ExitCode::FAILURE
        }
    }
}

struct HostCluster {
    builder: HostBuilder,
    folders: Vec<tempfile::TempDir>,
    hosts: Vec<Option<RouterDaemon>>,
    revision: Revision,
}

async fn run(options: &InForceOptions) -> Result<(), Box<dyn Error>> {
    let mut cluster = HostCluster::start().await?;
    let mut accepted = histogram()?;
    let mut in_force = histogram()?;
    for number in 0..options.changes {
        let sent_at = Instant::now();
        cluster.change(&format!("change-{number}")).await?;
        let accepted_at = Instant::now();
        record(&mut accepted, accepted_at - sent_at);
        cluster.wait_in_force().await;
        record(&mut in_force, accepted_at.elapsed());
    }
    print("a change accepted", &accepted);
    print("in force on all nine, from its acceptance", &in_force);
    let mut recovered = histogram()?;
    for number in 0..options.losses {
        let leader = cluster.leader().await;
        let lost_at = Instant::now();
        cluster.hosts[leader] = None;
        cluster.change(&format!("loss-{number}")).await?;
        record(&mut recovered, lost_at.elapsed());
        cluster.restart(leader).await?;
        cluster.wait_in_force().await;
    }
    print("next change accepted after the leader's loss", &recovered);
    Ok(())
}

impl HostCluster {
    async fn start() -> Result<Self, Box<dyn Error>> {
        let digest = |token: &str| TokenDigest::of(token.as_bytes()).to_hex();
        let builder = HostBuilder::new(
            HOSTS,
            KEEPERS,
            digest(CUSTOMER_TOKEN),
            digest(OPERATOR_TOKEN),
        )?;
        let mut folders = Vec::new();
        for _ in 0..HOSTS {
            folders.push(tempfile::tempdir()?);
        }
        let hosts = (0..HOSTS).map(|_| None).collect();
        let mut cluster = Self {
            builder,
            folders,
            hosts,
            revision: Revision(0),
        };
        for index in 0..HOSTS {
            cluster.restart(index).await?;
        }
        cluster.wait_in_force().await;
        Ok(cluster)
    }

    async fn restart(&mut self, index: usize) -> Result<(), Box<dyn Error>> {
        let text = self.builder.settings(index, self.folders[index].path());
        let loaded = DaemonSettings::parse(&"in_force".into(), PathBuf::new(), &text)
            .map_err(|findings| findings.to_string())?;
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            // The folder and ports of a stopped host become free when its tasks end.
            match RouterDaemon::start(&loaded.settings, Vec::new()).await {
                Ok(daemon) => {
                    self.hosts[index] = Some(daemon);
                    return Ok(());
                }
                Err(error) if Instant::now() >= deadline => return Err(error.into()),
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn change(&mut self, id: &str) -> Result<(), Box<dyn Error>> {
        let change = ChangeRequest {
            change_id: id.into(),
            based_on: self.revision,
            operator: "measure".into(),
            text: format!("kind: selector\nname: {id}\nmodel: draft\n").into(),
        };
        let proposer = self.hosts[PROPOSER]
            .as_ref()
            .ok_or("the proposer is not running")?;
        loop {
            let command = ReplicatedCommand::ChangeConfiguration(change.clone());
            match proposer.node().submit(command).await {
                Ok(CommandAnswer::Change(ChangeAnswer::Accepted { revision, .. })) => {
                    self.revision = revision;
                    return Ok(());
                }
                Ok(other) => return Err(format!("not accepted: {other:?}").into()),
                // Resends under the same change id until an answer arrives.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn wait_in_force(&self) {
        for host in self.hosts.iter().flatten() {
            while host
                .node()
                .configuration()
                .map(|configuration| configuration.revision())
                != Ok(self.revision)
            {
                tokio::time::sleep(Duration::from_micros(200)).await;
            }
        }
    }

    async fn leader(&self) -> usize {
        loop {
            for (index, host) in self.hosts.iter().enumerate() {
                let status = host.as_ref().and_then(|host| host.node().keeper_status());
                if status.is_some_and(|status| status.role == KeeperRole::Leader) {
                    return index;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn histogram() -> Result<Histogram<u64>, Box<dyn Error>> {
    Ok(Histogram::new_with_max(60_000_000, 3)?)
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

fn print(name: &str, times: &Histogram<u64>) {
    let millis = |micros: u64| Duration::from_micros(micros).as_secs_f64() * 1_000.0;
    println!(
        "{name}: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms ({} samples)",
        millis(times.value_at_quantile(0.5)),
        millis(times.value_at_quantile(0.99)),
        millis(times.max()),
        times.len()
    );
}
