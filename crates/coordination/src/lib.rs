//! Sans-IO coordination parts of pollendrift.
//!
//! Every part is a pure decision: tables and the present time go in, effects come out. No module
//! of this crate opens a socket, a file or a clock, so one seed always gives the same verdict.
//! Parts are listed alphabetically; each is one folder with one job.

pub mod agreement;
pub mod base;
pub mod claims;
pub mod configuration;
pub mod evidence;
pub mod hosts;
pub mod leases;
pub mod ledger;
pub mod limits;
pub mod placement;
pub mod replicated;
pub mod retries;
pub mod revision_follower;
pub mod routes;
pub mod routing;
pub mod streams;
