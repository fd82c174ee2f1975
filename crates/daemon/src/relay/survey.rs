//! Asks engines for their state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use pollendrift_coordination::routing::{EngineLoad, SurveyResult};
use pollendrift_dialect::EngineReport;
use pollendrift_http::{ClientError, ConnectionPool, read_bounded};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::context::RelayContext;
use crate::fleet::WorkerView;

/// Least time between two surveys. What an engine tells is some 200 ms old, so asking more often brings
/// little, and each question has its price.
const SURVEY_PERIOD: Duration = Duration::from_millis(500);
/// Processor time that a question takes up at most: a host asks no more engines a second than it can
/// beside its other work, however many there are.
const QUESTION_TIME: Duration = Duration::from_millis(4);
/// Time for an engine's answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Largest answer.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// Time between two surveys of `engines`.
pub(super) fn survey_period(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    SURVEY_PERIOD.max(QUESTION_TIME.saturating_mul(engines))
}

/// One survey of `workers` that hold layers.
pub(super) async fn survey(
    context: &Arc<RelayContext>,
    pool: &ConnectionPool,
    workers: &[Arc<WorkerView>],
) -> Vec<SurveyResult> {
    let holding = workers
        .iter()
        .filter(|worker| worker.offer.layers.is_some());
    let mut asking = JoinSet::new();
    for worker in holding {
        let (context, pool) = (Arc::clone(context), pool.clone());
        asking.spawn(ask(context, pool, Arc::clone(worker)));
    }
    let notes = asking.join_all().await.into_iter();
    notes.flatten().collect()
}

async fn ask(
    context: Arc<RelayContext>,
    pool: ConnectionPool,
    worker: Arc<WorkerView>,
) -> Option<SurveyResult> {
    let asked_at = context.clock.now();
    let state = probe_engine(&context, &pool, worker.address, ANSWER_TIME).await;
    let load = match state {
        EngineState::Reported(report) => Some(load_of(&worker, &report)),
        EngineState::Unreachable | EngineState::TimedOut => None,
        EngineState::Unclear => return None,
    };
    Some(SurveyResult {
        server: worker.server.clone(),
        incarnation: worker.incarnation,
        load,
        age: context.clock.now().since(asked_at),
    })
}

/// What asking an engine showed.
pub(super) enum EngineState {
    /// It answered.
    Reported(EngineReport),
    /// Nobody listens at its address.
    Unreachable,
    /// Nothing came back in time.
    TimedOut,
    /// Somebody took the question, and the answer was lost or is none. Engines that lose answers
    /// now and then are alive, and would else be taken for dead with every lost one.
    Unclear,
}

/// Asks the engine at `address` for its state.
pub(super) async fn probe_engine(
    context: &RelayContext,
    pool: &ConnectionPool,
    address: SocketAddr,
    answer_time: Duration,
) -> EngineState {
    let dialect = &context.dialect.servers;
    let question = dialect.write_report().map(Full::new);
    let asking = async {
        let answer = match pool.send(address, question).await {
            Ok(answer) => answer,
            Err(ClientError::NotSent { .. }) => return EngineState::Unreachable,
            Err(_) => return EngineState::Unclear,
        };
        let (parts, body) = answer.response.into_parts();
        let Ok(body) = read_bounded(body, MAX_REPLY_BYTES).await else {
            return EngineState::Unclear;
        };
        answer.connection.keep(&parts.headers);
        dialect
            .read_report(&body)
            .map_or(EngineState::Unclear, EngineState::Reported)
    };
    timeout(answer_time, asking)
        .await
        .unwrap_or(EngineState::TimedOut)
}

/// Engines count request memory in tokens times layers.
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
