//! Group commit: the state that waits for a sync, and the actions held until it is synced.
//!
//! At most one persist request is outstanding at a time. State that changes meanwhile shares the
//! next request, so the number of syncs per command decreases as load rises, and no reply is sent
//! before the sync that it depends on.

use std::collections::VecDeque;

use super::entry::{HardState, LogIndex, Term};
use super::interface::{AgreementEffect, PersistRequest, PersistSequence, StoredSnapshot};
use super::log::ReplicatedLog;
use super::message::AgreementEnvelope;
use super::node::AgreementNode;

/// Messages that may wait for a sync, so that a disk that hangs can't make them accumulate. A
/// message above the limit counts as lost, and its sender retries.
const MAX_HELD_MESSAGES: usize = 4096;

/// Action that waits until a persist request is synced.
#[derive(Debug)]
pub(super) enum PendingAction {
    /// Send a message.
    Send(AgreementEnvelope),
    /// Count this keeper's vote for itself.
    CountOwnVote(Term),
    /// Hand a peer's snapshot to the state machine.
    Install(StoredSnapshot),
}

/// State that isn't synced yet, and the actions that wait for it.
///
/// Invariants: `durable_index` never exceeds the log's last index; an index counts as durable only
/// while the log still contains the entry that was synced there.
#[derive(Debug, Default)]
pub(super) struct PersistQueue {
    hard_state: Option<HardState>,
    snapshot: Option<StoredSnapshot>,
    truncate_from: Option<LogIndex>,
    /// First entry that no persist request contains yet.
    unissued_from: LogIndex,
    issued: PersistSequence,
    outstanding: bool,
    /// Index of the last entry that the outstanding request makes durable.
    outstanding_index: LogIndex,
    durable_index: LogIndex,
    pending: VecDeque<(PersistSequence, PendingAction)>,
}

impl PersistQueue {
    pub(super) fn restored(last_index: LogIndex) -> Self {
        Self {
            unissued_from: last_index.next(),
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

    /// Records the removal of the entry at `from` and all later ones from the log.
    pub(super) fn truncate_from(&mut self, from: LogIndex) {
        let last = from.previous();
        if from < self.unissued_from {
            let earlier = self.truncate_from.unwrap_or(from);
            self.truncate_from = Some(earlier.min(from));
            self.unissued_from = from;
        }
        self.outstanding_index = self.outstanding_index.min(last);
        self.durable_index = self.durable_index.min(last);
    }

    /// Records that a peer's snapshot replaced the log up to `mark`; `kept_suffix` is true if the
    /// log kept the entries after it.
    pub(super) fn replace_log(&mut self, mark: LogIndex, kept_suffix: bool) {
        if kept_suffix {
            self.unissued_from = self.unissued_from.max(mark.next());
            return;
        }
        self.truncate_from(mark.next());
        self.unissued_from = mark.next();
    }

    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_HELD_MESSAGES
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    fn is_dirty(&self, log: &ReplicatedLog) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || self.unissued_from <= log.last_index()
    }

    /// Persist request that must be synced before a reply may depend on the current state; `None`
    /// if all state is synced.
    fn required_sync(&self, log: &ReplicatedLog) -> Option<PersistSequence> {
        if self.is_dirty(log) {
            return Some(PersistSequence(self.issued.0.saturating_add(1)));
        }
        self.outstanding.then_some(self.issued)
    }

    fn next_request(&mut self, log: &ReplicatedLog) -> Option<PersistRequest> {
        if self.outstanding || !self.is_dirty(log) {
            return None;
        }
        self.issued = PersistSequence(self.issued.0.saturating_add(1));
        self.outstanding = true;
        let first = self.unissued_from.max(log.snapshot_index().next());
        let entries = log.iter_from(first).cloned().collect();
        self.unissued_from = log.last_index().next();
        self.outstanding_index = log.last_index();
        Some(PersistRequest {
            sequence: self.issued,
            hard_state: self.hard_state.take(),
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            entries,
        })
    }

    /// Records a completed sync and returns the actions that waited for it.
    fn finish(&mut self, sequence: PersistSequence) -> Vec<PendingAction> {
        if !self.outstanding || sequence != self.issued {
            return Vec::new();
        }
        self.outstanding = false;
        self.durable_index = self.outstanding_index;
        let mut released = Vec::new();
        while self
            .pending
            .front()
            .is_some_and(|(required_sync, _)| *required_sync <= self.issued)
        {
            if let Some((_, action)) = self.pending.pop_front() {
                released.push(action);
            }
        }
        released
    }
}

impl AgreementNode {
    /// Performs `action` once all current state is synced; at once if it already is.
    pub(super) fn after_persist(&mut self, action: PendingAction) {
        match self.writes.required_sync(&self.log) {
            Some(_) if self.writes.is_full() && matches!(action, PendingAction::Send(_)) => {}
            Some(sequence) => self.writes.pending.push_back((sequence, action)),
            None => self.perform(action),
        }
    }

    /// Handles a completed sync and performs the actions that waited for it.
    pub(super) fn on_persisted(&mut self, sequence: PersistSequence) {
        for action in self.writes.finish(sequence) {
            self.perform(action);
        }
    }

    /// Issues the next persist request, if one is needed and none is outstanding.
    pub(super) fn flush_persist(&mut self) {
        if let Some(request) = self.writes.next_request(&self.log) {
            self.effects.push(AgreementEffect::Persist(request));
        }
    }

    fn perform(&mut self, action: PendingAction) {
        match action {
            PendingAction::Send(envelope) => self.effects.push(AgreementEffect::Send(envelope)),
            PendingAction::CountOwnVote(term) => self.count_own_vote(term),
            PendingAction::Install(snapshot) => {
                self.installs_pending = self.installs_pending.saturating_sub(1);
                self.effects
                    .push(AgreementEffect::InstallSnapshot(snapshot));
            }
        }
    }
}
