//! Three keepers in one process, over loopback websockets and real folders.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

mod cluster;
mod disks;
mod failing;
#[allow(dead_code, reason = "the tests of the store use more of it")]
#[path = "../../../store/tests/store/fault_files.rs"]
mod fault_files;
mod losses;
mod power;
mod service;
