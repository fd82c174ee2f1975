//! Progress of a running draft: stream updates to another host and attempt traces for evidence.
//!
//! The stream updates allow a caller to resume the draft at another entry.

use pollendrift_coordination::base::TokenPosition;
use pollendrift_coordination::evidence::{AttemptTrace, TracedStage};
use pollendrift_coordination::ledger::ReleasedToken;
use pollendrift_coordination::streams::StreamUpdate;

use super::{AttemptEnd, DraftRunner};
use crate::fleet::{DraftRoute, PlannedStage};

impl DraftRunner {
    /// Sends the tokens that the entry that served the stream before released and the caller has
    /// not received.
    ///
    /// Returns the finish reason if the answer was already complete.
    pub(super) async fn send_resumed(&mut self) -> Option<String> {
        let resume = self.job.resume.take()?;
        let missing = resume
            .tokens
            .into_iter()
            .zip(0..)
            .skip(to_usize(resume.from.0));
        let missing: Vec<ReleasedToken> = missing
            .map(|(token, position)| ReleasedToken {
                position: TokenPosition(position),
                token,
            })
            .collect();
        if !missing.is_empty() {
            self.job.record.record_first_byte().await;
            self.link.send_tokens(&missing).await;
        }
        resume.finish
    }

    /// Sends tokens to another host before they are sent to the caller; does not wait for receipt.
    pub(super) fn replicate_tokens(&mut self, tokens: &[ReleasedToken], finish: Option<String>) {
        let Some(ledger) = self.ledger.as_ref().filter(|_| self.job.stream) else {
            return;
        };
        let Some(link) = ledger.route().last() else {
            return;
        };
        // The first update contains the complete confirmed prefix, so that any host can store it:
        // after a resume, another host than before stores the stream.
        let is_first_update = !std::mem::replace(&mut self.has_replicated, true);
        let (first, sent_tokens) = match tokens.first() {
            _ if is_first_update => (TokenPosition(0), ledger.released_prefix().to_vec()),
            Some(token) => (
                token.position,
                tokens.iter().map(|token| token.token.clone()).collect(),
            ),
            None => (ledger.next_position(), Vec::new()),
        };
        self.context.streams.replicate(StreamUpdate {
            request: self.job.id.clone(),
            customer: self.job.customer.clone(),
            digest: self.job.digest,
            version: link.version.clone(),
            model_layers: link.layers.end,
            attempt: self.attempt,
            first,
            tokens: sent_tokens,
            finish,
        });
    }

    /// Builds the evidence record of one attempt that started at position `from`.
    pub(super) fn trace(
        &self,
        route: &DraftRoute,
        from: TokenPosition,
        end: &AttemptEnd,
    ) -> AttemptTrace {
        let ending = match end {
            AttemptEnd::Complete { reason } => format!("complete: {reason}"),
            AttemptEnd::Failed { server, reason, .. } => format!("{server}: {reason}"),
        };
        let stage = |stage: &PlannedStage| TracedStage {
            server: stage.server.clone(),
            layers: Some(stage.layers),
        };
        AttemptTrace {
            attempt: self.attempt,
            model: Some(self.job.model.clone()),
            version: Some(route.plan.version.clone()),
            adapter: self.job.adapter.clone(),
            stages: route.stages.iter().map(stage).collect(),
            from,
            tokens: self.next_position().0.saturating_sub(from.0),
            ending: ending.into(),
        }
    }
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
