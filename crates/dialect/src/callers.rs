//! What callers ask, and how they are refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Response;
use http::request::Parts;
use pollendrift_coordination::base::{ModelName, RequestId};
use pollendrift_coordination::streams::EventId;

/// A caller's request, as far as the router decides on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identity of this attempt of the caller; a caller that tries again takes another.
    pub attempt: RequestId,
    /// Host that the request names, without a port.
    pub host: Arc<str>,
    /// Path, without the query.
    pub path: Arc<str>,
    /// Key that names the customer; never sent on.
    pub key: Option<Arc<str>>,
    /// Time that the caller will wait, counted from the arrival of the head.
    pub timeout: Option<Duration>,
    /// Size of a draft; `None` for a call of a plain service.
    pub draft: Option<DraftSize>,
    /// Last event that the caller holds of an earlier answer.
    pub resume_after: Option<EventId>,
}

/// What a draft is expected to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DraftSize {
    /// Model that is asked for.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Tokens of the answer by the caller's own estimate.
    pub expected_tokens: Option<u32>,
}

/// Why a request can't be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct CallerRequestError {
    /// What is wrong, and what is accepted.
    pub reason: String,
}

/// What a caller is told in place of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRefusal {
    /// What is known of the request.
    pub kind: RefusalKind,
    /// Why, for the caller and the log.
    pub reason: String,
    /// When it is worth trying again.
    pub retry_after: Option<Duration>,
}

/// What is known of a request that gets no answer of a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalKind {
    /// It has not run and never will; another attempt may be served.
    #[display("not-run")]
    NotRun,
    /// It can't be read.
    #[display("malformed")]
    Malformed,
    /// Its body is larger than operators allow.
    #[display("body-too-large")]
    BodyTooLarge,
    /// Its key names no customer.
    #[display("unknown-key")]
    UnknownKey,
    /// No route serves it.
    #[display("unknown-route")]
    UnknownRoute,
    /// It may have run; no whole answer came.
    #[display("unknown-outcome")]
    UnknownOutcome,
    /// It may have run; its time was over before an answer came.
    #[display("timed-out")]
    TimedOut,
}

/// How callers speak.
pub trait CallerDialect: Send + Sync {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// All that is wrong with it.
    fn read(&self, head: &Parts) -> Result<CallerRequest, CallerRequestError>;

    /// Writes a refusal of the request with identity `attempt`, where one could be read.
    fn refuse(&self, refusal: &RelayRefusal, attempt: Option<&RequestId>) -> Response<Bytes>;

    /// Path on which the balancer asks whether this host takes requests.
    fn readiness_path(&self) -> &str;
}
