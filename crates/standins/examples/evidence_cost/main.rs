//! Cost of recording evidence: runs the same load with keepers that store each record and with a
//! sink that acknowledges records at once, in alternation within one run.
//!
//! Hosts, engines and callers share one process, so the results are only valid relative to each
//! other.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use pollendrift::agreed::AgreedState;
use pollendrift::daemon::{DaemonExtras, RouterDaemon};
use pollendrift::settings::{DaemonSettings, TokenDigest};
use pollendrift::telemetry::{EvidenceSink, SinkError, StoreFuture};
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::ChangeRequest;
use pollendrift_coordination::evidence::{KeeperBatch, SealedRecord};
use pollendrift_coordination::replicated::ReplicatedCommand;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, OPERATOR_TOKEN, loopback};
use pollendrift_standins::load::{LoadPlan, LoadReport, run_load};
use pollendrift_standins::service::PlainService;

const HOSTS: usize = 3;
const ENGINES: u32 = 8;
const SELECTORS: &str = "kind: selector\nname: drafts\nmodel: draft\n---\nkind: selector\n\
                         name: portal\nservice: portal\n";
/// Maximum time until all hosts are ready with the configuration in force.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Compares a load with and without evidence.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct CostOptions {
    /// Turns of each kind
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    turns: u32,
    /// Seconds of each turn
    #[bpaf(argument("S"), fallback(5), display_fallback)]
    seconds: u64,
    /// Callers of drafts
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    drafters: u32,
    /// Callers of the plain service
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    clerks: u32,
}

/// Acknowledges records without storing them.
struct DiscardingSink;

impl EvidenceSink for DiscardingSink {
    fn store(&self, sent: KeeperBatch) -> StoreFuture {
        let last = sent
            .batch
            .lines
            .last()
            .map(|line| SealedRecord::parse(line));
        Box::pin(async move {
            match last {
                Some(Ok(sealed)) => Ok(sealed.record.sequence),
                _ => Err(SinkError::Later {
                    reason: "the batch has no valid last record".to_owned(),
                }),
            }
        })
    }
}

struct RunResult {
    calls: f64,
    tokens: f64,
    call_p50: Duration,
    first_p50: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = cost_options().run();
    let mut sums = [(0.0, 0.0); 2];
    println!("evidence   calls/s  tokens/s  call p50  first token p50");
    for turn in 0..options.turns {
        for recorded in [true, false] {
            let result = run_turn(&options, u64::from(turn), recorded).await?;
            let name = if recorded { "keepers" } else { "none" };
            println!(
                "{name:<8} {:>9.0} {:>9.0} {:>6.1} ms {:>13.1} ms",
                result.calls,
                result.tokens,
                result.call_p50.as_secs_f64() * 1e3,
                result.first_p50.as_secs_f64() * 1e3
            );
            let [with, without] = &mut sums;
            let sum = if recorded { with } else { without };
            *sum = (sum.0 + result.calls, sum.1 + result.tokens);
        }
    }
    let [with, without] = sums;
    println!(
        "with / without: calls {:.3}, tokens {:.3}",
        with.0 / without.0,
        with.1 / without.1
    );
    Ok(())
}

async fn run_turn(
    options: &CostOptions,
    turn: u64,
    recorded: bool,
) -> Result<RunResult, Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let builder = host_builder()?;
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        let data = folder.path().join(index.to_string());
        std::fs::create_dir(&data)?;
        let text = builder.settings(index, &data);
        let settings = DaemonSettings::parse(&"measure".into(), PathBuf::new(), &text)
            .map_err(|findings| findings.to_string())?;
        let sink: Option<Box<dyn EvidenceSink>> = match recorded {
            true => None,
            false => Some(Box::new(DiscardingSink)),
        };
        hosts.push({
            let extras = DaemonExtras {
                sink,
                ..DaemonExtras::default()
            };
            RouterDaemon::start_with(&settings.settings, Vec::new(), extras).await?
        });
    }
    let entries: Vec<String> = builder
        .hosts()
        .iter()
        .map(|host| host.entry.to_string())
        .collect();
    apply_selectors(&hosts).await?;
    let _servers = start_servers(&entries).await?;
    let plan = LoadPlan {
        entries,
        token: CUSTOMER_TOKEN.to_owned(),
        draft_callers: options.drafters,
        service_callers: options.clerks,
        duration: Duration::from_secs(options.seconds),
        max_tokens: 32,
        prompt_words: 24,
        shape: ModelShape::default(),
        seed: turn,
        id_prefix: format!("cost-{turn}"),
    };
    let report = run_load(&plan).await;
    result_of(&report)
}

fn result_of(report: &LoadReport) -> Result<RunResult, Box<dyn Error>> {
    if report.wrong + report.incomplete > 0 || report.complete == 0 {
        return Err(format!(
            "the load has no complete answer, or wrong or incomplete ones:\n{report}"
        )
        .into());
    }
    let answered = f64::from(u32::try_from(report.calls.answered)?);
    Ok(RunResult {
        calls: answered / report.elapsed.as_secs_f64(),
        tokens: report.tokens_per_second(),
        call_p50: report.call_time(0.5),
        first_p50: report.first_token(0.5),
    })
}

fn host_builder() -> std::io::Result<HostBuilder> {
    let digest = |token: &str| TokenDigest::of(token.as_bytes()).to_hex();
    HostBuilder::new(HOSTS, HOSTS, digest(CUSTOMER_TOKEN), digest(OPERATOR_TOKEN))
}

async fn apply_selectors(hosts: &[RouterDaemon]) -> Result<(), Box<dyn Error>> {
    let change = ChangeRequest {
        change_id: "measure".into(),
        based_on: Revision(0),
        operator: "operator-1".into(),
        text: SELECTORS.into(),
    };
    let first = hosts.first().ok_or("the group has no host")?;
    let command = ReplicatedCommand::ChangeConfiguration(change);
    first.node().submit(command).await?;
    let ready = async {
        for host in hosts {
            let revision = || {
                host.node()
                    .configuration()
                    .map(|configuration| configuration.revision())
            };
            while revision() != Ok(Revision(1)) || host.unready_reason().is_some() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await?;
    Ok(())
}

async fn start_servers(
    entries: &[String],
) -> Result<(Vec<EngineServer>, PlainService), Box<dyn Error>> {
    let mut engines = Vec::new();
    let offers = mixed_engines(&ModelShape::default(), ENGINES);
    for (index, offer) in offers.into_iter().enumerate() {
        let server = format!("engine-{index}");
        let settings = EngineSettings { server, offer };
        let mut engine = EngineServer::start(settings, loopback()).await?;
        engine.announce(entries.to_vec(), 1, "dc-a");
        engines.push(engine);
    }
    let mut service = PlainService::start("portal-1", "portal", loopback()).await?;
    service.announce(entries.to_vec(), 1, "dc-a");
    // After two heartbeats every entry knows every server.
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok((engines, service))
}
