//! What a follower does with a leader's messages.

use super::entry::{KeeperId, LogEntry, LogIndex, Term};
use super::interface::DropReason;
use super::message::{
    AgreementMessage, AppendOutcome, AppendReply, AppendRequest, Heartbeat, HeartbeatReply,
};
use super::node::{AgreementNode, RoleState};

impl AgreementNode {
    /// Accepts `from` as the leader of `term`, or answers that its term is over.
    pub(super) fn accept_leader(&mut self, from: &KeeperId, term: Term) -> bool {
        if term < self.term() {
            // A leader of a former term learns of the later one only from such an answer, since
            // it hears no vote requests while it leads.
            let reply = AppendReply {
                term: self.term(),
                outcome: AppendOutcome::StaleTerm,
            };
            self.send_after_persist(from.clone(), AgreementMessage::AppendReply(reply));
            return false;
        }
        let leads_itself = matches!(self.role, RoleState::Leader(_));
        let has_other = self.leader.as_ref().is_some_and(|leader| leader != from);
        if term == self.term() && (leads_itself || has_other) {
            self.drop_message(from.clone(), DropReason::Malformed);
            return false;
        }
        self.follow(term, Some(from.clone()));
        self.heard_at = Some(self.now);
        self.reset_election_timer();
        true
    }

    /// Answers a heartbeat at once: it proves reachability and the term, nothing that is synced.
    pub(super) fn on_heartbeat(&mut self, from: KeeperId, heartbeat: Heartbeat) {
        if !self.accept_leader(&from, heartbeat.term) {
            return;
        }
        self.merge_observed_acks(heartbeat.witnessed);
        let reply = HeartbeatReply {
            term: self.term(),
            round: heartbeat.round,
            sent_at: heartbeat.sent_at,
            commit: self.commit,
        };
        self.send(from, AgreementMessage::HeartbeatReply(reply));
    }

    /// Takes a leader's entries in; the answer leaves once they are synced.
    pub(super) fn on_append(&mut self, from: KeeperId, request: AppendRequest) {
        if !is_well_formed(&request) {
            self.drop_message(from, DropReason::Malformed);
            return;
        }
        if !self.accept_leader(&from, request.term) {
            return;
        }
        let outcome = match self.log.term_at(request.prev_index) {
            // What is committed here agrees with every later leader's log.
            _ if request.prev_index < self.commit => self.append_entries(&from, request),
            Some(term) if term == request.prev_term => self.append_entries(&from, request),
            _ => Some(self.mismatch(&request)),
        };
        let Some(outcome) = outcome else {
            return;
        };
        let reply = AppendReply {
            term: self.term(),
            outcome,
        };
        self.send_after_persist(from, AgreementMessage::AppendReply(reply));
    }

    fn mismatch(&self, request: &AppendRequest) -> AppendOutcome {
        let (hint_index, hint_term) = self
            .log
            .conflict_hint(request.prev_index, request.prev_term);
        AppendOutcome::Mismatch {
            refused: request.prev_index,
            hint_index,
            hint_term,
        }
    }

    fn append_entries(&mut self, from: &KeeperId, request: AppendRequest) -> Option<AppendOutcome> {
        let last = last_index_of(&request);
        let commit = request.commit.min(last);
        let new_entries: Vec<LogEntry> = request
            .entries
            .into_iter()
            .skip_while(|entry| self.holds(entry))
            .collect();
        if let Some(first) = new_entries.first().map(|entry| entry.index) {
            if first <= self.commit {
                self.drop_message(from.clone(), DropReason::Malformed);
                return None;
            }
            if first <= self.log.last_index() {
                self.log.truncate_from(first);
                self.writes.truncate_from(first);
            }
            for entry in new_entries {
                self.log.push(entry);
            }
        }
        self.commit = self.commit.max(commit);
        Some(AppendOutcome::Matched(last.max(self.commit)))
    }

    /// Whether the log holds this entry, or held it before it was compacted.
    fn holds(&self, entry: &LogEntry) -> bool {
        entry.index <= self.log.base_index() || self.log.term_at(entry.index) == Some(entry.term)
    }
}

fn last_index_of(request: &AppendRequest) -> LogIndex {
    request
        .entries
        .last()
        .map_or(request.prev_index, |entry| entry.index)
}

fn is_well_formed(request: &AppendRequest) -> bool {
    let mut index = request.prev_index;
    let mut term = request.prev_term;
    for entry in &request.entries {
        if entry.index != index.next() || entry.term < term || entry.index == index {
            return false;
        }
        index = entry.index;
        term = entry.term;
    }
    term <= request.term
}
