//! Elections: pre-vote, vote, and stepping down.
//!
//! A keeper whose election timer expires first asks whether it would win (pre-vote), so a keeper
//! that returns from a partition never deposes a leader that the others still receive heartbeats
//! from. A keeper with an active leader grants no vote, unless that leader itself requested the
//! hand-over.

use std::collections::BTreeSet;

use super::entry::{EntryPayload, HardState, KeeperId, LogIndex, Term};
use super::leader::LeaderState;
use super::message::{AgreementMessage, VoteKind, VoteReply, VoteRequest};
use super::node::{AgreementNode, RoleState};
use super::persist::PendingAction;

/// Replies that a candidate received.
///
/// Invariant: only voters of the current membership are counted, each under its full identity.
#[derive(Debug, Default)]
pub(super) struct VoteCount {
    granted: BTreeSet<KeeperId>,
    rejected: BTreeSet<KeeperId>,
}

impl AgreementNode {
    /// Starts a pre-vote when no heartbeat or append arrived within the election timeout.
    pub(super) fn run_election_timer(&mut self) {
        let is_due = self.now >= self.election_due;
        let may_start_election = !matches!(self.role, RoleState::Leader(_) | RoleState::Retired);
        if is_due && may_start_election && self.is_voter() {
            self.start_pre_vote();
        }
    }

    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.reset_retry_timer();
        let mut count = VoteCount::default();
        count.granted.insert(self.id.clone());
        self.role = RoleState::PreCandidate(count);
        self.request_votes(VoteKind::PreVote, self.term().next());
        self.count_votes();
    }

    /// Increments the term and requests votes in it.
    pub(super) fn start_election(&mut self, kind: VoteKind) {
        self.hard_state = HardState {
            term: self.term().next(),
            voted_for: Some(self.id.clone()),
        };
        self.writes.set_hard_state(self.hard_state.clone());
        self.leader = None;
        self.snapshot_assembly = None;
        self.reset_retry_timer();
        self.role = RoleState::Candidate(VoteCount::default());
        self.request_votes(kind, self.term());
        self.after_persist(PendingAction::CountOwnVote(self.term()));
    }

    fn request_votes(&mut self, kind: VoteKind, term: Term) {
        let request = VoteRequest {
            kind,
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let mut others = self.log.membership().voters.clone();
        others.remove(&self.id);
        for voter in others {
            let message = AgreementMessage::VoteRequest(request.clone());
            self.send_after_persist(voter, message);
        }
    }

    /// Counts this keeper's own vote after its sync, since a crash can no longer lose it.
    pub(super) fn count_own_vote(&mut self, term: Term) {
        if term != self.term() {
            return;
        }
        if let RoleState::Candidate(count) = &mut self.role {
            count.granted.insert(self.id.clone());
            self.count_votes();
        }
    }

    /// Answers a vote request; a pre-vote only reports whether the vote would be granted.
    pub(super) fn on_vote_request(&mut self, from: KeeperId, request: &VoteRequest) {
        let has_active_leader = request.kind != VoteKind::HandOver && self.has_active_leader();
        if has_active_leader && request.term >= self.term() {
            return;
        }
        if request.kind == VoteKind::PreVote {
            self.reply_pre_vote(from, request);
            return;
        }
        if request.term > self.term() {
            self.follow(request.term, None);
        }
        let may_vote = match &self.hard_state.voted_for {
            Some(voted_for) => *voted_for == from,
            None => self.leader.is_none(),
        };
        let granted = request.term == self.term() && may_vote && self.is_up_to_date(request);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from.clone());
            self.writes.set_hard_state(self.hard_state.clone());
        }
        if granted {
            self.reset_election_timer();
        }
        self.reply_vote(from, request, granted);
    }

    fn reply_pre_vote(&mut self, from: KeeperId, request: &VoteRequest) {
        let granted = request.term > self.term() && self.is_up_to_date(request);
        self.reply_vote(from, request, granted);
    }

    fn reply_vote(&mut self, to: KeeperId, request: &VoteRequest, granted: bool) {
        let reply = VoteReply {
            kind: request.kind,
            term: if granted { request.term } else { self.term() },
            granted,
        };
        self.send_after_persist(to, AgreementMessage::VoteReply(reply));
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let theirs = (request.last_term, request.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }

    /// Whether this keeper leads, or its leader contacted it within the shortest election timeout.
    fn has_active_leader(&self) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        let is_recent =
            |leader_seen_at| self.now.since(leader_seen_at) < self.settings.election_timeout;
        self.leader.is_some() && self.leader_seen_at.is_some_and(is_recent)
    }

    /// Counts a reply to this keeper's vote request.
    pub(super) fn on_vote_reply(&mut self, from: KeeperId, reply: &VoteReply) {
        if !reply.granted && reply.term > self.term() {
            self.follow(reply.term, None);
            return;
        }
        let requested_term = match reply.kind {
            VoteKind::PreVote => self.term().next(),
            VoteKind::Election | VoteKind::HandOver => self.term(),
        };
        let is_pre_vote = reply.kind == VoteKind::PreVote;
        let count = match &mut self.role {
            RoleState::PreCandidate(count) if is_pre_vote => count,
            RoleState::Candidate(count) if !is_pre_vote => count,
            _ => return,
        };
        if reply.granted && reply.term == requested_term {
            count.granted.insert(from.clone());
        } else if !reply.granted {
            count.rejected.insert(from.clone());
        }
        if reply.granted && !is_pre_vote {
            self.identities.record_ack(&from, reply.term, LogIndex(0));
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let (count, is_pre_vote) = match &self.role {
            RoleState::PreCandidate(count) => (count, true),
            RoleState::Candidate(count) => (count, false),
            _ => return,
        };
        let granted = count.granted.intersection(&membership.voters).count();
        let rejected = count.rejected.intersection(&membership.voters).count();
        let is_won = granted >= membership.quorum();
        let is_lost = rejected >= membership.quorum();
        match (is_won, is_pre_vote) {
            (true, true) => self.start_election(VoteKind::Election),
            (true, false) => self.become_leader(),
            (false, _) if is_lost => self.role = RoleState::Follower,
            (false, _) => {}
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.id.clone());
        let term_start = self.log.last_index().next();
        let leader = LeaderState::new(term_start, self.now);
        self.role = RoleState::Leader(Box::new(leader));
        self.refresh_peers();
        self.append_own(EntryPayload::Noop);
    }

    /// Becomes a follower of `leader` (`None`: not known yet) in `term`, and resolves the pending
    /// requests of a leadership that ends.
    pub(super) fn follow(&mut self, term: Term, leader: Option<KeeperId>) {
        if term > self.term() {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.writes.set_hard_state(self.hard_state.clone());
            self.snapshot_assembly = None;
            self.leader = None;
            self.leader_seen_at = None;
        }
        if leader.is_some() {
            self.leader = leader;
        }
        if matches!(self.role, RoleState::Retired) {
            return;
        }
        let role = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leader) = role {
            self.leader = self.leader.take().filter(|known| *known != self.id);
            self.reset_election_timer();
            self.resolve_deposed(*leader);
        }
    }
}
