//! Content of evidence records.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::chain::{ChainWriter, EvidenceDigest};
use crate::base::{
    AdapterName, AttemptNumber, ChangeId, ClaimKey, CustomerName, HostName, LayerRange, ModelName,
    OperatorName, RequestId, Revision, SelectorName, SequenceNumber, ServerName, TokenPosition,
    VersionName, WallTime,
};

/// Hashed content of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Process that wrote the record.
    pub writer: ChainWriter,
    /// Sequence number in the writer's chain, from 1.
    pub sequence: SequenceNumber,
    /// Digest of the previous record; zero for the first.
    pub previous: EvidenceDigest,
    /// Wall clock of the writer in milliseconds. Informational only: `sequence` defines the order.
    pub time: WallTime,
    /// Recorded event.
    pub event: EvidenceEvent,
}

/// Event of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "detail", rename_all = "kebab-case")]
pub enum EvidenceEvent {
    /// An operator's change was accepted or refused.
    ConfigurationChanged(ConfigurationChanged),
    /// Refusals that were only counted, because the buffer was full.
    RefusalsOmitted(RefusalsOmitted),
    /// A request was accepted.
    RequestBegun(RequestBegun),
    /// An accepted request ended.
    RequestFinished(RequestFinished),
    /// A request was refused.
    RequestRefused(RequestRefused),
    /// A keeper dropped old records.
    RetentionApplied(RetentionApplied),
    /// The writer put a revision in force.
    RevisionInForce(RevisionInForce),
}

/// Outcome of a request as its caller observed it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The caller closed the connection before the answer ended.
    #[display("caller-gone")]
    CallerGone,
    /// The complete answer was sent.
    #[display("complete")]
    Complete,
    /// The answer began and ended with an explicit error.
    #[display("incomplete")]
    Incomplete,
    /// The request provably did not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Length and digest of a body that is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyDigest {
    /// Length in bytes.
    pub bytes: u64,
    /// SHA-256 of the bytes.
    pub sha256: EvidenceDigest,
}

impl BodyDigest {
    /// Computes length and digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        Self {
            bytes: u64::try_from(body.len()).unwrap_or(u64::MAX),
            sha256: EvidenceDigest::new(Sha256::digest(body).into()),
        }
    }
}

/// Start of an accepted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBegun {
    /// Identity of the request.
    pub request: RequestId,
    /// Customer whose credential the request carried.
    pub customer: CustomerName,
    /// Method and path, without the query.
    pub operation: Arc<str>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<ClaimKey>,
    /// Body of the request.
    pub body: BodyDigest,
    /// Revision in force for the decision.
    pub revision: Revision,
    /// Selectors and labels of the decision.
    pub decision: DecisionTrace,
}

/// Selected and rejected selectors, and the labels that they evaluated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionTrace {
    /// Selector that serves the request; `None` if no selector does.
    pub selector: Option<SelectorName>,
    /// Labels that the selectors evaluated.
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
    /// Selectors that were considered and do not serve the request.
    pub considered: Vec<SelectorVerdict>,
}

/// Selector that does not serve a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelectorVerdict {
    /// Name of the selector.
    pub selector: SelectorName,
    /// Reason why it does not serve the request.
    pub reason: Arc<str>,
}

/// End of an accepted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFinished {
    /// Identity of the request.
    pub request: RequestId,
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Revision in force at the end.
    pub revision: Revision,
    /// Selector that served the request.
    pub selector: Option<SelectorName>,
    /// All attempts, in order.
    pub attempts: Vec<AttemptTrace>,
    /// Outcome that was reported to the caller.
    pub outcome: OutcomeKind,
    /// Justification of the outcome.
    pub reason: Arc<str>,
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Length and digest of the answer sent to the caller.
    pub answer: BodyDigest,
    /// Durations within the request.
    pub timings: RequestTimings,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTrace {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Model, for drafts.
    pub model: Option<ModelName>,
    /// Version of the weights, for drafts.
    pub version: Option<VersionName>,
    /// Adapter, if one was applied.
    pub adapter: Option<AdapterName>,
    /// Stages of the pipeline in the order of layers; one stage without layers for a plain service.
    pub stages: Vec<TracedStage>,
    /// First token position requested from this attempt.
    pub from: TokenPosition,
    /// Number of tokens of this attempt that were sent to the caller.
    pub tokens: u32,
    /// Reason why the attempt ended.
    pub ending: Arc<str>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TracedStage {
    /// Backend server of the stage.
    pub server: ServerName,
    /// Layers that the server ran; `None` for a plain service.
    pub layers: Option<LayerRange>,
}

/// Durations within a request, in microseconds of monotonic time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTimings {
    /// From the arrival to the first attempt.
    pub queued_us: u64,
    /// From the arrival to the first token or byte sent to the caller; 0 if none was sent.
    pub first_us: u64,
    /// From the arrival to the end.
    pub total_us: u64,
}

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefused {
    /// Identity of the request.
    pub request: RequestId,
    /// Customer; `None` if no credential was accepted.
    pub customer: Option<CustomerName>,
    /// Method and path, without the query.
    pub operation: Arc<str>,
    /// Body of the request, as far as it was received.
    pub body: BodyDigest,
    /// Revision in force for the refusal; `None` if the writer had none.
    pub revision: Option<Revision>,
    /// Selectors and labels of the decision.
    pub decision: DecisionTrace,
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Outcome that was reported to the caller.
    pub outcome: OutcomeKind,
    /// Kind of refusal, as in the problem document sent to the caller.
    pub kind: Arc<str>,
    /// Justification of the refusal.
    pub reason: Arc<str>,
}

/// Number of refusals without records of their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalsOmitted {
    /// Number of refusals.
    pub count: u64,
    /// Time of the first refusal.
    pub first: WallTime,
    /// Time of the last refusal.
    pub last: WallTime,
}

/// An operator's change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChanged {
    /// Identity of the change.
    pub change: ChangeId,
    /// Operator that sent the change.
    pub operator: OperatorName,
    /// Revision that the change was based on.
    pub based_on: Revision,
    /// Revision that the change created; `None` if it was refused.
    pub revision: Option<Revision>,
    /// Length and digest of the documents of the change.
    pub documents: BodyDigest,
    /// Names of the objects that the change sets or removes.
    #[serde(rename = "touched")]
    pub changed_objects: Vec<Arc<str>>,
    /// Reason of the refusal; empty if the change was accepted.
    pub reason: Arc<str>,
}

/// Records that a keeper dropped by retention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionApplied {
    /// Keeper that dropped the records.
    pub keeper: HostName,
    /// Chain from which records were dropped.
    pub chain: ChainWriter,
    /// Last dropped record.
    pub through: SequenceNumber,
    /// Digest of the last dropped record.
    pub digest: EvidenceDigest,
    /// Retention rule that applied.
    pub reason: Arc<str>,
}

/// Revision that the writer put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInForce {
    /// Number of the revision.
    pub revision: Revision,
}

impl EvidenceEvent {
    /// Request that the event is about.
    pub fn request(&self) -> Option<&RequestId> {
        match self {
            Self::RequestBegun(event) => Some(&event.request),
            Self::RequestFinished(event) => Some(&event.request),
            Self::RequestRefused(event) => Some(&event.request),
            _ => None,
        }
    }

    /// Customer that the event is about.
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::RequestBegun(event) => Some(&event.customer),
            Self::RequestFinished(event) => Some(&event.customer),
            Self::RequestRefused(event) => event.customer.as_ref(),
            _ => None,
        }
    }

    /// Outcome that was reported to the caller.
    pub fn outcome(&self) -> Option<OutcomeKind> {
        match self {
            Self::RequestFinished(event) => Some(event.outcome),
            Self::RequestRefused(event) => Some(event.outcome),
            _ => None,
        }
    }

    /// Selector that served the request.
    pub fn selector(&self) -> Option<&SelectorName> {
        match self {
            Self::RequestBegun(event) => event.decision.selector.as_ref(),
            Self::RequestFinished(event) => event.selector.as_ref(),
            Self::RequestRefused(event) => event.decision.selector.as_ref(),
            _ => None,
        }
    }
}
