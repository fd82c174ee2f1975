//! What a load remembers of each request that it sent.

use pollendrift_border::ProblemReportOutcome;
use pollendrift_http::ClientError;
use serde::{Deserialize, Serialize};

use super::call::CallOutcome;
use crate::caller::DraftReply;

/// One request of a load, as one JSON line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRequest {
    /// Its `x-request-id`, which no other request bears.
    pub request: String,
    /// What the caller saw.
    pub seen: SeenOutcome,
    /// Tokens or, for a call, answers that came.
    pub received: usize,
    /// Entries at which the caller went on after its stream broke off.
    #[serde(default)]
    pub resumes: usize,
}

/// What the caller of one request saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeenOutcome {
    /// The connection broke, or the stream ended without its last event.
    Broken,
    /// The whole answer.
    Complete,
    /// An answer that began, then an error event.
    Incomplete,
    /// A refusal that says that the request did not run.
    NotRun,
    /// The entry could not be reached, so that the request never left.
    NotSent,
    /// An answer that says that the request may have run.
    Unknown,
}

impl SeenOutcome {
    /// What the caller of a draft saw.
    pub fn of_draft(reply: &Result<DraftReply, ClientError>) -> Self {
        match reply {
            Err(ClientError::NotSent { .. }) => Self::NotSent,
            Err(_) => Self::Broken,
            Ok(reply) => Self::of_reply(reply),
        }
    }

    /// What the caller of a plain service saw.
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
