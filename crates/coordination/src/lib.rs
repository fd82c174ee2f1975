//! Sans-IO coordination parts of pollendrift.
//!
//! Each module takes its input and the current time as arguments and returns the effects that the
//! caller must carry out. No module opens a socket or a file or reads a clock, so a test run with
//! a given seed always produces the same result.
//!
//! An entry is the reverse proxy part of a daemon: it accepts the requests of callers. A draft is a
//! completion or chat request to a model.

pub mod agreement;
pub mod backpressure;
pub mod base;
pub mod claims;
pub mod configuration;
pub mod demand;
pub mod evidence;
pub mod forwarding;
pub mod hosts;
pub mod leases;
pub mod ledger;
pub mod limits;
pub mod placement;
pub mod poison;
pub mod quarantine;
pub mod reachability;
pub mod replicated;
pub mod retries;
pub mod revision_follower;
pub mod routes;
pub mod routing;
pub mod streams;
