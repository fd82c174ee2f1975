//! Asks all engines for their state, and tells every host.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use pollendrift_coordination::routing::{EngineLoad, EngineNote};
use pollendrift_dialect::EngineReport;
use pollendrift_http::{ConnectionPool, read_bounded};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::context::RelayContext;
use crate::fleet::WorkerView;
use crate::peers::{PeerFrame, PeerHub};

/// Time between two surveys. What an engine tells is some 200 ms old, so asking more often brings
/// little, and each question has its price.
pub(super) const SURVEY_PERIOD: Duration = Duration::from_millis(500);
/// Time for an engine's answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Largest answer.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Engines in one frame.
const FRAME_ENGINES: usize = 128;

/// One survey of `workers` that hold layers; tells all peers, and returns the notes.
pub(super) async fn survey(
    context: &Arc<RelayContext>,
    pool: &ConnectionPool,
    hub: &PeerHub,
    workers: &[Arc<WorkerView>],
) -> Vec<EngineNote> {
    let holding = workers
        .iter()
        .filter(|worker| worker.offer.layers.is_some());
    let mut asking = JoinSet::new();
    for worker in holding {
        let (context, pool) = (Arc::clone(context), pool.clone());
        asking.spawn(ask(context, pool, Arc::clone(worker)));
    }
    let notes: Vec<EngineNote> = asking.join_all().await;
    for notes in notes.chunks(FRAME_ENGINES) {
        let frame = PeerFrame::Survey(notes.to_vec());
        for host in hub.hosts() {
            // Told again with the next survey.
            let _ = hub.send(&host, &frame);
        }
    }
    notes
}

async fn ask(
    context: Arc<RelayContext>,
    pool: ConnectionPool,
    worker: Arc<WorkerView>,
) -> EngineNote {
    let asked_at = context.clock.now();
    let answer = timeout(ANSWER_TIME, report_of(&context, &pool, &worker)).await;
    let report = answer.ok().flatten();
    EngineNote {
        server: worker.server.clone(),
        incarnation: worker.incarnation,
        load: report.map(|report| load_of(&worker, &report)),
        age: context.clock.now().since(asked_at),
    }
}

async fn report_of(
    context: &RelayContext,
    pool: &ConnectionPool,
    worker: &WorkerView,
) -> Option<EngineReport> {
    let dialect = &context.dialect.servers;
    let question = dialect.write_report().map(Full::new);
    let answer = pool.send(worker.address, question).await.ok()?;
    let (parts, body) = answer.response.into_parts();
    let body = read_bounded(body, MAX_REPLY_BYTES).await.ok()?;
    answer.connection.keep(&parts.headers);
    dialect.read_report(&body)
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
