//! Redundancy of the group, as observed by its leader.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::entry::KeeperId;
use super::interface::AgreementEffect;
use super::leader::LeaderState;
use super::membership_change::former_incarnation;
use super::node::{AgreementNode, RoleState};

/// Smallest number of voters that tolerates the loss of one.
const MIN_REDUNDANT_VOTERS: usize = 3;

/// Reason for incomplete redundancy.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RedundancyGap {
    /// The voter didn't answer within an election timeout.
    #[display("{_0} does not answer")]
    Silent(KeeperId),
    /// The voter answers, but has lacked committed entries for longer than an election timeout.
    #[display("{_0} lacks committed entries")]
    Behind(KeeperId),
    /// The keeper is a learner that catches up and doesn't vote yet.
    #[display("{_0} is being brought up to date")]
    Learning(KeeperId),
    /// The keeper is a former incarnation of a host and waits to be removed.
    #[display("{_0} waits to be removed")]
    Replaced(KeeperId),
    /// A group of fewer than three voters tolerates no loss.
    #[display("fewer than three voters")]
    TooFewVoters,
}

/// Number of losses that the group tolerates, and the reasons for incomplete redundancy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RedundancyReport {
    /// Voters that answer and have all committed entries, including the leader.
    pub current_voters: usize,
    /// Voters in the membership.
    pub voters: usize,
    /// Further voters that can fail now while the group still accepts changes.
    #[serde(rename = "losses_borne")]
    pub losses_tolerated: usize,
    /// Reasons for incomplete redundancy; empty if it is complete.
    pub gaps: Vec<RedundancyGap>,
}

impl RedundancyReport {
    /// Whether every voter is current and no repair is pending.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.gaps.is_empty()
    }
}

impl AgreementNode {
    /// Current redundancy of the group; `None` unless this keeper leads.
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
        if membership.voters.len() < MIN_REDUNDANT_VOTERS {
            report.gaps.push(RedundancyGap::TooFewVoters);
        }
        report.losses_tolerated = report.current_voters.saturating_sub(membership.quorum());
        report
    }

    /// Reports the redundancy if it changed.
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
