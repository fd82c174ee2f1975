//! Planned hand-over of leadership, without unknown proposals and without an election timeout.

use super::entry::{KeeperId, Term};
use super::interface::{AgreementEffect, HandOverOutcome, RefusalReason, RequestToken};
use super::message::{AgreementMessage, VoteKind};
use super::node::{AgreementNode, RoleState};
use crate::base::{HostName, MonotonicTime};

/// A hand-over in progress.
#[derive(Clone, Debug)]
pub(super) struct HandOverState {
    pub(super) token: RequestToken,
    pub(super) target: KeeperId,
    /// Time at which the hand-over times out and this keeper continues to lead.
    pub(super) due: MonotonicTime,
    pub(super) is_sent: bool,
}

impl AgreementNode {
    /// Starts a hand-over; from now on this keeper refuses new proposals.
    pub(super) fn hand_over(&mut self, token: RequestToken, target: &HostName) {
        let state = match self.plan_hand_over(token, target) {
            Ok(state) => state,
            Err(reason) => {
                let outcome = HandOverOutcome::Refused(reason);
                self.effects
                    .push(AgreementEffect::HandOver { token, outcome });
                return;
            }
        };
        if let RoleState::Leader(leader) = &mut self.role {
            leader.hand_over = Some(state);
        }
    }

    fn plan_hand_over(
        &self,
        token: RequestToken,
        target: &HostName,
    ) -> Result<HandOverState, RefusalReason> {
        let leader = self.require_leader()?;
        if leader.hand_over.is_some() {
            return Err(RefusalReason::HandingOver);
        }
        let voters = &self.log.membership().voters;
        let target = voters
            .iter()
            .filter(|voter| voter.host == *target && **voter != self.id)
            .max()
            .cloned()
            .ok_or(RefusalReason::NotMember)?;
        let window = self.contact_window();
        let peer = leader.peers.get(&target);
        if !peer.is_some_and(|peer| peer.is_in_contact(self.now, window)) {
            return Err(RefusalReason::NotAnswering);
        }
        Ok(HandOverState {
            token,
            target,
            due: self.now.after(self.settings.election_timeout),
            is_sent: false,
        })
    }

    /// Sends `TimeoutNow` to the target once its log is complete and every entry is committed.
    pub(super) fn run_hand_over(&mut self) {
        let last_index = self.log.last_index();
        let is_committed = self.commit == last_index;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(expired) = leader.hand_over.take_if(|state| state.due <= self.now) {
            self.effects.push(AgreementEffect::HandOver {
                token: expired.token,
                outcome: HandOverOutcome::TimedOut,
            });
            return;
        }
        let Some(state) = &mut leader.hand_over else {
            return;
        };
        let matched = leader.peers.get(&state.target).map(|peer| peer.matched);
        if state.is_sent || !is_committed || matched != Some(last_index) {
            return;
        }
        state.is_sent = true;
        let target = state.target.clone();
        self.send(target, AgreementMessage::TimeoutNow(self.term()));
    }

    /// Starts an election at once when the leader of this term requests it.
    pub(super) fn on_timeout_now(&mut self, from: &KeeperId, term: Term) {
        let is_from_leader = term == self.term() && self.leader.as_ref() == Some(from);
        let may_start_election = matches!(self.role, RoleState::Follower) && self.is_voter();
        if is_from_leader && may_start_election {
            self.start_election(VoteKind::HandOver);
        }
    }
}
