//! The border to the network: plain TCP here, TLS or memory elsewhere.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use pollendrift_coordination::base::HostName;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A future of a trait object's method.
pub type BoxFuture<'scope, T> = Pin<Box<dyn Future<Output = T> + Send + 'scope>>;

/// A byte stream to or from a peer.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S> PeerStream for S where S: AsyncRead + AsyncWrite + Send + Unpin {}

/// A stream that was accepted.
pub struct AcceptedStream {
    /// The stream.
    pub stream: Box<dyn PeerStream>,
    /// Host that a certificate proves; `None` where the transport proves nothing.
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

/// Turns accepted TCP streams into those of the transport.
pub trait PeerAcceptor: Send + Sync {
    /// Ends the transport's own handshake.
    fn accept(&self, stream: TcpStream) -> BoxFuture<'_, io::Result<AcceptedStream>>;
}

/// TCP without protection, for networks that are protected otherwise.
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
