//! Reading of request bodies with limits, and complete or streamed response bodies.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::stream;
use http::{Extensions, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::body_buffer::BodyBuffer;
use crate::body_memory::{BodyMemory, BodyReservation};
use crate::connections::ConnectionHandle;

/// Size of the parts in which a body is written, in bytes.
const LEAVING_PART_BYTES: usize = 64 << 10;

/// Error of a response body whose sender was dropped before the end.
///
/// hyper then closes the connection, so a client never treats a truncated body as complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("body was abandoned before its end")]
pub struct BodyError;

/// Body type of all responses in this workspace.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Sending half of a streamed body; dropping it without [`BodySender::finish`] aborts the stream.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Option<Bytes>>,
}

impl BodySender {
    /// Sends one chunk; returns false if the reader has disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(Some(chunk)).await.is_ok()
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        // A reader that has disconnected needs no end marker.
        let _ = self.chunks.send(None).await;
    }

    /// Resolves when the reader has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Returns a watch on the reader that is independent of the sender.
    ///
    /// A stream without its sender is aborted only after all its watches are dropped.
    pub fn watch(&self) -> ReaderWatch {
        ReaderWatch {
            chunks: self.chunks.clone(),
        }
    }
}

/// Detects that the reader of a streamed body has disconnected.
#[derive(Debug)]
pub struct ReaderWatch {
    chunks: mpsc::Sender<Option<Bytes>>,
}

impl ReaderWatch {
    /// Resolves when the reader has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// Creates a streamed body and its sender, with a buffer of at most `capacity` chunks.
pub fn channel_body(capacity: usize) -> (BodySender, ResponseBody) {
    let (chunks, receiver) = mpsc::channel(capacity);
    let frames = stream::unfold(Some(receiver), next_frame);
    (
        BodySender { chunks },
        BodyExt::boxed(StreamBody::new(frames)),
    )
}

type ChunkReceiver = mpsc::Receiver<Option<Bytes>>;

async fn next_frame(
    receiver: Option<ChunkReceiver>,
) -> Option<(Result<Frame<Bytes>, BodyError>, Option<ChunkReceiver>)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(receiver))),
        Some(None) => None,
        None => Some((Err(BodyError), None)),
    }
}

/// Creates a body from `bytes` in memory.
pub fn full_body<B>(bytes: B) -> ResponseBody
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(from_infallible).boxed()
}

/// Creates the body of an answer to the request on `connection`, whose `bytes` take the memory of
/// `reservation` until they are written.
///
/// If the client does not read them while other answers need the memory, the connection is closed.
pub fn leaving_body(
    bytes: Bytes,
    reservation: BodyReservation,
    connection: Option<&ConnectionHandle>,
) -> ResponseBody {
    let reservation = Arc::new(reservation);
    if let Some(connection) = connection {
        reservation.leave(Instant::now(), Arc::clone(connection.close()));
    }
    let bytes = Arc::clone(&reservation).keep_shared_with(bytes);
    let body = LeavingBody { bytes, reservation };
    body.map_err(from_infallible).boxed()
}

/// Body in parts, so that its progress is known.
struct LeavingBody {
    bytes: Bytes,
    reservation: Arc<BodyReservation>,
}

impl Body for LeavingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(LEAVING_PART_BYTES);
        let part = self.bytes.split_to(length);
        self.reservation.record_moved(Instant::now(), length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Creates a body of length zero.
pub fn empty_body() -> ResponseBody {
    Empty::new().map_err(from_infallible).boxed()
}

fn from_infallible(error: Infallible) -> BodyError {
    match error {}
}

/// Creates a JSON response; returns status 500 without a body if `value` can't be encoded.
pub fn json_response<T>(status: StatusCode, value: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => typed_response(
            status,
            HeaderValue::from_static("application/json"),
            full_body(bytes),
        ),
        Err(_) => typed_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            HeaderValue::from_static("text/plain"),
            empty_body(),
        ),
    }
}

/// Creates a plain text response.
pub fn text_response<B>(status: StatusCode, text: B) -> Response<ResponseBody>
where
    B: Into<Bytes>,
{
    typed_response(
        status,
        HeaderValue::from_static("text/plain; charset=utf-8"),
        full_body(text),
    )
}

fn typed_response(
    status: StatusCode,
    content_type: HeaderValue,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Reason why reading a body failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadFailure {
    /// The body is larger than the limit.
    #[display("body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body ended before its declared length.
    #[display("body ended early: {reason}")]
    EndedEarly {
        /// Error text of the transport.
        reason: String,
    },
    /// The bodies that are kept at the same time use up their memory.
    #[display("bodies use up their memory on this host")]
    MemoryUsedUp,
    /// The body did not arrive within the time limit.
    #[display("body did not come within {} ms", limit.as_millis())]
    TooSlow {
        /// Time limit.
        limit: Duration,
    },
    /// The bytes are not the expected JSON.
    #[display("body is not valid JSON for this request: {reason}")]
    Malformed {
        /// Error text of the decoder, with line and column.
        reason: String,
    },
}

impl ReadFailure {
    /// Status of the answer to a request whose body could not be read.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::MemoryUsedUp => StatusCode::SERVICE_UNAVAILABLE,
            Self::EndedEarly { .. } | Self::Malformed { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Aborts `read` after `limit`. Without this, an untrusted client that sends single bytes at long
/// intervals would occupy memory for an unlimited time.
///
/// # Errors
/// Returns [`ReadFailure::TooSlow`] after `limit`, and the errors of `read`.
pub async fn read_within<F, T>(limit: Duration, read: F) -> Result<T, ReadFailure>
where
    F: Future<Output = Result<T, ReadFailure>>,
{
    tokio::time::timeout(limit, read)
        .await
        .unwrap_or(Err(ReadFailure::TooSlow { limit }))
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// Returns [`ReadFailure::TooLarge`] as soon as the limit is exceeded, without reading the rest,
/// and [`ReadFailure::EndedEarly`] if the body ends before its declared length.
pub async fn read_bounded<B>(body: B, limit: usize) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    read_with(body, limit, None).await
}

/// Reads a complete body like [`read_bounded`], within the memory that it shares with other bodies. The
/// memory is free once the bytes and all clones of them are dropped.
///
/// # Errors
/// Returns the errors of [`read_bounded`], and [`ReadFailure::MemoryUsedUp`]: before the first byte is
/// read, if the body declares its length.
pub async fn read_shared<B>(
    body: B,
    limit: usize,
    memory: &BodyMemory,
) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let (bytes, reservation) = read_reserved(body, limit, memory).await?;
    Ok(reservation.keep_with(bytes))
}

/// Limits of the body of a client's request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits<'memory> {
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Time limit for its arrival.
    pub timeout: Duration,
    /// Memory that it shares with other bodies.
    pub memory: &'memory BodyMemory,
}

/// Reads the complete body of a request with `extensions`, which a server of this crate received.
///
/// # Errors
/// Returns the errors of [`read_shared`], and [`ReadFailure::TooSlow`].
pub async fn read_request(
    extensions: &Extensions,
    body: Incoming,
    limits: RequestLimits<'_>,
) -> Result<Bytes, ReadFailure> {
    let reading = read_shared(body, limits.max_bytes, limits.memory);
    let read = read_within(limits.timeout, reading).await;
    record_body(extensions, &limits, &read);
    read
}

/// Reads the JSON body of a request, as [`read_request`] and [`read_json_shared`].
///
/// # Errors
/// Returns the errors of both.
pub async fn read_json_request<T>(
    request: Request<Incoming>,
    limits: RequestLimits<'_>,
) -> Result<(T, BodyReservation), ReadFailure>
where
    T: DeserializeOwned,
{
    let (head, body) = request.into_parts();
    let reading = read_json_shared(body, limits.max_bytes, limits.memory);
    let read = read_within(limits.timeout, reading).await;
    record_body(&head.extensions, &limits, &read);
    read
}

fn record_body<T>(
    extensions: &Extensions,
    limits: &RequestLimits<'_>,
    read: &Result<T, ReadFailure>,
) {
    if let Some(connection) = extensions.get::<ConnectionHandle>() {
        connection.allow_linger(limits.max_bytes);
        connection.record_body(matches!(read, Ok(_) | Err(ReadFailure::Malformed { .. })));
    }
}

/// Reads a JSON body within the memory that it shares with other bodies. The memory is free once the
/// reservation is dropped, which should live as long as the value.
///
/// # Errors
/// Returns the errors of [`read_shared`] and of [`read_json`].
async fn read_json_shared<T, B>(
    body: B,
    limit: usize,
    memory: &BodyMemory,
) -> Result<(T, BodyReservation), ReadFailure>
where
    T: DeserializeOwned,
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let (bytes, reservation) = read_reserved(body, limit, memory).await?;
    Ok((decode_json(&bytes)?, reservation))
}

async fn read_reserved<B>(
    body: B,
    limit: usize,
    memory: &BodyMemory,
) -> Result<(Bytes, BodyReservation), ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let reservation = memory.reserve(Instant::now());
    let reading = read_with(body, limit, Some(&reservation));
    let bytes = tokio::select! {
        biased;
        read = reading => read?,
        () = reservation.given_up() => return Err(ReadFailure::MemoryUsedUp),
    };
    reservation.hold();
    Ok((bytes, reservation))
}

/// Reads a complete body into the memory of `reservation`, if there is one.
async fn read_with<B>(
    body: B,
    limit: usize,
    reservation: Option<&BodyReservation>,
) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    // Refuses a body whose declared length exceeds the limit before storing any byte. If such
    // bodies were read up to the limit first, many of them at once would fill the memory.
    let declared = body.size_hint().lower();
    let mut buffer = BodyBuffer::new(Instant::now(), declared, limit, reservation)?;
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadFailure::EndedEarly {
            reason: error.to_string(),
        })?;
        if let Ok(data) = frame.into_data() {
            buffer.push(Instant::now(), &data)?;
        }
    }
    Ok(buffer.finish())
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// Returns the errors of [`read_bounded`], and [`ReadFailure::Malformed`] if the bytes are not
/// valid JSON for `T`.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, ReadFailure>
where
    T: DeserializeOwned,
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let bytes = read_bounded(body, limit).await?;
    decode_json(&bytes)
}

fn decode_json<T>(bytes: &[u8]) -> Result<T, ReadFailure>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|error| ReadFailure::Malformed {
        reason: error.to_string(),
    })
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use http_body_util::BodyExt;
    use hyper::body::{Body, Frame, SizeHint};

    use super::{BodyError, ReadFailure, read_bounded};

    /// A body that declares a length and panics when it is read.
    struct DeclaredBody(u64);

    impl Body for DeclaredBody {
        type Data = Bytes;
        type Error = BodyError;

        fn poll_frame(
            self: std::pin::Pin<&mut Self>,
            _context: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
            panic!("read a body whose declared length exceeds the limit");
        }

        fn size_hint(&self) -> SizeHint {
            SizeHint::with_exact(self.0)
        }
    }

    // Guards against memory growth by untrusted clients. A client sends many bodies whose declared
    // length exceeds the limit; each is refused before any byte is stored.
    #[tokio::test]
    async fn a_body_whose_declared_length_exceeds_the_limit_is_not_read() {
        let result = read_bounded(DeclaredBody(101), 100).await;
        assert_eq!(result, Err(ReadFailure::TooLarge { limit: 100 }));
        let body = super::full_body(vec![0_u8; 100]).boxed();
        assert_eq!(
            read_bounded(body, 100).await.map(|body| body.len()),
            Ok(100)
        );
    }
}
