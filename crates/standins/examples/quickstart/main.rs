//! Quickstart: one host with a temporary data folder, engines of mixed kinds and one checked draft.
//!
//! Streams the answer to the terminal, then prints commands to try and runs until Ctrl-C. With
//! `--once` it exits with 0 after one correct answer, and with 1 if the answer is wrong.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use pollendrift::agreed::AgreedState;
use pollendrift::daemon::RouterDaemon;
use pollendrift::settings::{DaemonSettings, TokenDigest};
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::{ChangeAnswer, ChangeRequest};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_standins::caller::{DraftCaller, DraftReply};
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::service::PlainService;
use pollendrift_standins::token::{StandInWeights, expected_answer};

const TOKEN: &str = "quickstart";
const PROMPT: &str = "Draft a clause note on fixings for coastal exposure";
const ANSWER_TOKENS: u32 = 24;
const SELECTORS: &str = "kind: selector
name: drafts
model: draft
---
kind: selector
name: portal
service: portal
";

/// Runs one host with stand-in engines and streams one draft.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct QuickstartOptions {
    /// Exit after one checked answer
    once: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = quickstart_options().run();
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &QuickstartOptions) -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let settings = host_settings(folder.path())?;
    let daemon = RouterDaemon::start(&settings, Vec::new()).await?;
    apply_selectors(&daemon).await?;
    let entry = settings.listen.callers.to_string();

    let shape = ModelShape::default();
    let _engines = start_engines(&shape, &entry).await?;
    let mut service = PlainService::start("portal-1", "portal", loopback()).await?;
    service.announce(vec![entry.clone()], 1, "brest");

    let reply = draft_when_ready(&entry).await?;
    let weights = StandInWeights::new(&shape.model, &shape.version, None, shape.layers);
    let expected = expected_answer(&weights, PROMPT, ANSWER_TOKENS);
    reply
        .check(&expected)
        .map_err(|error| format!("the answer is wrong: {error}"))?;
    println!(
        "\n\n{} tokens, each checked through all {} layers.",
        expected.len(),
        shape.layers
    );
    if options.once {
        return Ok(());
    }
    print_commands(&settings);
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn print_commands(settings: &DaemonSettings) {
    let callers = settings.listen.callers;
    let platform = settings.listen.platform;
    println!("\nTry, until you press Ctrl-C:");
    println!(
        "  curl -N http://{callers}/v1/completions -H 'authorization: Bearer {TOKEN}' \
         -d '{{\"model\":\"draft\",\"prompt\":\"valve isolation\",\"max_tokens\":16,\"stream\":true}}'"
    );
    println!(
        "  curl http://{callers}/services/portal/dossiers/7 -H 'authorization: Bearer {TOKEN}'"
    );
    println!("  curl http://{platform}/dump");
}

async fn apply_selectors(daemon: &RouterDaemon) -> Result<(), Box<dyn Error>> {
    let change = ChangeRequest {
        change_id: "quickstart".into(),
        based_on: Revision(0),
        operator: "quickstart".into(),
        text: SELECTORS.into(),
    };
    let answer = daemon
        .node()
        .submit(ReplicatedCommand::ChangeConfiguration(change))
        .await?;
    match answer {
        CommandAnswer::Change(ChangeAnswer::Accepted { .. }) => Ok(()),
        other => Err(format!("the selectors were not accepted: {other:?}").into()),
    }
}

async fn start_engines(
    shape: &ModelShape,
    entry: &str,
) -> Result<Vec<EngineServer>, Box<dyn Error>> {
    let mut engines = Vec::new();
    for (index, offer) in mixed_engines(shape, 8).into_iter().enumerate() {
        let settings = EngineSettings {
            server: format!("engine-{index}"),
            offer,
        };
        let mut engine = EngineServer::start(settings, loopback()).await?;
        engine.announce(vec![entry.to_owned()], 1, "brest");
        engines.push(engine);
    }
    Ok(engines)
}

async fn draft_when_ready(entry: &str) -> Result<DraftReply, Box<dyn Error>> {
    let caller = DraftCaller::new(entry, TOKEN);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let mut has_output = false;
        let reply = caller
            .draft("draft", PROMPT, ANSWER_TOKENS, |text| {
                use std::io::Write;
                has_output = true;
                print!("{text}");
                let _ = std::io::stdout().flush();
            })
            .await?;
        // The host refuses drafts until the engines have announced themselves.
        if reply.refusal.is_none() || has_output || tokio::time::Instant::now() >= deadline {
            return Ok(reply);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn host_settings(folder: &std::path::Path) -> Result<DaemonSettings, Box<dyn Error>> {
    let ports = free_ports(3)?;
    let digest = TokenDigest::of(TOKEN.as_bytes()).to_hex();
    let [callers, platform, peers] = ports.as_slice() else {
        return Err("no free ports".into());
    };
    let text = format!(
        "host: brest-1
data_centre: brest
data_folder: {}
listen: {{callers: {callers}, operators: {callers}, backend_servers: {callers}, platform: {platform}, peers: {peers}}}
peers:
  - {{name: brest-1, data_centre: brest, address: {peers}, keeper: true}}
customers:
  - {{name: federation, token_sha256: {digest}}}
backend_servers: {{proof: not-required}}
",
        folder.display()
    );
    let loaded = DaemonSettings::parse(&"quickstart".into(), PathBuf::new(), &text)
        .map_err(|findings| findings.to_string())?;
    Ok(loaded.settings)
}

/// Loopback addresses whose ports were free when checked.
fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(std::net::TcpListener::bind(loopback())?);
    }
    listeners
        .iter()
        .map(std::net::TcpListener::local_addr)
        .collect()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
