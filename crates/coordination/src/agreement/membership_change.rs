//! Membership changes of one keeper at a time.

use super::entry::{EntryPayload, KeeperId, Membership};
use super::interface::{
    AgreementEffect, MembershipChange, ProposalOutcome, RefusalReason, RequestToken,
};
use super::leader::{LeaderState, PendingEntry};
use super::node::{AgreementNode, RoleState};

impl AgreementNode {
    /// Appends a changed membership, or reports the reason for refusing it.
    pub(super) fn change_membership(&mut self, token: RequestToken, change: MembershipChange) {
        match self.plan_change(change) {
            Ok(membership) => {
                self.record_promotion(&membership);
                self.append_membership(membership, Some(token));
            }
            Err(reason) => {
                let outcome = ProposalOutcome::NotAppended(reason);
                self.effects
                    .push(AgreementEffect::MembershipChange { token, outcome });
            }
        }
    }

    /// Records the time of a promotion, which may replace a lost voter.
    fn record_promotion(&mut self, membership: &Membership) {
        let is_promotion = membership.voters.len() > self.log.membership().voters.len();
        let now = self.now;
        if let RoleState::Leader(leader) = &mut self.role
            && is_promotion
        {
            leader.promoted_at = Some(now);
        }
    }

    pub(super) fn append_membership(
        &mut self,
        membership: Membership,
        token: Option<RequestToken>,
    ) {
        let index = self.append_own(EntryPayload::Membership(membership));
        if let RoleState::Leader(leader) = &mut self.role {
            leader.change = token.map(|token| PendingEntry {
                index,
                token,
                bytes: 0,
            });
        }
        self.refresh_peers();
    }

    fn plan_change(&self, change: MembershipChange) -> Result<Membership, RefusalReason> {
        let leader = self.require_leader()?;
        if leader.hand_over.is_some() {
            return Err(RefusalReason::HandingOver);
        }
        if !self.may_change_membership() {
            return Err(RefusalReason::ChangePending);
        }
        let membership = self.log.membership().clone();
        match change {
            MembershipChange::AddLearner(keeper) => add_learner(membership, keeper),
            MembershipChange::Promote(keeper) => self.promote(leader, membership, keeper),
            MembershipChange::Remove(keeper) => self.remove(leader, membership, &keeper),
        }
    }

    /// Whether a membership change is allowed: the previous one and an entry of the current term
    /// must be committed, since two memberships that differ by more than one voter could elect two
    /// leaders.
    pub(super) fn may_change_membership(&self) -> bool {
        self.has_committed_in_term() && self.log.membership_index() <= self.commit
    }

    fn promote(
        &self,
        leader: &LeaderState,
        mut membership: Membership,
        keeper: KeeperId,
    ) -> Result<Membership, RefusalReason> {
        if !membership.learners.remove(&keeper) {
            return Err(RefusalReason::NotLearner);
        }
        let window = self.contact_window();
        let is_current = |peer: &super::progress::PeerProgress| peer.is_current(self.now, window);
        if !leader.peers.get(&keeper).is_some_and(is_current) {
            return Err(RefusalReason::NotCaughtUp);
        }
        membership.voters.insert(keeper);
        self.check_quorum(leader, membership)
    }

    fn remove(
        &self,
        leader: &LeaderState,
        mut membership: Membership,
        keeper: &KeeperId,
    ) -> Result<Membership, RefusalReason> {
        if *keeper == self.id {
            return Err(RefusalReason::HandOverFirst);
        }
        if membership.learners.remove(keeper) {
            return Ok(membership);
        }
        if !membership.voters.remove(keeper) {
            return Err(RefusalReason::NotMember);
        }
        self.check_quorum(leader, membership)
    }

    /// Refuses a membership without an answering quorum, since the group couldn't even undo it.
    pub(super) fn check_quorum(
        &self,
        leader: &LeaderState,
        membership: Membership,
    ) -> Result<Membership, RefusalReason> {
        let answers = |voter: &&KeeperId| {
            let peer = leader.peers.get(*voter);
            **voter == self.id
                || peer.is_some_and(|peer| peer.is_in_contact(self.now, self.contact_window()))
        };
        let answering = membership.voters.iter().filter(answers).count();
        if answering < membership.quorum() {
            return Err(RefusalReason::QuorumAtRisk);
        }
        Ok(membership)
    }

    /// Removes a former incarnation of a host whose later incarnation votes.
    ///
    /// Until then the former incarnation counts in the quorum size, and one more loss stops a group
    /// of three. Every leader does this, including one elected after the promotion.
    pub(super) fn remove_former_incarnations(&mut self) {
        if !matches!(self.role, RoleState::Leader(_)) || !self.may_change_membership() {
            return;
        }
        let membership = self.log.membership();
        let Some(former) = former_incarnation(membership, &self.id).cloned() else {
            return;
        };
        let mut membership = membership.clone();
        membership.voters.remove(&former);
        membership.learners.remove(&former);
        self.append_membership(membership, None);
    }
}

/// A member whose host has a later incarnation among the voters.
pub(super) fn former_incarnation<'a>(
    membership: &'a Membership,
    own: &KeeperId,
) -> Option<&'a KeeperId> {
    membership.keepers().find(|keeper| {
        let is_later =
            |other: &&KeeperId| other.host == keeper.host && other.incarnation > keeper.incarnation;
        *keeper != own && membership.voters.iter().any(|other| is_later(&other))
    })
}

fn add_learner(mut membership: Membership, keeper: KeeperId) -> Result<Membership, RefusalReason> {
    let is_same_or_later =
        |member: &KeeperId| member.host == keeper.host && member.incarnation >= keeper.incarnation;
    if membership.keepers().any(is_same_or_later) {
        return Err(RefusalReason::AlreadyMember);
    }
    membership
        .learners
        .retain(|learner| learner.host != keeper.host);
    membership.learners.insert(keeper);
    Ok(membership)
}
