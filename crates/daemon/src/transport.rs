//! Transport between peers: TLS with mutual certificates if the settings contain keys.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::HostName;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::access::{AccessControl, CertificateIdentity, FaceKind};
use crate::peers::{AcceptedStream, BoxFuture, PeerAcceptor, PeerDialer, PeerStream};

/// Timeout of a TCP connect. The peer's kernel accepts connections even while its process is busy.
/// A first packet to a host without power is lost and sent again only after a second, so a new
/// attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens and accepts streams of peers, with the protection that access control requires.
pub struct AccessTransport {
    access: Arc<AccessControl>,
    /// Hosts in the settings; certificates of other hosts are refused.
    hosts: Vec<HostName>,
}

impl AccessTransport {
    /// Creates a transport between `hosts` that is secured by `access`.
    pub fn new(access: Arc<AccessControl>, hosts: Vec<HostName>) -> Self {
        Self { access, hosts }
    }

    /// Returns the host that a certificate proves.
    ///
    /// # Errors
    /// The certificate proves none of the hosts in the settings.
    fn prove(&self, certificate: &CertificateIdentity) -> io::Result<HostName> {
        let proved = self.hosts.iter().find(|host| certificate.proves_host(host));
        proved
            .cloned()
            .ok_or_else(|| io::Error::other("certificate proves none of the hosts in the settings"))
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

/// Opens a TCP connection; fails after [`CONNECT_TIMEOUT`].
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    attempt
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
