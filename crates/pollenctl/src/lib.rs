//! Operators' command line of pollendrift, as a library so that its commands can be tested.
//!
//! Each command is one module with one entry function; `docs/operators/pollenctl.md` is their page.

mod address;
mod apply;
mod check;
mod client;
mod command;
mod diff;
mod evidence;
mod explain;
mod failure;
mod get;
mod history;
mod in_force;
mod report;
mod retry;
mod run;
mod text;
mod transport;
mod wall_clock;

pub use address::ServerAddress;
pub use command::{CommandLine, ConnectionOptions, EvidenceCommand, ToolCommand, command_line};
pub use failure::ToolFailure;
pub use retry::RetrySettings;
pub use run::run;
