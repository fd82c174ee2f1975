//! Identity check of every message's sender.
//!
//! A disk that returns empty starts under a new incarnation, which no membership counts. A disk
//! that is restored from an old copy keeps its incarnation, and would vote and acknowledge as if it
//! still contained the entries that it lost; the symptom is a committed entry that disappears
//! after the next election. Each keeper therefore remembers the acknowledgements that it observed
//! from the others, and rejects a process that starts from an older state. This memory spreads
//! with heartbeats and isn't synced; `docs/design/agreement.md` lists the cases that this does
//! not cover.

use std::collections::{BTreeMap, VecDeque};

use super::entry::{KeeperId, LogIndex, Term};
use super::interface::{AgreementEffect, MessageDropReason};
use super::message::{
    AgreementEnvelope, AgreementMessage, IdentityRejected, ObservedAck, ProcessStart,
};
use super::node::{AgreementNode, RoleState};
use super::progress::PeerProgress;

/// Accepted starts that are remembered for each keeper, so that late messages of an earlier
/// process don't look like an old disk.
const ACCEPTED_STARTS: usize = 8;

/// Keepers that are remembered; far more than any group has.
const MAX_RECORDS: usize = 64;

/// Largest term increase that one message may cause; a larger one means a faulty sender.
const MAX_TERM_STEP: u64 = 1 << 32;

/// Observed starts and acknowledgements of one keeper.
#[derive(Debug, Default)]
struct IdentityRecord {
    /// Accepted starts, latest last.
    starts: VecDeque<ProcessStart>,
    /// Highest acknowledgement, by term and then index.
    highest_ack: (Term, LogIndex),
}

impl IdentityRecord {
    fn accept(&mut self, start: ProcessStart) -> bool {
        if self.starts.iter().any(|known| known.nonce == start.nonce) {
            return true;
        }
        let (term, index) = self.highest_ack;
        let holds_enough = start.term > term || (start.term == term && start.last_index >= index);
        if !holds_enough {
            return false;
        }
        if self.starts.len() >= ACCEPTED_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(start);
        true
    }
}

/// Observed starts and acknowledgements of the other keepers.
///
/// Invariant: every recorded acknowledgement refers to state that its keeper had synced.
#[derive(Debug, Default)]
pub(super) struct IdentityTable {
    records: BTreeMap<KeeperId, IdentityRecord>,
}

impl IdentityTable {
    /// Accepts the start of a disk that contains everything its keeper acknowledged; otherwise
    /// returns the highest acknowledgement.
    fn accept(&mut self, keeper: &KeeperId, start: ProcessStart) -> Result<(), (Term, LogIndex)> {
        if !self.records.contains_key(keeper) && self.records.len() >= MAX_RECORDS {
            return Ok(());
        }
        let record = self.records.entry(keeper.clone()).or_default();
        if record.accept(start) {
            return Ok(());
        }
        Err(record.highest_ack)
    }

    /// Records that `keeper` acknowledged `index`, or granted a vote, in `term`.
    pub(super) fn record_ack(&mut self, keeper: &KeeperId, term: Term, index: LogIndex) {
        if let Some(record) = self.records.get_mut(keeper) {
            record.highest_ack = record.highest_ack.max((term, index));
        }
    }

    /// Observed acknowledgements of `peers`, for a leader's heartbeats.
    pub(super) fn observed_acks(
        &self,
        peers: &BTreeMap<KeeperId, PeerProgress>,
    ) -> Vec<ObservedAck> {
        let record_of = |keeper: &KeeperId| {
            let record = self.records.get(keeper)?;
            let (term, index) = record.highest_ack;
            Some(ObservedAck {
                keeper: keeper.clone(),
                start: *record.starts.back()?,
                term,
                index,
            })
        };
        peers.keys().filter_map(record_of).collect()
    }

    /// Removes the records of keepers for which `is_kept` is false.
    pub(super) fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&KeeperId) -> bool,
    {
        self.records.retain(|keeper, _| is_kept(keeper));
    }
}

impl AgreementNode {
    /// Checks sender and receiver of a message before its content is processed.
    pub(super) fn admit(&mut self, envelope: &AgreementEnvelope) -> Result<(), MessageDropReason> {
        if matches!(self.role, RoleState::Retired) {
            return Err(MessageDropReason::Retired);
        }
        if envelope.to != self.id {
            return Err(MessageDropReason::OtherReceiver);
        }
        if envelope.from == self.id {
            return Err(MessageDropReason::OwnIdentity);
        }
        if self.log.membership().supersedes(&envelope.from) {
            return Err(MessageDropReason::FormerIncarnation);
        }
        let highest = self.term().0.saturating_add(MAX_TERM_STEP);
        if envelope.message.term().is_some_and(|term| term.0 > highest) {
            return Err(MessageDropReason::Malformed);
        }
        if !self.accept_start(&envelope.from, envelope.start) {
            return Err(MessageDropReason::OldDisk);
        }
        Ok(())
    }

    /// Whether the disk of a start contains everything its keeper acknowledged; if not, sends the
    /// keeper a rejection.
    fn accept_start(&mut self, keeper: &KeeperId, start: ProcessStart) -> bool {
        let Err((term, index)) = self.identities.accept(keeper, start) else {
            return true;
        };
        let rejected = IdentityRejected {
            nonce: start.nonce,
            witnessed_term: term,
            witnessed_index: index,
        };
        let message = AgreementMessage::IdentityRejected(rejected);
        self.send(keeper.clone(), message);
        false
    }

    /// Merges a leader's records. A start that this keeper itself rejects stays rejected even if
    /// the leader accepted it, for example because a restarted leader remembers fewer
    /// acknowledgements.
    pub(super) fn merge_observed_acks(&mut self, records: Vec<ObservedAck>) {
        for record in records {
            if record.keeper != self.id && self.accept_start(&record.keeper, record.start) {
                self.identities
                    .record_ack(&record.keeper, record.term, record.index);
            }
        }
    }

    /// Retires when a member shows that this disk is older than what this keeper acknowledged.
    pub(super) fn on_identity_rejected(&mut self, from: KeeperId, rejected: &IdentityRejected) {
        let is_own = rejected.nonce == self.start.nonce;
        if !is_own || !self.log.membership().contains(&from) {
            return;
        }
        self.leader = None;
        self.follow(self.term(), None);
        self.role = RoleState::Retired;
        self.effects.push(AgreementEffect::IdentityLost {
            detected_by: from,
            term: rejected.witnessed_term,
            index: rejected.witnessed_index,
        });
    }
}
