//! Token ledger of one request, which decides which results of which attempt the caller gets.
//!
//! It processes every event that an engine streams back. The caller gets each position once, in
//! order, and only if every layer of the model ran for it once, in order and in one version.

mod chain;
mod result;
mod settings;

use std::collections::BTreeMap;

pub use chain::{ChainError, ChainLink, check_chain};
pub use result::{
    AttemptError, DropReason, FinalEvent, FinalVerdict, GeneratedToken, ReleasedToken, TokenResult,
    TokenText, TokenVerdict,
};
pub use settings::LedgerSettings;

use crate::base::{AttemptNumber, RequestId, TokenPosition, VersionName};

/// Released tokens of one request's answer, and results that wait for an earlier position.
#[derive(Clone, Debug)]
pub struct TokenLedger {
    request: RequestId,
    /// Number of layers of the model; every chain covers `0..model_layers`.
    model_layers: u32,
    /// Version of the weights for the whole answer. It never changes, so no answer mixes versions.
    version: VersionName,
    settings: LedgerSettings,
    /// Number of the running attempt; 0 before the first. It never decreases.
    attempt: AttemptNumber,
    /// Route of the running attempt; a complete chain unless `attempt` is 0.
    route: Vec<ChainLink>,
    /// Released tokens. The index is the position, so there can be no gap and no repetition.
    released: Vec<GeneratedToken>,
    /// Results that arrived before the next position. Invariant: every key is greater than the next
    /// position, and every token comes from the running attempt.
    buffered: BTreeMap<TokenPosition, GeneratedToken>,
    /// Token count in the final event of the running attempt.
    final_count: Option<u32>,
}

impl TokenLedger {
    /// Creates a ledger for an answer without released tokens.
    pub fn new(
        request: RequestId,
        model_layers: u32,
        version: VersionName,
        settings: LedgerSettings,
    ) -> Self {
        Self::resume(request, model_layers, version, settings, Vec::new())
    }

    /// Creates a ledger for an answer whose tokens `released` the caller already got from another
    /// entry.
    pub fn resume(
        request: RequestId,
        model_layers: u32,
        version: VersionName,
        settings: LedgerSettings,
        released: Vec<GeneratedToken>,
    ) -> Self {
        Self {
            request,
            model_layers,
            version,
            settings,
            attempt: AttemptNumber(0),
            route: Vec::new(),
            released,
            buffered: BTreeMap::new(),
            final_count: None,
        }
    }

    /// Version of the weights for the whole answer.
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    /// Number of layers of the model.
    pub fn model_layers(&self) -> u32 {
        self.model_layers
    }

    /// Starts an attempt on `route` and returns the first position that it must generate.
    ///
    /// # Errors
    /// If the answer is complete, the attempt number is not higher than that of the running
    /// attempt, or the route is not a complete chain in the answer's version. The running attempt
    /// then continues.
    pub fn begin_attempt(
        &mut self,
        attempt: AttemptNumber,
        route: Vec<ChainLink>,
    ) -> Result<TokenPosition, AttemptError> {
        if self.is_complete() {
            return Err(AttemptError::Complete);
        }
        if attempt <= self.attempt {
            return Err(AttemptError::NotNewer {
                running: self.attempt,
            });
        }
        check_chain(&route, self.model_layers, &self.version).map_err(AttemptError::Route)?;
        self.attempt = attempt;
        self.route = route;
        // A buffered token follows a missing token of the old attempt. The new attempt may sample
        // another token there, and the buffered one would not fit. The new attempt generates it
        // again.
        self.buffered.clear();
        self.final_count = None;
        Ok(self.next_position())
    }

    /// Processes a result and returns the tokens that it releases to the caller.
    pub fn accept(&mut self, result: TokenResult) -> TokenVerdict {
        if let Some(reason) = self.find_drop_reason(&result) {
            return TokenVerdict::Dropped(reason);
        }
        if result.position != self.next_position() {
            self.buffered.insert(result.position, result.token);
            return TokenVerdict::Held;
        }
        let tokens = self.release_from(result.token);
        TokenVerdict::Release {
            tokens,
            complete: self.is_complete(),
        }
    }

    /// Processes the final event. The answer is complete once all positions below the final count
    /// are released.
    pub fn complete(&mut self, event: &FinalEvent) -> FinalVerdict {
        if let Some(reason) = self.find_origin_drop_reason(&event.request, event.attempt) {
            return FinalVerdict::Dropped(reason);
        }
        let next = self.next_position();
        let highest = self.buffered.keys().next_back();
        let received = highest.map_or(next.0, |position| position.next().0);
        if event.count < received || self.final_count.is_some_and(|count| count != event.count) {
            return FinalVerdict::Dropped(DropReason::CountContradicted);
        }
        self.final_count = Some(event.count);
        if self.is_complete() {
            return FinalVerdict::Complete;
        }
        FinalVerdict::Waiting { next }
    }

    /// Whether all tokens of the answer are released.
    pub fn is_complete(&self) -> bool {
        self.final_count == Some(self.next_position().0)
    }

    /// Position that is released next, which is also the first position of a new attempt.
    pub fn next_position(&self) -> TokenPosition {
        let count = u32::try_from(self.released.len()).unwrap_or(u32::MAX);
        TokenPosition(count)
    }

    /// Released tokens in order. A new attempt replays them after the prompt.
    pub fn released_prefix(&self) -> &[GeneratedToken] {
        &self.released
    }

    /// Number of the running attempt; 0 before the first.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Route of the running attempt; empty before the first.
    pub fn route(&self) -> &[ChainLink] {
        &self.route
    }

    /// Number of buffered results, which wait for an earlier position.
    pub fn buffered_count(&self) -> usize {
        self.buffered.len()
    }

    fn find_drop_reason(&self, result: &TokenResult) -> Option<DropReason> {
        if let Some(reason) = self.find_origin_drop_reason(&result.request, result.attempt) {
            return Some(reason);
        }
        if let Err(error) = check_chain(&result.chain, self.model_layers, &self.version) {
            return Some(DropReason::Chain(error));
        }
        if result.chain != self.route {
            return Some(DropReason::OffRoute);
        }
        self.find_position_drop_reason(result.position)
    }

    fn find_origin_drop_reason(
        &self,
        request: &RequestId,
        attempt: AttemptNumber,
    ) -> Option<DropReason> {
        if *request != self.request {
            return Some(DropReason::ForeignRequest);
        }
        if attempt < self.attempt {
            return Some(DropReason::OldAttempt);
        }
        if attempt > self.attempt || self.attempt == AttemptNumber(0) {
            return Some(DropReason::UnknownAttempt);
        }
        None
    }

    fn find_position_drop_reason(&self, position: TokenPosition) -> Option<DropReason> {
        let next = self.next_position();
        if position < next || self.buffered.contains_key(&position) {
            return Some(DropReason::Duplicate);
        }
        if self.final_count.is_some_and(|count| position.0 >= count) {
            return Some(DropReason::CountContradicted);
        }
        if position.0 >= self.settings.max_tokens {
            return Some(DropReason::TooLong);
        }
        if position.0 - next.0 > self.settings.reorder_window {
            return Some(DropReason::BeyondWindow);
        }
        None
    }

    fn release_from(&mut self, first: GeneratedToken) -> Vec<ReleasedToken> {
        let mut released = Vec::new();
        let mut pending = Some(first);
        while let Some(token) = pending {
            let position = self.next_position();
            self.released.push(token.clone());
            released.push(ReleasedToken { position, token });
            pending = self.buffered.remove(&position.next());
        }
        released
    }
}
