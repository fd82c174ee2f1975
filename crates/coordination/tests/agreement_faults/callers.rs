//! Callers of the fake cluster: what they ask, and what they are told.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementInput, AgreementNode, KeeperId, MembershipChange, ProposalOutcome, ReadOutcome,
    RequestToken,
};
use rand::RngExt;

use super::cluster::{Cluster, Event, MILLISECOND};
use super::host::host_name;

/// What callers were told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallerTally {
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) reads: u64,
}

impl Cluster {
    pub(crate) fn propose(&mut self, host: usize) {
        let token = self.take_token();
        let command: Arc<[u8]> = Arc::from(token.0.to_be_bytes().as_slice());
        self.tick(host, vec![AgreementInput::Propose { token, command }]);
    }

    pub(crate) fn read(&mut self, host: usize) {
        let token = self.take_token();
        self.reading.insert(token, self.check.told_index);
        self.tick(host, vec![AgreementInput::Read { token }]);
    }

    pub(crate) fn hand_over(&mut self, from: usize, to: usize) {
        let token = self.take_token();
        let target = host_name(to);
        self.tick(from, vec![AgreementInput::HandOver { token, target }]);
    }

    pub(crate) fn change(&mut self, host: usize, change: MembershipChange) -> RequestToken {
        let token = self.take_token();
        self.tick(
            host,
            vec![AgreementInput::ChangeMembership { token, change }],
        );
        token
    }

    /// Repeats a change at whoever leads until it is in force; false after 20 s.
    pub(crate) fn change_until_done(&mut self, change: &MembershipChange) -> bool {
        for _ in 0..200 {
            if let Some(leader) = self.leader() {
                self.change(leader, change.clone());
            }
            self.run_for(100 * MILLISECOND);
            let membership = self.leader().and_then(|leader| self.node(leader));
            let is_done = membership.is_some_and(|node| is_in_force(node, change));
            if is_done {
                return true;
            }
        }
        self.check
            .violate(format!("{change:?} not in force after 20 s"));
        false
    }

    /// The whole replacement of a host whose disk was emptied.
    pub(crate) fn replace(&mut self, host: usize) {
        let id = self.id(host);
        self.change_until_done(&MembershipChange::AddLearner(id.clone()));
        self.change_until_done(&MembershipChange::Promote(id));
    }

    fn take_token(&mut self) -> RequestToken {
        self.next_token += 1;
        RequestToken(self.next_token)
    }

    /// One caller's request, mostly at a keeper that believes to lead, also a wrong one.
    pub(crate) fn run_client(&mut self) {
        self.schedule(self.now + self.client_interval, Event::Client);
        let random_host = self.random.random_range(0..self.hosts.len());
        let asks_leader = self.random.random_range(0..10) < 8;
        let leader = self.leader().filter(|_| asks_leader);
        let host = leader.unwrap_or(random_host);
        if self.hosts[host].is_paused || self.hosts[host].node.is_none() {
            return;
        }
        match self.random.random_range(0..10) {
            0..3 => self.read(host),
            _ => self.propose(host),
        }
    }

    pub(crate) fn note_proposal(&mut self, token: RequestToken, outcome: ProposalOutcome) {
        match outcome {
            ProposalOutcome::Committed(index) => {
                self.check.accepts(token, index);
                self.tally.accepted += 1;
                self.last_accepted_at = self.now;
            }
            ProposalOutcome::NotAppended(_) => {
                self.check.refuses(token);
                self.tally.refused += 1;
            }
            ProposalOutcome::Unknown => self.tally.unknown += 1,
        }
    }

    pub(crate) fn note_read(&mut self, host: usize, token: RequestToken, outcome: &ReadOutcome) {
        let known = self.reading.remove(&token);
        if let (Some(known), ReadOutcome::Ready(index)) = (known, outcome) {
            let applied = self.hosts[host].applied;
            self.check.reads(known, *index, applied);
            self.tally.reads += 1;
        }
    }
}

fn is_in_force(node: &AgreementNode, change: &MembershipChange) -> bool {
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
