//! Bodies of the operators' HTTP interface, shared by the daemon and pollenctl.
//!
//! `docs/interfaces/operators.md` describes them. They are written here rather than generated, as
//! they nest findings, summaries and document keys of this crate, which a generated copy would
//! double.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::canonical::{CanonicalText, ContentDigest};
use super::change::{ChangeAnswer, ChangeConflict, ChangeSummary};
use super::change_log::{ChangeLog, InForceAnswer};
use super::facts::{RequestFacts, RequestTarget};
use super::select::SelectorExplanation;
use super::table::Configuration;
use crate::base::{
    AdapterName, ChangeId, CustomerName, FindingList, HostName, ModelName, Revision, SelectorName,
    ServerName, ServiceName, WallTime,
};

/// Most changes in one answer to `GET /operator/v1/history`.
pub const MAX_HISTORY_PAGE: usize = 1_000;

/// Body of `POST /operator/v1/changes`. The operator is named by the credential.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identity; a resend carries the same.
    pub change_id: ChangeId,
    /// Revision that the operator saw.
    pub based_on: Revision,
    /// The whole new configuration.
    pub text: Arc<str>,
}

/// Answer to `POST /operator/v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeReply {
    /// Status 200: it is in force from this revision on.
    Accepted {
        /// Number of the new configuration.
        revision: Revision,
        /// What is accepted but likely not meant.
        warnings: FindingList,
    },
    /// Status 409: another change went first.
    Conflict {
        /// What won, and how the refused text differs.
        conflict: Box<ChangeConflict>,
    },
    /// Status 422: the text is refused.
    Refused {
        /// All that is wrong with it.
        findings: FindingList,
    },
    /// Status 409: the change id stands for another change.
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
    /// HTTP status that the reply goes out with.
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
    /// Number of the configuration.
    pub revision: Revision,
    /// Digest of its canonical text, in hexadecimal.
    pub digest: String,
    /// Its text as the operator wrote it; canonical for a revision that is no longer in force.
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
    /// What was in force at the time that was asked for; absent without `at` or before the
    /// retained history.
    pub at: Option<InForceAnswer>,
    /// Revision in force at each daemon now; absent with `at`.
    pub daemons: Vec<DaemonRevision>,
}

/// Revision in force at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRevision {
    /// Its host.
    pub host: HostName,
    /// Revision that it serves by; absent where it has not been heard of.
    pub revision: Option<Revision>,
    /// Milliseconds since it was heard of; absent where it has not been.
    pub heard_ms_ago: Option<u64>,
}

/// Body of `POST /operator/v1/explain`: one of `model` and `service`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExplainBody {
    /// Whose request it would be.
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
    /// The facts that are asked about; `None` unless one of `model` and `service` is given.
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
    /// Configuration that was asked.
    pub revision: Revision,
    /// The selector that would serve the request.
    pub serves: Option<SelectorName>,
    /// All selectors in the order in which they are tried.
    pub selectors: Vec<ExplainedSelector>,
    /// Backend servers by the serving selector.
    pub servers: Vec<ExplainedServer>,
}

/// One selector's part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedSelector {
    /// The selector.
    pub selector: SelectorName,
    /// Its place in the order.
    pub order: u32,
    /// Why it does not match; absent if it does.
    pub reason: Option<String>,
}

/// One backend server's part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedServer {
    /// The backend server.
    pub server: ServerName,
    /// Why the selector does not allow it; absent if it does.
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
    /// Explains a request by a configuration; the caller adds the backend servers.
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
    /// The configuration in force, or a retained earlier one.
    pub fn of(changes: &ChangeLog, revision: Option<Revision>) -> Option<Self> {
        let asked = revision.unwrap_or(changes.revision());
        if asked == changes.revision() {
            return Some(Self::new(
                asked,
                changes.canonical().digest(),
                changes.text(),
            ));
        }
        let canonical: CanonicalText = changes.canonical_at(asked)?;
        let text = Arc::from(canonical.text());
        Some(Self::new(asked, canonical.digest(), &text))
    }

    fn new(revision: Revision, digest: ContentDigest, text: &Arc<str>) -> Self {
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
    /// What was in force at a time.
    pub fn at(changes: &ChangeLog, time: WallTime) -> Self {
        Self {
            at: changes.in_force_at(time),
            daemons: Vec::new(),
        }
    }
}
