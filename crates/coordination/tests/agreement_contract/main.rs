//! Contract of the agreement core, tested on one node at a time.

#![allow(clippy::unwrap_used)]

mod messages;
mod requests;
mod support;
