//! A caller that streams drafts and checks the answers.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use pollendrift_border::{CompletionRequest, ProblemReport};
use pollendrift_http::{ClientError, HttpClient, LineReader};
use serde::Deserialize;
use tokio::time::Instant;

use crate::token::token_text;

const MAX_ANSWER_BYTES: usize = 16 << 20;
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Error in an answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnswerError {
    /// The request was refused.
    #[display("refused: {detail}")]
    Refused {
        /// Detail of the refusal.
        detail: String,
    },
    /// The stream ended before its last event.
    #[display("ended after {tokens} tokens without its last event")]
    Incomplete {
        /// Received tokens.
        tokens: usize,
    },
    /// A token differs from the output of the complete pipeline.
    #[display("token {position} differs from the output of all layers in order")]
    WrongToken {
        /// Position of the first token that differs.
        position: usize,
    },
}

/// Answer to one draft.
#[derive(Clone, Debug, Default)]
pub struct DraftReply {
    /// Texts of the tokens in order of arrival.
    pub texts: Vec<String>,
    /// Positions in the events, in order of arrival.
    pub positions: Vec<u32>,
    /// Time from sending the request to the arrival of each token.
    pub arrivals: Vec<Duration>,
    /// Whether the last event (`[DONE]`) arrived.
    pub complete: bool,
    /// The refusal or error event, if any.
    pub refusal: Option<ProblemReport>,
    /// Time after which the refused request may be sent again, if the refusal states it.
    pub retry_after: Option<Duration>,
}

impl DraftReply {
    /// Whether the stream ended without a last event or an error, so that another entry can resume
    /// it.
    pub fn is_interrupted(&self) -> bool {
        !self.complete && self.refusal.is_none()
    }

    /// Appends a resumed stream whose request was sent `offset` after the first one.
    pub fn append_resumed(&mut self, rest: Self, offset: Duration) {
        self.texts.extend(rest.texts);
        self.positions.extend(rest.positions);
        self.arrivals
            .extend(rest.arrivals.into_iter().map(|arrival| offset + arrival));
        self.complete = rest.complete;
        self.refusal = rest.refusal;
        self.retry_after = rest.retry_after;
    }

    /// Compares the reply with the expected tokens of the complete pipeline.
    ///
    /// # Errors
    /// The first error found.
    pub fn check(&self, expected: &[u64]) -> Result<(), AnswerError> {
        if let Some(refusal) = &self.refusal {
            return Err(AnswerError::Refused {
                detail: refusal.detail.clone(),
            });
        }
        if !self.complete || self.texts.len() < expected.len() {
            return Err(AnswerError::Incomplete {
                tokens: self.texts.len(),
            });
        }
        for (index, text) in self.texts.iter().enumerate() {
            let text_matches = expected
                .get(index)
                .is_some_and(|token| token_text(*token) == *text);
            let position_matches = self
                .positions
                .get(index)
                .is_some_and(|position| usize::try_from(*position) == Ok(index));
            if !text_matches || !position_matches {
                return Err(AnswerError::WrongToken { position: index });
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

/// Parameters of one draft.
#[derive(Clone, Copy, Debug)]
pub struct DraftParameters<'draft> {
    /// Name of the model.
    pub model: &'draft str,
    /// Text of the prompt.
    pub prompt: &'draft str,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Request id; the entry generates one if absent.
    pub id: Option<&'draft str>,
    /// Last position received so far, if the draft is resumed.
    pub last_position: Option<u32>,
}

/// Header with the id of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Client that sends drafts to one entry as one customer.
#[derive(Clone, Debug)]
pub struct DraftCaller {
    client: HttpClient,
    entry: String,
    token: String,
    request_id: Option<String>,
}

impl DraftCaller {
    /// Creates a caller of `entry` (`ip:port`) with a bearer token.
    pub fn new(entry: &str, token: &str) -> Self {
        Self {
            client: HttpClient::new(MAX_ANSWER_BYTES),
            entry: entry.to_owned(),
            token: token.to_owned(),
            request_id: None,
        }
    }

    /// Sets the `x-request-id` of drafts without an id of their own.
    pub fn with_request_id(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Streams one new draft and calls `show` with the text of each token on arrival.
    ///
    /// # Errors
    /// The entry is unreachable, or the connection ended before a complete response head or
    /// refusal.
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
        let parameters = DraftParameters {
            model,
            prompt,
            max_tokens,
            id: None,
            last_position: None,
        };
        self.stream(&parameters, show).await
    }

    /// Streams a draft, from the event after `last_position` if that is set.
    ///
    /// # Errors
    /// The entry is unreachable, or the connection ended before a complete response head or
    /// refusal.
    pub async fn stream<F>(
        &self,
        parameters: &DraftParameters<'_>,
        show: F,
    ) -> Result<DraftReply, ClientError>
    where
        F: FnMut(&str),
    {
        let sent_at = Instant::now();
        let response = self.client.send(self.request(parameters)?).await?;
        let mut reply = DraftReply::default();
        if !response.status().is_success() {
            reply.retry_after = retry_after(response.headers());
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

    fn request(
        &self,
        parameters: &DraftParameters<'_>,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let not_sent = |reason: String| ClientError::NotSent { reason };
        let body = CompletionRequest {
            model: parameters.model.to_owned(),
            prompt: parameters.prompt.to_owned(),
            max_tokens: Some(parameters.max_tokens),
            stream: Some(true),
            adapter: None,
        };
        let body = serde_json::to_vec(&body).map_err(|error| not_sent(error.to_string()))?;
        let mut request = Request::post(format!("http://{}/v1/completions", self.entry))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(id) = parameters.id.or(self.request_id.as_deref()) {
            request = request.header(REQUEST_ID_HEADER, id);
        }
        if let Some(last) = parameters.last_position {
            request = request.header(LAST_EVENT_HEADER, last);
        }
        request
            .body(Full::new(body.into()))
            .map_err(|error| not_sent(error.to_string()))
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

async fn read_events<F>(
    mut lines: LineReader,
    reply: &mut DraftReply,
    sent_at: Instant,
    mut show: F,
) where
    F: FnMut(&str),
{
    // A broken stream leaves `complete` false, which `check` reports as incomplete.
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
