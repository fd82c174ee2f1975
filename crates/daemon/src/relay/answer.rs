//! Sends a request to a server once and classifies the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Response, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use pollendrift_coordination::base::{RequestId, ServerName};
use pollendrift_coordination::retries::SendOutcome;
use pollendrift_dialect::ServerLoad;
use pollendrift_http::{
    BodyBuffer, BodyMemory, BodyReservation, CheckedBody, ClientError, ConnectionHandle,
    PooledAnswer, ReadFailure, ResponseBody, leaving_body, read_bounded,
};
use tokio::time::{Instant, timeout};

use super::backpressure::SendReceiver;
use super::context::RelayContext;
use super::peer_forward::HostBody;

/// Largest answer body that is buffered in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Largest body of an answer that says "not run" that is read, so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Time for reading the body of an answer that says "not run", so that its connection can be
/// reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Headers that are not forwarded, as they describe a single connection or how the body was sent on it;
/// hyper writes its own.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Next part of an answer's body; `None` at its end.
pub(super) type NextPart = Option<Result<Bytes, String>>;

/// A send that gave no answer fit to forward to the caller.
#[derive(Clone, Debug)]
pub(super) struct FailedSend {
    pub(super) outcome: SendOutcome,
    pub(super) reason: String,
    /// Server at fault, if the answer names another than the one that sent it.
    pub(super) culprit: Option<SocketAddr>,
    /// Engines that are suspected because the chain sent no events in time.
    pub(super) suspects: Vec<ServerName>,
}

impl FailedSend {
    pub(super) fn new(outcome: SendOutcome, reason: String) -> Self {
        Self {
            outcome,
            reason,
            culprit: None,
            suspects: Vec::new(),
        }
    }
}

/// An answer that the server itself sent to this request, with its body not read yet.
pub(super) struct OpenAnswer {
    pub(super) parts: response::Parts,
    pub(super) body: AnswerBody,
    /// Load that the server reported; `None` if another host received the answer.
    pub(super) load: Option<ServerLoad>,
}

/// Body of an answer, and the connection that delivers it. Dropping it ends the request.
pub(super) enum AnswerBody {
    /// The server sends it to this host.
    Server(CheckedBody),
    /// Another host forwards it.
    Host(HostBody),
}

impl AnswerBody {
    /// Bytes that the server declares; 0 if it does not.
    fn declared_bytes(&self) -> u64 {
        match self {
            Self::Server(body) => body.size_hint().lower(),
            Self::Host(_) => 0,
        }
    }

    /// Receives the next part of the body; `None` at its end. A cancelled wait loses nothing.
    pub(super) async fn next(&mut self) -> NextPart {
        let body = match self {
            Self::Server(body) => body,
            Self::Host(body) => return body.next().await,
        };
        loop {
            match body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(error.to_string())),
            }
        }
    }
}

impl OpenAnswer {
    /// Keeps the connection for another request; the body must have ended.
    pub(super) fn finish(self) {
        match self.body {
            AnswerBody::Server(body) => body.return_to_pool(&self.parts.headers),
            AnswerBody::Host(body) => body.finish(),
        }
    }

    /// Reads the complete body within `time_left` and keeps the connection.
    ///
    /// The body takes its part of `memory` until it is written to `caller`; `None` stands for another
    /// host. Fails if the body is incomplete or too large, has no end in time, or is the largest while all
    /// bodies use up `memory`.
    pub(super) async fn read(
        self,
        memory: &BodyMemory,
        caller: Option<&ConnectionHandle>,
        time_left: Duration,
    ) -> Result<Response<ResponseBody>, FailedSend> {
        timeout(time_left, self.read_whole(memory, caller))
            .await
            .unwrap_or_else(|_| {
                let reason = "the answer did not end in time".to_owned();
                Err(FailedSend::new(SendOutcome::TimedOut, reason))
            })
    }

    async fn read_whole(
        mut self,
        memory: &BodyMemory,
        caller: Option<&ConnectionHandle>,
    ) -> Result<Response<ResponseBody>, FailedSend> {
        let reservation = memory.reserve(Instant::now());
        let reading = read_parts(&mut self.body, &reservation);
        let read = tokio::select! {
            biased;
            read = reading => read,
            () = reservation.given_up() => Err(ReadFailure::MemoryUsedUp.to_string()),
        };
        let incomplete = |reason| FailedSend::new(SendOutcome::IncompleteAnswer, reason);
        let bytes = read.map_err(incomplete)?;
        reservation.hold();
        let mut headers = end_to_end_headers(&self.parts.headers);
        let length = self.parts.headers.get(header::CONTENT_LENGTH);
        if let Some(length) = length.filter(|_| bytes.is_empty()) {
            // The length of a body that is not sent: the request asks for a head only, or the caller has
            // the body.
            headers.insert(header::CONTENT_LENGTH, length.clone());
        }
        let body = leaving_body(bytes, reservation, caller);
        let mut response = Response::new(body);
        *response.status_mut() = self.parts.status;
        *response.headers_mut() = headers;
        self.finish();
        Ok(response)
    }
}

/// Reads a complete body into the memory of `reservation`.
async fn read_parts(body: &mut AnswerBody, reservation: &BodyReservation) -> Result<Bytes, String> {
    let failed = |failure: ReadFailure| failure.to_string();
    let (declared, reserved) = (body.declared_bytes(), Some(reservation));
    let buffer = BodyBuffer::new(Instant::now(), declared, MAX_ANSWER_BYTES, reserved);
    let mut buffer = buffer.map_err(failed)?;
    while let Some(part) = body.next().await {
        let pushed = buffer.push(Instant::now(), &part?);
        pushed.map_err(failed)?;
    }
    Ok(buffer.finish())
}

/// Sends a request and reads the head of the answer, within `time_left`.
///
/// Returns only an answer that the server itself sent to this request. After any other answer but a
/// refusal the connection is closed, because a late answer to another request could otherwise be
/// matched with the next request.
pub(super) async fn send(
    context: &RelayContext,
    receiver: &SendReceiver,
    address: SocketAddr,
    request: http::Request<Full<Bytes>>,
    attempt: &RequestId,
    time_left: Duration,
) -> Result<OpenAnswer, FailedSend> {
    let deadline = Instant::now() + time_left;
    let sending = context.pool.send_by(address, request, Some(deadline));
    let answer = match sending.await {
        Ok(Some(answer)) => answer,
        Err(error) => {
            context.suspect_service_of(&receiver.server);
            return Err(FailedSend::new(outcome_of(&error), error.to_string()));
        }
        Ok(None) => {
            context.suspect_service_of(&receiver.server);
            let reason = "no answer in time".to_owned();
            return Err(FailedSend::new(SendOutcome::TimedOut, reason));
        }
    };
    check_answer(context, receiver, answer, attempt).await
}

fn outcome_of(error: &ClientError) -> SendOutcome {
    match error {
        ClientError::NotSent { .. } => SendOutcome::NotConnected,
        ClientError::NoAnswer { .. } | ClientError::BadAnswer { .. } => SendOutcome::ResetAfterSend,
    }
}

async fn check_answer(
    context: &RelayContext,
    receiver: &SendReceiver,
    answer: PooledAnswer,
    attempt: &RequestId,
) -> Result<OpenAnswer, FailedSend> {
    let (parts, body) = answer.into_parts();
    let head = context.dialect.servers.read(&parts);
    let is_foreign = head.attempt.as_ref().is_some_and(|id| id != attempt);
    if is_foreign {
        let reason = "the answer belongs to another request".to_owned();
        return Err(FailedSend::new(SendOutcome::ResetAfterSend, reason));
    }
    if !head.wrong_server {
        context.apply_statements(receiver, &head);
    }
    if head.not_run || head.wrong_server {
        let failed = FailedSend {
            outcome: SendOutcome::Declined,
            reason: format!("the server answered {} and did not run it", parts.status),
            culprit: head.culprit,
            suspects: Vec::new(),
        };
        keep_after_refusal(&parts.headers, body).await;
        return Err(failed);
    }
    let is_own = head.signed && head.attempt.is_some() && !head.encoded;
    if !is_own {
        let reason = format!("the answer {} is not signed by the server", parts.status);
        return Err(FailedSend::new(SendOutcome::ErrorStatus, reason));
    }
    Ok(OpenAnswer {
        parts,
        body: AnswerBody::Server(body),
        load: head.load,
    })
}

async fn keep_after_refusal(headers: &HeaderMap, mut body: CheckedBody) {
    let reading = read_bounded(&mut body, MAX_REFUSAL_BYTES);
    if matches!(timeout(REFUSAL_BODY_TIMEOUT, reading).await, Ok(Ok(_))) {
        body.return_to_pool(headers);
    }
}

/// Headers of an answer without those that describe how its body was sent.
pub(super) fn end_to_end_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name) || name.as_str() == "keep-alive";
        if !is_hop_by_hop {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}
