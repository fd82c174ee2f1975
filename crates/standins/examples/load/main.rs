//! Starts stand-in engines and services, and sends checked requests through running daemons.
//!
//! Exits with 1 if an answer is wrong or incomplete, or a keyed call ran more than once.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{fresh_incarnation, loopback};
use pollendrift_standins::load::{LoadPlan, SentRequest, run_load};
use pollendrift_standins::service::PlainService;

/// Sends a checked load through running daemons.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct LoadOptions {
    /// Entry to send to, as ip:port; several may be given
    #[bpaf(argument("ADDRESS"), some("at least one entry is expected"))]
    entry: Vec<String>,
    /// Bearer token of the customer
    #[bpaf(argument("TOKEN"))]
    token: String,
    /// Stand-in engines to start
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    engines: u32,
    /// Callers of drafts
    #[bpaf(argument("N"), fallback(32), display_fallback)]
    drafters: u32,
    /// Callers of the plain service
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    clerks: u32,
    /// Seconds during which requests are begun
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    seconds: u64,
    /// Tokens of each answer
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    tokens: u32,
    /// Kill and replace an engine this often, in milliseconds; 0 for never
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    kill_every: u64,
    /// File that gets one JSON line for each request: its id and what its caller saw
    #[bpaf(argument("FILE"))]
    sent: Option<PathBuf>,
    /// Seed of prompts and turns
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = load_options().run();
    match run(&options).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &LoadOptions) -> std::io::Result<bool> {
    let shape = ModelShape::default();
    let mut engines = start_engines(options, &shape).await?;
    let services = start_services(options).await?;
    // After two heartbeats every entry knows every server.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let plan = LoadPlan {
        entries: options.entry.clone(),
        token: options.token.clone(),
        draft_callers: options.drafters,
        service_callers: options.clerks,
        duration: Duration::from_secs(options.seconds),
        max_tokens: options.tokens,
        prompt_words: 24,
        shape: shape.clone(),
        seed: options.seed,
        id_prefix: format!("load-{:x}", fresh_incarnation()),
    };
    let report = tokio::select! {
        report = run_load(&plan) => report,
        error = kill_loop(options, &shape, &mut engines) => return Err(error),
    };
    print!("{report}");
    if let Some(file) = &options.sent {
        write_sent(file, &report.sent)?;
    }
    let runs_by_key = services.iter().flat_map(|service| service.runs()).fold(
        std::collections::BTreeMap::<String, u64>::new(),
        |mut runs, (key, count)| {
            *runs.entry(key).or_default() += count;
            runs
        },
    );
    let repeated = runs_by_key.values().filter(|count| **count > 1).count();
    println!("doubled keyed runs {repeated}");
    Ok(report.wrong == 0 && report.incomplete == 0 && repeated == 0)
}

fn write_sent(file: &Path, sent: &[SentRequest]) -> std::io::Result<()> {
    let mut lines = std::io::BufWriter::new(std::fs::File::create(file)?);
    for request in sent {
        serde_json::to_writer(&mut lines, request)?;
        writeln!(lines)?;
    }
    lines.flush()
}

async fn start_engines(
    options: &LoadOptions,
    shape: &ModelShape,
) -> std::io::Result<Vec<EngineServer>> {
    let mut engines = Vec::new();
    for index in 0..options.engines {
        engines.push(start_engine(options, shape, index, fresh_incarnation()).await?);
    }
    Ok(engines)
}

async fn start_engine(
    options: &LoadOptions,
    shape: &ModelShape,
    index: u32,
    incarnation: u64,
) -> std::io::Result<EngineServer> {
    let offer = mixed_engines(shape, options.engines)
        .into_iter()
        .nth(usize::try_from(index).unwrap_or(0));
    let offer = offer.ok_or_else(|| std::io::Error::other("no engine with this index"))?;
    let settings = EngineSettings {
        server: format!("engine-{index}"),
        offer,
    };
    let mut engine = EngineServer::start(settings, loopback()).await?;
    engine.announce(options.entry.clone(), incarnation, data_centre(index));
    Ok(engine)
}

async fn start_services(options: &LoadOptions) -> std::io::Result<Vec<PlainService>> {
    let mut services = Vec::new();
    for index in 0..3 {
        let mut service =
            PlainService::start(&format!("portal-{index}"), "portal", loopback()).await?;
        service.announce(
            options.entry.clone(),
            fresh_incarnation(),
            data_centre(index),
        );
        services.push(service);
    }
    Ok(services)
}

fn data_centre(index: u32) -> &'static str {
    let position = usize::try_from(index % 3).unwrap_or(0);
    ["dc-a", "dc-b", "dc-c"]
        .get(position)
        .copied()
        .unwrap_or("dc-a")
}

async fn kill_loop(
    options: &LoadOptions,
    shape: &ModelShape,
    engines: &mut [EngineServer],
) -> std::io::Error {
    if options.kill_every == 0 || engines.is_empty() {
        return std::future::pending().await;
    }
    let mut round = 0_usize;
    loop {
        tokio::time::sleep(Duration::from_millis(options.kill_every)).await;
        let index = round % engines.len();
        round += 1;
        let number = u64::try_from(round).unwrap_or(0);
        let incarnation = fresh_incarnation().saturating_add(number);
        let started = start_engine(
            options,
            shape,
            u32::try_from(index).unwrap_or(0),
            incarnation,
        )
        .await;
        match (started, engines.get_mut(index)) {
            // Drops the old engine, which closes its connections as a crash does.
            (Ok(engine), Some(slot)) => *slot = engine,
            (Err(error), _) => return error,
            (Ok(_), None) => return std::io::Error::other("no engine with this index"),
        }
    }
}
