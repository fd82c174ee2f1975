//! Token ledger of one request: which results of which attempt the caller may see.
//!
//! Acts on every event that an engine streams back. The caller sees each position once, in order,
//! and only if every layer of the model ran for it once, in order, in one version.

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

/// What has been confirmed of one request's answer, and what still waits.
#[derive(Clone, Debug)]
pub struct TokenLedger {
    request: RequestId,
    /// Number of layers of the model; every chain covers `0..layers`.
    layers: u32,
    /// Version that the whole answer is made with; never changes, so no answer mixes versions.
    version: VersionName,
    settings: LedgerSettings,
    /// Running attempt; 0 before the first. Never falls.
    attempt: AttemptNumber,
    /// Route of the running attempt; a whole chain whenever `attempt` is not 0.
    route: Vec<ChainLink>,
    /// Released tokens; index is the position, so it has no gap and no repeat by construction.
    confirmed: Vec<GeneratedToken>,
    /// Results ahead of the next position. Invariant: every key is greater than the next position,
    /// and every entry comes from the running attempt.
    held: BTreeMap<TokenPosition, GeneratedToken>,
    /// Count that the running attempt's final event named.
    announced: Option<u32>,
}

impl TokenLedger {
    /// A ledger for an answer of which the caller has seen nothing.
    pub fn new(
        request: RequestId,
        layers: u32,
        version: VersionName,
        settings: LedgerSettings,
    ) -> Self {
        Self::resume(request, layers, version, settings, Vec::new())
    }

    /// A ledger for an answer of which the caller has already seen `confirmed`, at another entry.
    pub fn resume(
        request: RequestId,
        layers: u32,
        version: VersionName,
        settings: LedgerSettings,
        confirmed: Vec<GeneratedToken>,
    ) -> Self {
        Self {
            request,
            layers,
            version,
            settings,
            attempt: AttemptNumber(0),
            route: Vec::new(),
            confirmed,
            held: BTreeMap::new(),
            announced: None,
        }
    }

    /// Starts an attempt over `route` and returns the position from which it must generate.
    ///
    /// # Errors
    /// If the answer is complete, the attempt does not outrank the running one, or the route is not
    /// a whole chain in the answer's version. The running attempt then stays in force.
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
        check_chain(&route, self.layers, &self.version).map_err(AttemptError::Route)?;
        self.attempt = attempt;
        self.route = route;
        // A held token continues the old attempt's own missing token. The new attempt may sample
        // another one there, and the answer would not read on. Generating it again is enough.
        self.held.clear();
        self.announced = None;
        Ok(self.next_position())
    }

    /// Takes one result and says what the caller may see of it.
    pub fn accept(&mut self, result: TokenResult) -> TokenVerdict {
        if let Some(reason) = self.find_fault(&result) {
            return TokenVerdict::Dropped(reason);
        }
        if result.position != self.next_position() {
            self.held.insert(result.position, result.token);
            return TokenVerdict::Held;
        }
        let tokens = self.release_from(result.token);
        TokenVerdict::Release {
            tokens,
            complete: self.is_complete(),
        }
    }

    /// Takes the final event; the answer is complete only once all announced positions are released.
    pub fn complete(&mut self, event: &FinalEvent) -> FinalVerdict {
        if let Some(reason) = self.find_origin_fault(&event.request, event.attempt) {
            return FinalVerdict::Dropped(reason);
        }
        let next = self.next_position();
        let highest = self.held.keys().next_back();
        let seen = highest.map_or(next.0, |position| position.next().0);
        if event.count < seen || self.announced.is_some_and(|count| count != event.count) {
            return FinalVerdict::Dropped(DropReason::CountContradicted);
        }
        self.announced = Some(event.count);
        if self.is_complete() {
            return FinalVerdict::Complete;
        }
        FinalVerdict::Waiting { next }
    }

    /// Whether the caller has seen the whole answer.
    pub fn is_complete(&self) -> bool {
        self.announced == Some(self.next_position().0)
    }

    /// Position that is released next; also the one from which a new attempt generates.
    pub fn next_position(&self) -> TokenPosition {
        let count = u32::try_from(self.confirmed.len()).unwrap_or(u32::MAX);
        TokenPosition(count)
    }

    /// Tokens that the caller has seen, in order: what a new attempt replays after the prompt.
    pub fn confirmed_prefix(&self) -> &[GeneratedToken] {
        &self.confirmed
    }

    /// Number of the running attempt; 0 before the first.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Route of the running attempt; empty before the first.
    pub fn route(&self) -> &[ChainLink] {
        &self.route
    }

    /// Number of results that wait for an earlier position.
    pub fn buffered_count(&self) -> usize {
        self.held.len()
    }

    fn find_fault(&self, result: &TokenResult) -> Option<DropReason> {
        if let Some(reason) = self.find_origin_fault(&result.request, result.attempt) {
            return Some(reason);
        }
        if let Err(fault) = check_chain(&result.chain, self.layers, &self.version) {
            return Some(DropReason::Chain(fault));
        }
        if result.chain != self.route {
            return Some(DropReason::OffRoute);
        }
        self.find_position_fault(result.position)
    }

    fn find_origin_fault(&self, request: &RequestId, attempt: AttemptNumber) -> Option<DropReason> {
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

    fn find_position_fault(&self, position: TokenPosition) -> Option<DropReason> {
        let next = self.next_position();
        if position < next || self.held.contains_key(&position) {
            return Some(DropReason::Duplicate);
        }
        if self.announced.is_some_and(|count| position.0 >= count) {
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
            self.confirmed.push(token.clone());
            released.push(ReleasedToken { position, token });
            pending = self.held.remove(&position.next());
        }
        released
    }
}
