//! A call that must run at most once: a claim in the replicated state stands before its first byte.
//!
//! The task goes on when its caller goes away: whoever resends the key later must find out what
//! became of the run.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use pollendrift_coordination::base::SequenceNumber;
use pollendrift_coordination::claims::{
    AnswerBody, AnswerHeader, CallEffect, CallEvent, CallerResponse, ClaimScope, ClaimTicket,
    ClaimedCall, RequestDigest, SettleClaim, StoredAnswer, TakeClaim,
};
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};
use pollendrift_http::{ClientError, ResponseBody};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use super::ServiceCall;
use super::proxy::{self, BufferedAnswer};
use crate::entry::record::{RequestEnding, RunningRequest};
use crate::entry::refusal::Refusal;

/// Pause between two tries to settle a claim while no keeper answers.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// Tries to settle; after them the claim stays in progress until this process's life ends.
const SETTLE_TRIES: u32 = 120;
/// Headers of an answer that are kept for resends.
const KEPT_HEADERS: [HeaderName; 4] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::ETAG,
    header::LOCATION,
];

/// Acts on a call that carries a key and is not idempotent.
pub(super) async fn run(
    call: ServiceCall,
    record: RunningRequest,
    key: String,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(life) = call.context.agreed.incarnation() else {
        return Err(Refusal::not_ready(
            "the keepers have not yet given this process its life",
        ));
    };
    let ticket = ClaimTicket {
        host: call.context.host.clone(),
        incarnation: life,
        sequence: SequenceNumber(call.context.next_ticket()),
    };
    let scope = ClaimScope {
        customer: call.customer.clone(),
        service: call.service.clone(),
        key: key.into(),
    };
    let take = TakeClaim {
        scope,
        digest: call_digest(&call),
        request: call.id.clone(),
        ticket,
    };
    let (told, verdict) = oneshot::channel();
    let id = call.id.clone();
    let context = Arc::clone(&call.context);
    let runner = ClaimRunner {
        call,
        record: Some(record),
        answer: None,
        told: Some(told),
    };
    context.tasks.spawn(runner.run(take));
    match verdict.await {
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

/// The verdict, with the answer in full where this arrival's own run made it.
struct ToldVerdict {
    verdict: CallerResponse,
    answer: Option<BufferedAnswer>,
}

struct ClaimRunner {
    call: ServiceCall,
    /// Taken when the caller has been told.
    record: Option<RunningRequest>,
    answer: Option<BufferedAnswer>,
    told: Option<oneshot::Sender<Result<BufferedAnswer, Refusal>>>,
}

impl ClaimRunner {
    async fn run(mut self, take: TakeClaim) {
        let (mut claimed, effects) = ClaimedCall::begin(take);
        let mut queue = VecDeque::from(effects);
        let mut tries = 0;
        while let Some(effect) = queue.pop_front() {
            let event = match effect {
                CallEffect::Take(take) => Some(self.take(take).await),
                CallEffect::Send => Some(self.send().await),
                CallEffect::Settle(settle) if tries < SETTLE_TRIES => {
                    tries += 1;
                    Some(self.settle(settle).await)
                }
                CallEffect::Settle(settle) => {
                    log::error!(claim:% = settle.scope; "claim not settled: no keeper answered");
                    None
                }
                CallEffect::Respond(verdict) => {
                    self.tell(verdict).await;
                    None
                }
            };
            queue.extend(event.into_iter().flat_map(|event| claimed.handle(event)));
        }
    }

    async fn take(&self, take: TakeClaim) -> CallEvent {
        match self
            .call
            .context
            .agreed
            .submit(ReplicatedCommand::TakeClaim(take))
            .await
        {
            Ok(CommandAnswer::Taken(answer)) => CallEvent::TakeAnswered(answer),
            _ => CallEvent::TakeUnanswered,
        }
    }

    async fn send(&mut self) -> CallEvent {
        if let Some(record) = &self.record {
            // An entry that dies behind the send must leave evidence of what it began.
            record.wait_stored().await;
        }
        for (turn, server) in self.call.servers().into_iter().enumerate() {
            let result = self.call.send(&server).await;
            let trace = self.call.trace(turn, &server, &result);
            if let Some(record) = &mut self.record {
                record.attempt(trace);
            }
            match result {
                Ok(answer) => {
                    let stored = stored_answer(&answer);
                    self.answer = Some(answer);
                    return CallEvent::Answered(stored);
                }
                // Proved not to have run there, so the one run is still to be had elsewhere.
                Err(error @ ClientError::NotSent { .. }) => {
                    if !self.call.may_resend(turn, &error).await {
                        break;
                    }
                }
                Err(error) => {
                    log::warn!(request:% = self.call.id, error:% = error; "answer lost");
                    return CallEvent::AnswerLost;
                }
            }
        }
        CallEvent::ConnectionRefused
    }

    async fn settle(&self, settle: SettleClaim) -> CallEvent {
        match self
            .call
            .context
            .agreed
            .submit(ReplicatedCommand::SettleClaim(settle))
            .await
        {
            Ok(CommandAnswer::Settled(_)) => CallEvent::SettleAnswered,
            _ => {
                tokio::time::sleep(SETTLE_PAUSE).await;
                CallEvent::SettleUnanswered
            }
        }
    }

    async fn tell(&mut self, verdict: CallerResponse) {
        let reply = ToldVerdict {
            verdict,
            answer: self.answer.take(),
        }
        .into_answer();
        if let Some(record) = self.record.take() {
            let ending = match &reply {
                Ok(answer) => answer.ending(),
                Err(refusal) => RequestEnding::of_refusal(refusal, false),
            };
            record.finish(ending).await;
        }
        if let Some(told) = self.told.take() {
            // A caller that went away reads the stored outcome when it resends its key.
            let _ = told.send(reply);
        }
    }
}

impl ToldVerdict {
    fn into_answer(self) -> Result<BufferedAnswer, Refusal> {
        match self.verdict {
            CallerResponse::Answer(stored) => match self.answer {
                Some(answer) => Ok(answer),
                None => kept_answer(stored),
            },
            CallerResponse::StoredAnswer { answer, .. } => kept_answer(answer),
            CallerResponse::InProgress { request } => Err(Refusal::in_progress(&request)),
            CallerResponse::Unknown { request } => Err(Refusal::may_have_run(&request)),
            CallerResponse::BodyDiffers { request } => Err(Refusal::key_reused(&request)),
            CallerResponse::NotRun(reason) => Err(Refusal::no_pipeline(reason.to_string())),
        }
    }
}

fn kept_answer(stored: StoredAnswer) -> Result<BufferedAnswer, Refusal> {
    let AnswerBody::Whole(body) = stored.body else {
        return Err(Refusal::answer_not_kept(stored.status));
    };
    let mut headers = http::HeaderMap::new();
    for kept in &stored.headers {
        let name = HeaderName::from_bytes(kept.name.as_bytes());
        let value = HeaderValue::from_str(&kept.value);
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
    let kept = KEPT_HEADERS.iter().filter_map(|name| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some(AnswerHeader {
            name: Arc::from(name.as_str()),
            value: Arc::from(value),
        })
    });
    StoredAnswer {
        status: answer.status.as_u16(),
        headers: kept.collect(),
        body: AnswerBody::Whole(answer.body.to_vec()),
    }
}

/// Digest of everything that makes the call another call.
fn call_digest(call: &ServiceCall) -> RequestDigest {
    let target = call
        .head
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let mut hasher = Sha256::new();
    for part in [
        call.head.method.as_str().as_bytes(),
        target.as_bytes(),
        &call.body,
    ] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(length.to_be_bytes());
        hasher.update(part);
    }
    RequestDigest(hasher.finalize().into())
}
