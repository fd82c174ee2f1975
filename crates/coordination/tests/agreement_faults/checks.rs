//! Invariants that are checked after every step, whatever fails.

use std::collections::BTreeMap;

use pollendrift_coordination::agreement::{
    AgreementEnvelope, AgreementMessage, AgreementNode, EntryPayload, KeeperId, LogEntry, LogIndex,
    RequestToken, Term, VoteKind,
};

/// The history that all keepers must share, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct HistoryCheck {
    committed: Vec<LogEntry>,
    leaders: BTreeMap<Term, KeeperId>,
    votes: BTreeMap<(KeeperId, Term), KeeperId>,
    refused: BTreeMap<RequestToken, u64>,
    /// Highest index that any caller received in an answer.
    pub(crate) answered_index: LogIndex,
    pub(crate) violations: Vec<String>,
}

impl HistoryCheck {
    pub(crate) fn record_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    pub(crate) fn committed_index(&self) -> LogIndex {
        LogIndex(self.committed.len() as u64)
    }

    /// Checks that each term has one leader.
    pub(crate) fn check_leader(&mut self, term: Term, keeper: &KeeperId) {
        let first = self
            .leaders
            .entry(term)
            .or_insert_with(|| keeper.clone())
            .clone();
        if first != *keeper {
            self.record_violation(format!("{first} and {keeper} both lead term {term}"));
        }
    }

    /// Checks that each keeper grants one vote per term.
    pub(crate) fn check_vote(&mut self, envelope: &AgreementEnvelope) {
        let AgreementMessage::VoteReply(reply) = &envelope.message else {
            return;
        };
        if !reply.granted || reply.kind == VoteKind::PreVote {
            return;
        }
        let key = (envelope.from.clone(), reply.term);
        let first = self
            .votes
            .entry(key)
            .or_insert_with(|| envelope.to.clone())
            .clone();
        if first != envelope.to {
            self.record_violation(format!(
                "{} votes twice in term {}",
                envelope.from, reply.term
            ));
        }
    }

    /// Checks that all keepers deliver the same entries in the same order. Returns whether the
    /// entry is the first of its index to be delivered by any keeper.
    pub(crate) fn check_delivery(&mut self, keeper: &KeeperId, entry: &LogEntry) -> bool {
        let position = entry.index.0 as usize - 1;
        match self.committed.get(position) {
            Some(first) if first == entry => false,
            Some(first) => {
                let text = format!("{keeper} delivers {entry:?} after {first:?}");
                self.record_violation(text);
                false
            }
            None if position == self.committed.len() => {
                self.committed.push(entry.clone());
                true
            }
            None => {
                self.record_violation(format!("{keeper} skips to {}", entry.index));
                false
            }
        }
    }

    /// Checks that an accepted command is at the index that its caller received.
    pub(crate) fn check_accepted(&mut self, token: RequestToken, index: LogIndex) {
        let entry = self.committed.get(index.0 as usize - 1);
        let is_there = entry.is_some_and(|entry| command_token(entry) == Some(token));
        if !is_there {
            self.record_violation(format!("{token} is not at {index}: {entry:?}"));
        }
        self.answered_index = self.answered_index.max(index);
    }

    pub(crate) fn record_refused(&mut self, token: RequestToken) {
        self.refused.insert(token, 0);
    }

    /// Checks that a read includes every index that any caller knew before the read began.
    pub(crate) fn check_read(&mut self, known: LogIndex, index: LogIndex, applied: LogIndex) {
        if index < known || applied < index {
            self.record_violation(format!(
                "read at {index}, applied {applied}, but {known} was answered before"
            ));
        }
        self.answered_index = self.answered_index.max(index);
    }

    /// Checks that logs with a common entry are identical before it.
    pub(crate) fn compare_logs(&mut self, left: &AgreementNode, right: &AgreementNode) {
        let mut index = left.last_index().min(right.last_index());
        let mut is_matched = false;
        while let (Some(mine), Some(theirs)) = (left.entry_at(index), right.entry_at(index)) {
            if is_matched && mine != theirs {
                let (left, right) = (left.id(), right.id());
                self.record_violation(format!(
                    "{left} and {right} differ below a match at {index}"
                ));
                return;
            }
            is_matched = is_matched || mine.term == theirs.term;
            index = index.previous();
        }
    }

    /// Checks at the end that no refused command ran, and that none ran twice.
    pub(crate) fn finish(&mut self) {
        let mut seen = BTreeMap::new();
        let tokens: Vec<RequestToken> = self.committed.iter().filter_map(command_token).collect();
        for token in tokens {
            if self.refused.contains_key(&token) {
                self.record_violation(format!("{token} was refused, but is committed"));
            }
            if seen.insert(token, ()).is_some() {
                self.record_violation(format!("{token} is committed twice"));
            }
        }
    }

    /// State after `index`, which every state machine must encode.
    pub(crate) fn state_at(&self, index: LogIndex) -> u64 {
        let entries = self.committed.iter().take(index.0 as usize);
        entries.fold(0, fold_state)
    }
}

/// The token that a command contains.
fn command_token(entry: &LogEntry) -> Option<RequestToken> {
    let EntryPayload::Command(command) = &entry.payload else {
        return None;
    };
    let bytes = command.get(..8)?.try_into().ok()?;
    Some(RequestToken(u64::from_be_bytes(bytes)))
}

/// Next state after `entry`; depends on the order of entries.
pub(crate) fn fold_state(state: u64, entry: &LogEntry) -> u64 {
    let token = command_token(entry).map_or(entry.index.0, |token| token.0);
    state.wrapping_mul(0x0100_0000_01b3).wrapping_add(token)
}
