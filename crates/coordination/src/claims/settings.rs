//! Limits and retention of claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of the claim table. They must be equal on all keepers, because they are part of the
/// replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSettings {
    /// Time for which a settled claim is kept; a call that is resent with its key later runs again.
    #[serde(rename = "horizon")]
    pub retention: Duration,
    /// Limit of claims; in excess of it, new calls are refused as not run.
    pub max_claims: usize,
    /// Limit of claims of one customer, so that one customer's flood does not fill the table.
    pub max_customer_claims: usize,
    /// Limit of the body of a stored answer in bytes; a longer body is dropped.
    pub max_body_bytes: usize,
    /// Limit of the headers of a stored answer in bytes; headers that do not fit are dropped.
    pub max_header_bytes: usize,
    /// Limit of all stored answers in bytes; in excess of it, answers are stored without body.
    pub max_stored_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3_600),
            max_claims: 200_000,
            max_customer_claims: 50_000,
            max_body_bytes: 16 * 1024,
            max_header_bytes: 2 * 1024,
            max_stored_bytes: 64 * 1024 * 1024,
        }
    }
}
