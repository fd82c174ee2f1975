//! What leaves the process keeps its form: bytes and texts that other builds read.
//!
//! Each snapshot holds one value of each type as it is encoded. A change here is a change of the
//! protocol or of the files on disk, and needs a new version or a reader of the old form.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

mod agreement;
mod configuration;
mod evidence;
mod hosts;
mod replicated;
mod samples;
mod shown;
mod snapshot;
mod status;
mod texts;
