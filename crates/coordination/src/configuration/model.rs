//! Documents of a configuration: checked label rules, selectors and sources, without locations.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::expression::LabelExpression;
use super::label::{LabelSet, LabelSubject, NamePattern};
use crate::base::{AdapterName, ModelName, SelectorName, ServiceName, VersionName};
use crate::routes::SourceVersion;

/// Order of a selector without an `order` field.
pub const DEFAULT_ORDER: u32 = 100;

/// Labels that operators set on the objects that the rule names or matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LabelRule {
    /// Kind of object that carries the labels.
    pub subject: LabelSubject,
    /// Names that the rule applies to; `None` for all.
    pub name: Option<NamePattern>,
    /// Requirements on facts that must hold as well.
    pub matching: LabelExpression,
    /// Labels that the rule sets.
    pub labels: LabelSet,
}

/// Identity of a document within a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentKey {
    /// A label rule, identified by its subject, name pattern and matching expression.
    #[display("labels on {}", [subject.to_string().as_str(), name, matching].join(" ").trim_end())]
    Labels {
        /// Kind of object that carries the labels.
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

/// The published source: a text in the format of the deployment that uses the library, stored
/// exactly as operators sent it.
///
/// It is part of the configuration like labels and selectors, so that it has a revision, a history
/// and evidence records as well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedSource {
    /// Version that operators assigned.
    pub version: SourceVersion,
    /// Text of the document, as operators sent it.
    pub text: Arc<str>,
}

/// Model or service that a selector serves.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SelectorTarget {
    /// Pipelines over one model.
    #[display("model {model}")]
    Model {
        /// Name of the model.
        model: ModelName,
        /// Version that every stage must hold. `None` leaves the choice to placement; a pipeline
        /// still holds a single version.
        version: Option<VersionName>,
        /// Adapter that is applied; requests that name another one are not served.
        adapter: Option<AdapterName>,
    },
    /// A plain service.
    #[display("service {_0}")]
    Service(ServiceName),
}

/// Rule that allows backend servers to serve matching requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// Unique name.
    pub name: SelectorName,
    /// Selectors are tried in ascending order; those of equal order are tried by name.
    pub order: u32,
    /// Model or service that it serves.
    pub target: SelectorTarget,
    /// Requirements on the labels of the request and its customer.
    pub serves: LabelExpression,
    /// Requirements on the announced facts and labels of backend servers.
    pub allows: LabelExpression,
}

impl Selector {
    /// Sort key of a selector; selectors of lower rank are tried first.
    pub(super) fn rank(&self) -> (u32, &SelectorName) {
        (self.order, &self.name)
    }

    /// Key of the selector's document.
    pub fn document_key(&self) -> DocumentKey {
        DocumentKey::Selector(self.name.clone())
    }
}

impl LabelRule {
    /// Key of the rule's document.
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

    /// Sort key of a rule: exact names, then pattern length, then requirement count. Labels of a
    /// more specific rule override those of a less specific one.
    pub(super) fn specificity(&self) -> (bool, usize, usize) {
        let exact = self.name.as_ref().is_some_and(NamePattern::is_exact);
        let literal = self.name.as_ref().map_or(0, NamePattern::literal_bytes);
        (exact, literal, self.matching.len())
    }
}
