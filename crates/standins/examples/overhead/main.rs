//! Latency that the daemon adds to a streamed token and to a plain call, compared with direct calls
//! of the stand-ins in the same run, over loopback in one process.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use pollendrift::agreed::AgreedState;
use pollendrift::daemon::RouterDaemon;
use pollendrift::settings::{DaemonSettings, TokenDigest};
use pollendrift_border::{LayerSpan, RouteStage, SequenceEvent, SequenceRequest};
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::configuration::ChangeRequest;
use pollendrift_coordination::replicated::ReplicatedCommand;
use pollendrift_http::{HttpClient, LineReader};
use pollendrift_standins::caller::DraftCaller;
use pollendrift_standins::engine::{EngineServer, EngineSettings};
use pollendrift_standins::fleet::{ModelShape, mixed_engines};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, OPERATOR_TOKEN, loopback};
use pollendrift_standins::service::PlainService;
use tokio::time::Instant;

const SELECTORS: &str = "kind: selector\nname: drafts\nmodel: draft\n---\nkind: selector\nname: portal\nservice: portal\n";
const PROMPT: &str = "valve isolation list";
const TOKENS: u32 = 100;
/// Tokens per second at which computation time is negligible compared with the network.
const FAST_RATE: u64 = 10_000_000;

/// Measures what the daemon adds to a streamed token and to a plain call.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct OverheadOptions {
    /// Drafts of 100 tokens, and a hundred times as many calls, each way
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    rounds: u32,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = overhead_options().run();
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("overhead: {error}");
            ExitCode::FAILURE
        }
    }
}

struct Bench {
    _daemon: RouterDaemon,
    engines: Vec<EngineServer>,
    service: PlainService,
    entry: String,
    client: HttpClient,
    shape: ModelShape,
}

async fn run(options: &OverheadOptions) -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let bench = start(folder.path()).await?;
    let mut direct_tokens = histogram()?;
    let mut routed_tokens = histogram()?;
    let mut direct_calls = histogram()?;
    let mut routed_calls = histogram()?;
    // Alternates the two paths, so that load on the machine slows both equally.
    for round in 0..options.rounds {
        bench.direct_draft(round, &mut direct_tokens).await?;
        bench.routed_draft(&mut routed_tokens).await?;
        for _ in 0..TOKENS {
            let service = bench.service.address().to_string();
            bench
                .call(&service, "/dossiers/7", &mut direct_calls)
                .await?;
            bench
                .call(
                    &bench.entry,
                    "/services/portal/dossiers/7",
                    &mut routed_calls,
                )
                .await?;
        }
    }
    print_pair("streamed token", &direct_tokens, &routed_tokens);
    print_pair("plain call", &direct_calls, &routed_calls);
    Ok(())
}

async fn start(folder: &std::path::Path) -> Result<Bench, Box<dyn Error>> {
    let digest = |token: &str| TokenDigest::of(token.as_bytes()).to_hex();
    let builder = HostBuilder::new(1, 1, digest(CUSTOMER_TOKEN), digest(OPERATOR_TOKEN))?;
    let text = builder.settings(0, folder);
    let loaded = DaemonSettings::parse(&"overhead".into(), PathBuf::new(), &text)
        .map_err(|findings| findings.to_string())?;
    let daemon = RouterDaemon::start(&loaded.settings, Vec::new()).await?;
    let entry = loaded.settings.listen.callers.to_string();
    let change = ChangeRequest {
        change_id: "overhead".into(),
        based_on: Revision(0),
        operator: "overhead".into(),
        text: SELECTORS.into(),
    };
    daemon
        .node()
        .submit(ReplicatedCommand::ChangeConfiguration(change))
        .await?;
    let shape = ModelShape::default();
    let mut engines = Vec::new();
    for (index, mut offer) in mixed_engines(&shape, 4).into_iter().enumerate() {
        offer.decode_tokens_per_second = FAST_RATE;
        offer.prefill_tokens_per_second = FAST_RATE;
        let settings = EngineSettings {
            server: format!("engine-{index}"),
            offer,
        };
        let mut engine = EngineServer::start(settings, loopback()).await?;
        engine.announce(vec![entry.clone()], 1, "dc-a");
        engines.push(engine);
    }
    let mut service = PlainService::start("portal-1", "portal", loopback()).await?;
    service.announce(vec![entry.clone()], 1, "dc-a");
    let client = HttpClient::new(1 << 20);
    let bench = Bench {
        _daemon: daemon,
        engines,
        service,
        entry,
        client,
        shape,
    };
    bench.wait_until_ready().await?;
    Ok(bench)
}

impl Bench {
    /// Waits until the host serves drafts and calls; an error after 20 seconds.
    async fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut unused = histogram()?;
        while Instant::now() < deadline {
            let draft_succeeded = self.routed_draft(&mut unused).await.is_ok();
            if draft_succeeded
                && self
                    .call(&self.entry, "/services/portal/dossiers/7", &mut unused)
                    .await
                    .is_ok()
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err("the host did not serve a draft and a call within 20 s".into())
    }

    async fn direct_draft(
        &self,
        round: u32,
        times: &mut Histogram<u64>,
    ) -> Result<(), Box<dyn Error>> {
        let spans = mixed_engines(&self.shape, 4)
            .into_iter()
            .map(|offer| offer.layers);
        let stage = |(index, (engine, layers)): (usize, (&EngineServer, LayerSpan))| RouteStage {
            server: format!("engine-{index}"),
            address: engine.address().to_string(),
            layers,
        };
        let route: Vec<RouteStage> = self
            .engines
            .iter()
            .zip(spans)
            .enumerate()
            .map(stage)
            .collect();
        let head = route
            .first()
            .map(|stage| stage.address.clone())
            .unwrap_or_default();
        let request = SequenceRequest {
            request: format!("direct-{round}"),
            attempt: 1,
            model: self.shape.model.clone(),
            version: self.shape.version.clone(),
            adapter: None,
            priority: 0,
            prompt: PROMPT.to_owned(),
            confirmed: Vec::new(),
            max_tokens: TOKENS,
            route,
        };
        let response = self
            .client
            .post(&head, "/engine/v1/sequences", &request)
            .await?;
        let mut lines = LineReader::new(response);
        let mut last: Option<Instant> = None;
        while let Some(line) = lines.next_line().await? {
            if matches!(serde_json::from_slice(&line)?, SequenceEvent::Token(_)) {
                let now = Instant::now();
                if let Some(last) = last.replace(now) {
                    record(times, now - last);
                }
            }
        }
        Ok(())
    }

    async fn routed_draft(&self, times: &mut Histogram<u64>) -> Result<(), Box<dyn Error>> {
        let caller = DraftCaller::new(&self.entry, CUSTOMER_TOKEN);
        let reply = caller
            .draft(&self.shape.model, PROMPT, TOKENS, |_| {})
            .await?;
        if let Some(refusal) = reply.refusal {
            return Err(refusal.detail.into());
        }
        for pair in reply.arrivals.windows(2) {
            if let [earlier, later] = pair {
                record(times, later.saturating_sub(*earlier));
            }
        }
        Ok(())
    }

    async fn call(
        &self,
        address: &str,
        path: &str,
        times: &mut Histogram<u64>,
    ) -> Result<(), Box<dyn Error>> {
        let request = Request::get(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {CUSTOMER_TOKEN}"))
            .body(Full::<Bytes>::default())?;
        let sent_at = Instant::now();
        let response = self.client.send(request).await?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()).into());
        }
        self.client.read(response).await?;
        record(times, sent_at.elapsed());
        Ok(())
    }
}

fn histogram() -> Result<Histogram<u64>, Box<dyn Error>> {
    Ok(Histogram::new_with_max(60_000_000, 3)?)
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

fn print_pair(name: &str, direct: &Histogram<u64>, routed: &Histogram<u64>) {
    for quantile in [0.5, 0.99] {
        let (direct_time, routed_time) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "{name:15} p{:<2} direct {direct_time} us, through the daemon {routed_time} us, added {} us ({} samples)",
            quantile * 100.0,
            i128::from(routed_time) - i128::from(direct_time),
            routed.len()
        );
    }
}
