//! Streams between peers: TLS with mutual certificates where the settings give keys.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::HostName;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::access::{AccessControl, CertificateIdentity, FaceKind};
use crate::peers::{AcceptedStream, BoxFuture, PeerAcceptor, PeerDialer, PeerStream};

/// Time for a connection to open; the system takes it whatever its process does. A first packet that meets a
/// host without power is lost, and is sent again only a second later: a new attempt is quicker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Streams to and from peers, as access control decides.
pub struct AccessTransport {
    access: Arc<AccessControl>,
    /// Hosts of the settings; no other may come in.
    hosts: Vec<HostName>,
}

impl AccessTransport {
    /// A transport over `access` between `hosts`.
    pub fn new(access: Arc<AccessControl>, hosts: Vec<HostName>) -> Self {
        Self { access, hosts }
    }

    /// The host that a certificate proves.
    fn prove(&self, certificate: &CertificateIdentity) -> io::Result<HostName> {
        let proved = self.hosts.iter().find(|host| certificate.proves_host(host));
        proved
            .cloned()
            .ok_or_else(|| io::Error::other("the certificate proves no host of the settings"))
    }
}

impl PeerDialer for AccessTransport {
    fn dial<'scope>(
        &'scope self,
        host: &'scope HostName,
        address: SocketAddr,
    ) -> BoxFuture<'scope, io::Result<Box<dyn PeerStream>>> {
        Box::pin(async move {
            let stream = connect(address).await?;
            stream.set_nodelay(true)?;
            let stream = self
                .access
                .connect(host, stream)
                .await
                .map_err(io::Error::other)?;
            Ok(Box::new(stream) as Box<dyn PeerStream>)
        })
    }
}

/// Opens a connection, or fails after [`CONNECT_TIMEOUT`].
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    connecting
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

impl PeerAcceptor for AccessTransport {
    fn accept(&self, stream: TcpStream) -> BoxFuture<'_, io::Result<AcceptedStream>> {
        Box::pin(async move {
            stream.set_nodelay(true)?;
            let stream = self
                .access
                .accept(FaceKind::Peers, stream)
                .await
                .map_err(io::Error::other)?;
            let certificate = stream.certificate();
            let proven = certificate
                .as_ref()
                .map(|certificate| self.prove(certificate))
                .transpose()?;
            Ok(AcceptedStream {
                stream: Box::new(stream),
                proven,
            })
        })
    }
}
