//! Settings of the parties of the system: hosts, customers, operators and backend servers.

use std::net::SocketAddr;

use pollendrift_coordination::base::{CustomerName, DataCentreName, HostName, OperatorName};

use super::digest::TokenDigest;
use super::reader::{LocatedValue, SectionReader};

/// Settings of one host in the peer list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Host name; the certificate of the host must contain it.
    pub name: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address on which the host listens for peers.
    pub address: SocketAddr,
    /// Whether the host is a voter in the initial membership of the agreement group.
    pub keeper: bool,
}

/// Settings of one customer.
#[derive(Clone, Debug)]
pub struct CustomerSettings {
    /// Name of the customer.
    pub name: CustomerName,
    /// Digests of the accepted tokens. Several are allowed, so that a token can be replaced without
    /// an interruption.
    pub tokens: Vec<TokenDigest>,
}

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Reads the configuration, the status and the evidence.
    Viewer,
    /// Also changes labels and selectors.
    Editor,
}

/// Settings of one operator.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Name of the operator, recorded in the evidence.
    pub name: OperatorName,
    /// Permissions of the operator.
    pub role: OperatorRole,
    /// Digests of the operator's tokens.
    pub tokens: Vec<TokenDigest>,
    /// Whether a client certificate with the name of the operator is accepted as well.
    pub certificate: bool,
}

/// Whether backend servers must authenticate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendAuthentication {
    /// An announcement needs a token.
    Required,
    /// Any client that reaches the address can announce a backend server.
    NotRequired,
}

/// Authentication of backend servers.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Whether an announcement needs a token.
    pub proof: BackendAuthentication,
    /// Digests of the accepted tokens.
    pub tokens: Vec<TokenDigest>,
}

/// Accepted words of a boolean setting.
pub(super) const BOOLEAN_CHOICES: [(&str, bool); 2] = [("true", true), ("false", false)];

/// A token digest with its owner and its place in the file.
struct OwnedDigest {
    owner: String,
    digest: LocatedValue<TokenDigest>,
}

/// Finds names and tokens that occur twice.
#[derive(Default)]
pub(super) struct DuplicateFinder {
    names: Vec<String>,
    digests: Vec<OwnedDigest>,
}

impl DuplicateFinder {
    /// Reports `name` if it occurred before in the list of parties of type `kind`.
    fn name(&mut self, section: &mut SectionReader<'_>, kind: &str, name: &LocatedValue<String>) {
        let full = format!("{kind} {}", name.value);
        if self.names.contains(&full) {
            let message = format!("{full} is listed twice");
            section.error(name.place.clone(), message, "distinct names");
        }
        self.names.push(full);
    }

    /// Reports digests that occurred before: a token must identify one party only.
    fn digests(
        &mut self,
        section: &mut SectionReader<'_>,
        owner: &str,
        digests: Vec<LocatedValue<TokenDigest>>,
    ) -> Vec<TokenDigest> {
        let mut values = Vec::new();
        for digest in digests {
            values.push(digest.value);
            let is_same =
                |known: &&OwnedDigest| known.digest.value.as_bytes() == digest.value.as_bytes();
            if let Some(known) = self.digests.iter().find(is_same) {
                let message = format!("{owner} has the token of {}", known.owner);
                section.error(
                    digest.place.clone(),
                    message,
                    "a token that no other party uses",
                );
            }
            self.digests.push(OwnedDigest {
                owner: owner.to_owned(),
                digest,
            });
        }
        values
    }
}

impl PeerSettings {
    pub(super) fn read(
        section: &mut SectionReader<'_>,
        finder: &mut DuplicateFinder,
    ) -> Option<LocatedValue<Self>> {
        let name = section.name::<String>("name");
        let data_centre = section.name("data_centre");
        let address = section.required("address", "an IP address with a port");
        let keeper = section.choice("keeper", false, &BOOLEAN_CHOICES);
        let name = name?;
        finder.name(section, "peer", &name);
        Some(LocatedValue {
            value: Self {
                name: name.value.into(),
                data_centre: data_centre?.value,
                address: address?.value,
                keeper,
            },
            place: name.place,
        })
    }
}

impl CustomerSettings {
    pub(super) fn read(
        section: &mut SectionReader<'_>,
        finder: &mut DuplicateFinder,
    ) -> Option<Self> {
        let name = section.name::<String>("name");
        let digests = section.digests("token_sha256");
        let name = name?;
        finder.name(section, "customer", &name);
        if digests.is_empty() {
            section.report_absent("token_sha256", TokenDigest::EXPECTED);
        }
        let owner = format!("customer {}", name.value);
        Some(Self {
            tokens: finder.digests(section, &owner, digests),
            name: name.value.into(),
        })
    }
}

impl OperatorSettings {
    pub(super) fn read(
        section: &mut SectionReader<'_>,
        finder: &mut DuplicateFinder,
    ) -> Option<Self> {
        let name = section.name::<String>("name");
        let roles = [
            ("viewer", OperatorRole::Viewer),
            ("editor", OperatorRole::Editor),
        ];
        let role = section.choice("role", OperatorRole::Viewer, &roles);
        let digests = section.digests("token_sha256");
        let certificate = section.choice("certificate", false, &BOOLEAN_CHOICES);
        let name = name?;
        finder.name(section, "operator", &name);
        if digests.is_empty() && !certificate {
            section.report_absent("token_sha256", "a token digest, or `certificate: true`");
        }
        let owner = format!("operator {}", name.value);
        Some(Self {
            tokens: finder.digests(section, &owner, digests),
            name: name.value.into(),
            role,
            certificate,
        })
    }
}

impl BackendSettings {
    pub(super) fn read(section: &mut SectionReader<'_>, finder: &mut DuplicateFinder) -> Self {
        let choices = [
            ("required", BackendAuthentication::Required),
            ("not-required", BackendAuthentication::NotRequired),
        ];
        let proof = section.choice("proof", BackendAuthentication::Required, &choices);
        let digests = section.digests("token_sha256");
        match proof {
            BackendAuthentication::Required if digests.is_empty() => {
                section.report_absent("token_sha256", "a token digest, or `proof: not-required`");
            }
            BackendAuthentication::Required => {}
            BackendAuthentication::NotRequired => section.warning(
                section.place(),
                "backend servers are not authenticated: any client that reaches the address can receive requests",
                "`proof: required` with `token_sha256`",
            ),
        }
        let owner = "backend servers";
        Self {
            proof,
            tokens: finder.digests(section, owner, digests),
        }
    }
}
