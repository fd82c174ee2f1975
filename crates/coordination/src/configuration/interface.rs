//! Bodies of the operators' HTTP interface, shared by the daemon and pollenctl.
//!
//! `docs/interfaces/operators.md` describes them. They are written by hand instead of generated
//! because they contain findings, summaries and document keys of this crate, which generated code
//! would duplicate.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::canonical::{CanonicalText, ConfigurationDigest};
use super::change::{ChangeAnswer, ChangeConflict, ChangeSummary};
use super::change_log::{ChangeLog, InForceAnswer};
use super::facts::{RequestFacts, RequestTarget};
use super::select::SelectorExplanation;
use super::table::Configuration;
use crate::base::{
    AdapterName, ChangeId, CustomerName, FindingList, HostName, ModelName, Revision, SelectorName,
    ServerName, ServiceName, WallTime,
};

/// Maximum number of changes in one answer to `GET /operator/v1/history`.
pub const MAX_HISTORY_PAGE: usize = 1_000;

/// Body of `POST /operator/v1/changes`. The credential identifies the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identity of the change; a resend carries the same id.
    pub change_id: ChangeId,
    /// Revision that the operator edited.
    pub based_on: Revision,
    /// The complete new configuration, a YAML stream.
    pub text: Arc<str>,
}

/// Answer to `POST /operator/v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeReply {
    /// Status 200: the change is in force from this revision on.
    Accepted {
        /// Revision of the new configuration.
        revision: Revision,
        /// Findings on content that is accepted but probably unintended.
        warnings: FindingList,
    },
    /// Status 409: another change was accepted first.
    Conflict {
        /// The accepted change and the differences of the refused text.
        conflict: Box<ChangeConflict>,
    },
    /// Status 422: the text is refused.
    Refused {
        /// Findings of the text.
        findings: FindingList,
    },
    /// Status 409: the change id already belongs to another change.
    ChangeIdReused,
}

impl From<ChangeAnswer> for ChangeReply {
    fn from(answer: ChangeAnswer) -> Self {
        match answer {
            ChangeAnswer::Accepted { revision, warnings } => Self::Accepted { revision, warnings },
            ChangeAnswer::Conflict(conflict) => Self::Conflict { conflict },
            ChangeAnswer::Refused { findings } => Self::Refused { findings },
            ChangeAnswer::ChangeIdReused => Self::ChangeIdReused,
        }
    }
}

impl ChangeReply {
    /// HTTP status of the reply.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } | Self::ChangeIdReused => 409,
            Self::Refused { .. } => 422,
        }
    }
}

/// Answer to `GET /operator/v1/configuration`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Digest of its canonical text, in hexadecimal.
    pub digest: String,
    /// Text as the operator wrote it; the canonical text for a revision that is no longer in force.
    pub text: Arc<str>,
}

/// Answer to `GET /operator/v1/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// Accepted changes, newest first.
    pub changes: Vec<ChangeSummary>,
}

/// Answer to `GET /operator/v1/in-force`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct InForceView {
    /// Configuration in force at the requested time; absent without the parameter `at` and for a
    /// time before the retained history.
    pub at: Option<InForceAnswer>,
    /// Revision in force at each daemon now; empty with the parameter `at`.
    pub daemons: Vec<DaemonRevision>,
}

/// Revision in force at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRevision {
    /// Host of the daemon.
    pub host: HostName,
    /// Revision that it applies; absent if it has not reported one.
    pub revision: Option<Revision>,
    /// Milliseconds since its last report; absent if it has not reported.
    pub heard_ms_ago: Option<u64>,
}

/// Body of `POST /operator/v1/explain`, with either `model` or `service`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExplainBody {
    /// Customer of the hypothetical request.
    pub customer: String,
    /// Model of a draft.
    pub model: Option<String>,
    /// Adapter of a draft.
    pub adapter: Option<String>,
    /// Plain service.
    pub service: Option<String>,
    /// Path of the request.
    pub path: String,
    /// Further attributes, such as `header.x-class`.
    pub attributes: BTreeMap<Arc<str>, Arc<str>>,
}

impl ExplainBody {
    /// Facts of the hypothetical request; `None` unless exactly one of `model` and `service` is
    /// given.
    pub fn facts(&self) -> Option<RequestFacts> {
        let target = match (&self.model, &self.service) {
            (Some(model), None) => RequestTarget::Model {
                model: ModelName::from(model.as_str()),
                adapter: self.adapter.as_deref().map(AdapterName::from),
            },
            (None, Some(service)) => RequestTarget::Service(ServiceName::from(service.as_str())),
            _ => return None,
        };
        Some(RequestFacts {
            customer: CustomerName::from(self.customer.as_str()),
            target,
            path: Arc::from(self.path.as_str()),
            attributes: self.attributes.clone(),
        })
    }
}

/// Answer to `POST /operator/v1/explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainView {
    /// Revision of the configuration that gives the explanation.
    pub revision: Revision,
    /// The selector that would serve the request.
    pub serves: Option<SelectorName>,
    /// All selectors in the order in which they are tried.
    pub selectors: Vec<ExplainedSelector>,
    /// Backend servers, checked against the selector that serves the request.
    pub servers: Vec<ExplainedServer>,
}

/// Result of matching one selector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedSelector {
    /// Name of the selector.
    pub selector: SelectorName,
    /// Order of the selector; lower orders are tried first.
    pub order: u32,
    /// Reason for the mismatch; absent if the selector matches.
    pub reason: Option<String>,
}

/// Result of checking one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedServer {
    /// Name of the backend server.
    pub server: ServerName,
    /// Reason why the selector does not allow it; absent if the selector allows it.
    pub reason: Option<String>,
}

impl From<SelectorExplanation> for ExplainedSelector {
    fn from(explanation: SelectorExplanation) -> Self {
        Self {
            selector: explanation.selector,
            order: explanation.order,
            reason: explanation.mismatch.map(|mismatch| mismatch.to_string()),
        }
    }
}

impl ExplainView {
    /// Matches a request against every selector; the caller adds the backend servers.
    pub fn of(configuration: &Configuration, facts: &RequestFacts) -> Self {
        let explained = configuration.explain(facts);
        let serving = explained.iter().find(|entry| entry.serves);
        Self {
            revision: configuration.revision(),
            serves: serving.map(|entry| entry.selector.clone()),
            selectors: explained.into_iter().map(Into::into).collect(),
            servers: Vec::new(),
        }
    }
}

impl ConfigurationView {
    /// The configuration in force, or that of `revision`; `None` if it is not retained.
    pub fn of(changes: &ChangeLog, revision: Option<Revision>) -> Option<Self> {
        let requested = revision.unwrap_or(changes.revision());
        if requested == changes.revision() {
            return Some(Self::new(
                requested,
                changes.canonical().digest(),
                changes.text(),
            ));
        }
        let canonical: CanonicalText = changes.canonical_at(requested)?;
        let text = Arc::from(canonical.text());
        Some(Self::new(requested, canonical.digest(), &text))
    }

    fn new(revision: Revision, digest: ConfigurationDigest, text: &Arc<str>) -> Self {
        Self {
            revision,
            digest: digest.to_string(),
            text: text.clone(),
        }
    }
}

impl HistoryView {
    /// At most `limit` changes below revision `before`, newest first.
    pub fn of(changes: &ChangeLog, before: Option<Revision>, limit: usize) -> Self {
        let page = changes
            .history()
            .filter(|change| before.is_none_or(|before| change.revision < before))
            .take(limit.min(MAX_HISTORY_PAGE));
        Self {
            changes: page.cloned().collect(),
        }
    }
}

impl InForceView {
    /// Configuration in force at `time`, without daemons.
    pub fn at(changes: &ChangeLog, time: WallTime) -> Self {
        Self {
            at: changes.in_force_at(time),
            daemons: Vec::new(),
        }
    }
}
