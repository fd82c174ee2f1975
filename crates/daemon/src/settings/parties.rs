//! Who belongs: hosts, customers, operators and backend servers.

use std::net::SocketAddr;

use pollendrift_coordination::base::{CustomerName, DataCentreName, HostName, OperatorName};

use super::digest::TokenDigest;
use super::reader::{PlacedValue, SectionReader};

/// One host of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Its name; its certificate must bear the same one.
    pub name: HostName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it votes in the first membership of the agreement group.
    pub keeper: bool,
}

/// One customer.
#[derive(Clone, Debug)]
pub struct CustomerSettings {
    /// Its name.
    pub name: CustomerName,
    /// Digests of its tokens; several, so that a token can be replaced without a gap.
    pub tokens: Vec<TokenDigest>,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Read the configuration, the status and the evidence.
    Viewer,
    /// Also change labels and selectors.
    Editor,
}

/// One operator.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// The name, which goes into the evidence.
    pub name: OperatorName,
    /// What the operator may do.
    pub role: OperatorRole,
    /// Digests of the operator's tokens.
    pub tokens: Vec<TokenDigest>,
    /// Whether a client certificate that bears the name is accepted as well.
    pub certificate: bool,
}

/// Whether backend servers must prove who they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendProof {
    /// An announcement needs a token.
    Required,
    /// Anyone who reaches the address can announce a backend server.
    NotRequired,
}

/// How backend servers come in.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Whether they must prove themselves.
    pub proof: BackendProof,
    /// Digests of the tokens that prove it.
    pub tokens: Vec<TokenDigest>,
}

pub(super) const YES_OR_NO: [(&str, bool); 2] = [("true", true), ("false", false)];

/// A token digest, whose it is, and where it stands.
struct OwnedDigest {
    owner: String,
    digest: PlacedValue<TokenDigest>,
}

/// Finds names and tokens that stand twice.
#[derive(Default)]
pub(super) struct DuplicateFinder {
    names: Vec<String>,
    digests: Vec<OwnedDigest>,
}

impl DuplicateFinder {
    /// Reports `name` if the list `kind` had it before.
    fn name(&mut self, section: &mut SectionReader<'_>, kind: &str, name: &PlacedValue<String>) {
        let full = format!("{kind} {}", name.value);
        if self.names.contains(&full) {
            let message = format!("{full} stands twice");
            section.error(name.place.clone(), message, "each name once");
        }
        self.names.push(full);
    }

    /// Reports digests that another owner had before: a token must name one party.
    fn digests(
        &mut self,
        section: &mut SectionReader<'_>,
        owner: &str,
        digests: Vec<PlacedValue<TokenDigest>>,
    ) -> Vec<TokenDigest> {
        let mut values = Vec::new();
        for digest in digests {
            values.push(digest.value);
            let same =
                |known: &&OwnedDigest| known.digest.value.as_bytes() == digest.value.as_bytes();
            if let Some(known) = self.digests.iter().find(same) {
                let message = format!("{owner} has the token of {}", known.owner);
                section.error(digest.place.clone(), message, "a token of its own");
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
    ) -> Option<PlacedValue<Self>> {
        let name = section.name::<String>("name");
        let data_centre = section.name("data_centre");
        let address = section.required("address", "an IP address with a port");
        let keeper = section.choice("keeper", false, &YES_OR_NO);
        let name = name?;
        finder.name(section, "peer", &name);
        Some(PlacedValue {
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
            section.absent("token_sha256", TokenDigest::EXPECTED);
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
        let certificate = section.choice("certificate", false, &YES_OR_NO);
        let name = name?;
        finder.name(section, "operator", &name);
        if digests.is_empty() && !certificate {
            section.absent("token_sha256", "a token digest, or `certificate: true`");
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
        let proofs = [
            ("required", BackendProof::Required),
            ("not-required", BackendProof::NotRequired),
        ];
        let proof = section.choice("proof", BackendProof::Required, &proofs);
        let digests = section.digests("token_sha256");
        match proof {
            BackendProof::Required if digests.is_empty() => {
                section.absent("token_sha256", "a token digest, or `proof: not-required`");
            }
            BackendProof::Required => {}
            BackendProof::NotRequired => section.warning(
                section.place(),
                "backend servers need not prove who they are: whoever reaches the address can take requests",
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
