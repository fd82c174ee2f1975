//! Differences between two configurations, by document.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::canonical::{CanonicalText, ConfigurationDigest};
use super::model::DocumentKey;
use super::text_edit::TextEdit;
use crate::base::Revision;

/// Maximum number of documents named in a summary; further ones are only counted.
pub const MAX_NAMED_DOCUMENTS: usize = 32;

/// Change of one document: its removal, its new text or an edit of its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Document that changes.
    pub key: DocumentKey,
    /// New canonical text; `None` if the document is removed or `edit` is set.
    pub text: Option<Arc<str>>,
    /// Edit of the previous text, if it takes less than half the bytes of the new text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<TextEdit>,
}

impl DocumentChange {
    /// The change that leads from `earlier` to `later`; `None` is an absent document.
    pub(super) fn between(
        key: &DocumentKey,
        earlier: Option<&Arc<str>>,
        later: Option<&Arc<str>>,
    ) -> Self {
        let texts = earlier.zip(later);
        let edit = texts.and_then(|(earlier, later)| TextEdit::between(earlier, later));
        Self {
            key: key.clone(),
            text: later.filter(|_| edit.is_none()).cloned(),
            edit,
        }
    }

    /// Approximate size of the text or edit in bytes.
    pub fn bytes(&self) -> usize {
        let text = self.text.as_ref().map_or(0, |text| text.len());
        text + self.edit.as_ref().map_or(0, TextEdit::bytes)
    }

    /// The change from `later` back to `earlier`; this change leads from `earlier` to `later`.
    fn inverse(&self, earlier: Option<&Arc<str>>, later: Option<&Arc<str>>) -> Self {
        let edit = self.edit.as_ref().zip(earlier);
        let Some(edit) = edit.and_then(|(edit, earlier)| edit.inverse(earlier)) else {
            return Self::between(&self.key, later, earlier);
        };
        Self {
            key: self.key.clone(),
            text: None,
            edit: Some(edit),
        }
    }

    /// The change that has the effect of this one followed by `next`, a change of the same document;
    /// `None` if `next` does not apply to its result.
    pub(super) fn then(&self, next: &Self) -> Option<Self> {
        let Some(edit) = &next.edit else {
            return Some(next.clone());
        };
        let (text, edit) = match (&self.edit, &self.text) {
            (Some(first), _) => (None, Some(first.then(edit)?)),
            (None, Some(text)) => (Some(edit.apply(text)?), None),
            (None, None) => return None,
        };
        Some(Self {
            key: self.key.clone(),
            text,
            edit,
        })
    }

    /// Whether the document exists after the change.
    pub(super) fn is_set(&self) -> bool {
        self.text.is_some() || self.edit.is_some()
    }

    /// The text after the change. An edit of another text returns `None`; the digest of the
    /// complete text then reveals that the change does not apply.
    fn text_after(&self, earlier: Option<&Arc<str>>) -> Option<Arc<str>> {
        match &self.edit {
            Some(edit) => edit.apply(earlier?),
            None => self.text.clone(),
        }
    }
}

/// Changes that lead from one revision of the configuration to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Revision that the delta starts from.
    pub from: Revision,
    /// Revision that it leads to.
    pub to: Revision,
    /// Documents to set or remove.
    pub changes: Vec<DocumentChange>,
    /// Digest of the canonical text after the delta; a follower that computes another digest
    /// fetches the complete text.
    pub digest: ConfigurationDigest,
}

/// Keys of the documents that differ between two texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DifferenceSummary {
    /// Documents that only the later text contains.
    pub added: Vec<DocumentKey>,
    /// Documents that only the earlier text contains.
    pub removed: Vec<DocumentKey>,
    /// Documents whose content differs.
    pub changed: Vec<DocumentKey>,
    /// Number of differing documents beyond [`MAX_NAMED_DOCUMENTS`].
    pub unnamed: usize,
}

impl CanonicalText {
    /// Changes that lead from this text to `later`.
    pub fn changes_to(&self, later: &Self) -> Vec<DocumentChange> {
        let set = later
            .documents()
            .iter()
            .filter(|(key, text)| self.documents().get(key) != Some(text))
            .map(|(key, text)| DocumentChange::between(key, self.documents().get(key), Some(text)));
        let removed = self
            .documents()
            .keys()
            .filter(|key| !later.documents().contains_key(key))
            .map(|key| DocumentChange::between(key, None, None));
        set.chain(removed).collect()
    }

    /// Sets and removes documents; returns the changes that undo it.
    pub fn apply(&mut self, changes: &[DocumentChange]) -> Vec<DocumentChange> {
        changes
            .iter()
            .map(|change| {
                let key = &change.key;
                let after = change.text_after(self.documents().get(key));
                let before = self.replace(key, after.clone());
                change.inverse(before.as_ref(), after.as_ref())
            })
            .collect()
    }

    /// Sets and removes documents without computing the undo changes: for a large document they
    /// cost as much as reading it.
    pub(super) fn apply_without_undo(&mut self, changes: &[DocumentChange]) {
        for change in changes {
            let after = change.text_after(self.documents().get(&change.key));
            self.replace(&change.key, after);
        }
    }

    /// Summary of the documents that differ between this text and `later`.
    pub fn difference(&self, later: &Self) -> DifferenceSummary {
        self.summary_of(&self.changes_to(later))
    }

    /// Summary of the documents that `changes` would set or remove in this text.
    pub(super) fn summary_of(&self, changes: &[DocumentChange]) -> DifferenceSummary {
        let mut summary = DifferenceSummary::default();
        for (index, change) in changes.iter().enumerate() {
            let list = match (change.is_set(), self.documents().contains_key(&change.key)) {
                _ if index >= MAX_NAMED_DOCUMENTS => {
                    summary.unnamed += 1;
                    continue;
                }
                (false, _) => &mut summary.removed,
                (true, true) => &mut summary.changed,
                (true, false) => &mut summary.added,
            };
            list.push(change.key.clone());
        }
        summary
    }
}

impl DifferenceSummary {
    /// Whether no document differs.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

impl fmt::Display for DifferenceSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return formatter.write_str("no difference");
        }
        let marked = [
            ("+", &self.added),
            ("-", &self.removed),
            ("~", &self.changed),
        ];
        let mut separator = "";
        for (mark, keys) in marked {
            for key in keys {
                write!(formatter, "{separator}{mark} {key}")?;
                separator = ", ";
            }
        }
        if self.unnamed > 0 {
            write!(formatter, " and {} more", self.unnamed)?;
        }
        Ok(())
    }
}
