//! What one record says.

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

/// One record, as it is hashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// The process that wrote it.
    pub writer: ChainWriter,
    /// Its number in the chain of the writer, from 1.
    pub sequence: SequenceNumber,
    /// Digest of the record before it; zero for the first.
    pub previous: EvidenceDigest,
    /// Wall clock of the writer in milliseconds. For people only: order comes from `sequence`.
    pub time: WallTime,
    /// What happened.
    pub event: EvidenceEvent,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "detail", rename_all = "kebab-case")]
pub enum EvidenceEvent {
    /// An operator's change was accepted or refused.
    ConfigurationChanged(ConfigurationChanged),
    /// Refusals that were not recorded singly, because the buffer was full.
    RefusalsOmitted(RefusalsOmitted),
    /// A request was taken on.
    RequestBegun(RequestBegun),
    /// A request that had been taken on came to its end.
    RequestFinished(RequestFinished),
    /// A request was refused.
    RequestRefused(RequestRefused),
    /// A keeper dropped old records.
    RetentionApplied(RetentionApplied),
    /// The writer put a revision in force.
    RevisionInForce(RevisionInForce),
}

/// What a caller was told, or could see.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The caller closed the connection before the end.
    #[display("caller-gone")]
    CallerGone,
    /// The whole answer was sent.
    #[display("complete")]
    Complete,
    /// An answer had begun and ended in an explicit error.
    #[display("incomplete")]
    Incomplete,
    /// It is proved that the request did not run.
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
    /// Length and digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        Self {
            bytes: u64::try_from(body.len()).unwrap_or(u64::MAX),
            sha256: EvidenceDigest::new(Sha256::digest(body).into()),
        }
    }
}

/// A request that was taken on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBegun {
    /// The request.
    pub request: RequestId,
    /// The customer whose credential it bore.
    pub customer: CustomerName,
    /// Method and path, without the query.
    pub operation: Arc<str>,
    /// Idempotency key, if the caller gave one.
    pub key: Option<ClaimKey>,
    /// Body of the request.
    pub body: BodyDigest,
    /// Revision by which it was decided.
    pub revision: Revision,
    /// What decided.
    pub decision: DecisionTrace,
}

/// The selector and the labels that decided, and the selectors that did not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionTrace {
    /// Selector that serves the request; `None` if none does.
    pub selector: Option<SelectorName>,
    /// Labels that the selectors looked at.
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
    /// Selectors that were considered and do not serve it.
    pub considered: Vec<SelectorVerdict>,
}

/// Why a selector does not serve a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelectorVerdict {
    /// The selector.
    pub selector: SelectorName,
    /// Why not.
    pub reason: Arc<str>,
}

/// A request that came to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFinished {
    /// The request.
    pub request: RequestId,
    /// The customer.
    pub customer: CustomerName,
    /// Revision in force at the end.
    pub revision: Revision,
    /// Selector that served it.
    pub selector: Option<SelectorName>,
    /// Every attempt, in order.
    pub attempts: Vec<AttemptTrace>,
    /// What the caller was told.
    pub outcome: OutcomeKind,
    /// Why the outcome is true.
    pub reason: Arc<str>,
    /// HTTP status that the caller saw.
    pub status: u16,
    /// What was sent to the caller.
    pub answer: BodyDigest,
    /// How long it took.
    pub timings: RequestTimings,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTrace {
    /// Its number.
    pub attempt: AttemptNumber,
    /// Model, for drafts.
    pub model: Option<ModelName>,
    /// Version of the weights, for drafts.
    pub version: Option<VersionName>,
    /// Adapter, if one was applied.
    pub adapter: Option<AdapterName>,
    /// The pipeline, in the order of its layers; one stage without layers for a plain service.
    pub stages: Vec<RouteStage>,
    /// First token position that this attempt was asked for.
    pub from: TokenPosition,
    /// Tokens of this attempt that reached the caller.
    pub tokens: u32,
    /// How it ended.
    pub ending: Arc<str>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStage {
    /// Backend server.
    pub server: ServerName,
    /// Layers that it ran; `None` for a plain service.
    pub layers: Option<LayerRange>,
}

/// Durations within a request, in microseconds of monotonic time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTimings {
    /// From the arrival to the first attempt.
    pub queued_us: u64,
    /// From the arrival to the first token or byte to the caller; 0 if there was none.
    pub first_us: u64,
    /// From the arrival to the end.
    pub total_us: u64,
}

/// A request that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefused {
    /// The request.
    pub request: RequestId,
    /// The customer; `None` if no credential was accepted.
    pub customer: Option<CustomerName>,
    /// Method and path, without the query.
    pub operation: Arc<str>,
    /// Body of the request, as far as it was read.
    pub body: BodyDigest,
    /// Revision by which it was refused; `None` if the writer had none.
    pub revision: Option<Revision>,
    /// What decided.
    pub decision: DecisionTrace,
    /// HTTP status that the caller saw.
    pub status: u16,
    /// What the caller was told.
    pub outcome: OutcomeKind,
    /// Kind of refusal, as in the problem document.
    pub kind: Arc<str>,
    /// Why the refusal is true.
    pub reason: Arc<str>,
}

/// Refusals that were counted instead of being recorded singly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalsOmitted {
    /// How many.
    pub count: u64,
    /// Time of the first.
    pub first: WallTime,
    /// Time of the last.
    pub last: WallTime,
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChanged {
    /// Identity of the change.
    pub change: ChangeId,
    /// Who sent it.
    pub operator: OperatorName,
    /// Revision that it was based on.
    pub based_on: Revision,
    /// Revision that it became; `None` if it was refused.
    pub revision: Option<Revision>,
    /// The documents of the change.
    pub documents: BodyDigest,
    /// Names of what it sets or removes.
    pub touched: Vec<Arc<str>>,
    /// Why it was refused; empty if it was accepted.
    pub reason: Arc<str>,
}

/// Records that a keeper dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionApplied {
    /// The keeper.
    pub keeper: HostName,
    /// Chain from which records were dropped.
    pub chain: ChainWriter,
    /// Last dropped record.
    pub through: SequenceNumber,
    /// Digest of the last dropped record.
    pub digest: EvidenceDigest,
    /// Rule that made them old.
    pub reason: Arc<str>,
}

/// A revision that the writer put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInForce {
    /// The revision.
    pub revision: Revision,
}

impl EvidenceEvent {
    /// The request that the event speaks of.
    pub fn request(&self) -> Option<&RequestId> {
        match self {
            Self::RequestBegun(event) => Some(&event.request),
            Self::RequestFinished(event) => Some(&event.request),
            Self::RequestRefused(event) => Some(&event.request),
            _ => None,
        }
    }

    /// The customer that the event speaks of.
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::RequestBegun(event) => Some(&event.customer),
            Self::RequestFinished(event) => Some(&event.customer),
            Self::RequestRefused(event) => event.customer.as_ref(),
            _ => None,
        }
    }

    /// The outcome that a caller was told.
    pub fn outcome(&self) -> Option<OutcomeKind> {
        match self {
            Self::RequestFinished(event) => Some(event.outcome),
            Self::RequestRefused(event) => Some(event.outcome),
            _ => None,
        }
    }

    /// The selector that served the request.
    pub fn selector(&self) -> Option<&SelectorName> {
        match self {
            Self::RequestBegun(event) => event.decision.selector.as_ref(),
            Self::RequestFinished(event) => event.selector.as_ref(),
            Self::RequestRefused(event) => event.decision.selector.as_ref(),
            _ => None,
        }
    }
}
