//! Test doubles ("stand-ins") of model engines, plain services and callers.
//!
//! Only tests, examples and benches use this crate; it is neither published nor run in production.

pub mod announcer;
pub mod caller;
pub mod engine;
pub mod fleet;
pub mod harness;
pub mod load;
pub mod service;
pub mod slow_link;
pub mod token;
