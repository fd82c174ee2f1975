//! Names that a certificate proves.

use pollendrift_coordination::base::{HostName, OperatorName};
use rustls::client::verify_server_name;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::ParsedCertificate;

use crate::settings::{OperatorRole, OperatorSettings};

/// Domain of host certificates: host `brest-1` proves `brest-1.hosts.pollendrift`.
///
/// Hosts and operators have domains of their own. Without them, an operator who is named like a
/// host could join the agreement group.
pub const HOST_DOMAIN: &str = "hosts.pollendrift";

/// Domain of operator certificates.
pub const OPERATOR_DOMAIN: &str = "operators.pollendrift";

/// An operator who proved the name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// The name, which goes into the evidence.
    pub name: OperatorName,
    /// What the operator may do.
    pub role: OperatorRole,
}

impl OperatorIdentity {
    /// The identity that `settings` describe.
    pub fn of(settings: &OperatorSettings) -> Self {
        Self {
            name: settings.name.clone(),
            role: settings.role,
        }
    }
}

/// Certificate of the other side, whose chain and dates TLS has verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateIdentity {
    certificate: CertificateDer<'static>,
}

impl CertificateIdentity {
    /// The identity of the end of a verified chain.
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

/// The name `name` in `domain`; `None` if that is no DNS name.
pub(super) fn server_name(name: &str, domain: &str) -> Option<ServerName<'static>> {
    ServerName::try_from(format!("{name}.{domain}")).ok()
}
