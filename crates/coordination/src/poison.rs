//! Requests under which one server after the other ends.
//!
//! Hosts recognise a request by its content, whichever attempt of its caller it is.

mod digest;

pub use digest::{ContentDigest, RequestContent};
