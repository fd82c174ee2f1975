//! Backpressure: what backend servers state about their capacity in their answers.
//!
//! A server in need states the rate of requests that it accepts from all hosts together. The
//! statement holds until an answer of the server no longer contains one.

mod rate;
mod rate_table;

pub use rate::{RequestRate, StatedRate};
pub use rate_table::{RateChange, RateTable};
