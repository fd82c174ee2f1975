//! Linearizable reads that use a quorum check and make no assumption about clocks.
//!
//! A read is ready once a quorum answered a heartbeat that was sent after the read arrived: no
//! later leader can have committed an entry before then. Reads that wait together share one round.

use std::collections::VecDeque;

use super::entry::LogIndex;
use super::interface::{AgreementEffect, ReadOutcome, RefusalReason, RequestToken};
use super::leader::QuorumView;
use super::message::HeartbeatRound;
use super::node::{AgreementNode, RoleState};

/// A read that waits for the replies to its heartbeat round.
#[derive(Clone, Copy, Debug)]
struct CheckedRead {
    token: RequestToken,
    index: LogIndex,
    round: HeartbeatRound,
}

/// Pending reads of one leadership.
///
/// Invariant: rounds and indices never decrease along `checking`.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    waiting: Vec<RequestToken>,
    checking: VecDeque<CheckedRead>,
}

impl ReadQueue {
    /// Whether the reads need a new round: some wait, and no round is in progress.
    pub(super) fn needs_round(&self) -> bool {
        !self.waiting.is_empty() && self.checking.is_empty()
    }

    /// Assigns the waiting reads to a round that is about to be sent.
    pub(super) fn join_round(&mut self, round: HeartbeatRound, index: LogIndex) {
        let reads = self.waiting.drain(..).map(|token| CheckedRead {
            token,
            index,
            round,
        });
        self.checking.extend(reads);
    }

    pub(super) fn into_tokens(self) -> Vec<RequestToken> {
        let checking = self.checking.into_iter().map(|read| read.token);
        checking.chain(self.waiting).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len().saturating_add(self.checking.len())
    }
}

impl AgreementNode {
    /// Queues a read, or refuses it.
    pub(super) fn read(&mut self, token: RequestToken) {
        if let Err(reason) = self.queue_read(token) {
            let outcome = ReadOutcome::Refused(reason);
            self.effects.push(AgreementEffect::Read { token, outcome });
        }
    }

    fn queue_read(&mut self, token: RequestToken) -> Result<(), RefusalReason> {
        self.require_leader()?;
        let limit = self.settings.max_pending_reads;
        let RoleState::Leader(leader) = &mut self.role else {
            return Ok(());
        };
        if leader.reads.len() >= limit {
            return Err(RefusalReason::Busy);
        }
        leader.reads.waiting.push(token);
        Ok(())
    }

    /// Answers the reads whose round a quorum answered; must run after delivery.
    pub(super) fn finish_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let own = leader.round;
        let quorum = QuorumView {
            membership: self.log.membership(),
            keeper: &self.id,
        };
        let answered = leader.quorum_value(&quorum, own, |peer| peer.answered_round);
        let Some(answered) = answered else {
            return;
        };
        while let Some(read) = leader.reads.checking.front().copied() {
            if read.round > answered {
                break;
            }
            leader.reads.checking.pop_front();
            self.effects.push(AgreementEffect::Read {
                token: read.token,
                outcome: ReadOutcome::Ready(read.index),
            });
        }
    }
}
