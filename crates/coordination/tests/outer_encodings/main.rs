//! Stability of encodings and texts that other processes read.
//!
//! Each snapshot contains one encoded value of each type. A change here changes the protocol or the
//! files on disk, and needs a new version, or code that still reads the former encoding.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

mod agreement;
mod configuration;
mod encoded_text;
mod evidence;
mod hosts;
mod replicated;
mod samples;
mod snapshot;
mod status;
mod texts;
