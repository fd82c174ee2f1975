//! Points in time that deciding functions take as arguments.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Monotonic time of one process, in microseconds since its start.
///
/// Leases rest on this time only; it never runs backwards and is never compared between hosts.
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
    /// The start of the process.
    pub const START: Self = Self(0);

    /// The time `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The time `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// This time plus `duration`, held at the maximum instead of wrapping.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// This time less `duration`, held at the start of the process.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Time passed since `earlier`; zero if `earlier` lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Used for records that people read; no decision about leases or order rests on it.
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
