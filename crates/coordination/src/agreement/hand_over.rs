//! Planned hand-over of leadership: no proposal is left unknown, and no election timeout passes.

use super::entry::{KeeperId, Term};
use super::interface::{AgreementEffect, HandOverOutcome, RefusalReason, RequestToken};
use super::message::{AgreementMessage, VoteKind};
use super::node::{AgreementNode, RoleState};
use crate::base::{HostName, MonotonicTime};

/// A hand-over that was ordered.
#[derive(Clone, Debug)]
pub(super) struct HandOverState {
    pub(super) token: RequestToken,
    pub(super) target: KeeperId,
    /// When this keeper gives up and leads on.
    pub(super) due: MonotonicTime,
    pub(super) is_sent: bool,
}

impl AgreementNode {
    /// Starts to hand leadership over; new proposals are refused from now on.
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

    /// Orders the target to stand once it holds everything and nothing is left uncommitted.
    pub(super) fn run_hand_over(&mut self) {
        let last_index = self.log.last_index();
        let is_settled = self.commit == last_index;
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
        if state.is_sent || !is_settled || matched != Some(last_index) {
            return;
        }
        state.is_sent = true;
        let target = state.target.clone();
        self.send(target, AgreementMessage::TimeoutNow(self.term()));
    }

    /// Stands at once, on the leader's order.
    pub(super) fn on_timeout_now(&mut self, from: &KeeperId, term: Term) {
        let is_ordered = term == self.term() && self.leader.as_ref() == Some(from);
        let may_stand = matches!(self.role, RoleState::Follower) && self.is_voter();
        if is_ordered && may_stand {
            self.start_election(VoteKind::HandOver);
        }
    }
}
