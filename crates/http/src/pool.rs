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
use tokio::time::{Instant, timeout, timeout_at};

use crate::answer_head::ExpectedAnswer;
use crate::checked_body::CheckedBody;
use crate::client::ClientError;
use crate::client_connection::{ClientConnection, SendError};
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

/// Reads a monotonic clock: the time since a fixed moment before the creation of the pool.
pub type PoolClock = fn() -> Duration;

/// A connection that no request uses.
struct IdleConnection {
    connection: ClientConnection,
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

/// A connection that is opened or in use. It counts as open until dropped or returned, so that a cancelled
/// attempt leaves no count behind.
pub(crate) struct ReservedPlace {
    pool: ConnectionPool,
    address: SocketAddr,
    is_returned: bool,
}

impl ReservedPlace {
    /// Returns the connection to the pool, unless the headers of its last answer announce its end.
    pub(crate) fn return_connection(mut self, connection: ClientConnection, headers: &HeaderMap) {
        let Some(idle) = idle_time(headers, &self.pool.settings) else {
            return;
        };
        let idle = IdleConnection {
            connection,
            reusable_until: (self.pool.clock)() + idle,
        };
        self.is_returned = true;
        let mut slots = self.pool.lock();
        slots.entry(self.address).or_default().idle.push(idle);
    }
}

impl Drop for ReservedPlace {
    fn drop(&mut self) {
        if !self.is_returned {
            self.pool.release(self.address);
        }
    }
}

/// A connection for one request.
struct PooledConnection {
    connection: ClientConnection,
    place: ReservedPlace,
    /// Whether the connection has served an earlier request.
    is_reused: bool,
}

/// A response whose body has not been read.
pub type PooledAnswer = Response<CheckedBody>;

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
            let mut pooled = acquired?;
            let Some(sent) = until(deadline, pooled.connection.send(request)).await else {
                return Ok(None);
            };
            match sent {
                Ok(response) => {
                    let PooledConnection {
                        connection, place, ..
                    } = pooled;
                    let answer = CheckedBody::check(expected, response, connection, Some(place));
                    return answer.map(Some);
                }
                // The server closed the idle connection before any byte was written, so a retry on
                // another connection is safe.
                Err(SendError::NotSent(unsent)) if pooled.is_reused => request = *unsent,
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Closes all connections that no request uses.
    pub fn close_idle(&self) {
        let mut slots = self.lock();
        for slot in slots.values_mut() {
            slot.open = slot.open.saturating_sub(slot.idle.len());
            slot.idle.clear();
        }
        slots.retain(|_, slot| slot.open > 0);
    }

    async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection, ClientError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(PooledConnection {
                connection,
                place: self.place(address),
                is_reused: true,
            });
        }
        if !self.reserve(address) {
            return Err(ClientError::NotSent {
                reason: format!("{address} has all its connections in use"),
            });
        }
        let place = self.place(address);
        let connection = self.open(address).await?;
        Ok(PooledConnection {
            connection,
            place,
            is_reused: false,
        })
    }

    /// Place of a connection that counts as open.
    fn place(&self, address: SocketAddr) -> ReservedPlace {
        ReservedPlace {
            pool: self.clone(),
            address,
            is_returned: false,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ClientConnection> {
        let now = (self.clock)();
        let mut slots = self.lock();
        let slot = slots.get_mut(&address)?;
        while let Some(idle) = slot.idle.pop() {
            if idle.reusable_until > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
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

    async fn open(&self, address: SocketAddr) -> Result<ClientConnection, ClientError> {
        let not_sent = |reason: String| ClientError::NotSent { reason };
        let dialing = self.dialer.dial(address, self.settings.silence_timeout);
        let stream: BoxedStream = timeout(self.settings.connect_timeout, dialing)
            .await
            .map_err(|_| not_sent(format!("{address} did not answer in time")))?
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        let opening = ClientConnection::open(stream).await;
        opening.map_err(|error| not_sent(format!("{address}: {error}")))
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
