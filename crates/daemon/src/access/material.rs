//! TLS configurations from the key files of the settings.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};
use pollendrift_coordination::base::HostName;
use rustls::client::WebPkiServerVerifier;
use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

use super::control::FaceKind;
use crate::settings::KeyFiles;

/// Error of a handshake or of the key files. No message contains a secret.
#[derive(Debug, Display, Error)]
pub enum AccessError {
    /// A key file is unusable.
    #[display("{}: {message}", path.display())]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        message: String,
    },
    /// The TLS handshake failed: the certificate is missing, expired or of another authority, or
    /// the other side does not use TLS.
    #[display("TLS handshake: {error}")]
    Handshake {
        /// Error of the TLS library.
        #[error(source)]
        error: std::io::Error,
    },
    /// The TLS handshake timed out.
    #[display("TLS handshake took longer than {limit:?}")]
    HandshakeTimeout {
        /// Timeout of the handshake.
        limit: std::time::Duration,
    },
    /// The host name is not valid in a certificate.
    #[display("host name {host} is not valid in a certificate")]
    HostName {
        /// Name of the host.
        host: HostName,
    },
    /// The certificate is valid but belongs to another host, or there is none.
    #[display("the certificate is not that of host {host}")]
    ForeignHost {
        /// Name of the expected host.
        host: HostName,
    },
    /// The settings contain no key files.
    #[display("no key files in the settings")]
    NoKeys,
}

/// TLS configurations of all faces from one reading of the key files.
#[derive(Clone, Debug)]
pub struct KeyMaterial {
    callers: Arc<ServerConfig>,
    operators: Arc<ServerConfig>,
    peers: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// Parsed contents of the key files.
struct KeyContents {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    provider: Arc<CryptoProvider>,
    files: KeyFiles,
}

impl KeyMaterial {
    /// Reads the key files and builds the configurations.
    ///
    /// # Errors
    ///
    /// [`AccessError::KeyFile`] with the path of an unusable file.
    pub fn load(files: &KeyFiles) -> Result<Self, AccessError> {
        let contents = KeyContents::read(files)?;
        let optional = contents.client_verifier(|builder| builder.allow_unauthenticated())?;
        let required = contents.client_verifier(|builder| builder)?;
        Ok(Self {
            callers: contents.server(None)?,
            operators: contents.server(Some(optional))?,
            peers: contents.server(Some(required))?,
            client: contents.client()?,
        })
    }

    /// Returns the server configuration of a face.
    pub(super) fn server(&self, face: FaceKind) -> Arc<ServerConfig> {
        let config = match face {
            FaceKind::Callers => &self.callers,
            FaceKind::Operators => &self.operators,
            FaceKind::Peers => &self.peers,
        };
        Arc::clone(config)
    }

    /// Returns the client configuration for connections to other hosts.
    pub(super) fn client(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.client)
    }
}

impl KeyContents {
    fn read(files: &KeyFiles) -> Result<Self, AccessError> {
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| unusable(&files.key, error))?;
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&files.authority)? {
            roots
                .add(certificate)
                .map_err(|error| unusable(&files.authority, error))?;
        }
        Ok(Self {
            chain,
            key,
            roots: Arc::new(roots),
            provider: Arc::new(ring::default_provider()),
            files: files.clone(),
        })
    }

    fn client_verifier<F>(&self, adjust: F) -> Result<Arc<dyn ClientCertVerifier>, AccessError>
    where
        F: FnOnce(
            rustls::server::ClientCertVerifierBuilder,
        ) -> rustls::server::ClientCertVerifierBuilder,
    {
        let roots = Arc::clone(&self.roots);
        let provider = Arc::clone(&self.provider);
        adjust(WebPkiClientVerifier::builder_with_provider(roots, provider))
            .build()
            .map_err(|error| unusable(&self.files.authority, error))
    }

    fn server(
        &self,
        verifier: Option<Arc<dyn ClientCertVerifier>>,
    ) -> Result<Arc<ServerConfig>, AccessError> {
        let builder = ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_safe_default_protocol_versions()
            .map_err(|error| unusable(&self.files.certificate, error))?;
        let builder = match verifier {
            Some(verifier) => builder.with_client_cert_verifier(verifier),
            None => builder.with_no_client_auth(),
        };
        let mut config = builder
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| unusable(&self.files.key, error))?;
        // Session resumption skips the check of the certificate, so a client whose certificate has
        // expired, or whose authority was removed, would still be accepted.
        config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }

    fn client(&self) -> Result<Arc<ClientConfig>, AccessError> {
        let roots = Arc::clone(&self.roots);
        let provider = Arc::clone(&self.provider);
        let verifier = WebPkiServerVerifier::builder_with_provider(roots, provider)
            .build()
            .map_err(|error| unusable(&self.files.authority, error))?;
        let mut config = ClientConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_safe_default_protocol_versions()
            .map_err(|error| unusable(&self.files.certificate, error))?
            .with_webpki_verifier(verifier)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| unusable(&self.files.key, error))?;
        config.resumption = rustls::client::Resumption::disabled();
        Ok(Arc::new(config))
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, AccessError> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let chain = read.map_err(|error| unusable(path, error))?;
    if chain.is_empty() {
        return Err(unusable(path, "contains no certificate"));
    }
    Ok(chain)
}

fn unusable<T>(path: &Path, message: T) -> AccessError
where
    T: std::fmt::Display,
{
    AccessError::KeyFile {
        path: path.to_owned(),
        message: message.to_string(),
    }
}
