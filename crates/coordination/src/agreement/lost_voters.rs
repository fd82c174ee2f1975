//! Voters that are gone for good, taken out once they are replaced.

use super::entry::KeeperId;
use super::node::{AgreementNode, RoleState};
use crate::base::MonotonicTime;

/// Voters that a group keeps, whoever is silent: with fewer it would bear no loss.
const SMALLEST_GROUP: usize = 3;

impl AgreementNode {
    /// Takes one voter out that has been silent for the time that the settings name.
    ///
    /// A lost disk counts in the size of the quorum until it is taken out. A group of three that
    /// lost one, and got another in its place, has four voters and needs three of them: the next
    /// loss would stop it. A voter that was only cut off asks to join again once it is back.
    ///
    /// One whose replacement votes already is taken out much sooner.
    pub(super) fn retire_lost_voters(&mut self) {
        let Some(patience) = self.settings.lost_voter_timeout else {
            return;
        };
        if !matches!(self.role, RoleState::Leader(_)) || !self.may_change_membership() {
            return;
        }
        let replaced = self.settings.election_timeout;
        let Some((voter, contact_at)) = self.longest_silent() else {
            return;
        };
        let silence = self.now.since(contact_at);
        let is_replaced = self.promoted_after(contact_at) && silence >= replaced;
        if !is_replaced && silence < patience {
            return;
        }
        if self.remove_silent(&voter) {
            self.forget_promotion();
        }
    }

    /// The voter that answered longest ago, and when.
    fn longest_silent(&self) -> Option<(KeeperId, MonotonicTime)> {
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

    fn forget_promotion(&mut self) {
        if let RoleState::Leader(leader) = &mut self.role {
            leader.promoted_at = None;
        }
    }

    fn remove_silent(&mut self, voter: &KeeperId) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        let mut membership = self.log.membership().clone();
        membership.voters.remove(voter);
        if membership.voters.len() < SMALLEST_GROUP {
            return false;
        }
        let Ok(membership) = self.check_quorum(leader, membership) else {
            return false;
        };
        self.append_membership(membership, None);
        true
    }
}
