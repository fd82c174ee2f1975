//! The keeper of a host runs the agreement core, its store and the replicated state.
//!
//! One task owns the core and the state machine. The store runs in its own thread; writes that
//! arrive during a sync share the next sync. Requests of this host and of peers arrive through
//! bounded queues. Each request ends as done, not run, or unknown.

mod calls;
mod client;
mod effects;
mod error;
mod formation;
mod frames;
mod handle;
mod join;
mod list;
mod port;
mod replay;
mod runtime;
mod schedule;
mod settings;
mod start;
mod status;

pub use client::{ClientSettings, KeeperClient, RetryPermission};
pub use error::{KeeperError, SubmitError};
pub use frames::KeeperFrameHandler;
pub use handle::KeeperHandle;
pub use list::KeeperList;
pub use port::{KeeperInbox, KeeperPort, keeper_queue};
pub use replay::ReplayReport;
pub use schedule::SnapshotThresholds;
pub use settings::KeeperSettings;
pub use start::{KeeperStart, RunningKeeper, start_keeper, start_keeper_on};
pub use status::KeeperStatus;
