//! Commands against a scripted daemon.
#![allow(clippy::unwrap_used, reason = "a test that can not go on must stop")]

mod apply;
mod secure;
mod support;
mod views;
