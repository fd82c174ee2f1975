//! Settings of the claims on non-idempotent calls.

use std::time::Duration;

use super::reader::SectionReader;

/// Limits of the claims table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Retention of a key; a resend after it counts as a new call.
    pub horizon: Duration,
    /// Maximum size of a stored result in bytes; of a larger result only the status and the digest
    /// are stored.
    pub max_result_bytes: u64,
    /// Maximum number of claims; further calls are refused as not run.
    pub max_claims: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(24 * 3_600),
            max_result_bytes: 64 << 10,
            max_claims: 100_000,
        }
    }
}

impl ClaimSettings {
    pub(super) fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let minute = Duration::from_secs(60);
        Self {
            horizon: section.duration("horizon", default.horizon, minute..=minute * 60 * 24 * 30),
            max_result_bytes: section.size(
                "max_result_bytes",
                default.max_result_bytes,
                0..=1 << 20,
            ),
            max_claims: section.count("max_claims", default.max_claims, 1..=10_000_000),
        }
    }
}
