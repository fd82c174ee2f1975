//! Stand-ins for what pollendrift meets: model engines, plain services and callers.
//!
//! Used by tests, examples and benches only; nothing here is published or run in production.

pub mod announcer;
pub mod caller;
pub mod engine;
pub mod fleet;
pub mod harness;
pub mod load;
pub mod service;
pub mod token;
