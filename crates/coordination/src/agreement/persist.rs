//! Group commit: what waits for a sync, and what is held until it is done.
//!
//! At most one persist order is out at a time. Whatever arrives meanwhile shares the next one, so
//! the number of syncs falls as load rises, and no reply leaves before the sync it depends on.

use std::collections::VecDeque;

use super::entry::{HardState, LogIndex, Term};
use super::interface::{AgreementEffect, PersistRequest, PersistSequence, StoredSnapshot};
use super::log::ReplicatedLog;
use super::message::AgreementEnvelope;
use super::node::AgreementNode;

/// Messages that wait for a sync. A disk that hangs must not let them pile up; a message that is
/// not sent counts as lost, and is asked for again.
const MAX_HELD_MESSAGES: usize = 4096;

/// What is done once a persist order is synced.
#[derive(Debug)]
pub(super) enum HeldAction {
    /// Send a message.
    Send(AgreementEnvelope),
    /// Count the vote for itself.
    CountOwnVote(Term),
    /// Hand a peer's snapshot to the state machine.
    Install(StoredSnapshot),
}

/// State that is not synced yet.
///
/// Invariants: `durable_index` never exceeds the log's last index; an index counts as durable only
/// while the entry that was synced there still stands.
#[derive(Debug, Default)]
pub(super) struct PersistQueue {
    hard_state: Option<HardState>,
    snapshot: Option<StoredSnapshot>,
    truncate_from: Option<LogIndex>,
    /// First entry that no order contains yet.
    unsaved_from: LogIndex,
    issued: PersistSequence,
    outstanding: bool,
    /// Last entry that the outstanding order makes durable.
    outstanding_index: LogIndex,
    durable_index: LogIndex,
    held: VecDeque<(PersistSequence, HeldAction)>,
}

impl PersistQueue {
    pub(super) fn restored(last_index: LogIndex) -> Self {
        Self {
            unsaved_from: last_index.next(),
            outstanding_index: last_index,
            durable_index: last_index,
            ..Self::default()
        }
    }

    pub(super) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = Some(hard_state);
    }

    pub(super) fn set_snapshot(&mut self, snapshot: StoredSnapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Notes that `from` and what follows was removed from the log.
    pub(super) fn truncate_from(&mut self, from: LogIndex) {
        let last = from.previous();
        if from < self.unsaved_from {
            let earlier = self.truncate_from.unwrap_or(from);
            self.truncate_from = Some(earlier.min(from));
            self.unsaved_from = from;
        }
        self.outstanding_index = self.outstanding_index.min(last);
        self.durable_index = self.durable_index.min(last);
    }

    /// Notes that a peer's snapshot stands in place of the log up to `mark`; `kept_suffix` tells
    /// whether entries after it still stand.
    pub(super) fn replace_log(&mut self, mark: LogIndex, kept_suffix: bool) {
        if kept_suffix {
            self.unsaved_from = self.unsaved_from.max(mark.next());
            return;
        }
        self.truncate_from(mark.next());
        self.unsaved_from = mark.next();
    }

    fn is_full(&self) -> bool {
        self.held.len() >= MAX_HELD_MESSAGES
    }

    pub(super) fn held_len(&self) -> usize {
        self.held.len()
    }

    fn is_dirty(&self, log: &ReplicatedLog) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || self.unsaved_from <= log.last_index()
    }

    /// Order that must be synced before what is decided now may be told; `None` if nothing waits.
    fn awaited(&self, log: &ReplicatedLog) -> Option<PersistSequence> {
        if self.is_dirty(log) {
            return Some(PersistSequence(self.issued.0.saturating_add(1)));
        }
        self.outstanding.then_some(self.issued)
    }

    fn next_order(&mut self, log: &ReplicatedLog) -> Option<PersistRequest> {
        if self.outstanding || !self.is_dirty(log) {
            return None;
        }
        self.issued = PersistSequence(self.issued.0.saturating_add(1));
        self.outstanding = true;
        let first = self.unsaved_from.max(log.snapshot_index().next());
        let entries = log.iter_from(first).cloned().collect();
        self.unsaved_from = log.last_index().next();
        self.outstanding_index = log.last_index();
        Some(PersistRequest {
            sequence: self.issued,
            hard_state: self.hard_state.take(),
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            entries,
        })
    }

    /// Notes a finished sync and returns what was held for it.
    fn finish(&mut self, sequence: PersistSequence) -> Vec<HeldAction> {
        if !self.outstanding || sequence != self.issued {
            return Vec::new();
        }
        self.outstanding = false;
        self.durable_index = self.outstanding_index;
        let mut released = Vec::new();
        while self
            .held
            .front()
            .is_some_and(|(awaited, _)| *awaited <= self.issued)
        {
            if let Some((_, action)) = self.held.pop_front() {
                released.push(action);
            }
        }
        released
    }
}

impl AgreementNode {
    /// Does `action` once everything decided so far is synced; at once if it already is.
    pub(super) fn after_persist(&mut self, action: HeldAction) {
        match self.writes.awaited(&self.log) {
            Some(_) if self.writes.is_full() && matches!(action, HeldAction::Send(_)) => {}
            Some(sequence) => self.writes.held.push_back((sequence, action)),
            None => self.perform(action),
        }
    }

    /// Notes a finished sync and does what was held for it.
    pub(super) fn on_persisted(&mut self, sequence: PersistSequence) {
        for action in self.writes.finish(sequence) {
            self.perform(action);
        }
    }

    /// Gives out the next persist order, if one is needed and none is out.
    pub(super) fn flush_persist(&mut self) {
        if let Some(order) = self.writes.next_order(&self.log) {
            self.effects.push(AgreementEffect::Persist(order));
        }
    }

    fn perform(&mut self, action: HeldAction) {
        match action {
            HeldAction::Send(envelope) => self.effects.push(AgreementEffect::Send(envelope)),
            HeldAction::CountOwnVote(term) => self.count_own_vote(term),
            HeldAction::Install(snapshot) => {
                self.installs_pending = self.installs_pending.saturating_sub(1);
                self.effects
                    .push(AgreementEffect::InstallSnapshot(snapshot));
            }
        }
    }
}
