//! Takes the fields of a placed map; whatever is left over, repeated or mistyped is a finding.

use std::collections::BTreeMap;

use super::document::{LocatedEntry, LocatedNode, NodeValue};
use crate::base::{FindingList, Place};

/// The fields of one map, taken one by one.
pub(super) struct FieldReader {
    place: Place,
    entries: Vec<LocatedEntry>,
    /// Keys asked for so far; what an unknown key could have been.
    accepted: Vec<&'static str>,
}

/// A scalar and its place.
#[derive(Clone, Debug)]
pub(super) struct LocatedText {
    pub(super) place: Place,
    pub(super) text: String,
}

impl FieldReader {
    /// A reader of `node`, or a finding that says what it is instead of a map.
    pub(super) fn open(node: LocatedNode, what: &str, findings: &mut FindingList) -> Option<Self> {
        let NodeValue::Map(entries) = node.value else {
            let message = format!("{what} is {}", node.value.kind());
            findings.error(node.place, message, "a map of keys and values");
            return None;
        };
        Some(Self {
            place: node.place,
            entries: without_duplicates(entries, findings),
            accepted: Vec::new(),
        })
    }

    /// Where the map begins.
    pub(super) fn place(&self) -> &Place {
        &self.place
    }

    /// Takes a field.
    pub(super) fn take(&mut self, key: &'static str) -> Option<LocatedEntry> {
        self.accepted.push(key);
        let index = self.entries.iter().position(|entry| entry.key == key)?;
        Some(self.entries.remove(index))
    }

    /// Takes a field that must be a scalar.
    pub(super) fn take_text(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Option<LocatedText> {
        let entry = self.take(key)?;
        text_of(entry.node, key, findings)
    }

    /// Takes a scalar that must be there.
    pub(super) fn require_text(
        &mut self,
        key: &'static str,
        expected: &str,
        findings: &mut FindingList,
    ) -> Option<LocatedText> {
        if self.entries.iter().any(|entry| entry.key == key) {
            return self.take_text(key, findings);
        }
        self.accepted.push(key);
        findings.error(self.place.clone(), format!("{key} is missing"), expected);
        None
    }

    /// Ends the reading: every field that was not taken is unknown.
    pub(super) fn close(self, findings: &mut FindingList) {
        let expected = self.accepted.join(", ");
        for entry in self.entries {
            let message = format!("unknown key {}", entry.key);
            findings.error(entry.key_place, message, expected.clone());
        }
    }
}

/// The entries of a map without repeated keys, each of which is a finding.
pub(super) fn without_duplicates(
    entries: Vec<LocatedEntry>,
    findings: &mut FindingList,
) -> Vec<LocatedEntry> {
    let mut kept: Vec<LocatedEntry> = Vec::with_capacity(entries.len());
    let mut first_lines = BTreeMap::new();
    for entry in entries {
        let Some(line) = first_lines.get(&entry.key) else {
            first_lines.insert(entry.key.clone(), entry.key_place.line);
            kept.push(entry);
            continue;
        };
        let message = format!("key {} is already given in line {line}", entry.key);
        findings.error(entry.key_place, message, "each key once");
    }
    kept
}

/// The scalar in `node`, or a finding.
pub(super) fn text_of(
    node: LocatedNode,
    what: &str,
    findings: &mut FindingList,
) -> Option<LocatedText> {
    match node.value {
        NodeValue::Text(text) => Some(LocatedText {
            place: node.place,
            text,
        }),
        other => {
            let message = format!("{what} is {}", other.kind());
            findings.error(node.place, message, "one plain value");
            None
        }
    }
}

/// The scalars of a list, or findings for each that is none.
pub(super) fn texts_of(
    node: LocatedNode,
    what: &str,
    findings: &mut FindingList,
) -> Option<Vec<LocatedText>> {
    let NodeValue::List(nodes) = node.value else {
        let message = format!("{what} is {}", node.value.kind());
        findings.error(node.place, message, "a list of plain values");
        return None;
    };
    let texts = nodes
        .into_iter()
        .filter_map(|node| text_of(node, what, findings))
        .collect();
    Some(texts)
}
