//! Parses and checks a complete configuration text, and reports all findings together.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::canonical::{CanonicalText, parse_canonical_source};
use super::checked::{CachedDocument, CheckedDocument, DocumentCache, DocumentContent};
use super::chunk::{TextChunk, split_documents};
use super::document::{LocatedNode, MAX_DOCUMENTS, MAX_TEXT_BYTES, read_chunk, whole_file};
use super::label::{
    KEY_RULE, LabelKey, LabelSet, LabelSubject, LabelValue, NamePattern, VALUE_RULE,
};
use super::label_settings::check_label;
use super::lint::warn_selectors;
use super::model::{
    DEFAULT_ORDER, DocumentKey, LabelRule, PublishedSource, Selector, SelectorTarget,
};
use super::parse_expression::read_expression;
use super::reader::{FieldReader, LocatedText};
use crate::base::{FindingList, Place};
use crate::routes::SourceVersion;

const KIND_RULE: &str = "kind: labels, kind: selector or kind: source";
const MAX_ORDER: u32 = 1_000_000;

/// A checked configuration text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParsedConfiguration {
    documents: Vec<Arc<CheckedDocument>>,
    canonical: CanonicalText,
    /// Findings on content that is accepted but probably unintended.
    pub warnings: FindingList,
}

impl ParsedConfiguration {
    /// Parses and checks `text`; the location of each finding names `file`.
    ///
    /// # Errors
    /// All findings, including warnings, if any of them is an error.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        Self::parse_after(file, text, &mut DocumentCache::default())
    }

    /// Checks `text`, but parses only documents that `cache` does not contain. The result equals
    /// that of [`ParsedConfiguration::parse`]. The documents of a valid text replace the cache.
    ///
    /// # Errors
    /// All findings, including warnings, if any of them is an error; the cache is unchanged.
    pub fn parse_after(
        file: &str,
        text: &str,
        cache: &mut DocumentCache,
    ) -> Result<Self, FindingList> {
        let file: Arc<str> = Arc::from(file);
        let chunks = bounded_chunks(&file, text)?;
        let mut reader = ConfigurationReader::default();
        for chunk in chunks {
            reader.read_chunk(&file, chunk, cache);
        }
        let next = std::mem::take(&mut reader.cache);
        let parsed = reader.finish(&file)?;
        *cache = next;
        Ok(parsed)
    }

    /// The canonical text, which is equal for equal content regardless of order and spelling.
    pub fn canonical(&self) -> &CanonicalText {
        &self.canonical
    }

    /// Label rules, in the order of the text.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<LabelRule>> {
        self.documents
            .iter()
            .filter_map(|document| match &document.content {
                DocumentContent::Rule(rule) => Some(rule),
                DocumentContent::Selector(_) | DocumentContent::Source(_) => None,
            })
    }

    /// Selectors, in the order of the text.
    pub fn selectors(&self) -> impl Iterator<Item = &Arc<Selector>> {
        self.documents
            .iter()
            .filter_map(|document| match &document.content {
                DocumentContent::Selector(selector) => Some(selector),
                DocumentContent::Rule(_) | DocumentContent::Source(_) => None,
            })
    }

    /// The published source, if there is one.
    pub fn source(&self) -> Option<&Arc<PublishedSource>> {
        self.documents
            .iter()
            .find_map(|document| match &document.content {
                DocumentContent::Source(source) => Some(source),
                DocumentContent::Rule(_) | DocumentContent::Selector(_) => None,
            })
    }
}

/// Splits a text into documents; a text over a limit is refused with a finding.
fn bounded_chunks<'a>(file: &Arc<str>, text: &'a str) -> Result<Vec<TextChunk<'a>>, FindingList> {
    let mut findings = FindingList::default();
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("the text holds {} bytes", text.len());
        let expected = format!("at most {MAX_TEXT_BYTES} bytes");
        findings.error(whole_file(file), message, expected);
        return Err(findings);
    }
    let chunks = split_documents(text);
    if chunks.len() > MAX_DOCUMENTS {
        let message = format!("the text holds {} documents", chunks.len());
        let expected = format!("at most {MAX_DOCUMENTS} documents");
        findings.error(whole_file(file), message, expected);
        return Err(findings);
    }
    Ok(chunks)
}

#[derive(Default)]
struct ConfigurationReader {
    documents: Vec<Arc<CheckedDocument>>,
    /// Start of each document in `documents`.
    document_places: Vec<Place>,
    places: BTreeMap<DocumentKey, Place>,
    findings: FindingList,
    cache: DocumentCache,
}

impl ConfigurationReader {
    fn finish(mut self, file: &Arc<str>) -> Result<ParsedConfiguration, FindingList> {
        warn_selectors(&self.documents, &self.document_places, &mut self.findings);
        if self.findings.has_errors() {
            return Err(self.findings);
        }
        let parsed = ParsedConfiguration {
            canonical: CanonicalText::of(&self.documents),
            documents: self.documents,
            warnings: self.findings,
        };
        check_canonical_size(parsed, file)
    }

    fn read_chunk(&mut self, file: &Arc<str>, chunk: TextChunk<'_>, cache: &DocumentCache) {
        // Sources are not cached: a cache lookup costs as much as parsing the source.
        if let Some(source) = parse_canonical_source(chunk.text) {
            let place = Place {
                file: file.clone(),
                line: chunk.first_line,
                column: 1,
            };
            let document = CheckedDocument::canonical_source(source, chunk.text.into());
            self.add(Arc::new(document), place);
            return;
        }
        if let Some((text, cached)) = cache.get(chunk.text) {
            let place = Place {
                file: file.clone(),
                line: cached.line.saturating_add(chunk.first_line - 1),
                column: cached.column,
            };
            self.cache.insert(text.clone(), cached.clone());
            self.add(cached.document.clone(), place);
            return;
        }
        let earlier = std::mem::take(&mut self.findings);
        let nodes = read_chunk(file, chunk, &mut self.findings);
        let is_single = nodes.len() == 1;
        for node in nodes {
            let place = node.place.clone();
            let Some(document) = self.read_document(node) else {
                continue;
            };
            let document = Arc::new(document);
            if is_single && self.findings.is_empty() {
                let cached = CachedDocument {
                    document: document.clone(),
                    line: place.line.saturating_sub(chunk.first_line - 1),
                    column: place.column,
                };
                self.cache.insert(Arc::from(chunk.text), cached);
            }
            self.add(document, place);
        }
        let own = std::mem::replace(&mut self.findings, earlier);
        self.findings.extend(own);
    }

    /// Adds a document; one whose key already exists adds a finding instead.
    fn add(&mut self, document: Arc<CheckedDocument>, place: Place) {
        let key = &document.key;
        if let Some(first) = self.places.get(key) {
            let message = format!("{key} is already given in line {}", first.line);
            self.findings.error(place, message, "each document once");
            return;
        }
        self.places.insert(key.clone(), place.clone());
        self.documents.push(document);
        self.document_places.push(place);
    }

    fn read_document(&mut self, node: LocatedNode) -> Option<CheckedDocument> {
        let mut reader = FieldReader::open(node, "the document", &mut self.findings)?;
        let kind = reader.require_text("kind", KIND_RULE, &mut self.findings)?;
        match kind.text.as_str() {
            "labels" => self.read_labels(reader).map(CheckedDocument::rule),
            "selector" => self.read_selector(reader).map(CheckedDocument::selector),
            "source" => self.read_source(reader).map(CheckedDocument::source),
            other => {
                let message = format!("there is no kind {other}");
                self.findings.error(kind.place, message, KIND_RULE);
                None
            }
        }
    }

    fn read_labels(&mut self, mut reader: FieldReader) -> Option<LabelRule> {
        let place = reader.place().clone();
        let subject = self.read_subject(&mut reader);
        let name = self.read_name(&mut reader, subject);
        let matching = read_expression(reader.take("match"), &mut self.findings);
        let labels = self.read_label_set(&mut reader, subject);
        let has_condition = name.is_some() || !matching.is_empty();
        reader.close(&mut self.findings);
        let subject = subject?;
        if subject == LabelSubject::Customer && !matching.is_empty() {
            let message = "match has no meaning on a customer";
            self.findings
                .error(place.clone(), message, "name: a customer or a pattern");
        }
        if subject != LabelSubject::Request && !has_condition {
            let message = format!("the {subject} is not named");
            self.findings
                .error(place.clone(), message, "name: a name or a pattern with *");
        }
        Some(LabelRule {
            subject,
            name,
            matching,
            labels,
        })
    }

    fn read_subject(&mut self, reader: &mut FieldReader) -> Option<LabelSubject> {
        let text = reader.require_text("on", LabelSubject::NAMES, &mut self.findings)?;
        let subject = LabelSubject::from_name(&text.text);
        if subject.is_none() {
            let message = format!("labels can't be on {}", text.text);
            self.findings
                .error(text.place, message, LabelSubject::NAMES);
        }
        subject
    }

    fn read_name(
        &mut self,
        reader: &mut FieldReader,
        subject: Option<LabelSubject>,
    ) -> Option<NamePattern> {
        let text = reader.take_text("name", &mut self.findings)?;
        if subject == Some(LabelSubject::Request) {
            let message = "a request has no name";
            self.findings
                .error(text.place, message, "match: over the request's attributes");
            return None;
        }
        let pattern = NamePattern::new(&text.text);
        if pattern.is_none() {
            self.findings
                .error(text.place, "this is no name", VALUE_RULE);
        }
        pattern
    }

    fn read_label_set(
        &mut self,
        reader: &mut FieldReader,
        subject: Option<LabelSubject>,
    ) -> LabelSet {
        let mut labels = LabelSet::default();
        let Some(entry) = reader.take("labels") else {
            let place = reader.place().clone();
            self.findings
                .error(place, "labels is missing", "a map of keys and values");
            return labels;
        };
        for label in read_pairs(entry.node, "labels", &mut self.findings) {
            let error = subject
                .and_then(|on| check_label(on, label.key.as_str(), label.value.as_str()).err());
            match error {
                Some(error) => self
                    .findings
                    .error(label.place, error.message, error.expected),
                None => labels.set(label.key, label.value),
            }
        }
        labels
    }

    fn read_selector(&mut self, mut reader: FieldReader) -> Option<Selector> {
        let name =
            reader.require_text("name", "a name, unique among selectors", &mut self.findings);
        let order = self.read_order(&mut reader);
        let target = self.read_target(&mut reader);
        let serves = read_expression(reader.take("for"), &mut self.findings);
        let allows = read_expression(reader.take("allow"), &mut self.findings);
        reader.close(&mut self.findings);
        Some(Selector {
            name: name.and_then(|name| self.checked_name(name))?.into(),
            order,
            target: target?,
            serves,
            allows,
        })
    }

    fn read_source(&mut self, mut reader: FieldReader) -> Option<PublishedSource> {
        let expected = "a whole number";
        let version = reader.require_text("version", expected, &mut self.findings);
        let text = reader.require_text("text", "the source as it was sent", &mut self.findings);
        reader.close(&mut self.findings);
        let version = version?;
        let Ok(number) = version.text.parse() else {
            let message = format!("version can't be {}", version.text);
            self.findings.error(version.place, message, expected);
            return None;
        };
        Some(PublishedSource {
            version: SourceVersion(number),
            text: text?.text.into(),
        })
    }

    fn read_order(&mut self, reader: &mut FieldReader) -> u32 {
        let Some(text) = reader.take_text("order", &mut self.findings) else {
            return DEFAULT_ORDER;
        };
        let order = text.text.parse().ok().filter(|order| *order <= MAX_ORDER);
        if order.is_none() {
            let message = format!("order can't be {}", text.text);
            let expected = format!("a whole number from 0 to {MAX_ORDER}");
            self.findings.error(text.place, message, expected);
        }
        order.unwrap_or(DEFAULT_ORDER)
    }

    fn read_target(&mut self, reader: &mut FieldReader) -> Option<SelectorTarget> {
        let model = reader.take_text("model", &mut self.findings);
        let version = reader.take_text("version", &mut self.findings);
        let adapter = reader.take_text("adapter", &mut self.findings);
        let service = reader.take_text("service", &mut self.findings);
        match (model, service) {
            (Some(model), None) => Some(SelectorTarget::Model {
                model: self.checked_name(model)?.into(),
                version: version
                    .and_then(|text| self.checked_name(text))
                    .map(Into::into),
                adapter: adapter
                    .and_then(|text| self.checked_name(text))
                    .map(Into::into),
            }),
            (None, Some(service)) => {
                for text in [version, adapter].into_iter().flatten() {
                    let message = "a service has no version or adapter";
                    self.findings
                        .error(text.place, message, "version and adapter with model");
                }
                Some(SelectorTarget::Service(self.checked_name(service)?.into()))
            }
            (Some(_), Some(service)) => {
                let message = "a selector serves a model or a service";
                self.findings
                    .error(service.place, message, "one of model and service");
                None
            }
            (None, None) => {
                let place = reader.place().clone();
                let message = "the selector serves nothing";
                self.findings
                    .error(place, message, "one of model and service");
                None
            }
        }
    }

    fn checked_name(&mut self, text: LocatedText) -> Option<String> {
        if LabelValue::new(&text.text).is_some() {
            return Some(text.text);
        }
        self.findings
            .error(text.place, "this is no name", VALUE_RULE);
        None
    }
}

/// Refuses a text whose canonical form exceeds [`MAX_TEXT_BYTES`].
///
/// Keepers restore a configuration from its canonical text, which can be longer than the operator's
/// text. Above the limit, a keeper could not restore its own snapshot.
fn check_canonical_size(
    mut parsed: ParsedConfiguration,
    file: &Arc<str>,
) -> Result<ParsedConfiguration, FindingList> {
    let bytes = parsed.canonical().text().len();
    if bytes <= MAX_TEXT_BYTES {
        return Ok(parsed);
    }
    let message = format!("in canonical form the text holds {bytes} bytes");
    let expected = format!("at most {MAX_TEXT_BYTES} bytes");
    parsed.warnings.error(whole_file(file), message, expected);
    Err(parsed.warnings)
}

/// A label and the location of its value.
pub(super) struct LocatedLabel {
    pub(super) place: Place,
    pub(super) key: LabelKey,
    pub(super) value: LabelValue,
}

/// Reads a map of labels; each entry that is no valid label adds a finding.
pub(super) fn read_pairs(
    node: LocatedNode,
    name: &str,
    findings: &mut FindingList,
) -> Vec<LocatedLabel> {
    let super::document::NodeValue::Map(entries) = node.value else {
        let message = format!("{name} is {}", node.value.kind());
        findings.error(node.place, message, "a map of keys and values");
        return Vec::new();
    };
    let entries = super::reader::without_duplicates(entries, findings);
    let mut labels = Vec::with_capacity(entries.len());
    for entry in entries {
        let key = LabelKey::new(&entry.key);
        if key.is_none() {
            let message = format!("{} is no label key", entry.key);
            findings.error(entry.key_place.clone(), message, KEY_RULE);
        }
        let Some(text) = super::reader::text_of(entry.node, &entry.key, findings) else {
            continue;
        };
        let value = LabelValue::new(&text.text);
        if value.is_none() {
            let message = format!("the value of {} is no label value", entry.key);
            findings.error(text.place.clone(), message, VALUE_RULE);
        }
        if let (Some(key), Some(value)) = (key, value) {
            labels.push(LocatedLabel {
                place: text.place,
                key,
                value,
            });
        }
    }
    labels
}
