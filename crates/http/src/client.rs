//! Client: one pooled connector whose errors tell what is known about a sent request.

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

use crate::body::{ReadFailure, read_bounded};

/// Longest time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections that stay open to each address.
const IDLE_CONNECTIONS: usize = 64;
/// Longest line of an event stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Why a call failed, ordered by what is known of the far side.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the request left this host: the far side can't have begun.
    #[display("not sent: {reason}")]
    NotSent {
        /// The connector's words.
        reason: String,
    },
    /// The request may have arrived; whether it ran is not known.
    #[display("sent, but no whole answer came: {reason}")]
    NoAnswer {
        /// The transport's words.
        reason: String,
    },
    /// An answer came that can't be understood.
    #[display("answer not understood: {reason}")]
    BadAnswer {
        /// The decoder's words.
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

/// A pooled HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_body: usize,
}

/// An answer whose body has not been read.
pub type UnreadResponse = Response<Incoming>;

impl HttpClient {
    /// A client that reads answers of at most `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            // A silent resend on a dead pooled connection would break "at most once".
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, max_body }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] only if no connection could be opened; else
    /// [`ClientError::NoAnswer`].
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<UnreadResponse, ClientError> {
        self.client.request(request).await.map_err(|error| {
            let reason = error_chain(&error);
            if error.is_connect() {
                return ClientError::NotSent { reason };
            }
            ClientError::NoAnswer { reason }
        })
    }

    /// Posts JSON and waits for the head of the answer.
    ///
    /// # Errors
    /// Those of [`HttpClient::send`]; [`ClientError::NotSent`] if `body` can't be encoded.
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

    /// Posts JSON and reads a JSON answer with its status.
    ///
    /// # Errors
    /// Those of [`HttpClient::post`]; [`ClientError::BadAnswer`] if the answer is not of type `R`.
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

    /// Reads the whole body of an answer.
    ///
    /// # Errors
    /// [`ClientError::NoAnswer`] if the body ends early or passes the client's bound.
    pub async fn read(&self, response: UnreadResponse) -> Result<Bytes, ClientError> {
        Ok(read_bounded(response.into_body(), self.max_body).await?)
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
    /// A reader over the body of `response`.
    pub fn new(response: UnreadResponse) -> Self {
        Self {
            body: response.into_body(),
            buffer: BytesMut::new(),
        }
    }

    /// The next line without its end mark; `None` at the end of the body.
    ///
    /// # Errors
    /// [`ClientError::NoAnswer`] if the stream breaks or ends inside a line;
    /// [`ClientError::BadAnswer`] if a line is too long.
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
            if !self.fill().await? {
                return self.end();
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Some(line)
    }

    async fn fill(&mut self) -> Result<bool, ClientError> {
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

    fn end(&self) -> Result<Option<Bytes>, ClientError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(ClientError::NoAnswer {
            reason: "stream ended inside a line".to_owned(),
        })
    }
}
