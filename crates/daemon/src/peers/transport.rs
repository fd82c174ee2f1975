//! Traits of the network transport, and plain TCP; other transports are TLS and memory streams.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use pollendrift_coordination::base::HostName;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Boxed future, as returned by methods of trait objects.
pub type BoxFuture<'scope, T> = Pin<Box<dyn Future<Output = T> + Send + 'scope>>;

/// Byte stream to or from a peer.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S> PeerStream for S where S: AsyncRead + AsyncWrite + Send + Unpin {}

/// Stream of an accepted connection.
pub struct AcceptedStream {
    /// Byte stream after the transport's handshake.
    pub stream: Box<dyn PeerStream>,
    /// Host that the peer's certificate identifies; `None` if the transport checks no certificate.
    pub proven: Option<HostName>,
}

/// Opens streams to peers.
pub trait PeerDialer: Send + Sync {
    /// Connects to the peer `host` at `address`.
    fn dial<'scope>(
        &'scope self,
        host: &'scope HostName,
        address: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>>;
}

/// Converts accepted TCP streams into streams of the transport.
pub trait PeerAcceptor: Send + Sync {
    /// Performs the handshake of the transport.
    ///
    /// # Errors
    /// The handshake failed, or the peer's certificate was refused.
    fn accept(&self, stream: TcpStream) -> BoxFuture<'_, io::Result<AcceptedStream>>;
}

/// Plain TCP without encryption or authentication, for networks that are protected otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainTransport;

impl PeerDialer for PlainTransport {
    fn dial<'scope>(
        &'scope self,
        _host: &'scope HostName,
        address: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn PeerStream>)
        })
    }
}

impl PeerAcceptor for PlainTransport {
    fn accept(&self, stream: TcpStream) -> BoxFuture<'_, io::Result<AcceptedStream>> {
        Box::pin(async move {
            stream.set_nodelay(true)?;
            Ok(AcceptedStream {
                stream: Box::new(stream),
                proven: None,
            })
        })
    }
}
