//! Sends one request to one daemon over plain TCP or TLS.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{Request, StatusCode};
use http_body_util::Full;
use pollendrift_http::{BoxedStream, ClientError, ReadFailure, read_bounded, send_once};
use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, ServerName};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

use crate::address::ServerAddress;
use crate::failure::ToolFailure;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// Maximum time for the TCP connect, and again for the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Status and body of a daemon's answer.
#[derive(Clone, Debug)]
pub(crate) struct DaemonAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Failure to get an answer, with its cause.
#[derive(Clone, Debug, Display)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    #[display("not reached: {_0}")]
    NotSent(String),
    /// The request may have arrived.
    #[display("no whole answer: {_0}")]
    NoAnswer(String),
}

/// Opens a new connection for each request.
pub(crate) struct Transport {
    tls: TlsConnector,
    request_timeout: Duration,
}

impl Transport {
    /// Creates a transport whose requests take at most `request_timeout`; certificates of https
    /// daemons must be signed by one in `ca_file`.
    ///
    /// # Errors
    /// `ca_file` can't be read or holds an invalid certificate.
    pub(crate) fn new(
        ca_file: Option<&Path>,
        request_timeout: Duration,
    ) -> Result<Self, ToolFailure> {
        let mut roots = RootCertStore::empty();
        if let Some(path) = ca_file {
            let refused = |error| ToolFailure::Refused {
                reason: format!("{}: {error}", path.display()),
            };
            let certificates = CertificateDer::pem_file_iter(path);
            for certificate in certificates.map_err(|error| refused(error.to_string()))? {
                let certificate = certificate.map_err(|error| refused(error.to_string()))?;
                let added = roots.add(certificate);
                added.map_err(|error| refused(error.to_string()))?;
            }
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(ToolFailure::failed)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        let tls = TlsConnector::from(Arc::new(config));
        Ok(Self {
            tls,
            request_timeout,
        })
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn send(
        &self,
        address: &ServerAddress,
        request: Request<Full<Bytes>>,
    ) -> Result<DaemonAnswer, SendFailure> {
        let stream = self.connect(address).await?;
        if !address.secure {
            return self.exchange(Box::new(stream), request).await;
        }
        let name = ServerName::try_from(address.host.clone()).map_err(not_sent)?;
        let stream = timeout(CONNECT_TIMEOUT, self.tls.connect(name, stream)).await;
        let stream = stream.map_err(not_sent)?.map_err(not_sent)?;
        self.exchange(Box::new(stream), request).await
    }

    async fn connect(&self, address: &ServerAddress) -> Result<TcpStream, SendFailure> {
        let target = (address.host.as_str(), address.port);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
        stream.map_err(not_sent)?.map_err(not_sent)
    }

    async fn exchange(
        &self,
        stream: BoxedStream,
        request: Request<Full<Bytes>>,
    ) -> Result<DaemonAnswer, SendFailure> {
        let answer = timeout(self.request_timeout, async {
            let response = send_once(stream, request).await?;
            let status = response.status();
            let body = read_bounded(response.into_body(), MAX_ANSWER_BYTES).await?;
            Ok(DaemonAnswer { status, body })
        });
        answer.await.unwrap_or_else(|_| {
            let seconds = self.request_timeout.as_secs();
            Err(SendFailure::NoAnswer(format!("none within {seconds} s")))
        })
    }
}

impl From<ClientError> for SendFailure {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent { reason } => Self::NotSent(reason),
            ClientError::NoAnswer { reason } | ClientError::BadAnswer { reason } => {
                Self::NoAnswer(reason)
            }
        }
    }
}

impl From<ReadFailure> for SendFailure {
    fn from(failure: ReadFailure) -> Self {
        Self::NoAnswer(failure.to_string())
    }
}

fn not_sent<E>(error: E) -> SendFailure
where
    E: std::fmt::Display,
{
    SendFailure::NotSent(error.to_string())
}
