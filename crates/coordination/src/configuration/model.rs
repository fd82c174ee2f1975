//! What operators write: label rules and selectors, checked and without places.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::expression::LabelExpression;
use super::label::{LabelSet, LabelSubject, NamePattern};
use crate::base::{AdapterName, ModelName, SelectorName, ServiceName, VersionName};
use crate::routes::SourceVersion;

/// Order of a selector that names none.
pub const DEFAULT_ORDER: u32 = 100;

/// Labels that operators put on what the rule names or matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LabelRule {
    /// What the labels are on.
    pub subject: LabelSubject,
    /// Names that the rule is for; `None` for all.
    pub name: Option<NamePattern>,
    /// Facts that must match besides.
    pub matching: LabelExpression,
    /// The labels.
    pub labels: LabelSet,
}

/// What makes two label rules the same document.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentKey {
    /// A label rule: its subject, name pattern and matching expression in canonical form.
    #[display("labels on {}", [subject.to_string().as_str(), name, matching].join(" ").trim_end())]
    Labels {
        /// What the labels are on.
        subject: LabelSubject,
        /// Name pattern; empty for all.
        name: String,
        /// Matching expression in canonical form.
        matching: String,
    },
    /// A selector, by its name.
    #[display("selector {_0}")]
    Selector(SelectorName),
    /// The published source.
    #[display("source")]
    Source,
}

/// A document that operators wrote in a platform's own form, kept as they sent it.
///
/// It stands beside labels and selectors in one configuration, so that it has a revision, a history
/// and a place in the evidence like them, and is read back just as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedSource {
    /// Version that its operators gave it.
    pub version: SourceVersion,
    /// The text.
    pub text: Arc<str>,
}

/// What a selector serves.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SelectorTarget {
    /// Pipelines over one model.
    #[display("model {model}")]
    Model {
        /// The model.
        model: ModelName,
        /// The version that every stage must hold; `None` leaves the choice to placement, still one
        /// version in a pipeline.
        version: Option<VersionName>,
        /// The adapter that is applied; requests that ask for another one are not served.
        adapter: Option<AdapterName>,
    },
    /// A plain service.
    #[display("service {_0}")]
    Service(ServiceName),
}

/// Which requests may be served by which backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// Unique name.
    pub name: SelectorName,
    /// Selectors are tried in rising order, those of one order by name.
    pub order: u32,
    /// What it serves.
    pub target: SelectorTarget,
    /// Requests that it is for, over request and customer labels.
    pub serves: LabelExpression,
    /// Backend servers that it allows, over their announced facts and labels.
    pub allows: LabelExpression,
}

impl Selector {
    /// Position among selectors: the lower is tried first.
    pub(super) fn rank(&self) -> (u32, &SelectorName) {
        (self.order, &self.name)
    }

    /// The document that this selector is.
    pub fn document_key(&self) -> DocumentKey {
        DocumentKey::Selector(self.name.clone())
    }
}

impl LabelRule {
    /// The document that this rule is.
    pub fn document_key(&self) -> DocumentKey {
        let matching: Vec<String> = self
            .matching
            .requirements()
            .map(ToString::to_string)
            .collect();
        DocumentKey::Labels {
            subject: self.subject,
            name: self
                .name
                .as_ref()
                .map_or_else(String::new, ToString::to_string),
            matching: matching.join("; "),
        }
    }

    /// How specific the rule is; labels of a more specific rule go over those of a less specific.
    pub(super) fn specificity(&self) -> (bool, usize, usize) {
        let exact = self.name.as_ref().is_some_and(NamePattern::is_exact);
        let literal = self.name.as_ref().map_or(0, NamePattern::literal_bytes);
        (exact, literal, self.matching.len())
    }
}
