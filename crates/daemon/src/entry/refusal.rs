//! Refusals: problem details (RFC 9457) that state whether the request ran.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use pollendrift_border::{ProblemReport, ProblemReportOutcome};
use pollendrift_coordination::base::{RequestId, Revision, ServerName};
use pollendrift_coordination::evidence::DecisionTrace;
use pollendrift_coordination::limits::{AdmissionRefusal, RequestRefusal};
use pollendrift_http::{ClientError, ReadFailure, ResponseBody, json_response};

use super::context::REQUEST_ID_HEADER;

/// `Retry-After` of refusals for conditions that may end soon.
pub(super) const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A refusal that is not yet bound to a request id.
///
/// Invariant: `outcome` is `NotRun` only if no byte of the request was sent to a backend server, or
/// if the backend server itself reported that it did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) kind: &'static str,
    pub(crate) title: &'static str,
    pub(crate) detail: String,
    pub(crate) outcome: ProblemReportOutcome,
    pub(crate) retry_after: Option<Duration>,
    /// Decision of the configuration, if it was evaluated.
    pub(crate) decision: Option<Box<DecisionTrace>>,
    /// Configuration revision that the decision is based on.
    pub(crate) revision: Option<Revision>,
    /// Whether the evidence already contains this refusal as the end of an accepted request.
    pub(crate) recorded: bool,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub(crate) fn not_run(
        status: StatusCode,
        kind: &'static str,
        title: &'static str,
        detail: String,
    ) -> Self {
        Self {
            status,
            kind,
            title,
            detail,
            outcome: ProblemReportOutcome::NotRun,
            retry_after: None,
            decision: None,
            revision: None,
            recorded: false,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub(crate) fn unknown(
        status: StatusCode,
        kind: &'static str,
        title: &'static str,
        detail: String,
    ) -> Self {
        let outcome = ProblemReportOutcome::Unknown;
        Self {
            outcome,
            ..Self::not_run(status, kind, title, detail)
        }
    }

    /// Sets the time after which the caller may resend the request.
    pub(crate) fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    pub(crate) fn unauthorized(detail: &str) -> Self {
        Self::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "Unknown caller",
            detail.to_owned(),
        )
    }

    pub(crate) fn method_not_allowed(allowed: &str) -> Self {
        let detail = format!("this path takes {allowed} only");
        Self::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            "Method not allowed",
            detail,
        )
    }

    pub(crate) fn no_such_path(path: &str) -> Self {
        let detail = format!(
            "`{path}` is no path of this router; /v1/completions, /v1/chat/completions and \
             /services/NAME/... are"
        );
        Self::not_run(StatusCode::NOT_FOUND, "path", "No such path", detail)
    }

    pub(crate) fn not_ready(reason: &str) -> Self {
        let detail = format!("this host takes no new work: {reason}");
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-ready",
            "Not ready",
            detail,
        )
        .retry_after(SHORT_RETRY_AFTER)
    }

    pub(crate) fn bad_body(failure: &ReadFailure) -> Self {
        let refusal = Self::not_run(
            failure.status(),
            "body",
            "Body not accepted",
            failure.to_string(),
        );
        match failure {
            ReadFailure::MemoryUsedUp => refusal.retry_after(SHORT_RETRY_AFTER),
            _ => refusal,
        }
    }

    pub(crate) fn no_pipeline(detail: String) -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-pipeline",
            "No backend server can run this",
            detail,
        )
        .retry_after(SHORT_RETRY_AFTER)
    }

    /// No answer was received after a part of the call had been sent.
    pub(crate) fn lost_answer(server: &ServerName, error: &ClientError) -> Self {
        let detail = format!(
            "{server}: {error}; whether the call ran is not known, so ask the service before \
             sending it again"
        );
        Self::unknown(
            StatusCode::BAD_GATEWAY,
            "lost-answer",
            "The answer was lost",
            detail,
        )
    }

    pub(crate) fn bad_key(limit: usize) -> Self {
        let detail = format!("`idempotency-key` takes 1 to {limit} visible ASCII characters");
        Self::not_run(StatusCode::BAD_REQUEST, "key", "Key not accepted", detail)
    }

    /// An earlier call with the same key may still be running.
    pub(crate) fn in_progress(request: &RequestId) -> Self {
        let detail = format!("request {request} took this key and is in progress; ask again later");
        Self::unknown(
            StatusCode::CONFLICT,
            "in-progress",
            "The call is in progress",
            detail,
        )
        .retry_after(SHORT_RETRY_AFTER)
    }

    /// The call with this key may have run, and its outcome can no longer be determined.
    pub(crate) fn may_have_run(request: &RequestId) -> Self {
        let detail = format!(
            "the call may have run as request {request}; it is not run again under this key, so \
             ask the service what became of it"
        );
        Self::unknown(
            StatusCode::CONFLICT,
            "unknown-outcome",
            "The outcome is not known",
            detail,
        )
    }

    /// Adds that `request` claimed the key earlier. This arrival did not run, but the call of the key
    /// may have run.
    pub(crate) fn with_earlier_arrival(mut self, request: &RequestId) -> Self {
        self.outcome = ProblemReportOutcome::Unknown;
        self.detail = format!(
            "{}; request {request} took this key before and may have run, so send the call again \
             under the same key only",
            self.detail
        );
        self
    }

    /// Whether the same request may be accepted later.
    pub(crate) fn is_temporary(&self) -> bool {
        [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ]
        .contains(&self.status)
    }

    /// The key belongs to a different call.
    pub(crate) fn key_reused(request: &RequestId) -> Self {
        let detail = format!("this key stands for another call, request {request}; take a new key");
        Self::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "Key stands for another call",
            detail,
        )
    }

    /// The call ran, but its answer was too long to store.
    pub(crate) fn answer_not_kept(status: u16) -> Self {
        let detail = format!(
            "the call ran and was answered with status {status}; the body was too long to keep"
        );
        Self::unknown(
            StatusCode::CONFLICT,
            "answer-not-kept",
            "The call ran already",
            detail,
        )
    }

    /// Admission refused the request; the status depends on the reason.
    pub(crate) fn not_admitted(refusal: &RequestRefusal) -> Self {
        let status = match refusal.reason {
            AdmissionRefusal::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            AdmissionRefusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            AdmissionRefusal::QueueFull
            | AdmissionRefusal::DeadlineUnreachable
            | AdmissionRefusal::TooManyCustomers => StatusCode::SERVICE_UNAVAILABLE,
        };
        let base = Self::not_run(status, "not-admitted", "Not admitted", refusal.to_string());
        Self {
            retry_after: refusal.retry_after,
            ..base
        }
    }

    /// Marks the refusal as already contained in the evidence as the end of its request.
    pub(crate) fn mark_recorded(mut self) -> Self {
        self.recorded = true;
        self
    }

    fn considered(&self) -> Vec<String> {
        let verdicts = self
            .decision
            .iter()
            .flat_map(|decision| &decision.considered);
        verdicts
            .map(|verdict| format!("{}: {}", verdict.selector, verdict.reason))
            .collect()
    }

    /// Builds the problem report for request `id`.
    pub(crate) fn report(&self, id: &RequestId) -> ProblemReport {
        ProblemReport {
            type_: format!("urn:pollendrift:problem:{}", self.kind),
            title: self.title.to_owned(),
            status: self.status.as_u16(),
            detail: self.detail.clone(),
            outcome: self.outcome,
            request_id: id.to_string(),
            considered: self.considered(),
        }
    }

    /// Builds the HTTP response to request `id`.
    pub(crate) fn response(&self, id: &RequestId) -> Response<ResponseBody> {
        let mut response = json_response(self.status, &self.report(id));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Ok(value) = HeaderValue::from_str(id.as_str()) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        if let Some(wait) = self.retry_after {
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(wait.as_secs().max(1)),
            );
        }
        response
    }
}
