//! Reads the fields of a YAML map; unknown, repeated and mistyped fields add findings.

use std::collections::BTreeMap;

use super::document::{LocatedEntry, LocatedNode, NodeValue};
use crate::base::{FindingList, Place};

/// Unread fields of one map.
pub(super) struct FieldReader {
    place: Place,
    entries: Vec<LocatedEntry>,
    /// Keys requested so far, which the finding on an unknown key lists as accepted.
    accepted: Vec<&'static str>,
}

/// A scalar and its location.
#[derive(Clone, Debug)]
pub(super) struct LocatedText {
    pub(super) place: Place,
    pub(super) text: String,
}

impl FieldReader {
    /// Reads `node`, which `name` names in findings; a node that is no map adds a finding.
    pub(super) fn open(node: LocatedNode, name: &str, findings: &mut FindingList) -> Option<Self> {
        let NodeValue::Map(entries) = node.value else {
            let message = format!("{name} is {}", node.value.kind());
            findings.error(node.place, message, "a map of keys and values");
            return None;
        };
        Some(Self {
            place: node.place,
            entries: without_duplicates(entries, findings),
            accepted: Vec::new(),
        })
    }

    /// Start of the map.
    pub(super) fn place(&self) -> &Place {
        &self.place
    }

    /// Removes and returns the field `key`.
    pub(super) fn take(&mut self, key: &'static str) -> Option<LocatedEntry> {
        self.accepted.push(key);
        let index = self.entries.iter().position(|entry| entry.key == key)?;
        Some(self.entries.remove(index))
    }

    /// Removes and returns the field `key`; a value that is no scalar adds a finding.
    pub(super) fn take_text(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Option<LocatedText> {
        let entry = self.take(key)?;
        text_of(entry.node, key, findings)
    }

    /// Removes and returns the field `key`; an absent field or one that is no scalar adds a
    /// finding.
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

    /// Adds a finding for each remaining field, which is unknown.
    pub(super) fn close(self, findings: &mut FindingList) {
        let expected = self.accepted.join(", ");
        for entry in self.entries {
            let message = format!("unknown key {}", entry.key);
            findings.error(entry.key_place, message, expected.clone());
        }
    }
}

/// Entries of a map with the first value of each key; each repetition adds a finding.
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

/// The scalar in `node`; any other node adds a finding.
pub(super) fn text_of(
    node: LocatedNode,
    name: &str,
    findings: &mut FindingList,
) -> Option<LocatedText> {
    match node.value {
        NodeValue::Text(text) => Some(LocatedText {
            place: node.place,
            text,
        }),
        other => {
            let message = format!("{name} is {}", other.kind());
            findings.error(node.place, message, "one plain value");
            None
        }
    }
}

/// The scalars of a list; each element that is no scalar adds a finding.
pub(super) fn texts_of(
    node: LocatedNode,
    name: &str,
    findings: &mut FindingList,
) -> Option<Vec<LocatedText>> {
    let NodeValue::List(nodes) = node.value else {
        let message = format!("{name} is {}", node.value.kind());
        findings.error(node.place, message, "a list of plain values");
        return None;
    };
    let texts = nodes
        .into_iter()
        .filter_map(|node| text_of(node, name, findings))
        .collect();
    Some(texts)
}
