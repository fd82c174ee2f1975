//! What goes on record of one request: its beginning, every attempt and its end, or its refusal.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use pollendrift_border::ProblemReportOutcome;
use pollendrift_coordination::base::{ClaimKey, CustomerName, MonotonicTime, RequestId};
use pollendrift_coordination::evidence::{
    AttemptTrace, BodyDigest, OutcomeKind, RequestBegun, RequestRefused,
};

use super::context::EntryContext;
use super::refusal::Refusal;
use super::selection::ServedRequest;
use crate::admission::AdmissionTicket;
use crate::telemetry::{OpenRequest, RequestEnd};

/// Longest wait of a caller for its request's records to be stored.
///
/// Failure: the keepers' quorum is lost while an answer runs, and its caller would wait for the
/// last event for as long as the outage lasts. After this time the caller gets it; the record
/// stays in the buffer, is sent when the keepers are back, and no new work is taken meanwhile.
const STORE_PATIENCE: Duration = Duration::from_secs(3);

/// Longest wait of a refused caller for the record of its refusal to be stored.
///
/// Failure: an entry that dies between the refusal and the next batch leaves a caller with a
/// refusal that evidence does not know. Waiting for the keepers closes that gap. Without keepers
/// refusals are what every caller gets, so their wait is short.
const REFUSAL_PATIENCE: Duration = Duration::from_millis(250);

/// A request that has come in.
#[derive(Clone, Debug)]
pub(super) struct RequestArrival {
    pub(super) id: RequestId,
    pub(super) customer: Option<CustomerName>,
    /// Method and path, without the query.
    pub(super) operation: Arc<str>,
    pub(super) arrived: MonotonicTime,
}

/// A request that was taken on; dropped without an end, it is on record as `caller-gone`.
pub(super) struct RunningRequest {
    context: Arc<EntryContext>,
    arrived: MonotonicTime,
    /// Makes room at the end.
    _ticket: AdmissionTicket,
    open: Option<OpenRequest>,
    first_at: Option<MonotonicTime>,
    last_at: MonotonicTime,
    attempts: u64,
    outcome: OutcomeKind,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) struct RequestEnding {
    pub(super) outcome: OutcomeKind,
    pub(super) status: StatusCode,
    pub(super) reason: Arc<str>,
    pub(super) answer: BodyDigest,
}

impl RequestEnding {
    /// The end of a request whose answer broke off or never began.
    pub(super) fn of_refusal(refusal: &Refusal, begun: bool) -> Self {
        let outcome = if begun {
            OutcomeKind::Incomplete
        } else {
            outcome_kind(refusal)
        };
        Self {
            outcome,
            status: if begun {
                StatusCode::OK
            } else {
                refusal.status
            },
            reason: refusal.detail.as_str().into(),
            answer: BodyDigest::of(b""),
        }
    }
}

impl RunningRequest {
    /// Puts the beginning on record; without room for it the request must not run.
    pub(super) fn begin(
        context: &Arc<EntryContext>,
        arrival: &RequestArrival,
        key: Option<ClaimKey>,
        body: BodyDigest,
        served: &ServedRequest,
        ticket: AdmissionTicket,
    ) -> Result<Self, Refusal> {
        let Some(recorder) = context.recorder.get() else {
            return Err(Refusal::not_ready(
                "the keepers have not yet given this process its life",
            ));
        };
        let Some(customer) = arrival.customer.clone() else {
            return Err(Refusal::unauthorized("the request names no customer"));
        };
        let caller = customer.clone();
        let begun = RequestBegun {
            request: arrival.id.clone(),
            customer,
            operation: Arc::clone(&arrival.operation),
            key,
            body,
            revision: served.configuration.revision(),
            decision: served.decision(),
        };
        let mut open = recorder
            .begin(begun)
            .map_err(|full| Refusal::not_ready(&format!("the keepers take no evidence: {full}")))?;
        context.metrics.record_request_start();
        context.resends.record_first_attempt(&caller);
        let queued = context.clock.now().since(arrival.arrived);
        open.update(|end| end.timings.queued_us = micros(queued));
        Ok(Self {
            context: Arc::clone(context),
            arrived: arrival.arrived,
            _ticket: ticket,
            open: Some(open),
            first_at: None,
            last_at: arrival.arrived,
            attempts: 0,
            outcome: OutcomeKind::CallerGone,
        })
    }

    /// Adds one attempt, the first of which ends the time in the queue.
    pub(super) fn attempt(&mut self, trace: AttemptTrace) {
        self.attempts += 1;
        if let Some(open) = &mut self.open {
            open.update(|end| end.attempts.push(trace));
        }
    }

    /// Waits until the beginning is stored.
    pub(super) async fn wait_stored(&self) {
        let Some(open) = &self.open else {
            return;
        };
        if tokio::time::timeout(STORE_PATIENCE, open.wait_for_start_record())
            .await
            .is_err()
        {
            log::warn!("a request goes on before its record is stored: no keeper takes it");
        }
    }

    /// Waits until the beginning is stored, before the caller sees its first byte.
    pub(super) async fn record_first_byte(&mut self) {
        if self.first_at.is_some() {
            return;
        }
        self.wait_stored().await;
        self.first_at = Some(self.context.clock.now());
    }

    /// Counts tokens that go to the caller.
    pub(super) fn record_tokens(&mut self, count: usize) {
        let now = self.context.clock.now();
        for _ in 0..count {
            if self.last_at == self.arrived {
                self.context
                    .metrics
                    .record_first_token(now.since(self.arrived));
            } else {
                self.context
                    .metrics
                    .record_next_token(now.since(self.last_at));
            }
            self.last_at = now;
        }
    }

    /// Puts the end on record and waits until it is stored, before the caller sees it.
    pub(super) async fn finish(mut self, ending: RequestEnding) {
        self.outcome = ending.outcome;
        let total = self.context.clock.now().since(self.arrived);
        let first = self
            .first_at
            .map_or(Duration::ZERO, |first| first.since(self.arrived));
        let Some(mut open) = self.open.take() else {
            return;
        };
        open.update(|end| {
            end.outcome = ending.outcome;
            end.status = ending.status.as_u16();
            end.reason = ending.reason;
            end.answer = ending.answer;
            end.timings.first_us = micros(first);
            end.timings.total_us = micros(total);
        });
        if tokio::time::timeout(STORE_PATIENCE, open.finish())
            .await
            .is_err()
        {
            log::warn!("an answer ends before its record is stored: no keeper takes it");
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.context.metrics.record_request_end(RequestEnd {
            outcome: self.outcome,
            attempts: self.attempts,
            duration: self.context.clock.now().since(self.arrived),
        });
    }
}

/// Puts a refusal on record and waits until it is stored, unless it ended a request whose end is on
/// record already.
pub(super) async fn record_refusal(
    context: &EntryContext,
    arrival: &RequestArrival,
    refusal: &Refusal,
) {
    if refusal.recorded {
        return;
    }
    let outcome = outcome_kind(refusal);
    context.metrics.record_refusal(outcome, refusal.kind);
    let stored = context.recorder.refuse(RequestRefused {
        request: arrival.id.clone(),
        customer: arrival.customer.clone(),
        operation: Arc::clone(&arrival.operation),
        body: BodyDigest::of(b""),
        revision: refusal.revision,
        decision: refusal.decision.as_deref().cloned().unwrap_or_default(),
        status: refusal.status.as_u16(),
        outcome,
        kind: refusal.kind.into(),
        reason: refusal.detail.as_str().into(),
    });
    // While keepers are away the record stays in the buffer, and the refusal goes out.
    let _ = tokio::time::timeout(REFUSAL_PATIENCE, stored).await;
}

fn outcome_kind(refusal: &Refusal) -> OutcomeKind {
    match refusal.outcome {
        ProblemReportOutcome::NotRun => OutcomeKind::NotRun,
        ProblemReportOutcome::Unknown => OutcomeKind::Unknown,
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
