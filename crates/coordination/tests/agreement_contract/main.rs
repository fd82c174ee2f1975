//! The agreement core's contract, one node at a time: what it takes, refuses, holds and drops.

#![allow(clippy::unwrap_used)]

mod messages;
mod requests;
mod support;
