//! Order of a draft's tokens between the host that stores their copy and the caller.
//!
//! A caller that received a token whose copy was lost with its entry could not resume the stream.
//! Released tokens therefore wait for the confirmation of their copy. Updates are sent without
//! waiting for earlier confirmations, so each token is delayed by one round trip and not more.

use std::collections::VecDeque;

use pollendrift_coordination::base::{HostName, TokenPosition};
use pollendrift_coordination::ledger::{ReleasedToken, TokenLedger};
use pollendrift_coordination::streams::StreamUpdate;

use super::DraftRunner;
use crate::streams::{CopyLoss, CopyReceipt, LinkWatch};

/// Copies in a row that no host confirmed in time after which tokens no longer wait. Each costs the
/// caller a pause, and a stream that can't be resumed for a while is better than one that stops again
/// and again.
const MAX_SILENT_LOSSES: u32 = 3;

/// Host that stores the stream.
struct CopyHolder {
    host: HostName,
    link: LinkWatch,
    /// Whether it is expected to confirm in time; false for a host that recently did not.
    is_trusted: bool,
}

/// Released tokens and the receipt of the update that contains them.
struct WaitingTokens {
    tokens: Vec<ReleasedToken>,
    receipt: CopyReceipt,
}

/// Next step of a [`CopyQueue`].
pub(super) enum CopyEvent {
    /// Tokens go to the caller without a confirmed copy.
    Unconfirmed,
    /// The first waiting update was confirmed.
    Confirmed,
    /// The copy was lost.
    Lost(CopyLoss),
}

/// Tokens of one stream on their way to the caller, in order.
///
/// Invariant: if `unconfirmed` has tokens, none are in `waiting`.
pub(super) struct CopyQueue {
    /// Host that has every token up to the last update; `None` before the first one and after a
    /// loss, when the next update contains the complete answer.
    holder: Option<CopyHolder>,
    /// Hosts that lost a copy since the last confirmation. They are not chosen again until another
    /// host confirms a copy, or until all have failed.
    failed: Vec<HostName>,
    /// Whether no host has confirmed a copy of this answer yet, and the answer is not a resumed one.
    is_new: bool,
    waiting: VecDeque<WaitingTokens>,
    unconfirmed: Vec<ReleasedToken>,
    /// Whether tokens went to the caller without a copy since the last confirmation.
    is_exposed: bool,
    silent_losses: u32,
}

impl CopyQueue {
    /// Creates a queue without tokens; `is_new` unless the answer is a resumed one.
    pub(super) fn new(is_new: bool) -> Self {
        Self {
            holder: None,
            failed: Vec::new(),
            is_new,
            waiting: VecDeque::new(),
            unconfirmed: Vec::new(),
            is_exposed: false,
            silent_losses: 0,
        }
    }

    /// Waits for the next step. While no update waits, returns only if the link to the host with the
    /// copy breaks: that host may have stopped, and the next token, which would copy the answer
    /// again, may come after a crash of this process.
    pub(super) async fn next_event(&mut self) -> CopyEvent {
        if !self.unconfirmed.is_empty() {
            return CopyEvent::Unconfirmed;
        }
        if let Some(first) = self.waiting.front_mut() {
            return match first.receipt.confirmed().await {
                Ok(()) => CopyEvent::Confirmed,
                Err(loss) => CopyEvent::Lost(loss),
            };
        }
        let Some(holder) = &mut self.holder else {
            return std::future::pending().await;
        };
        holder.link.broken().await;
        CopyEvent::Lost(CopyLoss {
            holder: holder.host.clone(),
            is_silent: false,
            reason: "the link to the host broke".to_owned(),
        })
    }

    fn has_tokens(&self) -> bool {
        let mut waiting = self.waiting.iter();
        !self.unconfirmed.is_empty() || waiting.any(|waiting| !waiting.tokens.is_empty())
    }

    /// Whether tokens wait for the confirmation of their copy.
    fn is_waiting_for_copies(&self) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.is_trusted) && self.silent_losses < MAX_SILENT_LOSSES
    }

    /// Adds tokens with the receipt of the update that contains them; `None` if no host could take
    /// the update.
    fn push(&mut self, mut tokens: Vec<ReleasedToken>, receipt: Option<CopyReceipt>) {
        if receipt.is_none() || !self.is_waiting_for_copies() {
            for waiting in &mut self.waiting {
                self.unconfirmed.append(&mut waiting.tokens);
            }
            self.unconfirmed.append(&mut tokens);
        }
        if let Some(receipt) = receipt {
            self.waiting.push_back(WaitingTokens { tokens, receipt });
        }
    }

    /// Removes the first update, which its host confirmed, and returns its tokens with that host.
    fn take_confirmed(&mut self) -> Option<(Vec<ReleasedToken>, HostName)> {
        let confirmed = self.waiting.pop_front()?;
        let host = confirmed.receipt.holder().clone();
        self.is_new = false;
        self.is_exposed = false;
        self.silent_losses = 0;
        self.failed.clear();
        // An update sent to the host before may be confirmed after the choice of another one.
        let current = self.holder.as_mut().filter(|holder| holder.host == host);
        if let Some(holder) = current {
            holder.is_trusted = true;
        }
        Some((confirmed.tokens, host))
    }

    fn record_loss(&mut self, loss: &CopyLoss) {
        self.holder = None;
        self.failed.push(loss.holder.clone());
        self.silent_losses += u32::from(loss.is_silent);
    }

    fn take_waiting(&mut self) -> Vec<ReleasedToken> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.flat_map(|waiting| waiting.tokens).collect()
    }
}

impl DraftRunner {
    /// Copies released tokens to another host and queues them for the caller.
    pub(super) fn release(&mut self, tokens: Vec<ReleasedToken>) {
        let receipt = self.copy(&tokens, None);
        self.copies.push(tokens, receipt);
    }

    /// Sends the caller the tokens that no longer wait, or copies the answer to another host.
    pub(super) async fn handle_copy_event(&mut self, event: CopyEvent) {
        match event {
            CopyEvent::Unconfirmed => {
                let tokens = std::mem::take(&mut self.copies.unconfirmed);
                self.record_unconfirmed(&tokens);
                self.link.send_tokens(&tokens).await;
            }
            CopyEvent::Confirmed => {
                let was_exposed = self.copies.is_exposed;
                let Some((tokens, host)) = self.copies.take_confirmed() else {
                    return;
                };
                if was_exposed {
                    self.context.streams.record_confirmation(&host);
                }
                self.link.send_tokens(&tokens).await;
            }
            CopyEvent::Lost(loss) => {
                self.record_loss(&loss);
                let tokens = self.copies.take_waiting();
                let receipt = self.copy(&[], None);
                self.copies.push(tokens, receipt);
            }
        }
    }

    /// Waits until the caller has been sent every released token.
    pub(super) async fn send_waiting(&mut self) {
        while self.copies.has_tokens() {
            let event = self.copies.next_event().await;
            self.handle_copy_event(event).await;
        }
    }

    /// Sends an update with `tokens` to the host that stores the stream. The first update to a host
    /// contains the complete answer, so that any host can store it.
    ///
    /// Returns `None` for an answer that is not streamed, and if no host can store it.
    pub(super) fn copy(
        &mut self,
        tokens: &[ReleasedToken],
        finish: Option<String>,
    ) -> Option<CopyReceipt> {
        if !self.job.stream {
            return None;
        }
        loop {
            let known_holder = self.copies.holder.take();
            let tokens = known_holder.is_some().then_some(tokens);
            let Some(holder) = known_holder.or_else(|| self.choose_holder()) else {
                // Each host has failed since the last confirmation, or none is reachable.
                self.copies.failed.clear();
                return None;
            };
            let update = self.stream_update(tokens, finish.clone())?;
            match self.context.streams.replicate(&holder.host, update) {
                Ok(receipt) => {
                    self.copies.holder = Some(holder);
                    return Some(receipt);
                }
                Err(loss) => self.record_loss(&loss),
            }
        }
    }

    fn choose_holder(&self) -> Option<CopyHolder> {
        let streams = &self.context.streams;
        let choice = streams.choose_holder(&self.job.id, &self.copies.failed)?;
        let link = streams.watch_link(&choice.host)?;
        Some(CopyHolder {
            host: choice.host,
            link,
            is_trusted: choice.is_trusted,
        })
    }

    /// Counts tokens without a confirmed copy, and logs the first of them since a confirmation.
    fn record_unconfirmed(&mut self, tokens: &[ReleasedToken]) {
        if !self.job.stream {
            return;
        }
        self.context.metrics.record_unconfirmed_tokens(tokens.len());
        if !std::mem::replace(&mut self.copies.is_exposed, true) {
            let first = tokens.first().map_or(0, |token| token.position.0);
            log::info!(request:% = self.job.id, first = first; "tokens sent without a confirmed copy");
        }
    }

    fn record_loss(&mut self, loss: &CopyLoss) {
        self.context.metrics.record_copy_loss();
        log::warn!(request:% = self.job.id, host:% = loss.holder, reason:% = loss.reason; "copy of a stream lost");
        self.context.streams.record_loss(loss);
        self.copies.record_loss(loss);
    }

    /// Builds an update with `tokens`, or with the complete answer if `None`.
    fn stream_update(
        &self,
        tokens: Option<&[ReleasedToken]>,
        finish: Option<String>,
    ) -> Option<StreamUpdate> {
        let ledger: &TokenLedger = self.ledger.as_ref()?;
        let (first, tokens) = match tokens {
            None => (TokenPosition(0), ledger.released_prefix().to_vec()),
            Some(tokens) => {
                let first = tokens.first().map(|token| token.position);
                let tokens = tokens.iter().map(|token| token.token.clone());
                (first.unwrap_or(ledger.next_position()), tokens.collect())
            }
        };
        Some(StreamUpdate {
            request: self.job.id.clone(),
            customer: self.job.customer.clone(),
            digest: self.job.digest,
            version: ledger.version().clone(),
            model_layers: ledger.model_layers(),
            attempt: self.attempt,
            first,
            tokens,
            finish,
            replaces: self.copies.is_new && first == TokenPosition(0),
            receipt: None,
        })
    }
}
