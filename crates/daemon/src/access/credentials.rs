//! Tokens: who bears one is found by its digest, in time that does not depend on the digest.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use http::HeaderMap;
use http::header::AUTHORIZATION;
use pollendrift_coordination::base::CustomerName;
use subtle::ConstantTimeEq;

use super::identity::OperatorIdentity;
use crate::settings::{BackendProof, DaemonSettings, TokenDigest};

const SCHEME: &str = "bearer ";

/// Longest token that is looked at, in bytes: hashing a longer one would be work for a stranger.
const MAX_TOKEN_BYTES: usize = 1_024;

/// A digest as the key of a table.
///
/// The table's own hash is keyed by a secret of this process and equality takes constant time, so
/// the time of a look-up tells a stranger nothing about the digests in it.
#[derive(Clone, Copy, Debug)]
struct DigestKey(TokenDigest);

impl PartialEq for DigestKey {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for DigestKey {}

impl Hash for DigestKey {
    fn hash<H>(&self, state: &mut H)
    where
        H: Hasher,
    {
        self.0.as_bytes().hash(state);
    }
}

/// Tokens of customers, operators and backend servers.
#[derive(Clone, Debug, Default)]
pub struct CredentialTable {
    customers: HashMap<DigestKey, CustomerName>,
    operators: HashMap<DigestKey, OperatorIdentity>,
    backend_servers: HashMap<DigestKey, ()>,
    backend_proof_required: bool,
}

impl CredentialTable {
    /// The tokens of `settings`.
    pub fn new(settings: &DaemonSettings) -> Self {
        let mut table = Self {
            backend_proof_required: settings.backend_servers.proof == BackendProof::Required,
            ..Self::default()
        };
        for customer in &settings.customers {
            for token in &customer.tokens {
                let name = customer.name.clone();
                table.customers.insert(DigestKey(*token), name);
            }
        }
        for operator in &settings.operators {
            for token in &operator.tokens {
                let identity = OperatorIdentity::of(operator);
                table.operators.insert(DigestKey(*token), identity);
            }
        }
        for token in &settings.backend_servers.tokens {
            table.backend_servers.insert(DigestKey(*token), ());
        }
        table
    }

    /// The customer who bears the token of `headers`.
    pub fn customer(&self, headers: &HeaderMap) -> Option<&CustomerName> {
        self.customers.get(&presented(headers)?)
    }

    /// The operator who bears the token of `headers`.
    pub fn operator(&self, headers: &HeaderMap) -> Option<&OperatorIdentity> {
        self.operators.get(&presented(headers)?)
    }

    /// Whether an announcement with `headers` may be taken.
    pub fn admits_backend_server(&self, headers: &HeaderMap) -> bool {
        if !self.backend_proof_required {
            return true;
        }
        presented(headers).is_some_and(|key| self.backend_servers.contains_key(&key))
    }
}

/// The token of an `Authorization: Bearer` header; `None` if there is none, or more than one.
pub fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    // Two headers could name two parties to two readers.
    if values.next().is_some() {
        return None;
    }
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    let plausible = !token.is_empty() && token.len() <= MAX_TOKEN_BYTES;
    (scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && plausible).then_some(token)
}

fn presented(headers: &HeaderMap) -> Option<DigestKey> {
    bearer_token(headers).map(|token| DigestKey(TokenDigest::of(token)))
}
