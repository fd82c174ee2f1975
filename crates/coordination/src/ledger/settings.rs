//! Settings of the token ledger.

use serde::{Deserialize, Serialize};

/// Bounds of one request's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LedgerSettings {
    /// How many positions ahead of the next one a result may wait.
    pub reorder_window: u32,
    /// Longest answer, in tokens; bounds the memory that one request holds.
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
