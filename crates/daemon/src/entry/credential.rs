//! Who a caller is, by its bearer token.

use std::collections::BTreeMap;

use http::{HeaderMap, header};
use pollendrift_coordination::base::CustomerName;

use super::refusal::Refusal;
use crate::settings::{CustomerSettings, TokenDigest};

/// Customers by the digest of their tokens.
///
/// A lookup compares digests of what the caller sent, so its timing tells nothing about a token.
#[derive(Debug, Default)]
pub struct CustomerDirectory {
    customers: BTreeMap<Vec<u8>, CustomerName>,
}

impl CustomerDirectory {
    /// A directory of `customers`.
    pub fn new(customers: &[CustomerSettings]) -> Self {
        let mut directory = Self::default();
        for customer in customers {
            for token in &customer.tokens {
                directory
                    .customers
                    .insert(token.as_bytes().to_vec(), customer.name.clone());
            }
        }
        directory
    }

    pub(super) fn find(&self, headers: &HeaderMap) -> Result<CustomerName, Refusal> {
        let value = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let Some(token) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
            return Err(Refusal::unauthorized("no bearer token was sent"));
        };
        let digest = TokenDigest::of(token.trim().as_bytes());
        let found = self.customers.get(digest.as_bytes()).cloned();
        found.ok_or_else(|| Refusal::unauthorized("the bearer token names no customer"))
    }
}
