//! Canonical text: one spelling for equal content, and its digest.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::checked::CheckedDocument;
use super::expression::{LabelExpression, RequirementTest};
use super::label::LabelValue;
use super::model::{DocumentKey, LabelRule, PublishedSource, Selector, SelectorTarget};
use crate::routes::SourceVersion;

/// Separates two documents in a YAML stream.
const DOCUMENT_SEPARATOR: &str = "---\n";

/// SHA-256 of a canonical text.
///
/// Human-readable formats such as JSON encode it in hexadecimal, binary formats as bytes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", hex(_0))]
pub struct ConfigurationDigest(pub [u8; 32]);

impl Serialize for ConfigurationDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ConfigurationDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let bytes: Vec<u8> = if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            let digit_pair = |start| text.get(start..start + 2);
            (0..text.len())
                .step_by(2)
                .filter_map(|start| u8::from_str_radix(digit_pair(start)?, 16).ok())
                .collect()
        } else {
            serde_bytes::ByteBuf::deserialize(deserializer)?.into_vec()
        };
        let digest = bytes.try_into().map(Self);
        digest.map_err(|_| serde::de::Error::custom("a digest holds 32 bytes"))
    }
}

impl ConfigurationDigest {
    /// Hashes `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Canonical texts of the documents of a configuration, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CanonicalText {
    documents: BTreeMap<DocumentKey, Arc<str>>,
}

impl CanonicalText {
    /// Collects the canonical texts of checked documents.
    pub(super) fn of(documents: &[Arc<CheckedDocument>]) -> Self {
        let texts = documents
            .iter()
            .map(|document| (document.key.clone(), document.canonical.clone()));
        Self {
            documents: texts.collect(),
        }
    }

    /// Canonical text of each document, in canonical order.
    pub fn documents(&self) -> &BTreeMap<DocumentKey, Arc<str>> {
        &self.documents
    }

    /// The complete text, a YAML stream that parses to the same configuration.
    pub fn text(&self) -> String {
        let texts: Vec<&str> = self.documents.values().map(AsRef::as_ref).collect();
        texts.join(DOCUMENT_SEPARATOR)
    }

    /// Digest of the complete text.
    pub fn digest(&self) -> ConfigurationDigest {
        let mut hasher = Sha256::new();
        let mut separator = "";
        for text in self.documents.values() {
            hasher.update(separator.as_bytes());
            hasher.update(text.as_bytes());
            separator = DOCUMENT_SEPARATOR;
        }
        ConfigurationDigest(hasher.finalize().into())
    }

    /// A copy of this text in which `source` replaces the published source.
    pub fn with_source(&self, source: &PublishedSource) -> Self {
        let mut changed = self.clone();
        let text = Arc::from(write_source(source));
        changed.documents.insert(DocumentKey::Source, text);
        changed
    }

    /// A copy that contains only the documents of `keys`.
    pub(super) fn subset(&self, keys: &BTreeSet<&DocumentKey>) -> Self {
        let subset = keys.iter().filter_map(|key| {
            let text = self.documents.get(*key)?;
            Some(((*key).clone(), text.clone()))
        });
        Self {
            documents: subset.collect(),
        }
    }

    /// Sets a document, or removes it if `text` is `None`; returns its previous text.
    pub(super) fn replace(
        &mut self,
        key: &DocumentKey,
        text: Option<Arc<str>>,
    ) -> Option<Arc<str>> {
        match text {
            Some(text) => self.documents.insert(key.clone(), text),
            None => self.documents.remove(key),
        }
    }
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

pub(super) fn write_rule(rule: &LabelRule) -> String {
    let mut text = format!("kind: labels\non: {}\n", rule.subject);
    if let Some(name) = &rule.name {
        let _ = writeln!(text, "name: {}", quoted(name.as_str()));
    }
    write_expression(&mut text, "match", &rule.matching);
    if rule.labels.is_empty() {
        text.push_str("labels: {}\n");
        return text;
    }
    text.push_str("labels:\n");
    for (key, value) in rule.labels.iter() {
        let _ = writeln!(
            text,
            "  {}: {}",
            quoted(key.as_str()),
            quoted(value.as_str())
        );
    }
    text
}

pub(super) fn write_selector(selector: &Selector) -> String {
    let mut text = format!("kind: selector\nname: {}\n", quoted(selector.name.as_str()));
    let _ = writeln!(text, "order: {}", selector.order);
    match &selector.target {
        SelectorTarget::Service(service) => {
            let _ = writeln!(text, "service: {}", quoted(service.as_str()));
        }
        SelectorTarget::Model {
            model,
            version,
            adapter,
        } => {
            let _ = writeln!(text, "model: {}", quoted(model.as_str()));
            if let Some(version) = version {
                let _ = writeln!(text, "version: {}", quoted(version.as_str()));
            }
            if let Some(adapter) = adapter {
                let _ = writeln!(text, "adapter: {}", quoted(adapter.as_str()));
            }
        }
    }
    write_expression(&mut text, "for", &selector.serves);
    write_expression(&mut text, "allow", &selector.allows);
    text
}

/// Canonical document text of a published source.
pub fn write_source(source: &PublishedSource) -> String {
    let version = source.version;
    format!(
        "kind: source\nversion: {version}\ntext: {}\n",
        quoted(&source.text)
    )
}

/// Parses the exact output of [`write_source`]; `None` for any other text.
///
/// A source of 1,400 routes is a scalar of half a megabyte, which every host reads at each change.
/// Read as one JSON string, it avoids the YAML reader, which scans each character several times.
pub(super) fn parse_canonical_source(text: &str) -> Option<PublishedSource> {
    let rest = text.strip_prefix("kind: source\nversion: ")?;
    let (version, rest) = rest.split_once('\n')?;
    let quoted = rest.strip_prefix("text: ")?.strip_suffix('\n')?;
    Some(PublishedSource {
        version: SourceVersion(version.parse().ok()?),
        text: serde_json::from_str::<String>(quoted).ok()?.into(),
    })
}

fn write_expression(text: &mut String, name: &str, expression: &LabelExpression) {
    if expression.is_empty() {
        return;
    }
    let _ = writeln!(text, "{name}:\n  matchExpressions:");
    for requirement in expression.requirements() {
        let key = quoted(requirement.key.as_str());
        let test = match &requirement.test {
            RequirementTest::In(values) => format!("In, values: [{}]", join_quoted(values)),
            RequirementTest::NotIn(values) => format!("NotIn, values: [{}]", join_quoted(values)),
            RequirementTest::Exists => "Exists".to_owned(),
            RequirementTest::DoesNotExist => "DoesNotExist".to_owned(),
            RequirementTest::Gt(bound) => format!("Gt, values: [{bound}]"),
            RequirementTest::Lt(bound) => format!("Lt, values: [{bound}]"),
        };
        let _ = writeln!(text, "    - {{key: {key}, operator: {test}}}");
    }
}

fn join_quoted<'a, V>(values: V) -> String
where
    V: IntoIterator<Item = &'a LabelValue>,
{
    let texts: Vec<String> = values.into_iter().map(|v| quoted(v.as_str())).collect();
    texts.join(", ")
}
