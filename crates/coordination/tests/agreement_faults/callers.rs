//! Callers of the simulated cluster: their requests and the outcomes that they receive.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementInput, AgreementNode, KeeperId, MembershipChange, ProposalOutcome, ReadOutcome,
    RequestToken,
};
use rand::RngExt;

use super::cluster::{Cluster, Event, MILLISECOND};
use super::host::host_name;

/// Number of outcomes that callers received, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallerTally {
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) reads: u64,
}

impl Cluster {
    pub(crate) fn propose(&mut self, host: usize) {
        let token = self.new_token();
        let command: Arc<[u8]> = Arc::from(token.0.to_be_bytes().as_slice());
        self.tick(host, vec![AgreementInput::Propose { token, command }]);
    }

    pub(crate) fn read(&mut self, host: usize) {
        let token = self.new_token();
        self.pending_reads.insert(token, self.check.answered_index);
        self.tick(host, vec![AgreementInput::Read { token }]);
    }

    pub(crate) fn hand_over(&mut self, from: usize, to: usize) {
        let token = self.new_token();
        let target = host_name(to);
        self.tick(from, vec![AgreementInput::HandOver { token, target }]);
    }

    pub(crate) fn change(&mut self, host: usize, change: MembershipChange) -> RequestToken {
        let token = self.new_token();
        self.tick(
            host,
            vec![AgreementInput::ChangeMembership { token, change }],
        );
        token
    }

    /// Repeats a change at the current leader until it is in effect; false after 20 s.
    pub(crate) fn change_until_done(&mut self, change: &MembershipChange) -> bool {
        for _ in 0..200 {
            if let Some(leader) = self.leader() {
                self.change(leader, change.clone());
            }
            self.run_for(100 * MILLISECOND);
            let membership = self.leader().and_then(|leader| self.node(leader));
            let is_done = membership.is_some_and(|node| is_in_effect(node, change));
            if is_done {
                return true;
            }
        }
        self.check
            .record_violation(format!("{change:?} not in effect after 20 s"));
        false
    }

    /// Replaces a host whose disk was emptied: adds its new incarnation and promotes it.
    pub(crate) fn replace(&mut self, host: usize) {
        let id = self.id(host);
        self.change_until_done(&MembershipChange::AddLearner(id.clone()));
        self.change_until_done(&MembershipChange::Promote(id));
    }

    fn new_token(&mut self) -> RequestToken {
        self.next_token += 1;
        RequestToken(self.next_token)
    }

    /// Sends one caller's request, mostly to a keeper that claims to lead, sometimes to another.
    pub(crate) fn run_client(&mut self) {
        self.schedule(self.now + self.client_interval, Event::Client);
        let random_host = self.random.random_range(0..self.hosts.len());
        let uses_leader = self.random.random_range(0..10) < 8;
        let leader = self.leader().filter(|_| uses_leader);
        let host = leader.unwrap_or(random_host);
        if self.hosts[host].is_paused || self.hosts[host].node.is_none() {
            return;
        }
        match self.random.random_range(0..10) {
            0..3 => self.read(host),
            _ => self.propose(host),
        }
    }

    pub(crate) fn record_proposal(&mut self, token: RequestToken, outcome: ProposalOutcome) {
        match outcome {
            ProposalOutcome::Committed(index) => {
                self.check.check_accepted(token, index);
                self.tally.accepted += 1;
                self.last_accepted_at = self.now;
            }
            ProposalOutcome::NotAppended(_) => {
                self.check.record_refused(token);
                self.tally.refused += 1;
            }
            ProposalOutcome::Unknown => self.tally.unknown += 1,
        }
    }

    pub(crate) fn record_read(&mut self, host: usize, token: RequestToken, outcome: &ReadOutcome) {
        let known = self.pending_reads.remove(&token);
        if let (Some(known), ReadOutcome::Ready(index)) = (known, outcome) {
            let applied = self.hosts[host].applied;
            self.check.check_read(known, *index, applied);
            self.tally.reads += 1;
        }
    }
}

fn is_in_effect(node: &AgreementNode, change: &MembershipChange) -> bool {
    let membership = node.membership();
    let is_former = |keeper: &KeeperId, other: &KeeperId| {
        keeper.host == other.host && keeper.incarnation < other.incarnation
    };
    match change {
        MembershipChange::AddLearner(keeper) => membership.contains(keeper),
        MembershipChange::Promote(keeper) => {
            let has_former = membership.keepers().any(|other| is_former(other, keeper));
            membership.voters.contains(keeper) && !has_former
        }
        MembershipChange::Remove(keeper) => !membership.contains(keeper),
    }
}
