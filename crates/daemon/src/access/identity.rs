//! Identities of hosts and operators in certificates.

use pollendrift_coordination::base::{HostName, OperatorName};
use rustls::client::verify_server_name;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::ParsedCertificate;

use crate::settings::{OperatorRole, OperatorSettings};

/// Domain of host certificates: the certificate of host `brest-1` contains the DNS name
/// `brest-1.hosts.pollendrift`.
///
/// Hosts and operators have separate domains. Otherwise an operator with the name of a host could
/// join the agreement group.
pub const HOST_DOMAIN: &str = "hosts.pollendrift";

/// Domain of operator certificates; see [`HOST_DOMAIN`].
pub const OPERATOR_DOMAIN: &str = "operators.pollendrift";

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// Name of the operator, recorded in the evidence.
    pub name: OperatorName,
    /// Permissions of the operator.
    pub role: OperatorRole,
}

impl OperatorIdentity {
    /// Returns the identity of the operator in `settings`.
    pub fn of(settings: &OperatorSettings) -> Self {
        Self {
            name: settings.name.clone(),
            role: settings.role,
        }
    }
}

/// Certificate of the other side. TLS has verified its chain and validity period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateIdentity {
    certificate: CertificateDer<'static>,
}

impl CertificateIdentity {
    /// Creates the identity from the end-entity certificate of a verified chain.
    pub(super) fn new(certificate: CertificateDer<'static>) -> Self {
        Self { certificate }
    }

    /// Whether the certificate is that of `host`.
    pub fn proves_host(&self, host: &HostName) -> bool {
        self.proves(host.as_str(), HOST_DOMAIN)
    }

    /// Whether the certificate is that of `operator`.
    pub fn proves_operator(&self, operator: &OperatorName) -> bool {
        self.proves(operator.as_str(), OPERATOR_DOMAIN)
    }

    fn proves(&self, name: &str, domain: &str) -> bool {
        let Some(name) = server_name(name, domain) else {
            return false;
        };
        ParsedCertificate::try_from(&self.certificate)
            .is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
    }
}

/// Returns the DNS name of `name` in `domain`; `None` if it is invalid.
pub(super) fn server_name(name: &str, domain: &str) -> Option<ServerName<'static>> {
    ServerName::try_from(format!("{name}.{domain}")).ok()
}
