//! Settings of stored streams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of a [`StreamTable`](super::StreamTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct StreamSettings {
    /// Time after its last update at which a stream is removed.
    pub retention: Duration,
    /// Maximum number of bytes of all streams. Above it, the least recently updated stream is
    /// removed.
    pub max_bytes: usize,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(60),
            max_bytes: 8 << 20,
        }
    }
}
