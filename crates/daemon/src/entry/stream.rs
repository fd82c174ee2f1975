//! Response formats of a draft: server-sent events or one buffered answer.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use pollendrift_border::ProblemReport;
use pollendrift_coordination::base::RequestId;
use pollendrift_coordination::ledger::{GeneratedToken, ReleasedToken};
use pollendrift_http::{BodySender, ResponseBody, json_response};
use serde::Serialize;

use super::context::REQUEST_ID_HEADER;

/// Response schema of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyFormat {
    /// Schema of `/v1/completions`.
    Completion,
    /// Schema of `/v1/chat/completions`.
    Chat,
}

#[derive(Serialize)]
struct Reply<'reply> {
    id: &'reply str,
    object: &'static str,
    model: &'reply str,
    #[serde(skip_serializing_if = "Option::is_none")]
    position: Option<u32>,
    choices: [Choice<'reply>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'reply> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'reply str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'reply>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'reply>>,
    finish_reason: Option<&'reply str>,
}

#[derive(Serialize)]
struct Message<'reply> {
    role: &'static str,
    content: &'reply str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: usize,
}

/// Writes the events and the buffered answer of one draft.
#[derive(Clone, Debug)]
pub(super) struct ReplyWriter {
    pub(super) id: RequestId,
    pub(super) model: String,
    pub(super) format: ReplyFormat,
}

impl ReplyWriter {
    /// Sends one token; returns false once the caller has disconnected.
    pub(super) async fn send_token(&self, sender: &BodySender, token: &ReleasedToken) -> bool {
        let reply = self.reply(Some(token.position.0), token.token.text.as_ref(), None);
        sender.send(event_line(token.position.0, &reply)).await
    }

    /// Ends a complete answer: sends the finish reason, then the `[DONE]` marker.
    pub(super) async fn finish(&self, sender: BodySender, count: u32, reason: &str) {
        let reply = self.reply(Some(count), "", Some(reason));
        sender.send(event_line(count, &reply)).await;
        sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
        sender.finish().await;
    }

    /// Ends an incomplete answer with an error event, so that it never looks like a complete one.
    pub(super) async fn fail(&self, sender: BodySender, report: &ProblemReport) {
        let body = serde_json::to_string(report).unwrap_or_default();
        sender
            .send(format!("event: error\ndata: {body}\n\n").into())
            .await;
        sender.finish().await;
    }

    /// Builds the response that streams events from `body`.
    pub(super) fn stream_response(&self, body: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        self.add_id(&mut response);
        response
    }

    /// Builds the response that contains the complete answer in one body.
    pub(super) fn buffered_response(
        &self,
        tokens: &[GeneratedToken],
        reason: &str,
    ) -> Response<ResponseBody> {
        let text: String = tokens.iter().map(|token| token.text.as_ref()).collect();
        let mut reply = self.reply(None, &text, Some(reason));
        if self.format == ReplyFormat::Chat {
            let [choice] = &mut reply.choices;
            choice.message = choice.delta.take();
            reply.object = "chat.completion";
        }
        reply.usage = Some(Usage {
            completion_tokens: tokens.len(),
        });
        let mut response = json_response(StatusCode::OK, &reply);
        self.add_id(&mut response);
        response
    }

    fn add_id(&self, response: &mut Response<ResponseBody>) {
        if let Ok(value) = HeaderValue::from_str(self.id.as_str()) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
    }

    fn reply<'reply>(
        &'reply self,
        position: Option<u32>,
        content: &'reply str,
        finish_reason: Option<&'reply str>,
    ) -> Reply<'reply> {
        let is_chat = self.format == ReplyFormat::Chat;
        let choice = Choice {
            index: 0,
            text: (!is_chat).then_some(content),
            delta: is_chat.then_some(Message {
                role: "assistant",
                content,
            }),
            message: None,
            finish_reason,
        };
        let object = if is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        Reply {
            id: self.id.as_str(),
            object,
            model: &self.model,
            position,
            choices: [choice],
            usage: None,
        }
    }
}

fn event_line(id: u32, reply: &Reply<'_>) -> Bytes {
    let body = serde_json::to_string(reply).unwrap_or_default();
    format!("id: {id}\ndata: {body}\n\n").into()
}
