//! A caller of drafts that checks what it is told.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, header};
use http_body_util::Full;
use pollendrift_border::{CompletionRequest, ProblemReport};
use pollendrift_http::{ClientError, HttpClient, LineReader};
use serde::Deserialize;
use tokio::time::Instant;

use crate::token::token_text;

const MAX_ANSWER_BYTES: usize = 16 << 20;
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// What was wrong with an answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnswerFault {
    /// The request was refused.
    #[display("refused: {detail}")]
    Refused {
        /// The refusal's words.
        detail: String,
    },
    /// The stream ended without saying that the answer is complete.
    #[display("ended after {tokens} tokens without its last event")]
    Incomplete {
        /// Tokens that came.
        tokens: usize,
    },
    /// A token differs from what the whole pipeline gives.
    #[display("token {position} differs from what all layers in order give")]
    WrongToken {
        /// Position of the first token that differs.
        position: usize,
    },
}

/// What came back for one draft.
#[derive(Clone, Debug, Default)]
pub struct DraftReply {
    /// Texts of the tokens in order of arrival.
    pub texts: Vec<String>,
    /// Positions that the events named.
    pub positions: Vec<u32>,
    /// Times from the send to each token.
    pub arrivals: Vec<Duration>,
    /// Whether the last event said complete.
    pub complete: bool,
    /// The refusal or the error event, if one came.
    pub refusal: Option<ProblemReport>,
}

impl DraftReply {
    /// Whether the stream broke off, so that it may go on at another entry.
    pub fn is_cut(&self) -> bool {
        !self.complete && self.refusal.is_none()
    }

    /// Adds what came after the stream went on, `offset` after the first send.
    pub fn go_on_with(&mut self, rest: Self, offset: Duration) {
        self.texts.extend(rest.texts);
        self.positions.extend(rest.positions);
        self.arrivals
            .extend(rest.arrivals.into_iter().map(|arrival| offset + arrival));
        self.complete = rest.complete;
        self.refusal = rest.refusal;
    }

    /// Compares the reply with the tokens that a whole pipeline gives.
    ///
    /// # Errors
    /// The first fault.
    pub fn check(&self, expected: &[u64]) -> Result<(), AnswerFault> {
        if let Some(refusal) = &self.refusal {
            return Err(AnswerFault::Refused {
                detail: refusal.detail.clone(),
            });
        }
        if !self.complete || self.texts.len() < expected.len() {
            return Err(AnswerFault::Incomplete {
                tokens: self.texts.len(),
            });
        }
        for (index, text) in self.texts.iter().enumerate() {
            let fits = expected
                .get(index)
                .is_some_and(|token| token_text(*token) == *text);
            let placed = self
                .positions
                .get(index)
                .is_some_and(|position| usize::try_from(*position) == Ok(index));
            if !fits || !placed {
                return Err(AnswerFault::WrongToken { position: index });
            }
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Chunk {
    position: Option<u32>,
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: Option<String>,
    finish_reason: Option<String>,
}

/// A draft that is asked for.
#[derive(Clone, Copy, Debug)]
pub struct DraftAsk<'ask> {
    /// Model.
    pub model: &'ask str,
    /// Prompt.
    pub prompt: &'ask str,
    /// Tokens at most.
    pub max_tokens: u32,
    /// Request id; the entry gives one if absent.
    pub id: Option<&'ask str>,
    /// Last position that the caller holds.
    pub last: Option<u32>,
}

/// Header that names the last event that a caller holds.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Sends drafts to one entry as one customer.
#[derive(Clone, Debug)]
pub struct DraftCaller {
    client: HttpClient,
    entry: String,
    token: String,
    request_id: Option<String>,
}

impl DraftCaller {
    /// A caller of `entry` (`ip:port`) with a bearer token.
    pub fn new(entry: &str, token: &str) -> Self {
        Self {
            client: HttpClient::new(MAX_ANSWER_BYTES),
            entry: entry.to_owned(),
            token: token.to_owned(),
            request_id: None,
        }
    }

    /// Sends `id` with each draft, as its `x-request-id`.
    pub fn with_request_id(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Streams one draft; `show` gets each token's text as it comes.
    ///
    /// # Errors
    /// The entry could not be reached or broke off before its first byte.
    pub async fn draft<F>(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        show: F,
    ) -> Result<DraftReply, ClientError>
    where
        F: FnMut(&str),
    {
        let ask = DraftAsk {
            model,
            prompt,
            max_tokens,
            id: None,
            last: None,
        };
        self.read(&ask, show).await
    }

    /// Streams a draft under `id`, from the event after `last` if the caller holds a part of it.
    ///
    /// # Errors
    /// The entry could not be reached or broke off before its first byte.
    pub async fn read<F>(&self, ask: &DraftAsk<'_>, show: F) -> Result<DraftReply, ClientError>
    where
        F: FnMut(&str),
    {
        let sent_at = Instant::now();
        let response = self.client.send(self.request(ask)?).await?;
        let mut reply = DraftReply::default();
        if !response.status().is_success() {
            let body = self.client.read(response).await?;
            reply.refusal =
                Some(
                    serde_json::from_slice(&body).map_err(|error| ClientError::BadAnswer {
                        reason: error.to_string(),
                    })?,
                );
            return Ok(reply);
        }
        read_events(LineReader::new(response), &mut reply, sent_at, show).await;
        Ok(reply)
    }

    fn request(&self, ask: &DraftAsk<'_>) -> Result<Request<Full<Bytes>>, ClientError> {
        let not_sent = |reason: String| ClientError::NotSent { reason };
        let body = CompletionRequest {
            model: ask.model.to_owned(),
            prompt: ask.prompt.to_owned(),
            max_tokens: Some(ask.max_tokens),
            stream: Some(true),
            adapter: None,
        };
        let body = serde_json::to_vec(&body).map_err(|error| not_sent(error.to_string()))?;
        let mut request = Request::post(format!("http://{}/v1/completions", self.entry))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(id) = ask.id.or(self.request_id.as_deref()) {
            request = request.header(REQUEST_ID_HEADER, id);
        }
        if let Some(last) = ask.last {
            request = request.header(LAST_EVENT_HEADER, last);
        }
        request
            .body(Full::new(body.into()))
            .map_err(|error| not_sent(error.to_string()))
    }
}

async fn read_events<F>(
    mut lines: LineReader,
    reply: &mut DraftReply,
    sent_at: Instant,
    mut show: F,
) where
    F: FnMut(&str),
{
    // A broken stream leaves `complete` false, which is what the check looks at.
    while let Ok(Some(line)) = lines.next_line().await {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if data == b"[DONE]" {
            reply.complete = true;
            continue;
        }
        if let Ok(report) = serde_json::from_slice::<ProblemReport>(data) {
            reply.refusal = Some(report);
            continue;
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            continue;
        };
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        if choice.finish_reason.is_some() {
            continue;
        }
        let text = choice.text.unwrap_or_default();
        show(&text);
        reply.texts.push(text);
        reply.positions.extend(chunk.position);
        reply.arrivals.push(sent_at.elapsed());
    }
}
