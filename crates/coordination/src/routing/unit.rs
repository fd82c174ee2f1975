//! Units of routing: token and byte rates, token counts.

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
    /// Tokens a second.
    TokenRate(u32)
);
unit_type!(
    /// Bytes a second.
    ByteRate(u64)
);
unit_type!(
    /// A number of tokens.
    TokenCount(u64)
);

impl TokenRate {
    /// Tokens a second, for arithmetic.
    pub fn per_second(self) -> f64 {
        f64::from(self.0)
    }

    /// Seconds that `tokens` take at this rate; infinite at rate 0.
    pub fn seconds_for(self, tokens: f64) -> f64 {
        tokens / self.per_second()
    }
}

impl ByteRate {
    /// Bytes a second, for arithmetic.
    pub fn per_second(self) -> f64 {
        self.0 as f64
    }

    /// The slower of two rates in a row.
    #[must_use]
    pub fn slower(self, other: Self) -> Self {
        self.min(other)
    }
}

impl TokenCount {
    /// The count, for arithmetic.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// A duration of `seconds`; the maximum where that is infinite or out of range, zero where negative.
pub(crate) fn duration_of(seconds: f64) -> Duration {
    if seconds.is_nan() || seconds <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
