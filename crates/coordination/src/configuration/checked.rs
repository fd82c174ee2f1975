//! One checked document, and those of the last text, so that an edit costs what it changes.

use std::collections::HashMap;
use std::sync::Arc;

use super::canonical::{write_rule, write_selector, write_source};
use super::model::{DocumentKey, LabelRule, PublishedSource, Selector};

/// What a document says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentContent {
    /// Labels on something.
    Rule(Arc<LabelRule>),
    /// A selector.
    Selector(Arc<Selector>),
    /// A published source.
    Source(Arc<PublishedSource>),
}

/// A document without findings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedDocument {
    /// What makes it the same document in another text.
    pub key: DocumentKey,
    /// Its canonical text.
    pub canonical: Arc<str>,
    /// What it says.
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

    /// A source that was read from its canonical text.
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
/// A document's meaning depends on its own text alone, so a text that was checked before need not
/// be read again. Reading YAML is most of the cost of a change; at 1,600 customers an edit touches
/// one document of thousands.
#[derive(Clone, Debug, Default)]
pub struct DocumentCache {
    documents: HashMap<Arc<str>, CachedDocument>,
}

/// A checked document and where it begins in its own text.
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

    /// Number of documents.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }
}
