//! Table of tokens. A token is looked up by its digest, in time that does not depend on the digest.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use http::HeaderMap;
use http::header::AUTHORIZATION;
use pollendrift_coordination::base::CustomerName;
use subtle::ConstantTimeEq;

use super::identity::OperatorIdentity;
use crate::settings::{BackendAuthentication, DaemonSettings, TokenDigest};

/// Authentication scheme of the `Authorization` header, in lower case, with the space after it.
const SCHEME: &str = "bearer ";

/// Maximum length of a token in bytes. Longer ones are not hashed, so that untrusted clients can't
/// cause that work.
const MAX_TOKEN_BYTES: usize = 1_024;

/// A digest as the key of a hash table.
///
/// The hash is keyed by a random value of this process and digests are compared in constant time,
/// so the time of a look-up reveals nothing about the stored digests.
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

/// Token digests of customers, operators and backend servers.
#[derive(Clone, Debug, Default)]
pub struct CredentialTable {
    customers: HashMap<DigestKey, CustomerName>,
    operators: HashMap<DigestKey, OperatorIdentity>,
    backend_servers: HashMap<DigestKey, ()>,
    backend_token_required: bool,
}

impl CredentialTable {
    /// Builds the table from the token digests in `settings`.
    pub fn new(settings: &DaemonSettings) -> Self {
        let mut table = Self {
            backend_token_required: settings.backend_servers.proof
                == BackendAuthentication::Required,
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

    /// Returns the customer that the token in `headers` belongs to.
    pub fn customer(&self, headers: &HeaderMap) -> Option<&CustomerName> {
        self.customers.get(&digest_key(headers)?)
    }

    /// Returns the operator that the token in `headers` belongs to.
    pub fn operator(&self, headers: &HeaderMap) -> Option<&OperatorIdentity> {
        self.operators.get(&digest_key(headers)?)
    }

    /// Whether `headers` contain a token of the backend servers, or none is required.
    pub fn admits_backend_server(&self, headers: &HeaderMap) -> bool {
        if !self.backend_token_required {
            return true;
        }
        digest_key(headers).is_some_and(|key| self.backend_servers.contains_key(&key))
    }
}

/// Returns the token of the `Authorization: Bearer` header; `None` if there is no such header, more
/// than one, or the token is empty or too long.
pub fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    // With two headers, two components could identify two different parties.
    if values.next().is_some() {
        return None;
    }
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    let has_valid_length = !token.is_empty() && token.len() <= MAX_TOKEN_BYTES;
    (scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && has_valid_length).then_some(token)
}

fn digest_key(headers: &HeaderMap) -> Option<DigestKey> {
    bearer_token(headers).map(|token| DigestKey(TokenDigest::of(token)))
}
