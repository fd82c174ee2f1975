//! Differences between two configurations, document by document.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::canonical::{CanonicalText, ContentDigest};
use super::model::DocumentKey;
use crate::base::Revision;

/// Most documents that a difference names; the others are counted.
pub const MAX_NAMED_DOCUMENTS: usize = 32;

/// One document that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Which document.
    pub key: DocumentKey,
    /// Its canonical text; `None` where there is no such document.
    pub text: Option<Arc<str>>,
}

/// All that turns one configuration into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Configuration that the delta starts from.
    pub from: Revision,
    /// Configuration that it leads to.
    pub to: Revision,
    /// Documents to set or remove.
    pub changes: Vec<DocumentChange>,
    /// Digest of the canonical text after it; a follower that gets another one pulls the whole.
    pub digest: ContentDigest,
}

/// Names of the documents that differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DifferenceSummary {
    /// Documents that only the later text has.
    pub added: Vec<DocumentKey>,
    /// Documents that only the earlier text has.
    pub removed: Vec<DocumentKey>,
    /// Documents with another content.
    pub changed: Vec<DocumentKey>,
    /// Documents that differ beyond [`MAX_NAMED_DOCUMENTS`].
    pub unnamed: usize,
}

impl CanonicalText {
    /// What turns this text into `later`.
    pub fn changes_to(&self, later: &Self) -> Vec<DocumentChange> {
        let set = later
            .documents()
            .iter()
            .filter(|(key, text)| self.documents().get(key) != Some(text))
            .map(|(key, text)| DocumentChange {
                key: key.clone(),
                text: Some(text.clone()),
            });
        let removed = self
            .documents()
            .keys()
            .filter(|key| !later.documents().contains_key(key))
            .map(|key| DocumentChange {
                key: key.clone(),
                text: None,
            });
        set.chain(removed).collect()
    }

    /// Sets and removes documents; gives the changes that undo it.
    pub fn apply(&mut self, changes: &[DocumentChange]) -> Vec<DocumentChange> {
        changes
            .iter()
            .map(|change| DocumentChange {
                key: change.key.clone(),
                text: self.replace(&change.key, change.text.clone()),
            })
            .collect()
    }

    /// Names of the documents that differ from `later`.
    pub fn difference(&self, later: &Self) -> DifferenceSummary {
        let mut summary = DifferenceSummary::default();
        for (index, change) in self.changes_to(later).into_iter().enumerate() {
            let list = match (&change.text, self.documents().contains_key(&change.key)) {
                _ if index >= MAX_NAMED_DOCUMENTS => {
                    summary.unnamed += 1;
                    continue;
                }
                (None, _) => &mut summary.removed,
                (Some(_), true) => &mut summary.changed,
                (Some(_), false) => &mut summary.added,
            };
            list.push(change.key);
        }
        summary
    }
}

impl DifferenceSummary {
    /// Whether nothing differs.
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
        let mut joint = "";
        for (mark, keys) in marked {
            for key in keys {
                write!(formatter, "{joint}{mark} {key}")?;
                joint = ", ";
            }
        }
        if self.unnamed > 0 {
            write!(formatter, " and {} more", self.unnamed)?;
        }
        Ok(())
    }
}
