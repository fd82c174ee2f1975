//! Settings of the store.

use serde::{Deserialize, Serialize};

/// Sizes of the store's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Bytes after which a segment is closed and the next one opened.
    pub segment_bytes: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 1024 * 1024,
        }
    }
}
