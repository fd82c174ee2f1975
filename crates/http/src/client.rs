//! HTTP client with pooled connections; its errors state whether a request may have been processed.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answer_head::{ExpectedAnswer, HeadError};
use crate::body::{ReadFailure, read_shared};
use crate::body_memory::{BodyMemory, OverflowPolicy};
use crate::pool::MAX_HEAD_BYTES;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to each address.
const IDLE_CONNECTIONS: usize = 64;
/// Maximum length of a line in an event stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Reason why a call failed; each variant states whether the server may have received the request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the request left this host, so the server can't have processed it.
    #[display("not sent: {reason}")]
    NotSent {
        /// Error text of the connector.
        reason: String,
    },
    /// The request may have arrived; it is unknown whether it ran.
    #[display("sent, but no whole answer came: {reason}")]
    NoAnswer {
        /// Error text of the transport.
        reason: String,
    },
    /// The response is invalid.
    #[display("answer not understood: {reason}")]
    BadAnswer {
        /// Error text of the decoder.
        reason: String,
    },
}

impl From<ReadFailure> for ClientError {
    fn from(failure: ReadFailure) -> Self {
        match failure {
            ReadFailure::Malformed { reason } => Self::BadAnswer { reason },
            other => Self::NoAnswer {
                reason: other.to_string(),
            },
        }
    }
}

impl From<HeadError> for ClientError {
    fn from(error: HeadError) -> Self {
        Self::BadAnswer {
            reason: error.to_string(),
        }
    }
}

/// HTTP client with a connection pool and a limit for response bodies.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_body: usize,
    memory: BodyMemory,
}

/// A response whose body has not been read.
pub type UnreadResponse = Response<Incoming>;

impl HttpClient {
    /// Creates a client that reads response bodies of at most `max_body` bytes each, and twice as much
    /// together.
    pub fn new(max_body: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            // An automatic resend after a closed pooled connection could run a request twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            max_body,
            memory: BodyMemory::new(max_body.saturating_mul(2), OverflowPolicy::Largest),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// Returns [`ClientError::NotSent`] only if no connection could be opened,
    /// [`ClientError::BadAnswer`] if the head is invalid, and otherwise [`ClientError::NoAnswer`].
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<UnreadResponse, ClientError> {
        let expected = ExpectedAnswer::to(&request);
        let answer = self.client.request(request).await.map_err(|error| {
            let reason = error_chain(&error);
            if error.is_connect() {
                return ClientError::NotSent { reason };
            }
            ClientError::NoAnswer { reason }
        })?;
        expected.body_end(&answer)?;
        Ok(answer)
    }

    /// Posts JSON and waits for the head of the response.
    ///
    /// # Errors
    /// Returns the errors of [`HttpClient::send`], and [`ClientError::NotSent`] if `body` can't be
    /// encoded.
    pub async fn post<T>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<UnreadResponse, ClientError>
    where
        T: Serialize,
    {
        let encoded = serde_json::to_vec(body).map_err(not_sent)?;
        let request = Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(encoded.into()))
            .map_err(not_sent)?;
        self.send(request).await
    }

    /// Posts JSON and reads a JSON response and its status.
    ///
    /// # Errors
    /// Returns the errors of [`HttpClient::post`] and [`HttpClient::read`]. The inner result is
    /// [`ClientError::BadAnswer`] if the response is not of type `R`.
    pub async fn call<T, R>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<(StatusCode, Result<R, ClientError>), ClientError>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let response = self.post(address, path, body).await?;
        let status = response.status();
        let bytes = self.read(response).await?;
        let value = serde_json::from_slice(&bytes).map_err(|error| ClientError::BadAnswer {
            reason: error.to_string(),
        });
        Ok((status, value))
    }

    /// Reads the complete body of a response.
    ///
    /// # Errors
    /// Returns [`ClientError::NoAnswer`] if the body ends early or exceeds the limit of the client.
    pub async fn read(&self, response: UnreadResponse) -> Result<Bytes, ClientError> {
        Ok(read_shared(response.into_body(), self.max_body, &self.memory).await?)
    }
}

fn not_sent<E>(error: E) -> ClientError
where
    E: std::fmt::Display,
{
    ClientError::NotSent {
        reason: error.to_string(),
    }
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}

/// Reads a streamed body line by line.
#[derive(Debug)]
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
}

impl LineReader {
    /// Creates a reader at the start of the body of `response`.
    pub fn new(response: UnreadResponse) -> Self {
        Self {
            body: response.into_body(),
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next line without its newline; returns `None` at the end of the body.
    ///
    /// # Errors
    /// Returns [`ClientError::NoAnswer`] if the connection fails or the stream ends inside a line,
    /// and [`ClientError::BadAnswer`] if a line is too long.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(ClientError::BadAnswer {
                    reason: "line too long".to_owned(),
                });
            }
            if !self.read_frame().await? {
                return self.check_end();
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Some(line)
    }

    async fn read_frame(&mut self) -> Result<bool, ClientError> {
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame.map_err(|error| ClientError::NoAnswer {
            reason: error_chain(&error),
        })?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(true)
    }

    fn check_end(&self) -> Result<Option<Bytes>, ClientError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(ClientError::NoAnswer {
            reason: "stream ended inside a line".to_owned(),
        })
    }
}
