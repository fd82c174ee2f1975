//! Who may be counted: the check of every message's sender.
//!
//! A disk that comes back empty starts under a new incarnation, and no membership counts that. A
//! disk that comes back from an old copy still carries its incarnation, and would vote and
//! acknowledge as if it held what it has lost; its symptom is a committed entry that vanishes after
//! the next election. Each keeper therefore remembers what it saw the others acknowledge, and a
//! process that starts from less than that is refused. The memory spreads with heartbeats and is
//! not synced: the note on agreement says what this leaves open.

use std::collections::{BTreeMap, VecDeque};

use super::entry::{KeeperId, LogIndex, Term};
use super::interface::{AgreementEffect, DropReason};
use super::message::{
    AgreementEnvelope, AgreementMessage, IdentityRejected, ObservedAck, ProcessStart,
};
use super::node::{AgreementNode, RoleState};
use super::progress::PeerProgress;

/// Starts of one keeper that stay accepted, so that late messages of an earlier life don't look
/// like an old disk.
const ACCEPTED_STARTS: usize = 8;

/// Keepers that are remembered; far above the size of any group.
const MAX_RECORDS: usize = 64;

/// Largest step between two terms that a message may take; a larger one is a broken sender.
const MAX_TERM_STEP: u64 = 1 << 32;

/// What is known of one keeper.
#[derive(Debug, Default)]
struct IdentityRecord {
    /// Accepted starts, latest last.
    starts: VecDeque<ProcessStart>,
    /// Highest acknowledgement, by term and then index.
    witnessed: (Term, LogIndex),
}

impl IdentityRecord {
    fn accept(&mut self, start: ProcessStart) -> bool {
        if self.starts.iter().any(|known| known.nonce == start.nonce) {
            return true;
        }
        let (term, index) = self.witnessed;
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

/// What is known of the other keepers' starts and acknowledgements.
///
/// Invariant: an acknowledgement is recorded only from what its keeper had synced.
#[derive(Debug, Default)]
pub(super) struct IdentityTable {
    records: BTreeMap<KeeperId, IdentityRecord>,
}

impl IdentityTable {
    /// Whether a start is that of a disk which holds all that was acknowledged.
    fn accept(&mut self, keeper: &KeeperId, start: ProcessStart) -> Result<(), (Term, LogIndex)> {
        if !self.records.contains_key(keeper) && self.records.len() >= MAX_RECORDS {
            return Ok(());
        }
        let record = self.records.entry(keeper.clone()).or_default();
        if record.accept(start) {
            return Ok(());
        }
        Err(record.witnessed)
    }

    /// Notes that `keeper` acknowledged `index`, or a vote, in `term`.
    pub(super) fn record_ack(&mut self, keeper: &KeeperId, term: Term, index: LogIndex) {
        if let Some(record) = self.records.get_mut(keeper) {
            record.witnessed = record.witnessed.max((term, index));
        }
    }

    /// What a leader's heartbeats tell of its peers.
    pub(super) fn records(&self, peers: &BTreeMap<KeeperId, PeerProgress>) -> Vec<ObservedAck> {
        let record_of = |keeper: &KeeperId| {
            let record = self.records.get(keeper)?;
            let (term, index) = record.witnessed;
            Some(ObservedAck {
                keeper: keeper.clone(),
                start: *record.starts.back()?,
                term,
                index,
            })
        };
        peers.keys().filter_map(record_of).collect()
    }

    /// Forgets keepers that `is_kept` names no longer.
    pub(super) fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&KeeperId) -> bool,
    {
        self.records.retain(|keeper, _| is_kept(keeper));
    }
}

impl AgreementNode {
    /// Checks sender and receiver of a message before its content is read.
    pub(super) fn admit(&mut self, envelope: &AgreementEnvelope) -> Result<(), DropReason> {
        if matches!(self.role, RoleState::Retired) {
            return Err(DropReason::Retired);
        }
        if envelope.to != self.id {
            return Err(DropReason::OtherReceiver);
        }
        if envelope.from == self.id {
            return Err(DropReason::OwnIdentity);
        }
        if self.log.membership().supersedes(&envelope.from) {
            return Err(DropReason::FormerIncarnation);
        }
        let highest = self.term().0.saturating_add(MAX_TERM_STEP);
        if envelope.message.term().is_some_and(|term| term.0 > highest) {
            return Err(DropReason::Malformed);
        }
        if !self.accept_start(&envelope.from, envelope.start) {
            return Err(DropReason::OldDisk);
        }
        Ok(())
    }

    /// Whether a start is that of a disk which holds all that was acknowledged; if not, its keeper
    /// is told.
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

    /// Takes a leader's records in. A start that this keeper itself has reason to refuse stays
    /// refused, also when the leader accepted it because it was restarted and remembers less.
    pub(super) fn merge_observed_acks(&mut self, records: Vec<ObservedAck>) {
        for record in records {
            if record.keeper != self.id && self.accept_start(&record.keeper, record.start) {
                self.identities
                    .record_ack(&record.keeper, record.term, record.index);
            }
        }
    }

    /// Retires when a member proves that this disk is older than what it acknowledged.
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
