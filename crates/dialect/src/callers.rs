//! Requests of callers, and refusals to them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Response;
use http::request::Parts;
use pollendrift_coordination::base::{ModelName, PartName, RequestId};
use pollendrift_coordination::streams::EventId;
use serde::{Deserialize, Serialize};

/// Properties of a caller's request that the router uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identity of this attempt; a caller uses another one for each retry.
    pub attempt: RequestId,
    /// Host name in the request, without a port.
    pub host: Arc<str>,
    /// Path without the query.
    pub path: Arc<str>,
    /// API key of the customer; never forwarded.
    pub key: Option<Arc<str>>,
    /// Time that the caller waits for the response, measured from the arrival of the request head.
    pub timeout: Option<Duration>,
    /// Size of a draft; `None` for a call of a plain service.
    pub draft: Option<DraftSize>,
    /// Parts of the prompt that other requests may share, in order; empty if none is known. The last
    /// part of a prompt belongs to its request alone and is left out.
    pub shared_parts: Arc<[PartName]>,
    /// Model and all parts of the prompt as the caller sent them, the same in each attempt at a request;
    /// empty for a call of a plain service.
    pub prompt: Arc<str>,
    /// Last event that the caller received of an earlier response.
    pub resume_after: Option<EventId>,
}

/// Model and expected token counts of a draft.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DraftSize {
    /// Requested model.
    pub model: Option<ModelName>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub answer_tokens: u32,
    /// Number of tokens in the answer as estimated by the caller.
    pub expected_tokens: Option<u32>,
}

/// Reason why a request can't be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct CallerRequestError {
    /// Invalid part of the request, and the accepted form.
    pub reason: String,
}

/// Refusal that a caller receives instead of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRefusal {
    /// Kind of refusal, which states whether the request may have run.
    pub kind: RefusalKind,
    /// Reason for the caller and the log.
    pub reason: String,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Outcome of a request that gets no answer from a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalKind {
    /// The request has not run and never will; a retry may succeed.
    #[display("not-run")]
    NotRun,
    /// The request can't be decoded.
    #[display("malformed")]
    Malformed,
    /// The body exceeds the limit that operators set.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The body did not arrive in time; the request has not run and never will.
    #[display("too-slow")]
    TooSlow,
    /// The key belongs to no customer.
    #[display("unknown-key")]
    UnknownKey,
    /// No route matches the request.
    #[display("unknown-route")]
    UnknownRoute,
    /// The request may have run; no complete answer was received.
    #[display("unknown-outcome")]
    UnknownOutcome,
    /// The request may have run; its deadline passed before an answer was received.
    #[display("timed-out")]
    TimedOut,
}

/// Decodes requests of callers and encodes refusals to them.
pub trait CallerDialect: Send + Sync {
    /// Decodes the head of a request.
    ///
    /// # Errors
    /// Returns the invalid part of the head.
    fn read(&self, head: &Parts) -> Result<CallerRequest, CallerRequestError>;

    /// Encodes a refusal of the request with identity `attempt`; `None` if the identity is unknown.
    fn refuse(&self, refusal: &RelayRefusal, attempt: Option<&RequestId>) -> Response<Bytes>;

    /// Path on which the load balancer probes whether this host accepts requests.
    fn readiness_path(&self) -> &str;
}
