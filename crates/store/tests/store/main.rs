//! Contract of the log store: what survives which end of the process.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

mod commit;
mod crash;
mod damage;
mod fault_files;
mod frames;
mod identity;
mod orders;
mod outer_files;
mod workload;
