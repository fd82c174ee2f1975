//! Rates of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Units of a [`RequestRate`] in one request per second.
const UNITS: f64 = 1e3;

/// Rate of requests, in thousandths of a request per second.
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
#[display("{:.3}", self.per_second())]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Converts requests per second, rounded down, since a limit allows no fraction more. `None` if
    /// the number is negative or not finite.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // The conversion to an integer saturates.
        is_rate.then_some(Self((rate * UNITS) as u64))
    }

    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millis_per_second(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the thousandths of a request per second.
    pub const fn millis_per_second(self) -> u64 {
        self.0
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS
    }
}

/// What an answer of a server states about the rate of requests that the server accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedRate {
    /// The answer states no limit.
    #[default]
    Unlimited,
    /// The server accepts this rate from all hosts together.
    Limited(RequestRate),
    /// The answer states a limit that can't be decoded.
    Invalid,
}
