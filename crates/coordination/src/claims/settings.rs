//! Bounds and horizon of claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bounds of the claim table. They must be the same on all keepers, as they are part of the
/// replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSettings {
    /// How long a settled claim is kept; a key that is resent later runs again.
    pub horizon: Duration,
    /// Most claims kept; above it new calls are refused, truthfully not run.
    pub max_claims: usize,
    /// Most claims of one customer, so that a flood of one leaves room for the others.
    pub max_customer_claims: usize,
    /// Most bytes of one stored answer's body; a longer one is kept without its body.
    pub max_body_bytes: usize,
    /// Most bytes of one stored answer's headers; those beyond are left out.
    pub max_header_bytes: usize,
    /// Most bytes of all stored answers; above it answers are kept without body.
    pub max_stored_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(24 * 3_600),
            max_claims: 200_000,
            max_customer_claims: 50_000,
            max_body_bytes: 16 * 1024,
            max_header_bytes: 2 * 1024,
            max_stored_bytes: 64 * 1024 * 1024,
        }
    }
}
