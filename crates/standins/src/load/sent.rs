//! Record of each request that a load sent.

use pollendrift_border::ProblemReportOutcome;
use pollendrift_http::ClientError;
use serde::{Deserialize, Serialize};

use super::call::CallOutcome;
use crate::caller::DraftReply;

/// One request of a load; serialized as one JSON line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRequest {
    /// Unique `x-request-id` of the request.
    pub request: String,
    /// Outcome that the caller observed.
    #[serde(rename = "seen")]
    pub observed: ObservedOutcome,
    /// Received tokens or, for a call, received answers.
    pub received: usize,
    /// Entries that resumed the stream after an interruption.
    #[serde(default)]
    pub resumes: usize,
}

/// Outcome of one request as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObservedOutcome {
    /// The connection broke, or the stream ended without its last event.
    Broken,
    /// A complete answer.
    Complete,
    /// An answer that began, then an error event.
    Incomplete,
    /// A refusal that states that the request did not run.
    NotRun,
    /// The entry was unreachable and the request was not sent.
    NotSent,
    /// An answer that states that the request may have run.
    Unknown,
}

impl ObservedOutcome {
    /// Outcome of a draft.
    pub fn of_draft(reply: &Result<DraftReply, ClientError>) -> Self {
        match reply {
            Err(ClientError::NotSent { .. }) => Self::NotSent,
            Err(_) => Self::Broken,
            Ok(reply) => Self::of_reply(reply),
        }
    }

    /// Outcome of a call of a plain service.
    pub fn of_call(outcome: &CallOutcome) -> Self {
        match outcome {
            CallOutcome::Answered(_) => Self::Complete,
            CallOutcome::Broken(_) => Self::Broken,
            CallOutcome::NotRun(_) => Self::NotRun,
            CallOutcome::NotSent(_) => Self::NotSent,
            CallOutcome::Unknown(_) => Self::Unknown,
        }
    }

    fn of_reply(reply: &DraftReply) -> Self {
        match &reply.refusal {
            Some(_) if !reply.texts.is_empty() => Self::Incomplete,
            Some(report) if report.outcome == ProblemReportOutcome::NotRun => Self::NotRun,
            Some(_) => Self::Unknown,
            None if reply.complete => Self::Complete,
            None => Self::Broken,
        }
    }
}
