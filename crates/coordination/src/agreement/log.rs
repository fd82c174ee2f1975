//! The in-memory log: entries, the memberships among them, and the latest snapshot.

use std::collections::VecDeque;

use super::entry::{EntryPayload, LogEntry, LogIndex, Membership, SnapshotMetadata, Term};
use super::interface::{RestoredState, StoredSnapshot};

/// Bytes counted for an entry in addition to its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Size of an entry in bytes, as counted by limits.
pub(super) fn entry_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len().saturating_add(ENTRY_OVERHEAD_BYTES),
        EntryPayload::Noop | EntryPayload::Membership(_) => ENTRY_OVERHEAD_BYTES,
    }
}

/// Entries after a base index, and the memberships that they contain.
///
/// Invariant: `entries[i].index == base.index + 1 + i`; `changes` lists the membership entries
/// among them in order; `base.index <= snapshot.mark.index`.
#[derive(Debug, Default)]
pub(super) struct ReplicatedLog {
    base: SnapshotMetadata,
    entries: VecDeque<LogEntry>,
    changes: Vec<(LogIndex, Membership)>,
    /// Increments whenever the current membership may have changed.
    change_count: u64,
    snapshot: Option<StoredSnapshot>,
}

impl ReplicatedLog {
    /// Restores the log of a disk; `None` if its entries have a gap or their terms decrease. The
    /// missing entries may have been acknowledged, so such a keeper must not vote.
    pub(super) fn restore(restored: RestoredState) -> Option<Self> {
        let mut log = Self::default();
        if let Some(snapshot) = restored.snapshot {
            log.base = snapshot.mark.clone();
            log.change_count = 1;
            log.snapshot = Some(snapshot);
        }
        let base = log.base.index;
        let entries = restored.entries.into_iter();
        for entry in entries.filter(|entry| entry.index > base) {
            if entry.index != log.last_index().next() || entry.term < log.last_term() {
                return None;
            }
            log.push(entry);
        }
        (log.last_term() <= restored.hard_state.term).then_some(log)
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.entries
            .back()
            .map_or(self.base.index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base.term, |entry| entry.term)
    }

    /// Index before the first entry that the log still contains.
    pub(super) fn base_index(&self) -> LogIndex {
        self.base.index
    }

    pub(super) fn snapshot(&self) -> Option<&StoredSnapshot> {
        self.snapshot.as_ref()
    }

    pub(super) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.mark.index)
    }

    /// Term of an entry; `None` if the log doesn't contain it.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(super) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The current membership: the latest in the log, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        self.changes
            .last()
            .map_or(&self.base.membership, |(_, membership)| membership)
    }

    /// Index of the entry that contains the current membership.
    pub(super) fn membership_index(&self) -> LogIndex {
        self.changes
            .last()
            .map_or(self.base.index, |(index, _)| *index)
    }

    /// Increments whenever the current membership may have changed.
    pub(super) fn change_count(&self) -> u64 {
        self.change_count
    }

    fn membership_at(&self, index: LogIndex) -> &Membership {
        self.changes
            .iter()
            .rev()
            .find(|(changed_at, _)| *changed_at <= index)
            .map_or(&self.base.membership, |(_, membership)| membership)
    }

    /// Appends an entry that continues the log.
    pub(super) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.changes.push((entry.index, membership.clone()));
            self.change_count = self.change_count.saturating_add(1);
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `from` and all later ones.
    pub(super) fn truncate_from(&mut self, from: LogIndex) {
        let kept = from.0.saturating_sub(self.base.index.0).saturating_sub(1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        let changes_before = self.changes.len();
        self.changes.retain(|(index, _)| *index < from);
        if self.changes.len() < changes_before {
            self.change_count = self.change_count.saturating_add(1);
        }
    }

    /// Entries from `from` on within both limits; at least one if the log contains one.
    pub(super) fn slice(
        &self,
        from: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let mut bytes = 0_usize;
        let mut entries = Vec::new();
        for entry in self.iter_from(from).take(max_entries) {
            bytes = bytes.saturating_add(entry_bytes(entry));
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Iterates over the entries from `from` on.
    pub(super) fn iter_from(&self, from: LogIndex) -> impl Iterator<Item = &LogEntry> {
        let skipped = from.0.saturating_sub(self.base.index.0).saturating_sub(1);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let start = skipped.min(self.entries.len());
        self.entries.range(start..)
    }

    /// Highest index up to `index` whose term is at most `term`, where two logs can still match.
    pub(super) fn conflict_hint(&self, index: LogIndex, term: Term) -> (LogIndex, Term) {
        let mut index = index.min(self.last_index());
        while index > self.base.index {
            match self.term_at(index) {
                Some(found) if found <= term => return (index, found),
                _ => index = index.previous(),
            }
        }
        (self.base.index, self.base.term)
    }

    /// Metadata of a snapshot taken after `index`; `None` if the log doesn't contain that entry.
    pub(super) fn metadata_at(&self, index: LogIndex) -> Option<SnapshotMetadata> {
        Some(SnapshotMetadata {
            index,
            term: self.term_at(index)?,
            membership: self.membership_at(index).clone(),
        })
    }

    /// Stores a snapshot of this log and keeps at most `retained` entries up to its index.
    ///
    /// If entries were kept by count alone, a keeper with an empty disk would be sent every large
    /// command ever committed, while the leader is at full load and must answer hosts. Entries
    /// larger in total than the snapshot take longer to send and apply than the snapshot itself.
    /// The entries after the previous snapshot stay, because a peer that is still receiving that
    /// snapshot would otherwise need this one next.
    pub(super) fn store_snapshot(&mut self, snapshot: StoredSnapshot, retained: u64) {
        let by_count = LogIndex(snapshot.mark.index.0.saturating_sub(retained));
        let by_bytes = self.index_before(snapshot.mark.index, snapshot.bytes.len());
        let keep_after = by_count.max(by_bytes.min(self.snapshot_index()));
        self.snapshot = Some(snapshot);
        if keep_after <= self.base.index {
            return;
        }
        let Some(base) = self.metadata_at(keep_after) else {
            return;
        };
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= keep_after)
        {
            self.entries.pop_front();
        }
        self.changes.retain(|(index, _)| *index > keep_after);
        self.base = base;
    }

    /// Lowest index such that the entries after it, up to `index`, have at most `max_bytes`.
    fn index_before(&self, index: LogIndex, max_bytes: usize) -> LogIndex {
        let mut bytes = 0_usize;
        let mut before = index;
        while let Some(entry) = self.entry(before) {
            bytes = bytes.saturating_add(entry_bytes(entry));
            if bytes > max_bytes {
                break;
            }
            before = before.previous();
        }
        before
    }

    /// Replaces the log up to the index of a peer's snapshot. Returns whether the entries after
    /// that index were kept because the log matches the snapshot there.
    pub(super) fn install_snapshot(&mut self, snapshot: StoredSnapshot) -> bool {
        let mark = snapshot.mark.clone();
        let agrees = self.term_at(mark.index) == Some(mark.term);
        if agrees {
            let kept: VecDeque<LogEntry> = self.iter_from(mark.index.next()).cloned().collect();
            self.entries = kept;
            self.changes.retain(|(index, _)| *index > mark.index);
        } else {
            self.entries.clear();
            self.changes.clear();
        }
        self.base = mark;
        self.change_count = self.change_count.saturating_add(1);
        self.snapshot = Some(snapshot);
        agrees
    }
}

#[cfg(test)]
mod tests;
