//! Connections to backend servers, bounded by address and used by one request at a time.
//!
//! The pool of a general client keeps a connection after any answer that ended well. Here the
//! caller of the pool decides: a server that sends a second answer, or bytes that are none, has
//! spoiled its connection for whatever request comes next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::client::ClientError;

/// Bounds and times of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Longest time that a connection may take to open. Within a region a round trip is a few
    /// milliseconds; a host that is gone answers nothing.
    pub connect_timeout: Duration,
    /// Time after which sent bytes must be acknowledged, or the connection is broken.
    ///
    /// A connection that went silent looks open for minutes; whoever waits on it learns nothing.
    pub silence_timeout: Duration,
    /// Longest time that a connection is kept for reuse, where its server names no shorter one.
    pub max_idle: Duration,
    /// Part of the time that a server names for idle connections after which one is not used any
    /// more: a request that crosses the server's close is lost.
    pub idle_fraction: f64,
    /// Connections to one address.
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

/// Reads a clock that never goes back: the time since some moment before the pool was made.
pub type PoolClock = fn() -> Duration;

type PoolSender = SendRequest<Full<Bytes>>;

/// A connection that no request uses.
struct IdleConnection {
    sender: PoolSender,
    task: AbortHandle,
    /// When it must not be used any more, by the pool's clock.
    until: Duration,
}

#[derive(Default)]
struct AddressSlot {
    idle: Vec<IdleConnection>,
    /// Connections in use and idle.
    open: usize,
}

/// Connections by address; clones share them.
#[derive(Clone)]
pub struct ConnectionPool {
    settings: PoolSettings,
    clock: PoolClock,
    slots: Arc<Mutex<BTreeMap<SocketAddr, AddressSlot>>>,
}

/// A connection in use; dropping it closes the connection, and with it the server's work.
pub struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    sender: Option<PoolSender>,
    task: AbortHandle,
    /// Whether it served a request before.
    reused: bool,
}

/// An answer whose body has not been read, and its connection.
pub struct PooledAnswer {
    /// The answer.
    pub response: Response<Incoming>,
    /// Its connection.
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
    /// A pool without connections, whose idle ones grow old by `clock`.
    ///
    /// The clock should go on while the machine is suspended. By one that stands still, connections
    /// that their servers gave up long ago look fresh, and a request written on one may or may not
    /// have run.
    pub fn new(settings: PoolSettings, clock: PoolClock) -> Self {
        Self {
            settings,
            clock,
            slots: Arc::default(),
        }
    }

    /// Sends a request and waits for the head of its answer. The path and query of its URI are
    /// written, and its headers as they are.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] only if no byte of the request left this host.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<PooledAnswer, ClientError> {
        loop {
            let mut connection = self.take(address).await?;
            let reused = connection.reused;
            match connection.send(request).await {
                Ok(response) => {
                    return Ok(PooledAnswer {
                        response,
                        connection,
                    });
                }
                // The server had closed it while it was idle: nothing was written, so another
                // connection is as good as the first.
                Err(SendFailure::Unsent(unsent)) if reused => request = *unsent,
                Err(SendFailure::Unsent(_)) => {
                    return Err(ClientError::NotSent {
                        reason: "the connection was closed before the request was written"
                            .to_owned(),
                    });
                }
                Err(SendFailure::Unknown(reason)) => return Err(ClientError::NoAnswer { reason }),
            }
        }
    }

    async fn take(&self, address: SocketAddr) -> Result<PooledConnection, ClientError> {
        if let Some(idle) = self.take_idle(address) {
            return Ok(PooledConnection {
                pool: self.clone(),
                address,
                sender: Some(idle.sender),
                task: idle.task,
                reused: true,
            });
        }
        if !self.reserve(address) {
            return Err(ClientError::NotSent {
                reason: format!("{address} has all its connections in use"),
            });
        }
        match self.open(address).await {
            Ok(connection) => Ok(connection),
            Err(error) => {
                self.release(address);
                Err(error)
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<IdleConnection> {
        let now = (self.clock)();
        let mut slots = self.lock();
        let slot = slots.get_mut(&address)?;
        while let Some(idle) = slot.idle.pop() {
            if idle.until > now && idle.sender.is_ready() {
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
        let has_room = slot.open < self.settings.max_per_address;
        if has_room {
            slot.open += 1;
        }
        has_room
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
        let connecting = timeout(self.settings.connect_timeout, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| not_sent(format!("{address} did not answer in time")))?
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        watch_silence(&stream, self.settings.silence_timeout);
        let opening = Builder::new().handshake(TokioIo::new(stream));
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

/// Has the system break a connection whose other side acknowledges nothing.
///
/// A frozen host, a partition or a dropped connection sends no reset, and a request on it would
/// wait for its whole deadline.
fn watch_silence(stream: &TcpStream, silence: Duration) {
    let socket = SockRef::from(stream);
    let probe = silence / 3;
    let keepalive = TcpKeepalive::new()
        .with_time(probe.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(silence)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        log::warn!(error:% = error; "connection without a watch on silence");
    }
}

enum SendFailure {
    /// No byte left this host; the request is given back.
    Unsent(Box<Request<Full<Bytes>>>),
    /// It may have arrived.
    Unknown(String),
}

impl PooledConnection {
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let Some(sender) = &mut self.sender else {
            return Err(SendFailure::Unsent(Box::new(request)));
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendFailure::Unsent(Box::new(request))),
                None => Err(SendFailure::Unknown(error.into_error().to_string())),
            },
        }
    }

    /// Whether the connection served a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Gives the connection back for other requests; only after the whole body of the answer with
    /// these headers was read, and nothing about it was wrong.
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
            until: (self.pool.clock)() + idle,
        };
        let mut slots = self.pool.lock();
        slots.entry(self.address).or_default().idle.push(idle);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // Kept connections have given their sender away.
        if self.sender.take().is_some() {
            self.task.abort();
            self.pool.release(self.address);
        }
    }
}

/// Time for which a connection may wait for its next request; `None` if the server closes it.
fn idle_time(headers: &HeaderMap, settings: &PoolSettings) -> Option<Duration> {
    let lists = |name| {
        let values = headers.get_all(name).iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        texts.flat_map(|text| text.split(',')).map(str::trim)
    };
    if lists(header::CONNECTION).any(|option| option.eq_ignore_ascii_case("close")) {
        return None;
    }
    let keep_alive = http::HeaderName::from_static("keep-alive");
    let named = lists(keep_alive).find_map(|part| part.strip_prefix("timeout=")?.parse().ok());
    let Some(seconds) = named else {
        return Some(settings.max_idle);
    };
    let named = Duration::from_secs(seconds).mul_f64(settings.idle_fraction);
    Some(named.min(settings.max_idle)).filter(|idle| !idle.is_zero())
}
