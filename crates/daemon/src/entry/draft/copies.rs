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

/// Lost copies of one stream after which its tokens no longer wait. A stream that can't be resumed
/// is better than one that stops again and again.
const MAX_COPY_LOSSES: u32 = 3;

/// Released tokens and the receipt of the update that contains them; `None` if they have no copy.
struct WaitingTokens {
    tokens: Vec<ReleasedToken>,
    receipt: Option<CopyReceipt>,
}

/// Host that stores the stream.
struct CopyHolder {
    host: HostName,
    link: LinkWatch,
}

/// Tokens of one stream that wait for the confirmation of their copy, in order.
pub(super) struct CopyQueue {
    /// Host that has every token up to the last update; `None` before the first one and after a
    /// loss, when the next update contains the complete answer.
    holder: Option<CopyHolder>,
    /// Whether no host has confirmed a copy of this answer yet, and the answer is not a resumed one.
    is_new: bool,
    waiting: VecDeque<WaitingTokens>,
    losses: u32,
}

impl CopyQueue {
    /// Creates a queue without tokens; `is_new` unless the answer is a resumed one.
    pub(super) fn new(is_new: bool) -> Self {
        Self {
            holder: None,
            is_new,
            waiting: VecDeque::new(),
            losses: 0,
        }
    }

    /// Waits until the first waiting tokens may go to the caller. While none wait, returns only if
    /// the link to the host with the copy breaks: that host may have stopped, and the next token,
    /// which would copy the answer again, may come after a crash of this process.
    pub(super) async fn first_confirmed(&mut self) -> Result<(), CopyLoss> {
        match (self.waiting.front_mut(), &mut self.holder) {
            (Some(first), _) => match &mut first.receipt {
                Some(receipt) => receipt.confirmed().await,
                None => Ok(()),
            },
            (None, Some(holder)) => {
                holder.link.broken().await;
                Err(CopyLoss {
                    holder: holder.host.clone(),
                    is_silent: false,
                    reason: "the link to the host broke".to_owned(),
                })
            }
            (None, None) => std::future::pending().await,
        }
    }

    fn push(&mut self, tokens: Vec<ReleasedToken>, receipt: Option<CopyReceipt>) {
        self.waiting.push_back(WaitingTokens { tokens, receipt });
    }

    fn pop_first(&mut self) -> Vec<ReleasedToken> {
        let first = self.waiting.pop_front();
        first.map(|waiting| waiting.tokens).unwrap_or_default()
    }

    fn take_all(&mut self) -> Vec<ReleasedToken> {
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

    /// Sends the caller the tokens whose copy was confirmed, or copies the answer to another host.
    pub(super) async fn handle_confirmation(&mut self, confirmed: Result<(), CopyLoss>) {
        match confirmed {
            Ok(()) => {
                self.copies.is_new = false;
                let tokens = self.copies.pop_first();
                self.link.send_tokens(&tokens).await;
            }
            Err(loss) => {
                self.record_loss(&loss);
                let tokens = self.copies.take_all();
                let receipt = self.copy(&[], None);
                self.copies.push(tokens, receipt);
            }
        }
    }

    /// Waits until the caller has been sent every released token.
    pub(super) async fn send_waiting(&mut self) {
        while !self.copies.waiting.is_empty() {
            let confirmed = self.copies.first_confirmed().await;
            self.handle_confirmation(confirmed).await;
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
        while self.job.stream && self.copies.losses < MAX_COPY_LOSSES {
            let known_holder = self.copies.holder.take();
            let tokens = known_holder.is_some().then_some(tokens);
            let Some(holder) = known_holder.or_else(|| self.choose_holder()) else {
                log::debug!(request:% = self.job.id; "no host can store the stream; it can't be resumed");
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
        None
    }

    fn choose_holder(&self) -> Option<CopyHolder> {
        let streams = &self.context.streams;
        let host = streams.choose_holder(&self.job.id)?;
        let link = streams.watch_link(&host)?;
        Some(CopyHolder { host, link })
    }

    fn record_loss(&mut self, loss: &CopyLoss) {
        log::warn!(request:% = self.job.id, host:% = loss.holder, reason:% = loss.reason; "copy of a stream lost");
        self.context.streams.record_loss(loss);
        self.copies.holder = None;
        self.copies.losses += 1;
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
