//! Connection pool for backend servers, with a limit for each address; one request at a time uses a
//! connection.
//!
//! The pool of a general HTTP client reuses a connection after any complete response. In this pool
//! the caller decides: if a server sends a second response or invalid bytes, the next request on
//! its connection would read a wrong response.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::answer_head::ExpectedAnswer;
use crate::client::ClientError;
use crate::dialer::{ServerDialer, TcpDialer};
use crate::server::BoxedStream;

/// Limits and timeouts of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Timeout for opening a connection. A round trip within a region takes a few milliseconds, and
    /// a host that is down does not answer.
    pub connect_timeout: Duration,
    /// Time after which a connection with unacknowledged sent bytes is closed.
    ///
    /// Without this timeout, a connection whose peer is silent looks open for minutes, and its
    /// request waits without an error.
    pub silence_timeout: Duration,
    /// Maximum time that an idle connection remains reusable, unless its server announces a shorter
    /// one.
    pub max_idle: Duration,
    /// Fraction of the idle timeout announced by a server after which its connection is no longer
    /// reused. A request that is sent while the server closes the connection is lost.
    pub idle_fraction: f64,
    /// Maximum number of connections to one address.
    pub max_per_address: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            silence_timeout: Duration::from_millis(1_500),
            max_idle: Duration::from_secs(4),
            idle_fraction: 0.5,
            max_per_address: 256,
        }
    }
}

/// Maximum size of the head of a response, and of the read buffer of a connection, in bytes. A host
/// may have a thousand connections on which bytes come without end.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Reads a monotonic clock: the time since a fixed moment before the creation of the pool.
pub type PoolClock = fn() -> Duration;

type PoolSender = SendRequest<Full<Bytes>>;

/// A connection that no request uses.
struct IdleConnection {
    sender: PoolSender,
    task: AbortHandle,
    /// Time on the clock of the pool from which the connection is no longer reused.
    reusable_until: Duration,
}

#[derive(Default)]
struct AddressSlot {
    idle: Vec<IdleConnection>,
    /// Number of connections, both in use and idle.
    open: usize,
}

/// Pool of connections by address; clones share the connections.
#[derive(Clone)]
pub struct ConnectionPool {
    settings: PoolSettings,
    clock: PoolClock,
    dialer: Arc<dyn ServerDialer>,
    slots: Arc<Mutex<BTreeMap<SocketAddr, AddressSlot>>>,
}

/// A connection in use. Dropping it closes the connection, so that the server aborts the request.
pub struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    sender: Option<PoolSender>,
    task: AbortHandle,
    /// Whether the connection has served an earlier request.
    reused: bool,
}

/// A connection that is being opened. It counts as open until dropped or kept, so that a cancelled
/// attempt leaves no count behind.
struct ReservedConnection<'pool> {
    pool: &'pool ConnectionPool,
    address: SocketAddr,
    is_kept: bool,
}

impl<'pool> ReservedConnection<'pool> {
    /// Reserves a connection; `None` if the address has all its connections in use.
    fn new(pool: &'pool ConnectionPool, address: SocketAddr) -> Option<Self> {
        pool.reserve(address).then_some(Self {
            pool,
            address,
            is_kept: false,
        })
    }

    /// Leaves the count to the opened connection.
    fn keep(mut self) {
        self.is_kept = true;
    }
}

impl Drop for ReservedConnection<'_> {
    fn drop(&mut self) {
        if !self.is_kept {
            self.pool.release(self.address);
        }
    }
}

/// A response whose body has not been read, and its connection.
pub struct PooledAnswer {
    /// Response with its unread body.
    pub response: Response<Incoming>,
    /// Connection that delivers the body.
    pub connection: PooledConnection,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ConnectionPool")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl ConnectionPool {
    /// Creates a pool without connections that measures idle time with `clock`.
    ///
    /// The clock should advance while the machine is suspended. Otherwise the pool reuses
    /// connections that their servers closed long ago, and it is unknown whether a request sent on
    /// one has run.
    pub fn new(settings: PoolSettings, clock: PoolClock) -> Self {
        Self::with_dialer(settings, clock, Arc::new(TcpDialer))
    }

    /// Creates a pool like [`ConnectionPool::new`] whose connections are opened by `dialer`.
    pub fn with_dialer(
        settings: PoolSettings,
        clock: PoolClock,
        dialer: Arc<dyn ServerDialer>,
    ) -> Self {
        Self {
            settings,
            clock,
            dialer,
            slots: Arc::default(),
        }
    }

    /// Whether a new connection to `address` opens within `open_timeout`; closes it at once.
    pub async fn can_open(&self, address: SocketAddr, open_timeout: Duration) -> bool {
        let dialing = self.dialer.dial(address, self.settings.silence_timeout);
        matches!(timeout(open_timeout, dialing).await, Ok(Ok(_)))
    }

    /// Sends a request and waits for the head of the response. The request line contains the path
    /// and query of the URI; headers are sent unchanged.
    ///
    /// # Errors
    /// Returns [`ClientError::NotSent`] only if no byte of the request left this host,
    /// [`ClientError::BadAnswer`] if the head is invalid, and otherwise [`ClientError::NoAnswer`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<PooledAnswer, ClientError> {
        let answer = self.send_by(address, request, None).await?;
        answer.ok_or_else(|| ClientError::NoAnswer {
            reason: "no answer in time".to_owned(),
        })
    }

    /// Sends a request like [`ConnectionPool::send`], and waits until `deadline` for the connection
    /// and for the head of the response. Returns `None` if the request was sent and got no response
    /// by then.
    ///
    /// # Errors
    /// As [`ConnectionPool::send`]; [`ClientError::NotSent`] also if no connection opened by the
    /// deadline.
    pub async fn send_by(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Option<Instant>,
    ) -> Result<Option<PooledAnswer>, ClientError> {
        let expected = ExpectedAnswer::to(&request);
        loop {
            let Some(acquired) = until(deadline, self.acquire(address)).await else {
                return Err(ClientError::NotSent {
                    reason: format!("no connection to {address} opened before the deadline"),
                });
            };
            let mut connection = acquired?;
            let reused = connection.reused;
            let Some(sent) = until(deadline, connection.send(request)).await else {
                return Ok(None);
            };
            match sent {
                Ok(response) => {
                    expected.body_end(&response)?;
                    return Ok(Some(PooledAnswer {
                        response,
                        connection,
                    }));
                }
                // The server closed the idle connection before any byte was written, so a retry on
                // another connection is safe.
                Err(SendError::NotSent(unsent)) if reused => request = *unsent,
                Err(SendError::NotSent(_)) => {
                    return Err(ClientError::NotSent {
                        reason: "the connection was closed before the request was written"
                            .to_owned(),
                    });
                }
                Err(SendError::Unknown(reason)) => return Err(ClientError::NoAnswer { reason }),
            }
        }
    }

    /// Closes all connections that no request uses.
    pub fn close_idle(&self) {
        let mut slots = self.lock();
        for slot in slots.values_mut() {
            for idle in slot.idle.drain(..) {
                idle.task.abort();
                slot.open = slot.open.saturating_sub(1);
            }
        }
        slots.retain(|_, slot| slot.open > 0);
    }

    async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection, ClientError> {
        if let Some(idle) = self.take_idle(address) {
            return Ok(PooledConnection {
                pool: self.clone(),
                address,
                sender: Some(idle.sender),
                task: idle.task,
                reused: true,
            });
        }
        let Some(reserved) = ReservedConnection::new(self, address) else {
            return Err(ClientError::NotSent {
                reason: format!("{address} has all its connections in use"),
            });
        };
        let connection = self.open(address).await?;
        reserved.keep();
        Ok(connection)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<IdleConnection> {
        let now = (self.clock)();
        let mut slots = self.lock();
        let slot = slots.get_mut(&address)?;
        while let Some(idle) = slot.idle.pop() {
            if idle.reusable_until > now && idle.sender.is_ready() {
                return Some(idle);
            }
            idle.task.abort();
            slot.open = slot.open.saturating_sub(1);
        }
        None
    }

    fn reserve(&self, address: SocketAddr) -> bool {
        let mut slots = self.lock();
        let slot = slots.entry(address).or_default();
        let has_capacity = slot.open < self.settings.max_per_address;
        if has_capacity {
            slot.open += 1;
        }
        has_capacity
    }

    fn release(&self, address: SocketAddr) {
        let mut slots = self.lock();
        if let Some(slot) = slots.get_mut(&address) {
            slot.open = slot.open.saturating_sub(1);
            if slot.open == 0 {
                slots.remove(&address);
            }
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<PooledConnection, ClientError> {
        let not_sent = |reason: String| ClientError::NotSent { reason };
        let dialing = self.dialer.dial(address, self.settings.silence_timeout);
        let stream: BoxedStream = timeout(self.settings.connect_timeout, dialing)
            .await
            .map_err(|_| not_sent(format!("{address} did not answer in time")))?
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        let opening = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = opening
            .await
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(server:% = address, error:% = error; "connection ended");
            }
        });
        Ok(PooledConnection {
            pool: self.clone(),
            address,
            sender: Some(sender),
            task: task.abort_handle(),
            reused: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, AddressSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Result of `work`, or `None` if it takes longer than until `deadline`.
async fn until<W>(deadline: Option<Instant>, work: W) -> Option<W::Output>
where
    W: Future,
{
    match deadline {
        Some(deadline) => timeout_at(deadline, work).await.ok(),
        None => Some(work.await),
    }
}

enum SendError {
    /// No byte left this host; contains the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have arrived; contains the error text.
    Unknown(String),
}

impl PooledConnection {
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(sender) = &mut self.sender else {
            return Err(SendError::NotSent(Box::new(request)));
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::Unknown(error.into_error().to_string())),
            },
        }
    }

    /// Whether the connection has served an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool for reuse. Call this only after the complete body of the
    /// response with these headers was read without any protocol error.
    pub fn return_to_pool(mut self, headers: &HeaderMap) {
        let settings = &self.pool.settings;
        let Some(idle) = idle_time(headers, settings) else {
            return;
        };
        let Some(sender) = self.sender.take() else {
            return;
        };
        let idle = IdleConnection {
            sender,
            task: self.task.clone(),
            reusable_until: (self.pool.clock)() + idle,
        };
        let mut slots = self.pool.lock();
        slots.entry(self.address).or_default().idle.push(idle);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // `return_to_pool` has moved the sender of a reusable connection.
        if self.sender.take().is_some() {
            self.task.abort();
            self.pool.release(self.address);
        }
    }
}

/// Maximum idle time of a connection until its next request; `None` if the server closes it.
fn idle_time(headers: &HeaderMap, settings: &PoolSettings) -> Option<Duration> {
    let list_items = |name| {
        let values = headers.get_all(name).iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        texts.flat_map(|text| text.split(',')).map(str::trim)
    };
    if list_items(header::CONNECTION).any(|option| option.eq_ignore_ascii_case("close")) {
        return None;
    }
    let keep_alive = http::HeaderName::from_static("keep-alive");
    let announced =
        list_items(keep_alive).find_map(|part| part.strip_prefix("timeout=")?.parse().ok());
    let Some(seconds) = announced else {
        return Some(settings.max_idle);
    };
    let announced = Duration::from_secs(seconds).mul_f64(settings.idle_fraction);
    Some(announced.min(settings.max_idle)).filter(|idle| !idle.is_zero())
}
