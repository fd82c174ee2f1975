//! Access control of one daemon: what is in force now, and how it changes while running.

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

/// Kind of a listening face, which decides what the other side must prove in the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaceKind {
    /// Callers and backend servers: the host proves itself, the other side shows a token later.
    Callers,
    /// Operators, alone or on one address with callers: a certificate is asked for, not required.
    Operators,
    /// Peers: a certificate of the authority is required.
    Peers,
}

/// State for the dump and the status; no secrets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AccessStatus {
    /// Whether the faces speak TLS.
    pub tls: bool,
    /// How often keys and tokens were taken into force, the start included.
    pub generation: u64,
    /// Why the last change was not taken; empty if it was.
    pub refused: String,
}

/// Everything that is in force together.
#[derive(Debug)]
struct AccessState {
    credentials: CredentialTable,
    certified_operators: Vec<OperatorSettings>,
    keys: Option<KeyMaterial>,
    files: Option<KeyFiles>,
    /// Change times of the key files as they were read.
    stamps: Vec<Option<SystemTime>>,
    generation: u64,
}

/// Access control of one daemon. Each connection takes what is in force at its start.
#[derive(Debug)]
pub struct AccessControl {
    state: RwLock<Arc<AccessState>>,
    refused: RwLock<String>,
    handshake_limit: Duration,
    metrics: Option<Arc<MetricRegistry>>,
}

impl AccessControl {
    /// Access as `settings` say.
    ///
    /// # Errors
    ///
    /// If the key files can't be used.
    pub fn new(settings: &DaemonSettings) -> Result<Self, AccessError> {
        let state = AccessState::load(settings, 1)?;
        Ok(Self {
            state: RwLock::new(Arc::new(state)),
            refused: RwLock::default(),
            handshake_limit: settings.entry.head_timeout,
            metrics: None,
        })
    }

    /// Counts connections and refusals in `metrics`.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Arc<MetricRegistry>) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Takes customers, operators, backend tokens and keys of `settings` into force, all or none;
    /// called on SIGHUP.
    ///
    /// # Errors
    ///
    /// If the key files can't be used; what was in force stays.
    pub fn reload(&self, settings: &DaemonSettings) -> Result<(), AccessError> {
        let generation = self.state().generation + 1;
        self.take(AccessState::load(settings, generation))
    }

    /// Reads the key files again if any of them changed; called on a slow tick. Returns whether
    /// new keys are in force.
    ///
    /// # Errors
    ///
    /// If the files can't be used, such as a certificate whose key has not arrived yet; what was
    /// in force stays, and the next tick tries again.
    pub fn refresh_keys(&self) -> Result<bool, AccessError> {
        let state = self.state();
        let Some(files) = &state.files else {
            return Ok(false);
        };
        let stamps = stamps(files);
        if stamps == state.stamps {
            return Ok(false);
        }
        let refreshed = KeyMaterial::load(files).map(|keys| AccessState {
            credentials: state.credentials.clone(),
            certified_operators: state.certified_operators.clone(),
            keys: Some(keys),
            files: Some(files.clone()),
            stamps,
            generation: state.generation + 1,
        });
        self.take(refreshed).map(|()| true)
    }

    /// The customer who bears the token of `headers`.
    pub fn customer(&self, headers: &HeaderMap) -> Option<CustomerName> {
        let customer = self.state().credentials.customer(headers).cloned();
        self.count_token(FaceKind::Callers, customer.is_some());
        customer
    }

    /// The operator who bears the token of `headers`, or whom the connection's `certificate`
    /// proves. A wrong token is refused, whatever the certificate says.
    pub fn operator(
        &self,
        headers: &HeaderMap,
        certificate: Option<&CertificateIdentity>,
    ) -> Option<OperatorIdentity> {
        let operator = self.state().operator(headers, certificate);
        self.count_token(FaceKind::Operators, operator.is_some());
        operator
    }

    /// Whether an announcement with `headers` may be taken.
    pub fn admits_backend_server(&self, headers: &HeaderMap) -> bool {
        let admitted = self.state().credentials.admits_backend_server(headers);
        if !admitted {
            self.count_refusal("backend-servers", "token");
        }
        admitted
    }

    /// Does the handshake of a connection that came in on `face`.
    ///
    /// # Errors
    ///
    /// If the other side does not prove what the face requires, or takes too long.
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
        let handshake = timeout(self.handshake_limit, acceptor.accept(stream));
        let stream = self.finished(handshake.await);
        if stream.is_err() {
            self.count_refusal(face.name(), "handshake");
        }
        Ok(FaceStream::Tls(Box::new(TlsStream::Server(stream?))))
    }

    /// Counts a connection on `face` for as long as the guard lives.
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

    /// Does the handshake of a connection to `host`, whose certificate must bear its name.
    ///
    /// # Errors
    ///
    /// If the other side is not `host`, does not accept this host, or takes too long.
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
        let handshake = timeout(self.handshake_limit, connector.connect(name, stream));
        let stream = self.finished(handshake.await)?;
        Ok(FaceStream::Tls(Box::new(TlsStream::Client(stream))))
    }

    /// Checks that a peer's connection is that of `host`, the name that it gives itself. Without
    /// keys every name passes: the settings allow that on loopback only, or say it aloud.
    ///
    /// # Errors
    ///
    /// [`AccessError::ForeignHost`] if the certificate bears another name or there is none.
    pub fn check_peer(&self, stream: &FaceStream, host: &HostName) -> Result<(), AccessError> {
        if self.state().keys.is_none() {
            return Ok(());
        }
        let proved = |certificate: CertificateIdentity| certificate.proves_host(host);
        if stream.certificate().is_some_and(proved) {
            return Ok(());
        }
        self.count_refusal(FaceKind::Peers.name(), "foreign-host");
        Err(AccessError::ForeignHost { host: host.clone() })
    }

    /// State for the dump and the status.
    pub fn status(&self) -> AccessStatus {
        let state = self.state();
        let refused = self.refused.read().unwrap_or_else(PoisonError::into_inner);
        AccessStatus {
            tls: state.keys.is_some(),
            generation: state.generation,
            refused: refused.clone(),
        }
    }

    fn state(&self) -> Arc<AccessState> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&state)
    }

    fn take(&self, loaded: Result<AccessState, AccessError>) -> Result<(), AccessError> {
        let mut refused = self.refused.write().unwrap_or_else(PoisonError::into_inner);
        match loaded {
            Ok(new) => {
                refused.clear();
                let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
                *state = Arc::new(new);
                Ok(())
            }
            Err(error) => {
                *refused = error.to_string();
                Err(error)
            }
        }
    }

    fn finished<T>(
        &self,
        handshake: Result<std::io::Result<T>, tokio::time::error::Elapsed>,
    ) -> Result<T, AccessError> {
        match handshake {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(AccessError::Handshake { error }),
            Err(_) => Err(AccessError::HandshakeTimeout {
                limit: self.handshake_limit,
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

/// One open connection, counted until this is dropped.
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
        // Taken before the files are read: a change in between is read again, not missed.
        let stamps = files.map(stamps).unwrap_or_default();
        let certified = settings
            .operators
            .iter()
            .filter(|operator| operator.certificate);
        Ok(Self {
            credentials: CredentialTable::new(settings),
            certified_operators: certified.cloned().collect(),
            keys: files.map(KeyMaterial::load).transpose()?,
            files: files.cloned(),
            stamps,
            generation,
        })
    }
}

fn stamps(files: &KeyFiles) -> Vec<Option<SystemTime>> {
    let modified = |path: &Path| {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    };
    [&files.certificate, &files.key, &files.authority]
        .map(|path| modified(path))
        .to_vec()
}
