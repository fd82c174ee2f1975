//! What the group can lose, as seen by its leader.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::entry::KeeperId;
use super::interface::AgreementEffect;
use super::leader::LeaderState;
use super::membership_change::former_incarnation;
use super::node::{AgreementNode, RoleState};

/// Voters below which no loss can be borne.
const SMALLEST_REDUNDANT_GROUP: usize = 3;

/// Why redundancy is not whole.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RedundancyGap {
    /// The voter did not answer for an election timeout.
    #[display("{_0} does not answer")]
    Silent(KeeperId),
    /// The voter answers, but lacked committed entries for longer than an election timeout.
    #[display("{_0} lacks committed entries")]
    Behind(KeeperId),
    /// The keeper is being brought up to date and does not count yet.
    #[display("{_0} is being brought up to date")]
    Learning(KeeperId),
    /// The voter is a former incarnation of a host and waits to be removed.
    #[display("{_0} waits to be removed")]
    Replaced(KeeperId),
    /// A group of fewer than three voters can lose none.
    #[display("fewer than three voters")]
    TooFewVoters,
}

/// What the group can lose.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RedundancyReport {
    /// Voters that answer and hold all that is committed, the leader included.
    pub current_voters: usize,
    /// Voters in the membership.
    pub voters: usize,
    /// Further keepers that can be lost now while changes are still accepted.
    pub losses_borne: usize,
    /// Why redundancy is not whole; empty where it is.
    pub gaps: Vec<RedundancyGap>,
}

impl RedundancyReport {
    /// Whether every voter counts and nothing waits to be repaired.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.gaps.is_empty()
    }
}

impl AgreementNode {
    /// What the group can lose now; `None` unless this keeper leads.
    #[must_use]
    pub fn redundancy(&self) -> Option<RedundancyReport> {
        match &self.role {
            RoleState::Leader(leader) => Some(self.report(leader)),
            _ => None,
        }
    }

    fn report(&self, leader: &LeaderState) -> RedundancyReport {
        let membership = self.log.membership();
        let window = self.contact_window();
        let mut report = RedundancyReport {
            current_voters: 1,
            voters: membership.voters.len(),
            ..RedundancyReport::default()
        };
        for voter in membership.voters.iter().filter(|voter| **voter != self.id) {
            let Some(peer) = leader.peers.get(voter) else {
                continue;
            };
            if !peer.is_in_contact(self.now, window) {
                report.gaps.push(RedundancyGap::Silent(voter.clone()));
            } else if !peer.is_current(self.now, window) {
                report.gaps.push(RedundancyGap::Behind(voter.clone()));
            } else {
                report.current_voters = report.current_voters.saturating_add(1);
            }
        }
        let learners = membership.learners.iter().cloned();
        report.gaps.extend(learners.map(RedundancyGap::Learning));
        let former = former_incarnation(membership, &self.id).cloned();
        report.gaps.extend(former.map(RedundancyGap::Replaced));
        if membership.voters.len() < SMALLEST_REDUNDANT_GROUP {
            report.gaps.push(RedundancyGap::TooFewVoters);
        }
        report.losses_borne = report.current_voters.saturating_sub(membership.quorum());
        report
    }

    /// Tells a changed report.
    pub(super) fn report_redundancy(&mut self) {
        let Some(report) = self.redundancy() else {
            return;
        };
        if let RoleState::Leader(leader) = &mut self.role {
            if leader.reported_redundancy.as_ref() == Some(&report) {
                return;
            }
            leader.reported_redundancy = Some(report.clone());
        }
        self.effects
            .push(AgreementEffect::RedundancyChanged(report));
    }
}
