//! Runs commands against daemons with scripted replies.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

mod apply;
mod secure;
mod support;
mod views;
