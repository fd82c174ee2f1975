//! Bodies: bounded reading and streamed writing.

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

/// Error of a response body: the sender gave up before the end.
///
/// hyper then cuts the connection, so a caller never takes a shortened body for a whole one.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("body was abandoned before its end")]
pub struct BodyError;

/// Body of every response of this workspace.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Writing end of a streamed body; dropping it without [`BodySender::finish`] cuts the stream.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Option<Bytes>>,
}

impl BodySender {
    /// Sends one chunk; false once the reader has gone away.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(Some(chunk)).await.is_ok()
    }

    /// Ends the body in order.
    pub async fn finish(self) {
        // A reader that has gone away needs no end mark.
        let _ = self.chunks.send(None).await;
    }

    /// Resolves when the reader has gone away.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// A watch on the reader that can be held beside the sender.
    ///
    /// An abandoned stream is cut only once its watches are dropped as well.
    pub fn watch(&self) -> ReaderWatch {
        ReaderWatch {
            chunks: self.chunks.clone(),
        }
    }
}

/// Tells when the reader of a streamed body has gone away.
#[derive(Debug)]
pub struct ReaderWatch {
    chunks: mpsc::Sender<Option<Bytes>>,
}

impl ReaderWatch {
    /// Resolves when the reader has gone away.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// A streamed body with its writing end; at most `capacity` chunks wait in between.
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

/// A body held in memory.
pub fn full_body<B>(bytes: B) -> ResponseBody
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(never).boxed()
}

/// A body without content.
pub fn empty_body() -> ResponseBody {
    Empty::new().map_err(never).boxed()
}

fn never(error: Infallible) -> BodyError {
    match error {}
}

/// A JSON response; 500 without a body if `value` can't be encoded.
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

/// A plain text response.
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

/// Why a body could not be taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadFailure {
    /// More bytes came than are allowed.
    #[display("body is larger than {limit} bytes")]
    TooLarge {
        /// Bytes that are allowed.
        limit: usize,
    },
    /// The peer stopped before the declared end.
    #[display("body ended early: {reason}")]
    EndedEarly {
        /// The transport's words.
        reason: String,
    },
    /// The peer sent too slowly.
    #[display("body did not come within {} ms", limit.as_millis())]
    TooSlow {
        /// Time that it had.
        limit: Duration,
    },
    /// The bytes are not the expected JSON.
    #[display("body is not valid JSON for this request: {reason}")]
    Malformed {
        /// The decoder's words, with line and column.
        reason: String,
    },
}

/// Gives up `read` after `limit`: a stranger who sends a byte now and then holds no memory for long.
///
/// # Errors
/// [`ReadFailure::TooSlow`], and those of `read`.
pub async fn read_within<F, T>(limit: Duration, read: F) -> Result<T, ReadFailure>
where
    F: Future<Output = Result<T, ReadFailure>>,
{
    tokio::time::timeout(limit, read)
        .await
        .unwrap_or(Err(ReadFailure::TooSlow { limit }))
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`ReadFailure::TooLarge`] as soon as the limit is passed, without reading the rest;
/// [`ReadFailure::EndedEarly`] if the peer stopped before the end.
pub async fn read_bounded<B>(body: B, limit: usize) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    // A length that is declared too large is refused before a byte is kept: read up to the limit
    // first, many such bodies at once would fill the memory.
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
        content.extend_from_slice(&data);
    }
    Ok(content.into())
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// Those of [`read_bounded`], and [`ReadFailure::Malformed`].
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

    /// A body that declares a length and must never be read.
    struct DeclaredBody(u64);

    impl Body for DeclaredBody {
        type Data = Bytes;
        type Error = BodyError;

        fn poll_frame(
            self: std::pin::Pin<&mut Self>,
            _context: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
            panic!("a body that is declared too large was read");
        }

        fn size_hint(&self) -> SizeHint {
            SizeHint::with_exact(self.0)
        }
    }

    // A caller sends many bodies that are declared too large. Each is refused without keeping a
    // byte, so memory does not grow with what strangers declare.
    #[tokio::test]
    async fn a_body_declared_too_large_is_not_read() {
        let refused = read_bounded(DeclaredBody(101), 100).await;
        assert_eq!(refused, Err(ReadFailure::TooLarge { limit: 100 }));
        let whole = super::full_body(vec![0_u8; 100]).boxed();
        assert_eq!(
            read_bounded(whole, 100).await.map(|body| body.len()),
            Ok(100)
        );
    }
}
