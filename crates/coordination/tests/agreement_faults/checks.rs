//! What must hold after every step, whatever fails.

use std::collections::BTreeMap;

use pollendrift_coordination::agreement::{
    AgreementEnvelope, AgreementMessage, AgreementNode, EntryPayload, KeeperId, LogEntry, LogIndex,
    RequestToken, Term, VoteKind,
};

/// The history that all keepers must share, and what was found against it.
#[derive(Debug, Default)]
pub(crate) struct HistoryCheck {
    committed: Vec<LogEntry>,
    leaders: BTreeMap<Term, KeeperId>,
    votes: BTreeMap<(KeeperId, Term), KeeperId>,
    refused: BTreeMap<RequestToken, u64>,
    /// Highest index that any caller was told of.
    pub(crate) told_index: LogIndex,
    pub(crate) violations: Vec<String>,
}

impl HistoryCheck {
    pub(crate) fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    pub(crate) fn committed_index(&self) -> LogIndex {
        LogIndex(self.committed.len() as u64)
    }

    /// One leader per term.
    pub(crate) fn leads(&mut self, term: Term, keeper: &KeeperId) {
        let first = self
            .leaders
            .entry(term)
            .or_insert_with(|| keeper.clone())
            .clone();
        if first != *keeper {
            self.violate(format!("{first} and {keeper} both lead term {term}"));
        }
    }

    /// One vote per keeper and term.
    pub(crate) fn sends(&mut self, envelope: &AgreementEnvelope) {
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
            self.violate(format!("{} votes twice in {}", envelope.from, reply.term));
        }
    }

    /// Same entries in the same order everywhere. Returns whether the entry is the first of its
    /// index to be delivered anywhere.
    pub(crate) fn delivers(&mut self, keeper: &KeeperId, entry: &LogEntry) -> bool {
        let position = entry.index.0 as usize - 1;
        match self.committed.get(position) {
            Some(first) if first == entry => false,
            Some(first) => {
                let text = format!("{keeper} delivers {entry:?} after {first:?}");
                self.violate(text);
                false
            }
            None if position == self.committed.len() => {
                self.committed.push(entry.clone());
                true
            }
            None => {
                self.violate(format!("{keeper} skips to {}", entry.index));
                false
            }
        }
    }

    /// An accepted command stands where its caller was told.
    pub(crate) fn accepts(&mut self, token: RequestToken, index: LogIndex) {
        let entry = self.committed.get(index.0 as usize - 1);
        let is_there = entry.is_some_and(|entry| command_token(entry) == Some(token));
        if !is_there {
            self.violate(format!("{token} is not at {index}: {entry:?}"));
        }
        self.told_index = self.told_index.max(index);
    }

    pub(crate) fn refuses(&mut self, token: RequestToken) {
        self.refused.insert(token, 0);
    }

    /// A read never misses what any caller knew before it began.
    pub(crate) fn reads(&mut self, known: LogIndex, index: LogIndex, applied: LogIndex) {
        if index < known || applied < index {
            self.violate(format!(
                "read at {index}, applied {applied}, but {known} was told before"
            ));
        }
        self.told_index = self.told_index.max(index);
    }

    /// Logs that agree on an entry agree on everything before it.
    pub(crate) fn compare_logs(&mut self, left: &AgreementNode, right: &AgreementNode) {
        let mut index = left.last_index().min(right.last_index());
        let mut is_matched = false;
        while let (Some(mine), Some(theirs)) = (left.entry_at(index), right.entry_at(index)) {
            if is_matched && mine != theirs {
                let (left, right) = (left.id(), right.id());
                self.violate(format!(
                    "{left} and {right} differ below a match at {index}"
                ));
                return;
            }
            is_matched = is_matched || mine.term == theirs.term;
            index = index.previous();
        }
    }

    /// At the end: no refused command ran, and none ran twice.
    pub(crate) fn finish(&mut self) {
        let mut seen = BTreeMap::new();
        let tokens: Vec<RequestToken> = self.committed.iter().filter_map(command_token).collect();
        for token in tokens {
            if self.refused.contains_key(&token) {
                self.violate(format!("{token} was refused and runs"));
            }
            if seen.insert(token, ()).is_some() {
                self.violate(format!("{token} runs twice"));
            }
        }
    }

    /// State after `index`, as every state machine must encode it.
    pub(crate) fn state_at(&self, index: LogIndex) -> u64 {
        let entries = self.committed.iter().take(index.0 as usize);
        entries.fold(0, fold_state)
    }
}

/// The token that a command carries.
fn command_token(entry: &LogEntry) -> Option<RequestToken> {
    let EntryPayload::Command(command) = &entry.payload else {
        return None;
    };
    let bytes = command.get(..8)?.try_into().ok()?;
    Some(RequestToken(u64::from_be_bytes(bytes)))
}

/// A state in which order matters.
pub(crate) fn fold_state(state: u64, entry: &LogEntry) -> u64 {
    let token = command_token(entry).map_or(entry.index.0, |token| token.0);
    state.wrapping_mul(0x0100_0000_01b3).wrapping_add(token)
}
