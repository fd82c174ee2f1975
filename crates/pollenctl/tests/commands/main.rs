//! Runs commands against daemons with scripted replies.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

mod admission;
mod apply;
mod refusals;
mod secure;
mod support;
mod views;
