//! Opens connections to backend servers.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::server::BoxedStream;

/// Future that resolves to an open connection.
pub type DialFuture = Pin<Box<dyn Future<Output = io::Result<BoxedStream>> + Send>>;

/// Opens connections to backend servers.
pub trait ServerDialer: Send + Sync {
    /// Opens a connection to `address` that breaks if its peer acknowledges nothing for
    /// `silence_timeout`.
    fn dial(&self, address: SocketAddr, silence_timeout: Duration) -> DialFuture;
}

/// Opens plain TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl ServerDialer for TcpDialer {
    fn dial(&self, address: SocketAddr, silence_timeout: Duration) -> DialFuture {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            set_silence_timeout(&stream, silence_timeout);
            Ok(Box::new(stream) as BoxedStream)
        })
    }
}

/// Configures the operating system to close a connection whose peer acknowledges nothing.
///
/// A frozen host, a network partition or a dropped connection sends no reset. Without this, a
/// request would wait until its deadline.
fn set_silence_timeout(stream: &TcpStream, timeout: Duration) {
    let socket = SockRef::from(stream);
    let probe_delay = timeout / 3;
    let keepalive = TcpKeepalive::new()
        .with_time(probe_delay.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        log::warn!(error:% = error; "setting the silence timeout of a connection failed");
    }
}
