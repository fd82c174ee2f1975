//! Access control of one daemon: current credentials and keys, and their reload.

use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime};

use http::HeaderMap;
use pollendrift_coordination::base::{CustomerName, HostName};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

use super::credentials::CredentialTable;
use super::identity::{CertificateIdentity, HOST_DOMAIN, OperatorIdentity, server_name};
use super::material::{AccessError, KeyMaterial};
use super::stream::FaceStream;
use crate::settings::{DaemonSettings, KeyFiles, OperatorSettings};
use crate::telemetry::{MetricRegistry, RefusedConnection};

/// Kind of a listening face; determines which client certificate the handshake requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaceKind {
    /// Callers and backend servers: no client certificate; clients send a token in each request.
    Callers,
    /// Operators, alone or on one address with callers: a client certificate is optional.
    Operators,
    /// Peers: a client certificate of the authority is required.
    Peers,
}

/// State for the dump and the status; contains no secrets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AccessStatus {
    /// Whether the faces use TLS.
    pub tls: bool,
    /// Number of successful loads of keys and tokens, the start included.
    pub generation: u64,
    /// Error of the last reload; empty if it succeeded.
    pub refused: String,
}

/// Credentials and keys of one generation.
#[derive(Debug)]
struct AccessState {
    credentials: CredentialTable,
    certified_operators: Vec<OperatorSettings>,
    keys: Option<KeyMaterial>,
    files: Option<KeyFiles>,
    /// Modification times of the key files before they were read.
    modified: Vec<Option<SystemTime>>,
    generation: u64,
}

/// Access control of one daemon. A connection uses the credentials and keys that are current at its
/// start.
#[derive(Debug)]
pub struct AccessControl {
    state: RwLock<Arc<AccessState>>,
    reload_error: RwLock<String>,
    handshake_timeout: Duration,
    metrics: Option<Arc<MetricRegistry>>,
}

impl AccessControl {
    /// Loads the credentials and keys of `settings`.
    ///
    /// # Errors
    ///
    /// If a key file is unusable.
    pub fn new(settings: &DaemonSettings) -> Result<Self, AccessError> {
        let state = AccessState::load(settings, 1)?;
        Ok(Self {
            state: RwLock::new(Arc::new(state)),
            reload_error: RwLock::default(),
            handshake_timeout: settings.entry.head_timeout,
            metrics: None,
        })
    }

    /// Sets the registry that counts connections and refusals.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Arc<MetricRegistry>) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Replaces customers, operators, tokens of backend servers and keys by those of `settings`,
    /// all together or none; called on SIGHUP.
    ///
    /// # Errors
    ///
    /// If a key file is unusable; the former state stays current.
    pub fn reload(&self, settings: &DaemonSettings) -> Result<(), AccessError> {
        let generation = self.state().generation + 1;
        self.apply(AccessState::load(settings, generation))
    }

    /// Reads the key files again if any of them changed; the daemon calls this every 10 s. Returns
    /// whether new keys were loaded.
    ///
    /// # Errors
    ///
    /// If a file is unusable, such as a certificate whose key has not been replaced yet; the former
    /// keys stay current, and the next tick tries again.
    pub fn refresh_keys(&self) -> Result<bool, AccessError> {
        let state = self.state();
        let Some(files) = &state.files else {
            return Ok(false);
        };
        let modified = modification_times(files);
        if modified == state.modified {
            return Ok(false);
        }
        let refreshed = KeyMaterial::load(files).map(|keys| AccessState {
            credentials: state.credentials.clone(),
            certified_operators: state.certified_operators.clone(),
            keys: Some(keys),
            files: Some(files.clone()),
            modified,
            generation: state.generation + 1,
        });
        self.apply(refreshed).map(|()| true)
    }

    /// Finds the customer that the token in `headers` belongs to, and counts a refusal if there is
    /// none.
    pub fn customer(&self, headers: &HeaderMap) -> Option<CustomerName> {
        let customer = self.state().credentials.customer(headers).cloned();
        self.count_token(FaceKind::Callers, customer.is_some());
        customer
    }

    /// Finds the operator that the token in `headers` belongs to, or without an `Authorization`
    /// header the operator of the client `certificate`. A wrong token is refused regardless of the
    /// certificate. Counts a refusal if there is no such operator.
    pub fn operator(
        &self,
        headers: &HeaderMap,
        certificate: Option<&CertificateIdentity>,
    ) -> Option<OperatorIdentity> {
        let operator = self.state().operator(headers, certificate);
        self.count_token(FaceKind::Operators, operator.is_some());
        operator
    }

    /// Whether an announcement with `headers` is accepted; counts a refusal if not.
    pub fn admits_backend_server(&self, headers: &HeaderMap) -> bool {
        let admitted = self.state().credentials.admits_backend_server(headers);
        if !admitted {
            self.count_refusal("backend-servers", "token");
        }
        admitted
    }

    /// Performs the TLS handshake of an incoming connection on `face`; without keys the connection
    /// stays plain text.
    ///
    /// # Errors
    ///
    /// If the handshake fails, such as for lack of a required certificate, or times out.
    pub async fn accept(
        &self,
        face: FaceKind,
        stream: TcpStream,
    ) -> Result<FaceStream, AccessError> {
        let state = self.state();
        let Some(keys) = &state.keys else {
            return Ok(FaceStream::Plain(stream));
        };
        let acceptor = TlsAcceptor::from(keys.server(face));
        let handshake = timeout(self.handshake_timeout, acceptor.accept(stream));
        let stream = self.handshake_result(handshake.await);
        if stream.is_err() {
            self.count_refusal(face.name(), "handshake");
        }
        Ok(FaceStream::Tls(Box::new(TlsStream::Server(stream?))))
    }

    /// Counts an open connection on `face` until the guard is dropped; `None` without metrics.
    pub fn count_connection(&self, face: FaceKind) -> Option<ConnectionCount> {
        let metrics = self.metrics.clone()?;
        metrics.add_connection(face.name());
        Some(ConnectionCount { metrics, face })
    }

    fn count_token(&self, face: FaceKind, accepted: bool) {
        if !accepted {
            self.count_refusal(face.name(), "token");
        }
    }

    fn count_refusal(&self, face: &'static str, reason: &'static str) {
        if let Some(metrics) = &self.metrics {
            metrics.record_access_refusal(RefusedConnection { face, reason });
        }
    }

    /// Performs the TLS handshake of a connection to `host`, whose certificate must contain its
    /// name; without keys the connection stays plain text.
    ///
    /// # Errors
    ///
    /// If the certificate is not that of `host`, the other side refuses this host, or the handshake
    /// times out.
    pub async fn connect(
        &self,
        host: &HostName,
        stream: TcpStream,
    ) -> Result<FaceStream, AccessError> {
        let state = self.state();
        let Some(keys) = &state.keys else {
            return Ok(FaceStream::Plain(stream));
        };
        let name = server_name(host.as_str(), HOST_DOMAIN)
            .ok_or_else(|| AccessError::HostName { host: host.clone() })?;
        let connector = TlsConnector::from(keys.client());
        let handshake = timeout(self.handshake_timeout, connector.connect(name, stream));
        let stream = self.handshake_result(handshake.await)?;
        Ok(FaceStream::Tls(Box::new(TlsStream::Client(stream))))
    }

    /// Checks that the certificate of a peer's connection belongs to `host`, the name that the peer
    /// reports. Without keys all names are accepted: the settings allow plain text on loopback
    /// only, or elsewhere with a warning.
    ///
    /// # Errors
    ///
    /// [`AccessError::ForeignHost`] if the certificate contains another name or there is none.
    pub fn check_peer(&self, stream: &FaceStream, host: &HostName) -> Result<(), AccessError> {
        if self.state().keys.is_none() {
            return Ok(());
        }
        let is_host = |certificate: CertificateIdentity| certificate.proves_host(host);
        if stream.certificate().is_some_and(is_host) {
            return Ok(());
        }
        self.count_refusal(FaceKind::Peers.name(), "foreign-host");
        Err(AccessError::ForeignHost { host: host.clone() })
    }

    /// Returns the state for the dump and the status.
    pub fn status(&self) -> AccessStatus {
        let state = self.state();
        let error = self
            .reload_error
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        AccessStatus {
            tls: state.keys.is_some(),
            generation: state.generation,
            refused: error.clone(),
        }
    }

    fn state(&self) -> Arc<AccessState> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&state)
    }

    /// Makes a loaded state current, or records the error and keeps the current state.
    fn apply(&self, loaded: Result<AccessState, AccessError>) -> Result<(), AccessError> {
        let mut reload_error = self
            .reload_error
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match loaded {
            Ok(new) => {
                reload_error.clear();
                let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
                *state = Arc::new(new);
                Ok(())
            }
            Err(error) => {
                *reload_error = error.to_string();
                Err(error)
            }
        }
    }

    fn handshake_result<T>(
        &self,
        handshake: Result<std::io::Result<T>, tokio::time::error::Elapsed>,
    ) -> Result<T, AccessError> {
        match handshake {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(AccessError::Handshake { error }),
            Err(_) => Err(AccessError::HandshakeTimeout {
                limit: self.handshake_timeout,
            }),
        }
    }
}

impl FaceKind {
    /// Name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Operators => "operators",
            Self::Peers => "peers",
        }
    }
}

/// Guard of one counted connection; dropping it decrements the count.
#[derive(Debug)]
pub struct ConnectionCount {
    metrics: Arc<MetricRegistry>,
    face: FaceKind,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.metrics.remove_connection(self.face.name());
    }
}

impl AccessState {
    fn operator(
        &self,
        headers: &HeaderMap,
        certificate: Option<&CertificateIdentity>,
    ) -> Option<OperatorIdentity> {
        if headers.contains_key(http::header::AUTHORIZATION) {
            return self.credentials.operator(headers).cloned();
        }
        let certificate = certificate?;
        let mut operators = self.certified_operators.iter();
        let operator = operators.find(|operator| certificate.proves_operator(&operator.name))?;
        Some(OperatorIdentity::of(operator))
    }

    fn load(settings: &DaemonSettings, generation: u64) -> Result<Self, AccessError> {
        let files = settings.tls.files.as_ref();
        // Read before the files, so that a change in between causes another load and is not missed.
        let modified = files.map(modification_times).unwrap_or_default();
        let certified = settings
            .operators
            .iter()
            .filter(|operator| operator.certificate);
        Ok(Self {
            credentials: CredentialTable::new(settings),
            certified_operators: certified.cloned().collect(),
            keys: files.map(KeyMaterial::load).transpose()?,
            files: files.cloned(),
            modified,
            generation,
        })
    }
}

/// Modification times of the certificate, key and authority; `None` for a file that is unreadable.
fn modification_times(files: &KeyFiles) -> Vec<Option<SystemTime>> {
    let modified = |path: &Path| {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    };
    [&files.certificate, &files.key, &files.authority]
        .map(|path| modified(path))
        .to_vec()
}
