//! Units: token rates, byte rates and token counts.

use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

macro_rules! unit_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

unit_type!(
    /// A rate in tokens per second.
    TokenRate(u32)
);
unit_type!(
    /// A rate in bytes per second.
    ByteRate(u64)
);
unit_type!(
    /// A number of tokens.
    TokenCount(u64)
);

impl TokenRate {
    /// Returns the rate in tokens per second as a float.
    pub fn per_second(self) -> f64 {
        f64::from(self.0)
    }

    /// Returns the seconds that `tokens` take at this rate; infinite at rate 0.
    pub fn seconds_for(self, tokens: f64) -> f64 {
        tokens / self.per_second()
    }
}

impl ByteRate {
    /// Returns the rate in bytes per second as a float.
    pub fn per_second(self) -> f64 {
        self.0 as f64
    }

    /// Returns the lower of two rates: the rate of two links in series.
    #[must_use]
    pub fn slower(self, other: Self) -> Self {
        self.min(other)
    }
}

impl TokenCount {
    /// Returns the count as a float.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// Converts seconds to a duration: the maximum if too large, zero if negative or NaN.
pub(crate) fn duration_of(seconds: f64) -> Duration {
    if seconds.is_nan() || seconds <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
