//! The changes that led to the last revisions.

use std::collections::{BTreeMap, VecDeque};

use super::delta::DocumentChange;
use super::model::DocumentKey;
use crate::base::Revision;

/// Maximum number of revisions. Hosts in touch are a few revisions behind at most.
const MAX_REVISIONS: usize = 32;
/// Maximum size of the changes, in bytes; the last revision is kept regardless of its size.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Changes between consecutive revisions, from which deltas are made without comparing texts.
///
/// Hundreds of hosts ask for a delta after each change, from several revisions. Comparing the texts for
/// each of these revisions would take a small keeper longer than the hosts wait.
///
/// Invariants: `changes` are those of consecutive revisions, oldest first; `bytes` is their size.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<RevisionChanges>,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct RevisionChanges {
    /// Revision that the changes lead to.
    revision: Revision,
    changes: Vec<DocumentChange>,
    bytes: usize,
}

impl RecentChanges {
    /// Adds the changes that lead to `revision`; drops the oldest ones beyond the limits.
    pub(super) fn push(&mut self, revision: Revision, changes: &[DocumentChange]) {
        let last = self.changes.back().map(|last| last.revision.next());
        if last.is_some_and(|next| next != revision) {
            *self = Self::default();
        }
        let bytes = changes.iter().map(DocumentChange::bytes).sum();
        self.bytes += bytes;
        self.changes.push_back(RevisionChanges {
            revision,
            changes: changes.to_vec(),
            bytes,
        });
        while self.changes.len() > 1
            && (self.changes.len() > MAX_REVISIONS || self.bytes > MAX_BYTES)
        {
            self.bytes -= self.changes.pop_front().map_or(0, |oldest| oldest.bytes);
        }
    }

    /// Changes that lead from `from` to the last revision, one for each document, removals last; `None` if
    /// some are not known any more.
    pub(super) fn since(&self, from: Revision) -> Option<Vec<DocumentChange>> {
        let (first, last) = (
            self.changes.front()?.revision,
            self.changes.back()?.revision,
        );
        if from.next() < first || from > last {
            return None;
        }
        let mut merged: BTreeMap<&DocumentKey, DocumentChange> = BTreeMap::new();
        let later = self.changes.iter().filter(|step| step.revision > from);
        for change in later.flat_map(|step| &step.changes) {
            let merged_change = match merged.get(&change.key) {
                Some(earlier) => earlier.then(change)?,
                None => change.clone(),
            };
            merged.insert(&change.key, merged_change);
        }
        let (mut changes, removals): (Vec<_>, Vec<_>) =
            merged.into_values().partition(DocumentChange::is_set);
        changes.extend(removals);
        Some(changes)
    }
}
