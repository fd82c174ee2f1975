//! Settings of remembered streams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How much is remembered of answers that peers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct StreamSettings {
    /// A stream is forgotten this long after its last token.
    pub retention: Duration,
    /// Bytes of all streams; beyond them the one that was quiet longest is forgotten.
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
