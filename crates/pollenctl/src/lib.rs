//! Operators' command line of pollendrift, as a library so that tests can run its commands.
//!
//! Each module implements one command or a small family; `docs/operators/pollenctl.md` describes
//! them.

mod address;
mod admission;
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
mod refusal;
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
