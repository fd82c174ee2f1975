//! HTTP client with pooled connections; its errors state whether a request may have been processed.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::lookup_host;
use tokio::time::timeout;

use crate::answer_head::HeadError;
use crate::body::{ReadFailure, read_shared};
use crate::body_memory::{BodyMemory, OverflowPolicy};
use crate::checked_body::CheckedBody;
use crate::pool::{ConnectionPool, PoolSettings};

/// Timeout for looking up a name, and again for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection whose peer acknowledges nothing is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Port of a URI that names none.
const DEFAULT_PORT: u16 = 80;
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
    pool: ConnectionPool,
    max_body: usize,
    memory: BodyMemory,
}

/// A response whose body has not been read.
pub type UnreadResponse = Response<CheckedBody>;

impl HttpClient {
    /// Creates a client that reads response bodies of at most `max_body` bytes each, and twice as much
    /// together.
    pub fn new(max_body: usize) -> Self {
        let settings = PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
            max_per_address: usize::MAX,
            ..PoolSettings::default()
        };
        Self {
            pool: ConnectionPool::new(settings, uptime),
            max_body,
            memory: BodyMemory::new(max_body.saturating_mul(2), OverflowPolicy::Largest),
        }
    }

    /// Sends a request to the host of its URI, and waits for the head of the response.
    ///
    /// # Errors
    /// Returns [`ClientError::NotSent`] only if no byte of the request left this host,
    /// [`ClientError::BadAnswer`] if the head is invalid, and otherwise [`ClientError::NoAnswer`].
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<UnreadResponse, ClientError> {
        let host = take_host(&mut request)?;
        let mut failure = ClientError::NotSent {
            reason: format!("{host} has no address"),
        };
        for address in addresses(&host).await? {
            match self.pool.send(address, request.clone()).await {
                Err(error @ ClientError::NotSent { .. }) => failure = error,
                sent => return sent,
            }
        }
        Err(failure)
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
    /// Returns [`ClientError::NoAnswer`] if the body is not whole or exceeds the limit of the client.
    pub async fn read(&self, response: UnreadResponse) -> Result<Bytes, ClientError> {
        let (parts, mut body) = response.into_parts();
        let bytes = read_shared(&mut body, self.max_body, &self.memory).await?;
        body.return_to_pool(&parts.headers);
        Ok(bytes)
    }
}

/// Time since a fixed moment of this process.
fn uptime() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// Reduces the URI of a request to its path and query; returns the host that it names, with its port.
fn take_host<B>(request: &mut Request<B>) -> Result<String, ClientError> {
    let authority = request.uri().authority().cloned();
    let authority = authority.ok_or_else(|| not_sent("the URI names no host"))?;
    let host = match authority.port() {
        Some(port) => format!("{}:{port}", authority.host()),
        None => authority.host().to_owned(),
    };
    let host = HeaderValue::from_str(&host).map_err(not_sent)?;
    request.headers_mut().entry(header::HOST).or_insert(host);
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let port = authority.port_u16().unwrap_or(DEFAULT_PORT);
    Ok(format!("{}:{port}", authority.host()))
}

/// Addresses of `host`, which ends with its port.
async fn addresses(host: &str) -> Result<Vec<SocketAddr>, ClientError> {
    let found = timeout(CONNECT_TIMEOUT, lookup_host(host)).await;
    let found = found.map_err(|_| not_sent(format!("{host} was not found in time")))?;
    Ok(found.map_err(not_sent)?.collect())
}

fn not_sent<E>(error: E) -> ClientError
where
    E: std::fmt::Display,
{
    ClientError::NotSent {
        reason: error.to_string(),
    }
}

/// Reads a streamed body line by line.
#[derive(Debug)]
pub struct LineReader {
    headers: HeaderMap,
    /// `None` once the body has ended.
    body: Option<CheckedBody>,
    buffer: BytesMut,
}

impl LineReader {
    /// Creates a reader at the start of the body of `response`.
    pub fn new(response: UnreadResponse) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            headers: parts.headers,
            body: Some(body),
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
        let Some(body) = &mut self.body else {
            return Ok(false);
        };
        let Some(frame) = body.frame().await else {
            if let Some(body) = self.body.take() {
                body.return_to_pool(&self.headers);
            }
            return Ok(false);
        };
        if let Ok(data) = frame?.into_data() {
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
