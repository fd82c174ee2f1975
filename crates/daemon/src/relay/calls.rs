//! Calls of plain services: sends a call to one server, reads its complete answer, and retries on
//! another server where that is safe.

use std::sync::Arc;

use http::Response;
use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::poison::SendEnd;
use pollendrift_coordination::retries::{CallKind, RunProof, SendOutcome};
use pollendrift_coordination::routing::{ReportedLoad, ServerCandidate};
use pollendrift_dialect::RefusalKind;
use pollendrift_http::ResponseBody;
use tokio::time::{sleep, timeout};

use super::answer::{FailedSend, send};
use super::backpressure::{HeldBack, RateQueue};
use super::context::RelayContext;
use super::drafts::CAPACITY_POLL_PERIOD;
use super::peer_forward::{FailedForward, ForwardAttempts};
use super::request::{Refused, RelayRequest, SendTarget, refused, withheld};
use crate::fleet::WorkerView;
use crate::poison::SendGate;

/// Least remaining time in which to start a send: enough for the round trip and the server's work.
const MIN_TIME_LEFT: std::time::Duration = std::time::Duration::from_millis(15);
/// Retry delay for a caller when no server has a free slot: the time in which a server's slots
/// turn over a few times.
const RETRY_NO_CAPACITY: std::time::Duration = std::time::Duration::from_millis(150);

/// Time without an answer after which this host checks whether it reaches the service, long before
/// the connection attempts to its servers time out one after the other.
const SUSPECT_AFTER: std::time::Duration = std::time::Duration::from_millis(250);

/// Divisor of a call's time: the fraction that it may wait for servers that are held back.
const HOLD_WAIT_DIVISOR: u32 = 3;

/// Sends of one call so far, and their results.
#[derive(Default)]
struct CallHistory {
    /// Servers that the call was sent to.
    tried_servers: Vec<ServerName>,
    /// Number of sends that may have put a byte on the wire.
    sends: u32,
    /// Whether a server may have run the call.
    may_have_run: bool,
    last: Option<FailedSend>,
    /// Hosts that the call was forwarded to.
    forwards: ForwardAttempts,
}

/// Serves one call: sends it to servers in turn until one answers or no further send is allowed.
pub(super) async fn serve(
    context: &Arc<RelayContext>,
    request: &RelayRequest,
) -> Result<Response<ResponseBody>, Refused> {
    let mut history = CallHistory::default();
    let mut rate_queue = RateQueue::new(context);
    let mut gate = SendGate::new(&context.poison, request.content);
    context.earn_retry_budget(request.arrived, &request.service.name);
    loop {
        let now = context.clock.now();
        if request.time_left(now) < MIN_TIME_LEFT {
            return Err(final_refusal(context, request, &history));
        }
        if !gate.admit().await {
            let refusal = gate.withheld().map_or_else(
                || final_refusal(context, request, &history),
                |request| withheld(request, history.may_have_run),
            );
            return Err(refusal.arrived(history.sends > 0));
        }
        if context.is_cut_off_from(request) {
            context.await_hosts(request).await;
            if !context.may_forward(now, request, &history.forwards) {
                return Err(final_refusal(context, request, &history));
            }
            if let Some(response) = forward(context, request, &mut history, now).await {
                return Ok(response);
            }
            if !may_send_again(context, request, &history) {
                return Err(final_refusal(context, request, &history));
            }
            continue;
        }
        let Some(worker) = choose(context, request, &history, &mut rate_queue, now) else {
            match wait_for_server(context, request, &history, now) {
                Some(wait) => sleep(wait).await,
                None => return Err(final_refusal(context, request, &history)),
            }
            continue;
        };
        let sent = gate.begin(context.loss_id(&worker.server).into_iter().collect());
        if !sent.await_turn().await {
            sent.end(SendEnd::NotTaken);
            continue;
        }
        let is_retry = !history.tried_servers.is_empty() || history.sends > 0;
        if is_retry && !context.spend_retry(now, &request.service.name) {
            sent.end(SendEnd::NotTaken);
            return Err(final_refusal(context, request, &history));
        }
        history.tried_servers.push(worker.server.clone());
        log::info!(request = request.attempt.as_str(), route = &*request.route.name,
            content:% = request.content, server:% = worker.server, try = history.tried_servers.len(); "sent");
        context.metrics.record_attempt();
        let result = send_once(context, request, &worker, now).await;
        sent.end(send_end_of(&result));
        if let Err(failed) = &result {
            check_server(context, &worker, failed.outcome).await;
        }
        match result {
            Ok(response) if !should_retry_response(request, &history, &response) => {
                let took = context.clock.now().since(request.arrived).as_millis();
                log::info!(request = request.attempt.as_str(), status = response.status().as_u16(),
                    server:% = worker.server, took_ms = u64::try_from(took).unwrap_or(u64::MAX); "ended");
                return Ok(response);
            }
            Ok(response) => {
                history.sends += 1;
                history.may_have_run = true;
                if !may_send_again(context, request, &history) {
                    return Ok(response);
                }
            }
            Err(failed) => {
                let is_unreached = failed.outcome != SendOutcome::Declined;
                record_failure(&mut history, failed);
                if is_unreached {
                    context.await_checks(&request.service.name).await;
                }
                if !may_send_again(context, request, &history) {
                    return Err(final_refusal(context, request, &history));
                }
            }
        }
    }
}

/// How a send ended for the server that it was to.
fn send_end_of(result: &Result<Response<ResponseBody>, FailedSend>) -> SendEnd {
    match result {
        Ok(_) => SendEnd::Answered,
        Err(failed) if failed.outcome.proof().is_not_run() => SendEnd::NotTaken,
        Err(_) => SendEnd::Broken,
    }
}

/// Finds out whether a server ended under a call that broke. Of a call that timed out, the caller does not
/// wait for it.
async fn check_server(context: &Arc<RelayContext>, worker: &Arc<WorkerView>, outcome: SendOutcome) {
    let id = context.loss_id(&worker.server);
    if outcome.proof().is_not_run() || id.is_none_or(|id| context.poison.is_lost(&id)) {
        return;
    }
    let (checking, worker) = (Arc::clone(context), Arc::clone(worker));
    let check = tokio::spawn(async move {
        checking.check_crash(&worker.server, worker.address).await;
    });
    if outcome != SendOutcome::TimedOut {
        // The task does not panic, and is not cancelled.
        let _ = check.await;
    }
}

/// Forwards the call to another host and reads the complete answer; `None` if there is none.
async fn forward(
    context: &Arc<RelayContext>,
    request: &RelayRequest,
    history: &mut CallHistory,
    now: MonotonicTime,
) -> Option<Response<ResponseBody>> {
    let service = &request.service.name;
    let sends = history.sends;
    let forwarded = context.forwarded_history(now, service, sends, sends > 0);
    let forwarding = context.forward(request, &mut history.forwards, forwarded, None);
    let time_left = request.time_left(now);
    let answered = async {
        let answer = forwarding.await?;
        let read = answer
            .read(&context.answer_memory, request.caller(), time_left)
            .await;
        read.map_err(FailedForward::Unknown)
    };
    let failed = match timeout(time_left, answered).await {
        Ok(Ok(response)) => {
            let took = context.clock.now().since(request.arrived).as_millis();
            log::info!(request = request.attempt.as_str(), status = response.status().as_u16(),
                took_ms = u64::try_from(took).unwrap_or(u64::MAX); "ended");
            return Some(response);
        }
        Ok(Err(FailedForward::NotRun { has_arrived })) => {
            history.sends += u32::from(has_arrived);
            return None;
        }
        Ok(Err(FailedForward::Unknown(failed))) => failed,
        Err(_) => {
            let reason = "no answer of another host in time".to_owned();
            FailedSend::new(SendOutcome::TimedOut, reason)
        }
    };
    record_failure(history, failed);
    None
}

/// Time after which a call without a server looks for one again; `None` if it must not wait.
fn wait_for_server(
    context: &RelayContext,
    request: &RelayRequest,
    history: &CallHistory,
    now: MonotonicTime,
) -> Option<std::time::Duration> {
    if !history.tried_servers.is_empty() {
        return None;
    }
    if let Some(held_back) = find_hold(context, request, now) {
        let total = request.deadline.since(request.arrived);
        let waited = now.since(request.arrived);
        let is_in_time = waited.saturating_add(held_back.wait()) <= total / HOLD_WAIT_DIVISOR;
        return is_in_time.then(|| held_back.wait());
    }
    may_wait_for_discovery(context, request, now).then_some(CAPACITY_POLL_PERIOD)
}

/// Shortest wait for a server of the call's service; `None` if one is not held back.
fn find_hold(
    context: &RelayContext,
    request: &RelayRequest,
    now: MonotonicTime,
) -> Option<HeldBack> {
    let workers = context.fleet.workers(now);
    let servers = workers
        .iter()
        .filter(|worker| worker.offer.service == request.service.name);
    context.shortest_hold(now, servers.map(|worker| &worker.server))
}

/// Whether a call without a known server waits for one: only on a host that is still learning of
/// servers, until half of the call's time has passed.
fn may_wait_for_discovery(
    context: &RelayContext,
    request: &RelayRequest,
    now: MonotonicTime,
) -> bool {
    let waited = now.since(request.arrived);
    context.is_learning(now)
        && now < context.queue_deadline(now, request.arrived)
        && waited < request.time_left(now)
}

/// Chooses the least loaded server whose limit allows a request, and takes the request out of this
/// host's share of it.
fn choose(
    context: &RelayContext,
    request: &RelayRequest,
    history: &CallHistory,
    rate_queue: &mut RateQueue,
    now: MonotonicTime,
) -> Option<Arc<WorkerView>> {
    let mut eligible = eligible_servers(context, request, history, now);
    let mut rate_limited = Vec::new();
    loop {
        let Some(index) = choose_least_loaded(context, &eligible, now) else {
            rate_queue.join(now, &rate_limited);
            return None;
        };
        let worker = eligible.swap_remove(index);
        rate_queue.record_demand(now, &worker.server);
        if context.take_rate(now, &worker.server) {
            rate_queue.leave();
            return Some(worker);
        }
        rate_limited.push(worker.server.clone());
    }
}

fn eligible_servers(
    context: &RelayContext,
    request: &RelayRequest,
    history: &CallHistory,
    now: MonotonicTime,
) -> Vec<Arc<WorkerView>> {
    let workers = context.fleet.workers(now);
    let service = &request.service.name;
    workers
        .iter()
        .filter(|worker| worker.offer.service == *service)
        .filter(|worker| !history.tried_servers.contains(&worker.server))
        .filter(|worker| !context.has_back_off(now, &worker.server))
        .cloned()
        .collect()
}

/// Index of the least loaded of `workers`.
fn choose_least_loaded(
    context: &RelayContext,
    workers: &[Arc<WorkerView>],
    now: MonotonicTime,
) -> Option<usize> {
    let candidates: Vec<ServerCandidate> = workers
        .iter()
        .map(|worker| ServerCandidate {
            server: worker.server.clone(),
            slots: worker.offer.slots,
            cold: worker.offer.cold,
            near: worker.data_centre == context.data_centre,
        })
        .collect();
    let chosen = context.loads().choose(now, &candidates)?.server.clone();
    workers.iter().position(|worker| worker.server == chosen)
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
    let server_request = request.write(now, context.dialect.servers.as_ref(), target);
    let running = RunningCall::start(context, worker.server.clone(), now);
    let time_left = request.time_left(now);
    let receiver = context.receiver(&worker.server);
    let sending = send(
        context,
        &receiver,
        worker.address,
        server_request,
        &request.attempt,
        time_left,
    );
    let mut sending = std::pin::pin!(sending);
    let answered = match timeout(SUSPECT_AFTER, &mut sending).await {
        Ok(answered) => answered,
        Err(_) => {
            context.suspect_service_of(&worker.server);
            sending.await
        }
    };
    let result = match answered {
        Ok(answer) => {
            if let Some(load) = answer.load {
                let reported_load = ReportedLoad {
                    running: load.running,
                    waiting: load.waiting,
                };
                context
                    .loads()
                    .reported(context.clock.now(), &worker.server, reported_load);
            }
            let time_left = request.time_left(context.clock.now());
            answer
                .read(&context.answer_memory, request.caller(), time_left)
                .await
        }
        Err(failed) => Err(failed),
    };
    running.end(&result);
    result
}

/// Whether a response is a server error, and the route allows another attempt.
fn should_retry_response(
    request: &RelayRequest,
    history: &CallHistory,
    response: &Response<ResponseBody>,
) -> bool {
    let attempts = history.sends + 1;
    response.status().is_server_error()
        && request.route.kind.may_repeat()
        && attempts < request.max_attempts()
}

fn record_failure(history: &mut CallHistory, failed: FailedSend) {
    let proof = failed.outcome.proof();
    if proof != RunProof::NotSent {
        history.sends += 1;
    }
    history.may_have_run |= !proof.is_not_run();
    history.last = Some(failed);
}

fn may_send_again(context: &RelayContext, request: &RelayRequest, history: &CallHistory) -> bool {
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
        && history.sends < request.max_attempts()
        && request.time_left(context.clock.now()) >= MIN_TIME_LEFT
}

/// Returns the refusal of a call that has not run, and that no server is free to take.
fn no_capacity_refusal(history: &CallHistory) -> Refused {
    let reason = history.last.as_ref().map_or_else(
        || "no server of the service takes work".to_owned(),
        |last| last.reason.clone(),
    );
    refused(RefusalKind::NotRun, reason).retry_after(RETRY_NO_CAPACITY)
}

/// Returns the refusal for the caller after the last send.
fn final_refusal(context: &RelayContext, request: &RelayRequest, history: &CallHistory) -> Refused {
    refusal_after(context, request, history).arrived(history.sends > 0)
}

fn refusal_after(context: &RelayContext, request: &RelayRequest, history: &CallHistory) -> Refused {
    if !history.may_have_run && context.is_cut_off_from(request) {
        return history.forwards.refusal();
    }
    if !history.may_have_run {
        let held_back = find_hold(context, request, context.clock.now());
        return held_back.map_or_else(|| no_capacity_refusal(history), |held| held.refusal());
    }
    let Some(last) = &history.last else {
        return refused(RefusalKind::UnknownOutcome, "the server sent no answer");
    };
    let kind = match last.outcome {
        SendOutcome::TimedOut => RefusalKind::TimedOut,
        _ => RefusalKind::UnknownOutcome,
    };
    refused(kind, last.reason.clone())
}

/// Counts a call in the load of its server until dropped.
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
            // A full server is not a failed one, and its reported load already shows it as full.
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
