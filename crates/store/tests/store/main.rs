//! Contract of the log store: which data survives a stop, a crash, a power loss or damage.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a failed helper fails its test"
)]

mod commit;
mod crash;
mod damage;
mod fault_files;
mod frames;
mod identity;
mod outer_files;
mod persist_requests;
mod workload;
