//! HTTP server with limits: accepts connections and passes requests to a handler.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Extensions, HeaderValue, Request, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::body::{BodyError, ResponseBody};
use crate::connections::{ConnectionGuard, ConnectionHandle, ConnectionPlace, ConnectionTable};
use crate::new_connections::{NewConnection, NewConnections};
use crate::served_stream::ServedStream;

/// Pause after a failed accept; without it, a full file table would cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for the head of a new connection's first request, after which the connection no longer counts as
/// new.
const HEAD_TIME: Duration = Duration::from_millis(20);
/// Time for a connection to make room, which takes one run of its task.
const CLEAR_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of connections that read on after their answer.
const MAX_LINGERERS: usize = 64;

/// Limits for the resources that untrusted clients use; each applies to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of headers in one request.
    pub max_headers: usize,
    /// Maximum size of the head of one request in bytes; hyper requires at least 8,192.
    pub max_head_bytes: usize,
    /// Timeout for reading the head of a request, and for the handshake of a connection.
    pub head_timeout: Duration,
    /// Maximum number of open connections from one address.
    pub max_connections_per_address: usize,
    /// Maximum number of open connections in total.
    pub max_connections: usize,
    /// Maximum number of connections whose first request is not answered yet; further ones wait to
    /// be accepted. It limits the work that other tasks of the process wait for, however many
    /// clients connect at the same time.
    pub max_new_connections: usize,
    /// Maximum number of connections that wait to be accepted. The operating system drops further
    /// ones, at no cost to this process.
    pub backlog: u32,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_headers: 64,
            max_head_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(10),
            max_connections_per_address: 4_096,
            max_connections: 16_384,
            max_new_connections: 16_384,
            backlog: 1_024,
        }
    }
}

/// Future that resolves to the response of a handler.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Handles the requests of one server.
pub trait HttpHandler: Send + Sync + 'static {
    /// Processes one request from `peer` and returns its response.
    fn handle(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HandlerFuture;
}

/// Byte stream of a connection, unencrypted or decrypted.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S> ByteStream for S where S: AsyncRead + AsyncWrite + Unpin + Send {}

/// A byte stream as a trait object.
pub type BoxedStream = Box<dyn ByteStream>;

/// An accepted byte stream and the properties that its handshake verified.
pub struct AcceptedStream {
    /// Byte stream after the handshake.
    pub stream: BoxedStream,
    /// Extensions that the server adds to every request of the connection.
    pub extensions: Extensions,
}

/// Future that resolves to an accepted stream.
pub type StreamFuture = Pin<Box<dyn Future<Output = io::Result<AcceptedStream>> + Send>>;

/// Converts an accepted connection into a byte stream, for example by a TLS handshake.
pub trait StreamAcceptor: Send + Sync {
    /// Performs the handshake on `stream`.
    ///
    /// The future fails if the handshake is refused.
    fn accept(&self, stream: TcpStream) -> StreamFuture;
}

/// Decides which accepted connections are served. Its methods run on the task that accepts
/// connections, or on that of a connection, and must not block.
pub trait ConnectionGate: Send + Sync {
    /// Whether to serve a connection that has just been accepted; otherwise it is closed unread.
    fn may_serve(&self) -> bool;

    /// Records how long a connection waited: an accepted one until its task ran, or one that is about
    /// to be accepted, at most, in the queue of the operating system.
    fn record_wait(&self, wait: Duration);
}

/// Learns of connections that find no place at a server. Its methods run on the task that accepts
/// connections and must not block.
pub trait ConnectionObserver: Send + Sync {
    /// Records that a connection was closed to make room for a new one.
    fn record_cleared(&self);

    /// Records that a new connection was closed, as none could make room for it.
    fn record_refused(&self);
}

/// Optional parts of a server.
#[derive(Clone, Default)]
pub struct ServerHooks {
    /// Converts accepted connections; without one they are served as they are.
    pub acceptor: Option<Arc<dyn StreamAcceptor>>,
    /// Decides which connections are served; all without one.
    pub gate: Option<Arc<dyn ConnectionGate>>,
    /// Learns of connections without a place.
    pub observer: Option<Arc<dyn ConnectionObserver>>,
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
    /// Fails if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        limits: ServerLimits,
        acceptor: Option<Arc<dyn StreamAcceptor>>,
        handler: Arc<dyn DynHandler>,
    ) -> io::Result<Self> {
        let hooks = ServerHooks {
            acceptor,
            ..ServerHooks::default()
        };
        Self::start_with(address, limits, hooks, handler).await
    }

    /// Starts a server with optional parts.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start_with(
        address: SocketAddr,
        limits: ServerLimits,
        hooks: ServerHooks,
        handler: Arc<dyn DynHandler>,
    ) -> io::Result<Self> {
        let listener = listen(address, limits.backlog)?;
        let address = listener.local_addr()?;
        let (drain, draining) = watch::channel(false);
        let context = Arc::new(ServerContext {
            limits,
            hooks,
            handler,
            draining,
            lingerers: Arc::new(Semaphore::new(MAX_LINGERERS)),
        });
        let task = tokio::spawn(accept_loop(listener, context));
        Ok(Self {
            address,
            drain,
            task,
        })
    }

    /// Address on which the server listens; contains the assigned port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits until open connections have finished their current request.
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

/// Object-safe version of [`HttpHandler`].
pub trait DynHandler: Send + Sync {
    /// Processes one request from `peer` and returns its response.
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
    hooks: ServerHooks,
    handler: Arc<dyn DynHandler>,
    draining: watch::Receiver<bool>,
    /// Permits for connections that read on after their answer.
    lingerers: Arc<Semaphore>,
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // Without it, a restarted process could not bind its address while old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

async fn accept_loop(listener: TcpListener, context: Arc<ServerContext>) {
    let mut draining = context.draining.clone();
    let limits = &context.limits;
    let table = Arc::new(ConnectionTable::new(
        limits.max_connections,
        limits.max_connections_per_address,
    ));
    let mut new_connections = NewConnections::new(context.limits.max_new_connections);
    let mut connections = JoinSet::new();
    // Time since which connections have waited to be accepted, without a break.
    let mut waiting_since = Instant::now();
    loop {
        let accept = async {
            let slot = new_connections.free_slot().await;
            (accept_next(&listener, &mut waiting_since).await, slot)
        };
        tokio::select! {
            (accepted, slot) = accept => {
                let Ok((stream, peer)) = accepted else {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                if let Some(gate) = &context.hooks.gate {
                    gate.record_wait(waiting_since.elapsed());
                    if !gate.may_serve() {
                        continue;
                    }
                }
                let accepted_at = Instant::now();
                let Some(guard) = find_place(&table, peer, &context).await else {
                    continue;
                };
                let new = new_connections.open(accepted_at, slot);
                let connection = serve_connection(stream, peer, Arc::clone(&context), guard, new);
                let gate = context.hooks.gate.clone();
                connections.spawn(async move {
                    if let Some(gate) = gate {
                        gate.record_wait(accepted_at.elapsed());
                    }
                    connection.await;
                });
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = drain_requested(&mut draining) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Finds a place for a new connection, and waits until another one has made room if necessary.
async fn find_place(
    table: &Arc<ConnectionTable>,
    peer: SocketAddr,
    context: &ServerContext,
) -> Option<ConnectionGuard> {
    let observer = context.hooks.observer.as_deref();
    let mut is_cleared = false;
    let clearing = async {
        loop {
            match table.open(Instant::now(), peer.ip()) {
                ConnectionPlace::Taken(guard) => return Some(guard),
                ConnectionPlace::Clearing => is_cleared = true,
                ConnectionPlace::Full => return None,
            }
            // The chosen connection may have got a request meanwhile.
            let _ = timeout(CLEAR_TIMEOUT / 4, table.freed()).await;
        }
    };
    let place = timeout(CLEAR_TIMEOUT, clearing).await.ok().flatten();
    match (&place, observer) {
        (Some(_), Some(observer)) if is_cleared => observer.record_cleared(),
        (None, Some(observer)) => observer.record_refused(),
        _ => {}
    }
    if place.is_none() {
        log::warn!(peer:% = peer; "connection refused: limit of open connections reached");
    }
    place
}

/// Accepts the next connection. Sets `waiting_since` to now if none waits.
async fn accept_next(
    listener: &TcpListener,
    waiting_since: &mut Instant,
) -> io::Result<(TcpStream, SocketAddr)> {
    std::future::poll_fn(|context| {
        let polled = listener.poll_accept(context);
        if polled.is_pending() {
            *waiting_since = Instant::now();
        }
        polled
    })
    .await
}

async fn drain_requested(draining: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which also closes its connections.
    let _ = draining.wait_for(|draining| *draining).await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    context: Arc<ServerContext>,
    guard: ConnectionGuard,
    new: NewConnection,
) {
    let handle = guard.handle.clone();
    let slow_head = sleep(HEAD_TIME);
    let serving = serve_requests(stream, peer, context, handle.clone(), new.clone());
    let (mut serving, mut slow_head) = (std::pin::pin!(serving), std::pin::pin!(slow_head));
    let mut has_checked_head = false;
    loop {
        // The bytes that have arrived are read before the connection counts as slow.
        tokio::select! {
            biased;
            () = &mut serving => return,
            () = handle.close().notified() => {
                log::info!(peer:% = peer; "connection closed: its client does not read");
                return;
            }
            () = handle.must_make_room() => {
                log::info!(peer:% = peer; "connection closed to make room");
                return;
            }
            () = &mut slow_head, if !has_checked_head => {
                has_checked_head = true;
                if !handle.has_request() {
                    new.free();
                }
            }
        }
    }
}

async fn serve_requests(
    stream: TcpStream,
    peer: SocketAddr,
    context: Arc<ServerContext>,
    connection: ConnectionHandle,
    new: NewConnection,
) {
    // Sends each token immediately: without this, small writes wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let Some(accepted) = accept_stream(stream, peer, &context).await else {
        return;
    };
    let AcceptedStream {
        stream,
        mut extensions,
    } = accepted;
    extensions.insert(connection.clone());
    let stream = ServedStream::new(stream, connection.clone(), Arc::clone(&context.lingerers));
    let handler = Arc::clone(&context.handler);
    let service = service_fn(move |mut request: Request<Incoming>| {
        connection.record_head(Instant::now(), !request.body().is_end_stream());
        request.extensions_mut().extend(extensions.clone());
        let response = Arc::clone(&handler).handle_dyn(request, peer);
        let (new, connection) = (new.clone(), connection.clone());
        async move {
            let response = response.await;
            new.free();
            let mut response = response.map(|body| AnsweredBody {
                body,
                connection: connection.clone(),
            });
            if connection.is_refusing() {
                // What the client still sends is not the next request.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<Response<AnsweredBody>, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(context.limits.head_timeout)
        .max_headers(context.limits.max_headers)
        .max_buf_size(context.limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut draining = context.draining.clone();
    let finished = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = drain_requested(&mut draining) => None,
    };
    let result = match finished {
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

/// Body of a response; the request counts as answered once it is dropped.
struct AnsweredBody {
    body: ResponseBody,
    connection: ConnectionHandle,
}

impl Body for AnsweredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnsweredBody {
    fn drop(&mut self) {
        self.connection.record_answered(Instant::now());
    }
}

async fn accept_stream(
    stream: TcpStream,
    peer: SocketAddr,
    context: &ServerContext,
) -> Option<AcceptedStream> {
    let Some(acceptor) = &context.hooks.acceptor else {
        let extensions = Extensions::new();
        return Some(AcceptedStream {
            stream: Box::new(stream),
            extensions,
        });
    };
    let handshake = timeout(context.limits.head_timeout, acceptor.accept(stream)).await;
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
