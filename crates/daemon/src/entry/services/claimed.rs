//! Calls that must run at most once: the key is claimed in the replicated state before the send.
//!
//! The task continues when its caller disconnects, so that a later resend of the key receives the
//! outcome of the run.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header, request};
use pollendrift_coordination::base::SequenceNumber;
use pollendrift_coordination::claims::{
    AnswerBody, AnswerHeader, CallEffect, CallEvent, CallerResponse, ClaimScope, ClaimState,
    ClaimTicket, ClaimedCall, KnownClaim, RequestDigest, SettleClaim, StoredAnswer, TakeClaim,
};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_http::{ClientError, ResponseBody};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::proxy::{self, BufferedAnswer};
use super::settling::HeldClaim;
use super::{ServiceCall, known_claim};
use crate::entry::ends::withheld_refusal;
use crate::entry::record::{RequestEnding, RunningRequest};
use crate::entry::refusal::Refusal;

/// Longest wait of a response for the record of its outcome, as long as for the evidence of its
/// request. A resend during an outage may find the key in progress, but no caller waits for the end
/// of the outage.
const SETTLE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two attempts to settle a claim while no keeper answers.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum attempts to settle a claim. After them the claim stays in progress until this process's
/// incarnation ends.
const MAX_SETTLE_ATTEMPTS: u32 = 120;
/// Headers of an answer that are stored for resends.
const STORED_HEADERS: [HeaderName; 4] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::ETAG,
    header::LOCATION,
];

/// Runs a non-idempotent call with a key under a claim.
///
/// # Errors
/// Refuses the call if this process has no incarnation, or if the claim yields no answer.
pub(super) async fn run(
    call: ServiceCall,
    record: RunningRequest,
    key: String,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(incarnation) = call.context.agreed.incarnation() else {
        return Err(Refusal::not_ready(
            "the keepers have not yet given this process its life",
        ));
    };
    let ticket = ClaimTicket {
        host: call.context.host.clone(),
        incarnation,
        sequence: SequenceNumber(call.context.next_ticket()),
    };
    let scope = ClaimScope {
        customer: call.customer.clone(),
        service: call.service.clone(),
        key: key.into(),
    };
    let take = TakeClaim {
        scope,
        digest: call_digest(&call.head, &call.body),
        request: call.id.clone(),
        ticket,
    };
    let (reply, result) = oneshot::channel();
    let id = call.id.clone();
    let context = Arc::clone(&call.context);
    let runner = ClaimRunner {
        call,
        record: Some(record),
        recording: None,
        held: None,
        answer: None,
        withheld: None,
        reply: Some(reply),
    };
    context.tasks.spawn(runner.run(take));
    match result.await {
        Ok(Ok(answer)) => Ok(proxy::response(answer, &id)),
        Ok(Err(refusal)) => Err(refusal.mark_recorded()),
        Err(_) => Err(Refusal::unknown(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "The call stopped",
            "the task that ran this call ended without an answer".to_owned(),
        )),
    }
}

/// The claim's response, with the complete answer if this call itself ran.
struct ClaimReply {
    response: CallerResponse,
    answer: Option<BufferedAnswer>,
}

struct ClaimRunner {
    call: ServiceCall,
    /// `None` once the end of the request is being recorded.
    record: Option<RunningRequest>,
    /// Task that records the end of the request.
    recording: Option<JoinHandle<()>>,
    /// The claim, from the take until the keepers have recorded its outcome.
    held: Option<HeldClaim>,
    answer: Option<BufferedAnswer>,
    /// Refusal of a call that no server got because servers had ended under it.
    withheld: Option<Refusal>,
    reply: Option<oneshot::Sender<Result<BufferedAnswer, Refusal>>>,
}

impl ClaimRunner {
    async fn run(mut self, take: TakeClaim) {
        let scope = take.scope.clone();
        let claim = KnownClaim {
            ticket: take.ticket.clone(),
            digest: take.digest,
            request: take.request.clone(),
            state: ClaimState::InProgress,
        };
        let (mut claimed, effects) = ClaimedCall::begin(take);
        let mut queue = VecDeque::from(effects);
        let mut attempts = 0;
        let mut settling = None;
        while let Some(effect) = queue.pop_front() {
            let event = match effect {
                CallEffect::Take(take) => Some(self.take(take).await),
                CallEffect::Send => {
                    let settling = &self.call.context.settling;
                    self.held = Some(settling.hold(&scope, claim.clone()));
                    Some(self.send().await)
                }
                CallEffect::Settle(settle) if attempts < MAX_SETTLE_ATTEMPTS => {
                    attempts += 1;
                    if attempts > 1 {
                        sleep(SETTLE_RETRY_DELAY).await;
                    }
                    Some(self.settle(settle).await)
                }
                CallEffect::Settle(settle) => {
                    log::error!(claim:% = settle.scope; "claim not settled: no keeper answered");
                    None
                }
                CallEffect::Respond(response) => {
                    self.respond(response).await;
                    None
                }
            };
            if let Some(event) = &event {
                self.update_held(event);
            }
            queue.extend(event.into_iter().flat_map(|event| claimed.handle(event)));
            let is_settle = |effect: &CallEffect| matches!(effect, CallEffect::Settle(_));
            if settling.is_none() && queue.iter().any(is_settle) {
                // Before the caller has its response and may resend the call.
                settling = Some(self.call.context.settling.begin(&scope));
            }
        }
    }

    /// Updates what later arrivals at this entry are told while no keeper answers them.
    fn update_held(&mut self, event: &CallEvent) {
        let state = match event {
            CallEvent::Answered(answer) => ClaimState::Finished(answer.clone()),
            CallEvent::AnswerLost => ClaimState::Unknown,
            CallEvent::ConnectionRefused => {
                self.held = None;
                return;
            }
            _ => return,
        };
        if let Some(held) = &self.held {
            held.set_state(state);
        }
    }

    async fn take(&self, take: TakeClaim) -> CallEvent {
        let scope = take.scope.clone();
        if !self.call.context.settling.wait(&scope).await {
            log::warn!(claim:% = scope; "claim not taken: outcome of an earlier call not recorded");
            return CallEvent::TakeUnanswered(known_claim(&self.call.context, &scope));
        }
        let submitted = self
            .call
            .context
            .agreed
            .submit(ReplicatedCommand::TakeClaim(take));
        match submitted.await {
            Ok(CommandAnswer::Taken(answer)) => return CallEvent::TakeAnswered(answer),
            Ok(_) => {}
            Err(error) => log::warn!(claim:% = scope, error:% = error; "claim not taken"),
        }
        CallEvent::TakeUnanswered(known_claim(&self.call.context, &scope))
    }

    async fn send(&mut self) -> CallEvent {
        if let Some(record) = &self.record {
            // If this entry crashes after the send, the evidence must contain the call's start.
            record.wait_until_stored().await;
        }
        let mut gate = self.call.gate();
        for (index, server) in self.call.servers().into_iter().enumerate() {
            if !gate.admit().await {
                self.withheld = Some(withheld_refusal(&gate, false));
                break;
            }
            let result = self.call.send_tracked(&gate, &server).await;
            let trace = self.call.trace(index, &server, &result);
            if let Some(record) = &mut self.record {
                record.record_attempt(trace);
            }
            match result {
                Ok(answer) => {
                    let stored = stored_answer(&answer);
                    // At the same time as the outcome, so that the caller waits for the longer of
                    // the two commits only.
                    self.record_end(answer.ending());
                    self.answer = Some(answer);
                    return CallEvent::Answered(stored);
                }
                // The call is proved not to have run on this server, so another one may run it.
                Err(error @ ClientError::NotSent { .. }) => {
                    if !self.call.may_resend(index, &error).await {
                        break;
                    }
                }
                Err(error) => {
                    log::warn!(request:% = self.call.id, error:% = error; "answer lost; the call may have run");
                    return CallEvent::AnswerLost;
                }
            }
        }
        CallEvent::ConnectionRefused
    }

    async fn settle(&self, settle: SettleClaim) -> CallEvent {
        let scope = settle.scope.clone();
        let command = ReplicatedCommand::SettleClaim(settle);
        let submitted = self.call.context.agreed.submit(command);
        let answer = match &self.reply {
            Some(_) => timeout(SETTLE_RESPONSE_TIMEOUT, submitted).await.ok(),
            None => Some(submitted.await),
        };
        match answer {
            Some(Ok(CommandAnswer::Settled(_))) => return CallEvent::SettleAnswered,
            Some(Err(error)) => {
                log::warn!(claim:% = scope, error:% = error; "outcome of a call not recorded yet");
            }
            Some(Ok(_)) | None => {}
        }
        CallEvent::SettleUnanswered
    }

    /// Starts to record the end of the request, unless that has already begun.
    fn record_end(&mut self, ending: RequestEnding) {
        if let Some(record) = self.record.take() {
            self.recording = Some(tokio::spawn(record.finish(ending)));
        }
    }

    async fn respond(&mut self, response: CallerResponse) {
        let reply = ClaimReply {
            response,
            answer: self.answer.take(),
        };
        let result = reply.into_answer();
        let result = result.map_err(|refusal| self.withheld.take().unwrap_or(refusal));
        self.record_end(match &result {
            Ok(answer) => answer.ending(),
            Err(refusal) => RequestEnding::of_refusal(refusal, false),
        });
        if let Some(recording) = self.recording.take()
            && let Err(error) = recording.await
        {
            log::error!(request:% = self.call.id, error:% = error; "end of a call not recorded");
        }
        if let Some(reply) = self.reply.take() {
            // A caller that disconnected receives the stored outcome when it resends its key.
            let _ = reply.send(result);
        }
    }
}

impl ClaimReply {
    fn into_answer(self) -> Result<BufferedAnswer, Refusal> {
        match self.response {
            CallerResponse::Answer(stored) => match self.answer {
                Some(answer) => Ok(answer),
                None => restore_answer(stored),
            },
            CallerResponse::StoredAnswer { answer, .. } => restore_answer(answer),
            CallerResponse::InProgress { request } => Err(Refusal::in_progress(&request)),
            CallerResponse::Unknown { request } => Err(Refusal::may_have_run(&request)),
            CallerResponse::BodyDiffers { request } => Err(Refusal::key_reused(&request)),
            CallerResponse::NotRun(reason) => Err(Refusal::no_pipeline(reason.to_string())),
        }
    }
}

fn restore_answer(stored: StoredAnswer) -> Result<BufferedAnswer, Refusal> {
    let AnswerBody::Whole(body) = stored.body else {
        return Err(Refusal::answer_not_kept(stored.status));
    };
    let mut headers = http::HeaderMap::new();
    for header in &stored.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    Ok(BufferedAnswer {
        status,
        headers,
        body: Bytes::from(body),
    })
}

fn stored_answer(answer: &BufferedAnswer) -> StoredAnswer {
    let headers = STORED_HEADERS.iter().filter_map(|name| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some(AnswerHeader {
            name: Arc::from(name.as_str()),
            value: Arc::from(value),
        })
    });
    StoredAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: AnswerBody::Whole(answer.body.to_vec()),
    }
}

/// Digest of the method, the target and the body, which together identify the call.
pub(super) fn call_digest(head: &request::Parts, body: &[u8]) -> RequestDigest {
    let target = head.uri.path_and_query().map_or("", |path| path.as_str());
    let mut hasher = Sha256::new();
    for part in [head.method.as_str().as_bytes(), target.as_bytes(), body] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(length.to_be_bytes());
        hasher.update(part);
    }
    RequestDigest(hasher.finalize().into())
}
