//! Router daemon of pollendrift.
//!
//! Each host runs one process: an entry for callers, backend servers, operators and peers, and a
//! keeper if the settings make the host one.

pub mod access;
pub mod admission;
pub mod agreed;
pub mod announcements;
pub mod clock;
pub(crate) mod coalesced;
pub mod daemon;
pub mod entry;
pub mod evidence;
pub mod faces;
pub mod feed;
pub mod fleet;
pub(crate) mod forwarding;
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
pub(crate) mod poison;
pub(crate) mod quarantine;
pub mod refusals;
pub(crate) mod relay;
pub mod resend;
pub mod resources;
pub mod settings;
pub mod state;
pub mod streams;
pub mod tasks;
pub mod telemetry;
pub mod transport;
pub mod work;
