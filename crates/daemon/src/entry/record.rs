//! Evidence records of one request: its start, its attempts and its end, or its refusal.

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

/// Longest time for which a caller waits until its request's records are stored.
///
/// Without this limit, a caller whose request runs while the keepers lose their quorum waits for
/// its last event until the outage ends. After the timeout the caller receives it. The record stays
/// in the buffer and is sent once the keepers are back; until then no new work is accepted.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for which a refused caller waits until its refusal is stored.
///
/// If an entry crashes between the refusal and the next batch, the caller has a refusal that is
/// missing from the evidence; waiting for the keepers prevents that. The timeout is short because
/// every caller is refused while the keepers are unavailable.
const REFUSAL_STORE_TIMEOUT: Duration = Duration::from_millis(250);

/// A received request, before it is routed.
#[derive(Clone, Debug)]
pub(super) struct RequestArrival {
    pub(super) id: RequestId,
    pub(super) customer: Option<CustomerName>,
    /// Method and path, without the query.
    pub(super) operation: Arc<str>,
    pub(super) arrived: MonotonicTime,
}

/// An accepted request.
///
/// If it is dropped before [`RunningRequest::finish`], its end is recorded as `caller-gone`.
pub(super) struct RunningRequest {
    context: Arc<EntryContext>,
    arrived: MonotonicTime,
    /// Frees the request's admission slot when dropped.
    _ticket: AdmissionTicket,
    open: Option<OpenRequest>,
    first_at: Option<MonotonicTime>,
    last_at: MonotonicTime,
    attempts: u64,
    outcome: OutcomeKind,
}

/// Result of a request, for its end record.
#[derive(Clone, Debug)]
pub(super) struct RequestEnding {
    pub(super) outcome: OutcomeKind,
    pub(super) status: StatusCode,
    pub(super) reason: Arc<str>,
    pub(super) answer: BodyDigest,
}

impl RequestEnding {
    /// Ending of a request whose answer was interrupted (`begun`) or never started.
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
    /// Records the start of an admitted request.
    ///
    /// # Errors
    /// Refuses the request if the evidence buffer can't accept the record: the request must not run
    /// without one.
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
        let mut open = recorder.begin(begun).map_err(|error| {
            Refusal::not_ready(&format!("the keepers take no evidence: {error}"))
        })?;
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

    /// Adds the trace of one attempt to the end record.
    pub(super) fn record_attempt(&mut self, trace: AttemptTrace) {
        self.attempts += 1;
        if let Some(open) = &mut self.open {
            open.update(|end| end.attempts.push(trace));
        }
    }

    /// Waits until the start record is stored, or until [`STORE_TIMEOUT`].
    pub(super) async fn wait_until_stored(&self) {
        let Some(open) = &self.open else {
            return;
        };
        if tokio::time::timeout(STORE_TIMEOUT, open.wait_for_start_record())
            .await
            .is_err()
        {
            log::warn!(
                "request continues before its start record is stored: no keeper stored it in time"
            );
        }
    }

    /// Waits until the start record is stored; called before the first byte is sent to the caller.
    pub(super) async fn record_first_byte(&mut self) {
        if self.first_at.is_some() {
            return;
        }
        self.wait_until_stored().await;
        self.first_at = Some(self.context.clock.now());
    }

    /// Records the latency metrics of `count` tokens that are released to the caller.
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

    /// Records the end and waits until it is stored; called before the end is sent to the caller.
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
        if tokio::time::timeout(STORE_TIMEOUT, open.finish())
            .await
            .is_err()
        {
            log::warn!("request ends before its end record is stored: no keeper stored it in time");
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

/// Records a refusal and waits until it is stored, or until [`REFUSAL_STORE_TIMEOUT`].
///
/// Does nothing if the refusal ended a request whose end is already recorded.
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
    // While the keepers are unavailable, the record stays in the buffer and the refusal is sent.
    let _ = tokio::time::timeout(REFUSAL_STORE_TIMEOUT, stored).await;
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
