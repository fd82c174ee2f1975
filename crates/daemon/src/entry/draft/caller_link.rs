//! Reply channel to the caller of one draft: first the response or a refusal, then events.

use http::Response;
use pollendrift_coordination::ledger::{GeneratedToken, ReleasedToken};
use pollendrift_http::{BodySender, ResponseBody};
use tokio::sync::oneshot;

use crate::entry::refusal::Refusal;
use crate::entry::stream::ReplyWriter;

/// First message from the draft's task to the HTTP handler.
pub(super) enum FirstAnswer {
    Streaming,
    Buffered(Response<ResponseBody>),
    Refused(Refusal),
}

/// Sends the reply of one draft to its caller.
pub(super) struct CallerLink {
    pub(super) writer: ReplyWriter,
    pub(super) sender: BodySender,
    /// `None` once the handler has received its [`FirstAnswer`].
    pub(super) reply: Option<oneshot::Sender<FirstAnswer>>,
    pub(super) stream: bool,
}

impl CallerLink {
    /// Whether the response to the caller has started.
    pub(super) fn has_begun(&self) -> bool {
        self.reply.is_none()
    }

    /// Sends released tokens to a streaming caller; does nothing for a buffered answer.
    pub(super) async fn send_tokens(&mut self, tokens: &[ReleasedToken]) {
        if !self.stream {
            return;
        }
        self.answer(FirstAnswer::Streaming);
        for token in tokens {
            self.writer.send_token(&self.sender, token).await;
        }
    }

    /// Ends a complete answer: sends the final events, or the buffered response.
    pub(super) async fn finish(mut self, tokens: &[GeneratedToken], reason: &str) {
        if !self.stream {
            let response = self.writer.buffered_response(tokens, reason);
            return self.answer(FirstAnswer::Buffered(response));
        }
        self.answer(FirstAnswer::Streaming);
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.writer.finish(self.sender, count, reason).await;
    }

    /// Ends a draft that can't be completed: refuses it, or ends its stream with an error event.
    pub(super) async fn fail(mut self, refusal: Refusal) {
        if self.reply.is_some() {
            return self.answer(FirstAnswer::Refused(refusal));
        }
        let report = refusal.report(&self.writer.id);
        self.writer.fail(self.sender, &report).await;
    }

    fn answer(&mut self, answer: FirstAnswer) {
        if let Some(reply) = self.reply.take() {
            // The send fails if the handler was dropped. The body was dropped with it, which
            // cancels the draft.
            let _ = reply.send(answer);
        }
    }
}
