//! Probes engines for their state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::routing::{EngineLoad, SurveyResult};
use pollendrift_dialect::EngineReport;
use pollendrift_http::{ClientError, ConnectionPool, read_bounded};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::context::RelayContext;
use crate::fleet::WorkerView;
use crate::work::WorkMeter;

/// Minimum time between two surveys. The state that an engine reports is about 200 ms old, so more
/// frequent probes add little information but cost CPU time.
const SURVEY_PERIOD: Duration = Duration::from_millis(500);
/// Upper bound of the CPU time of a probe. It limits the probes per second to what a host can
/// handle beside its other work, however many engines there are.
const PROBE_CPU_TIME: Duration = Duration::from_millis(4);
/// Longest wait for an engine's answer to a survey probe.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest body of an answer, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// Time between two surveys of that many engines.
pub(super) fn survey_period(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    SURVEY_PERIOD.max(PROBE_CPU_TIME.saturating_mul(engines))
}

/// Probes all `workers` that hold layers at the same time. Engines whose state stays unclear are
/// missing in the results.
pub(super) async fn survey(
    context: &Arc<RelayContext>,
    work: &Arc<WorkMeter>,
    pool: &ConnectionPool,
    workers: &[Arc<WorkerView>],
) -> Vec<SurveyResult> {
    let holding = workers
        .iter()
        .filter(|worker| worker.offer.layers.is_some());
    let mut probes = JoinSet::new();
    for worker in holding {
        let (context, pool) = (Arc::clone(context), pool.clone());
        let probe = survey_worker(context, pool, Arc::clone(worker));
        probes.spawn(work.defer("probe", Box::pin(probe)));
    }
    let results = probes.join_all().await.into_iter();
    results.flatten().collect()
}

async fn survey_worker(
    context: Arc<RelayContext>,
    pool: ConnectionPool,
    worker: Arc<WorkerView>,
) -> Option<SurveyResult> {
    let probed_at = context.clock.now();
    let state = probe_engine(
        &context,
        &pool,
        &worker.server,
        worker.address,
        ANSWER_TIMEOUT,
    )
    .await;
    let load = match state {
        EngineState::Reported(report) => Some(load_of(&worker, &report)),
        EngineState::Unreachable | EngineState::TimedOut => None,
        EngineState::Unclear | EngineState::NotProbed => return None,
    };
    Some(SurveyResult {
        server: worker.server.clone(),
        incarnation: worker.incarnation,
        load,
        age: context.clock.now().since(probed_at),
    })
}

/// Result of a probe of an engine.
pub(super) enum EngineState {
    /// The engine answered with its state.
    Reported(EngineReport),
    /// No process listens at its address.
    Unreachable,
    /// No answer arrived in time.
    TimedOut,
    /// The probe was sent, but the answer was lost or is invalid. Engines that occasionally lose
    /// answers are alive, and would otherwise be considered lost after each lost one.
    Unclear,
    /// No probe was sent, because the engine asked this host to back off.
    NotProbed,
}

/// Probes the engine `server` at `address` for its state and waits at most `answer_time`.
pub(super) async fn probe_engine(
    context: &RelayContext,
    pool: &ConnectionPool,
    server: &ServerName,
    address: SocketAddr,
    answer_time: Duration,
) -> EngineState {
    if context.has_back_off(context.clock.now(), server) {
        return EngineState::NotProbed;
    }
    let receiver = context.receiver(server);
    let dialect = &context.dialect.servers;
    let probe = dialect.write_report().map(Full::new);
    let exchange = async {
        let answer = match pool.send(address, probe).await {
            Ok(answer) => answer,
            Err(ClientError::NotSent { .. }) => return EngineState::Unreachable,
            Err(_) => return EngineState::Unclear,
        };
        let (parts, mut body) = answer.into_parts();
        context.apply_probe_statements(&receiver, &dialect.read(&parts));
        let Ok(report) = read_bounded(&mut body, MAX_REPLY_BYTES).await else {
            return EngineState::Unclear;
        };
        body.return_to_pool(&parts.headers);
        dialect
            .read_report(&report)
            .map_or(EngineState::Unclear, EngineState::Reported)
    };
    timeout(answer_time, exchange)
        .await
        .unwrap_or(EngineState::TimedOut)
}

/// Converts a report to a load. Engines report used KV memory in tokens times layers, the load
/// counts tokens.
fn load_of(worker: &WorkerView, report: &EngineReport) -> EngineLoad {
    let layers = worker.offer.layers.as_ref();
    let layers = layers.map_or(1, |layers| u64::from(layers.range.len().max(1)));
    EngineLoad {
        running: report.running,
        waiting: report.waiting,
        kv_tokens: report.kv_used / layers,
        slowness: report.slowness,
    }
}
