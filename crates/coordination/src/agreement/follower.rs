//! Handling of a leader's messages by a follower.

use super::entry::{KeeperId, LogEntry, LogIndex, Term};
use super::interface::MessageDropReason;
use super::message::{
    AgreementMessage, AppendOutcome, AppendReply, AppendRequest, Heartbeat, HeartbeatReply,
};
use super::node::{AgreementNode, RoleState};

impl AgreementNode {
    /// Accepts `from` as the leader of `term`, or replies that its term is stale.
    pub(super) fn accept_leader(&mut self, from: &KeeperId, term: Term) -> bool {
        if term < self.term() {
            // A leader ignores vote requests of later terms, so only this reply tells the leader of
            // an earlier term about the current one.
            let reply = AppendReply {
                term: self.term(),
                outcome: AppendOutcome::StaleTerm,
            };
            self.send_after_persist(from.clone(), AgreementMessage::AppendReply(reply));
            return false;
        }
        let is_leader = matches!(self.role, RoleState::Leader(_));
        let has_other_leader = self.leader.as_ref().is_some_and(|leader| leader != from);
        if term == self.term() && (is_leader || has_other_leader) {
            self.drop_message(from.clone(), MessageDropReason::Malformed);
            return false;
        }
        self.follow(term, Some(from.clone()));
        self.leader_seen_at = Some(self.now);
        self.reset_election_timer();
        true
    }

    /// Answers a heartbeat at once: the reply proves reachability and the term, no synced state.
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

    /// Appends a leader's entries; the reply is sent after their sync.
    pub(super) fn on_append(&mut self, from: KeeperId, request: AppendRequest) {
        if !is_well_formed(&request) {
            self.drop_message(from, MessageDropReason::Malformed);
            return;
        }
        if !self.accept_leader(&from, request.term) {
            return;
        }
        let outcome = match self.log.term_at(request.prev_index) {
            // Committed entries match the log of every later leader.
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
                self.drop_message(from.clone(), MessageDropReason::Malformed);
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

    /// Whether the log contains this entry, or contained it before compaction.
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
