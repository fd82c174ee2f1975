//! Calls of plain services: one server, the whole answer, another server where that is safe.

use std::sync::Arc;

use http::Response;
use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::retries::{CallKind, RunProof, SendOutcome};
use pollendrift_coordination::routing::{ReportedLoad, ServerCandidate};
use pollendrift_dialect::RefusalKind;
use pollendrift_http::ResponseBody;
use tokio::time::{sleep, timeout};

use super::answer::{FailedSend, send};
use super::context::RelayContext;
use super::drafts::CAPACITY_POLL_PERIOD;
use super::request::{Refused, RelayRequest, SendTarget, refused};
use crate::fleet::WorkerView;

/// Time that must be left for a send to be of use: the way there and back, and the work.
const MIN_LEFT: std::time::Duration = std::time::Duration::from_millis(15);
/// Advice to a caller for whom no server has room: a few turns of a server's slots.
const RETRY_FULL: std::time::Duration = std::time::Duration::from_millis(150);

/// What is known of a call after its sends so far.
#[derive(Default)]
struct CallHistory {
    /// Servers that were asked.
    asked: Vec<ServerName>,
    /// Sends of which a byte may have left.
    sends: u32,
    /// Whether any of them may have run.
    may_have_run: bool,
    last: Option<FailedSend>,
}

/// Serves one call.
pub(super) async fn serve(
    context: &Arc<RelayContext>,
    request: &RelayRequest,
) -> Result<Response<ResponseBody>, Refused> {
    let mut history = CallHistory::default();
    context.earn_retry_budget(request.arrived, &request.service.name);
    loop {
        let now = context.clock.now();
        if request.time_left(now) < MIN_LEFT {
            return Err(conclude(&history));
        }
        let Some(worker) = choose(context, request, &history, now) else {
            if history.asked.is_empty() && may_wait(context, request, now) {
                sleep(CAPACITY_POLL_PERIOD).await;
                continue;
            }
            return Err(conclude(&history));
        };
        let is_repeat = !history.asked.is_empty();
        if is_repeat && !context.spend_retry(now, &request.service.name) {
            return Err(conclude(&history));
        }
        history.asked.push(worker.server.clone());
        log::info!(request = request.attempt.as_str(), route = &*request.route.name,
            server:% = worker.server, try = history.asked.len(); "sent");
        context.metrics.request_sent();
        match send_once(context, request, &worker, now).await {
            Ok(response) if !is_worth_another(request, &history, &response) => {
                let took = context.clock.now().since(request.arrived).as_millis();
                log::info!(request = request.attempt.as_str(), status = response.status().as_u16(),
                    server:% = worker.server, took_ms = u64::try_from(took).unwrap_or(u64::MAX); "ended");
                return Ok(response);
            }
            Ok(response) => {
                history.sends += 1;
                history.may_have_run = true;
                if !may_go_on(context, request, &history) {
                    return Ok(response);
                }
            }
            Err(failed) => {
                note(&mut history, failed);
                if !may_go_on(context, request, &history) {
                    return Err(conclude(&history));
                }
            }
        }
    }
}

/// Whether a call for which no server is known waits for one: at a host that is still learning which there
/// are, for as long as half of its time is left.
fn may_wait(context: &RelayContext, request: &RelayRequest, now: MonotonicTime) -> bool {
    let waited = now.since(request.arrived);
    context.is_learning(now)
        && now < context.queue_deadline(now, request.arrived)
        && waited < request.time_left(now)
}

fn choose(
    context: &RelayContext,
    request: &RelayRequest,
    history: &CallHistory,
    now: MonotonicTime,
) -> Option<Arc<WorkerView>> {
    let workers = context.fleet.workers(now);
    let service = &request.service.name;
    let fitting: Vec<&Arc<WorkerView>> = workers
        .iter()
        .filter(|worker| worker.offer.service == *service)
        .filter(|worker| !history.asked.contains(&worker.server))
        .collect();
    let candidates: Vec<ServerCandidate> = fitting
        .iter()
        .map(|worker| ServerCandidate {
            server: worker.server.clone(),
            slots: worker.offer.slots,
            cold: worker.offer.cold,
            near: worker.data_centre == context.data_centre,
        })
        .collect();
    let chosen = context.loads().choose(now, &candidates)?.server.clone();
    let found = fitting.into_iter().find(|worker| worker.server == chosen);
    found.cloned()
}

async fn send_once(
    context: &Arc<RelayContext>,
    request: &RelayRequest,
    worker: &WorkerView,
    now: MonotonicTime,
) -> Result<Response<ResponseBody>, FailedSend> {
    let target = SendTarget {
        server: &worker.server,
        stages: &[],
        resume_after: None,
    };
    let written = request.write(now, context.dialect.servers.as_ref(), target);
    let running = RunningCall::start(context, worker.server.clone(), now);
    let left = request.time_left(now);
    let answered = send(context, worker.address, written, &request.attempt, left).await;
    let result = match answered {
        Ok(answer) => {
            if let Some(load) = answer.head.load {
                let told = ReportedLoad {
                    running: load.running,
                    waiting: load.waiting,
                };
                context
                    .loads()
                    .reported(context.clock.now(), &worker.server, told);
            }
            let left = request.time_left(context.clock.now());
            timeout(left, answer.read()).await.unwrap_or_else(|_| {
                let reason = "the answer did not end in time".to_owned();
                Err(FailedSend::new(SendOutcome::TimedOut, reason))
            })
        }
        Err(failed) => Err(failed),
    };
    running.end(&result);
    result
}

/// Whether an answer is an error that another server may do better on.
fn is_worth_another(
    request: &RelayRequest,
    history: &CallHistory,
    response: &Response<ResponseBody>,
) -> bool {
    let attempts = history.sends + 1;
    response.status().is_server_error()
        && request.route.kind.may_repeat()
        && attempts < request.route.max_attempts
}

fn note(history: &mut CallHistory, failed: FailedSend) {
    let proof = failed.outcome.proof();
    if proof != RunProof::NotSent {
        history.sends += 1;
    }
    history.may_have_run |= !proof.is_not_run();
    history.last = Some(failed);
}

fn may_go_on(context: &RelayContext, request: &RelayRequest, history: &CallHistory) -> bool {
    let kind = if request.route.kind.may_repeat() {
        CallKind::Idempotent
    } else {
        CallKind::NonIdempotent
    };
    let proof = if history.may_have_run {
        RunProof::Unknown
    } else if history.sends > 0 {
        RunProof::NotRun
    } else {
        RunProof::NotSent
    };
    kind.may_resend(proof)
        && history.sends < request.route.max_attempts
        && request.time_left(context.clock.now()) >= MIN_LEFT
}

/// What the caller is told after the last send.
fn conclude(history: &CallHistory) -> Refused {
    let Some(last) = &history.last else {
        return refused(RefusalKind::NotRun, "no server of the service takes work")
            .retry_after(RETRY_FULL);
    };
    if !history.may_have_run {
        return refused(RefusalKind::NotRun, last.reason.clone()).retry_after(RETRY_FULL);
    }
    let kind = match last.outcome {
        SendOutcome::TimedOut => RefusalKind::TimedOut,
        _ => RefusalKind::UnknownOutcome,
    };
    refused(kind, last.reason.clone())
}

/// Counts a call at its server for as long as it runs, however it ends.
struct RunningCall {
    context: Arc<RelayContext>,
    server: ServerName,
}

impl RunningCall {
    fn start(context: &Arc<RelayContext>, server: ServerName, now: MonotonicTime) -> Self {
        context.loads().started(now, &server);
        Self {
            context: Arc::clone(context),
            server,
        }
    }

    fn end(self, result: &Result<Response<ResponseBody>, FailedSend>) {
        let now = self.context.clock.now();
        let failed = match result {
            Ok(response) => response.status().is_server_error(),
            // A full server is not a broken one; its load says so already.
            Err(failed) => failed.outcome != SendOutcome::Declined,
        };
        let peers = self.context.fleet.workers(now).len();
        let mut loads = self.context.loads();
        if failed {
            loads.failed(now, &self.server, peers);
        } else {
            loads.succeeded(&self.server);
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.context.loads().ended(&self.server);
    }
}
