//! Reading of request bodies with limits, and complete or streamed response bodies.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Body, Frame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::body_memory::BodyMemory;

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
    /// The bodies that are read at the same time use up their memory, and this is the largest.
    #[display("bodies use up the memory of this host, and this is the largest")]
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
    read_with(body, limit, |_| Ok(())).await
}

/// Reads a complete body like [`read_bounded`], within the memory that it shares with other bodies.
///
/// # Errors
/// Returns the errors of [`read_bounded`], and [`ReadFailure::MemoryUsedUp`].
pub async fn read_shared<B>(
    body: B,
    limit: usize,
    memory: &BodyMemory,
) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let reservation = memory.reserve();
    read_with(body, limit, |bytes| reservation.grow(bytes)).await
}

/// Reads a complete body; `admit` is called with the length of each part.
async fn read_with<B, F>(body: B, limit: usize, admit: F) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
    F: Fn(usize) -> Result<(), ReadFailure>,
{
    // Refuses a body whose declared length exceeds the limit before storing any byte. If such
    // bodies were read up to the limit first, many of them at once would fill the memory.
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(ReadFailure::TooLarge { limit });
    }
    let mut body = std::pin::pin!(body);
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadFailure::EndedEarly {
            reason: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if content.len().saturating_add(data.len()) > limit {
            return Err(ReadFailure::TooLarge { limit });
        }
        admit(data.len())?;
        content.extend_from_slice(&data);
    }
    Ok(content.into())
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
    serde_json::from_slice(&bytes).map_err(|error| ReadFailure::Malformed {
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
