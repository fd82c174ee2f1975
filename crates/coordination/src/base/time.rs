//! Types for points in time, which functions take as arguments instead of reading a clock.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Monotonic time of one process, in microseconds since its start.
///
/// Leases use only this time. It never runs backwards and is never compared between hosts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// Start of the process.
    pub const START: Self = Self(0);

    /// Creates the time `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the time `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns this time plus `duration`; saturates at the maximum.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns this time minus `duration`; saturates at the start of the process.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the time since `earlier`; zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Used for records that people read. No decision about leases or order depends on it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
#[serde(transparent)]
pub struct WallTime(pub u64);
