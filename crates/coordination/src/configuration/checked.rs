//! Checked documents, and a cache of those of the last text, so that an edit is cheap to check.

use std::collections::HashMap;
use std::sync::Arc;

use super::canonical::{write_rule, write_selector, write_source};
use super::model::{DocumentKey, LabelRule, PublishedSource, Selector};

/// Parsed content of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentContent {
    /// A label rule.
    Rule(Arc<LabelRule>),
    /// A selector.
    Selector(Arc<Selector>),
    /// A published source.
    Source(Arc<PublishedSource>),
}

/// A document without findings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedDocument {
    /// Identifies the document across texts.
    pub key: DocumentKey,
    /// Canonical text of the document.
    pub canonical: Arc<str>,
    /// Parsed content.
    pub content: DocumentContent,
}

impl CheckedDocument {
    pub(super) fn rule(rule: LabelRule) -> Self {
        Self {
            key: rule.document_key(),
            canonical: Arc::from(write_rule(&rule)),
            content: DocumentContent::Rule(Arc::new(rule)),
        }
    }

    pub(super) fn selector(selector: Selector) -> Self {
        Self {
            key: selector.document_key(),
            canonical: Arc::from(write_selector(&selector)),
            content: DocumentContent::Selector(Arc::new(selector)),
        }
    }

    pub(super) fn source(source: PublishedSource) -> Self {
        let canonical = Arc::from(write_source(&source));
        Self::canonical_source(source, canonical)
    }

    /// A source whose canonical text is already known.
    pub(super) fn canonical_source(source: PublishedSource, canonical: Arc<str>) -> Self {
        Self {
            key: DocumentKey::Source,
            canonical,
            content: DocumentContent::Source(Arc::new(source)),
        }
    }
}

/// Checked documents by their exact text.
///
/// The content of a document depends only on its own text, so a document that was checked before is
/// not parsed again. Parsing YAML is most of the cost of a change; with 1,600 customers, an edit
/// changes one document of thousands.
#[derive(Clone, Debug, Default)]
pub struct DocumentCache {
    documents: HashMap<Arc<str>, CachedDocument>,
}

/// A checked document and its start position, relative to its own text.
#[derive(Clone, Debug)]
pub(super) struct CachedDocument {
    pub(super) document: Arc<CheckedDocument>,
    pub(super) line: u32,
    pub(super) column: u32,
}

impl DocumentCache {
    pub(super) fn get(&self, text: &str) -> Option<(&Arc<str>, &CachedDocument)> {
        self.documents.get_key_value(text)
    }

    pub(super) fn insert(&mut self, text: Arc<str>, document: CachedDocument) {
        self.documents.insert(text, document);
    }

    /// Number of cached documents.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether no document is cached.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }
}
