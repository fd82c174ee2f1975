//! Removal of permanently lost voters.

use super::entry::KeeperId;
use super::node::{AgreementNode, RoleState};
use crate::base::MonotonicTime;

/// Smallest number of voters that removal leaves; a smaller group tolerates no loss.
const MIN_VOTERS: usize = 3;

impl AgreementNode {
    /// Removes one voter that didn't answer for `lost_voter_timeout`.
    ///
    /// A lost disk counts in the quorum size until its voter is removed. A group of three that lost
    /// one keeper and added another has four voters and needs three of them, so the next loss would
    /// stop it. A voter that was only cut off asks to join again once it returns.
    ///
    /// A voter whose replacement already votes is removed after one election timeout.
    pub(super) fn remove_lost_voters(&mut self) {
        let Some(lost_voter_timeout) = self.settings.lost_voter_timeout else {
            return;
        };
        if !matches!(self.role, RoleState::Leader(_)) || !self.may_change_membership() {
            return;
        }
        let replaced_timeout = self.settings.election_timeout;
        let Some((voter, contact_at)) = self.longest_unreachable() else {
            return;
        };
        let unanswered_for = self.now.since(contact_at);
        let is_replaced = self.promoted_after(contact_at) && unanswered_for >= replaced_timeout;
        if !is_replaced && unanswered_for < lost_voter_timeout {
            return;
        }
        if self.remove_voter(&voter) {
            self.clear_promotion();
        }
    }

    /// The voter with the oldest answered heartbeat, and the sending time of that heartbeat.
    fn longest_unreachable(&self) -> Option<(KeeperId, MonotonicTime)> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        let voters = self.log.membership().voters.iter();
        let others = voters.filter_map(|voter| {
            let peer = leader.peers.get(voter)?;
            Some((voter.clone(), peer.contact_at))
        });
        others.min_by_key(|(_, contact_at)| *contact_at)
    }

    fn promoted_after(&self, time: MonotonicTime) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        leader.promoted_at.is_some_and(|promoted| promoted > time)
    }

    fn clear_promotion(&mut self) {
        if let RoleState::Leader(leader) = &mut self.role {
            leader.promoted_at = None;
        }
    }

    fn remove_voter(&mut self, voter: &KeeperId) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        let mut membership = self.log.membership().clone();
        membership.voters.remove(voter);
        if membership.voters.len() < MIN_VOTERS {
            return false;
        }
        let Ok(membership) = self.check_quorum(leader, membership) else {
            return false;
        };
        self.append_membership(membership, None);
        true
    }
}
