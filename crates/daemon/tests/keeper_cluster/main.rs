//! Three keepers in one process, over loopback websockets and real folders.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of tests fail like the tests themselves"
)]

mod cluster;
mod disks;
mod failing;
mod losses;
mod service;
