//! Settings for the file sizes of the store.

use serde::{Deserialize, Serialize};

/// Limits for the sizes of the store's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Size in bytes at which a segment is closed and the next one is opened.
    pub segment_bytes: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 1024 * 1024,
        }
    }
}
