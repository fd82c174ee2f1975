//! Bounded server loop: accepts connections and hands requests to a handler.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Extensions, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::body::ResponseBody;

/// Pause after a failed accept, so that a full file table does not spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a stranger may use up; each bound is per server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Headers of one request.
    pub max_headers: usize,
    /// Bytes of the head of one request; hyper needs at least 8,192.
    pub max_head_bytes: usize,
    /// Time in which the head of a request must have come.
    pub head_timeout: Duration,
    /// Open connections from one address.
    pub max_connections_per_address: usize,
    /// Open connections in all.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_headers: 64,
            max_head_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(10),
            max_connections_per_address: 4_096,
            max_connections: 16_384,
        }
    }
}

/// Answer of a handler, still to be awaited.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Handles the requests of one server.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request that came from `peer`.
    fn handle(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HandlerFuture;
}

/// A byte stream, in plain text or decrypted.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S> ByteStream for S where S: AsyncRead + AsyncWrite + Unpin + Send {}

/// A stream behind a trait object.
pub type BoxedStream = Box<dyn ByteStream>;

/// An accepted stream, with what its handshake proved.
pub struct AcceptedStream {
    /// The stream.
    pub stream: BoxedStream,
    /// Put into every request of the connection.
    pub extensions: Extensions,
}

/// A stream that is being accepted.
pub type StreamFuture = Pin<Box<dyn Future<Output = io::Result<AcceptedStream>> + Send>>;

/// Turns an accepted connection into a byte stream, such as by a TLS handshake.
pub trait StreamAcceptor: Send + Sync {
    /// Takes over `stream`.
    fn accept(&self, stream: TcpStream) -> StreamFuture;
}

/// Connections open from each address.
///
/// Invariant: holds no address with a count of zero, so it is bounded by the open connections.
#[derive(Debug, Default)]
struct ConnectionTable {
    counts: Mutex<BTreeMap<IpAddr, usize>>,
    /// Sum of the counts; changed under their lock only.
    total: AtomicUsize,
}

impl ConnectionTable {
    fn open(self: &Arc<Self>, address: IpAddr, limits: &ServerLimits) -> Option<ConnectionGuard> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if self.total.load(Ordering::Relaxed) >= limits.max_connections {
            return None;
        }
        let count = counts.entry(address).or_insert(0);
        if *count >= limits.max_connections_per_address {
            return None;
        }
        *count += 1;
        self.total.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionGuard {
            table: Arc::clone(self),
            address,
        })
    }

    fn close(&self, address: IpAddr) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = counts.get_mut(&address) else {
            return;
        };
        *count = count.saturating_sub(1);
        self.total.fetch_sub(1, Ordering::Relaxed);
        if *count == 0 {
            counts.remove(&address);
        }
    }
}

struct ConnectionGuard {
    table: Arc<ConnectionTable>,
    address: IpAddr,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.close(self.address);
    }
}

/// A listening server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    drain: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and serves until drained or dropped.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(
        address: SocketAddr,
        limits: ServerLimits,
        acceptor: Option<Arc<dyn StreamAcceptor>>,
        handler: Arc<dyn DynHandler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (drain, draining) = watch::channel(false);
        let context = Arc::new(ServerContext {
            limits,
            acceptor,
            handler,
            draining,
        });
        let task = tokio::spawn(accept_loop(listener, context));
        Ok(Self {
            address,
            drain,
            task,
        })
    }

    /// Address that the server listens on, with the port that was given for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and lets open connections finish the request that they are in.
    pub async fn drain(mut self) {
        let _ = self.drain.send(true);
        let _ = (&mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Object-safe face of [`HttpHandler`].
pub trait DynHandler: Send + Sync {
    /// Answers one request that came from `peer`.
    fn handle_dyn(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HandlerFuture;
}

impl<H> DynHandler for H
where
    H: HttpHandler,
{
    fn handle_dyn(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HandlerFuture {
        self.handle(request, peer)
    }
}

struct ServerContext {
    limits: ServerLimits,
    acceptor: Option<Arc<dyn StreamAcceptor>>,
    handler: Arc<dyn DynHandler>,
    draining: watch::Receiver<bool>,
}

async fn accept_loop(listener: TcpListener, context: Arc<ServerContext>) {
    let mut draining = context.draining.clone();
    let table = Arc::new(ConnectionTable::default());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                let Some(guard) = table.open(peer.ip(), &context.limits) else {
                    log::warn!(peer:% = peer; "connection refused: too many are open");
                    continue;
                };
                connections.spawn(serve_connection(stream, peer, Arc::clone(&context), guard));
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = drain_asked(&mut draining) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn drain_asked(draining: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which ends its connections as well.
    let _ = draining.wait_for(|draining| *draining).await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    context: Arc<ServerContext>,
    guard: ConnectionGuard,
) {
    let _guard = guard;
    // A token must leave at once: without this, small writes wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let Some(accepted) = accept_stream(stream, peer, &context).await else {
        return;
    };
    let AcceptedStream { stream, extensions } = accepted;
    let handler = Arc::clone(&context.handler);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().extend(extensions.clone());
        let answer = Arc::clone(&handler).handle_dyn(request, peer);
        async move { Ok::<Response<ResponseBody>, std::convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(context.limits.head_timeout)
        .max_headers(context.limits.max_headers)
        .max_buf_size(context.limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut draining = context.draining.clone();
    let drained = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = drain_asked(&mut draining) => None,
    };
    let result = match drained {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(peer:% = peer, error:% = error; "connection ended");
    }
}

async fn accept_stream(
    stream: TcpStream,
    peer: SocketAddr,
    context: &ServerContext,
) -> Option<AcceptedStream> {
    let Some(acceptor) = &context.acceptor else {
        let extensions = Extensions::new();
        return Some(AcceptedStream {
            stream: Box::new(stream),
            extensions,
        });
    };
    let handshake =
        tokio::time::timeout(context.limits.head_timeout, acceptor.accept(stream)).await;
    match handshake {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(error)) => {
            log::warn!(peer:% = peer, error:% = error; "handshake refused");
            None
        }
        Err(_) => {
            log::warn!(peer:% = peer; "handshake timed out");
            None
        }
    }
}
