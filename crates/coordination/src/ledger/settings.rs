//! Settings of the token ledger.

use serde::{Deserialize, Serialize};

/// Limits of one request's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LedgerSettings {
    /// Maximum distance of a buffered result from the next position.
    pub reorder_window: u32,
    /// Maximum length of an answer in tokens; limits the memory of one request.
    pub max_tokens: u32,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            reorder_window: 64,
            max_tokens: 65_536,
        }
    }
}
