//! The way back to the caller of one draft: first an answer or a refusal, then events.

use http::Response;
use pollendrift_coordination::ledger::{GeneratedToken, ReleasedToken};
use pollendrift_http::{BodySender, ResponseBody};
use tokio::sync::oneshot;

use crate::entry::refusal::Refusal;
use crate::entry::stream::ReplyWriter;

/// What the handler is told first.
pub(super) enum FirstAnswer {
    Streaming,
    Buffered(Response<ResponseBody>),
    Refused(Refusal),
}

/// The way back to the caller.
pub(super) struct CallerLink {
    pub(super) writer: ReplyWriter,
    pub(super) sender: BodySender,
    /// Taken when the handler has been answered.
    pub(super) reply: Option<oneshot::Sender<FirstAnswer>>,
    pub(super) stream: bool,
}

impl CallerLink {
    /// Whether the caller has seen a part of the answer.
    pub(super) fn has_begun(&self) -> bool {
        self.reply.is_none()
    }

    /// Sends released tokens on, if the caller reads a stream.
    pub(super) async fn send_tokens(&mut self, tokens: &[ReleasedToken]) {
        if !self.stream {
            return;
        }
        self.answer(FirstAnswer::Streaming);
        for token in tokens {
            self.writer.token(&self.sender, token).await;
        }
    }

    /// Ends a whole answer.
    pub(super) async fn finish(mut self, tokens: &[GeneratedToken], reason: &str) {
        if !self.stream {
            let response = self.writer.buffered_response(tokens, reason);
            return self.answer(FirstAnswer::Buffered(response));
        }
        self.answer(FirstAnswer::Streaming);
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.writer.finish(self.sender, count, reason).await;
    }

    /// Ends a draft that can't be completed.
    pub(super) async fn fail(mut self, refusal: Refusal) {
        if self.reply.is_some() {
            return self.answer(FirstAnswer::Refused(refusal));
        }
        let report = refusal.report(&self.writer.id);
        self.writer.fail(self.sender, &report).await;
    }

    fn answer(&mut self, answer: FirstAnswer) {
        if let Some(reply) = self.reply.take() {
            // A handler that is gone has dropped the body too, which ends the run.
            let _ = reply.send(answer);
        }
    }
}
