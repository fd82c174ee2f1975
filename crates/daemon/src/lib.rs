//! Router daemon of pollendrift.
//!
//! One process per host: an entry for callers, backend servers, operators and peers, and a keeper
//! where the settings name a data folder.

pub mod access;
pub mod admission;
pub mod agreed;
pub mod announcements;
pub mod clock;
pub mod daemon;
pub mod entry;
pub mod evidence;
pub mod faces;
pub mod feed;
pub mod fleet;
pub mod frames;
pub mod gauges;
pub mod keeper;
pub mod lease_broadcast;
pub mod lifecycle;
pub mod node;
pub mod operators;
pub mod peers;
pub(crate) mod placement;
pub mod platform;
pub(crate) mod relay;
pub mod resend;
pub mod settings;
pub mod state;
pub mod streams;
pub mod tasks;
pub mod telemetry;
pub mod transport;
