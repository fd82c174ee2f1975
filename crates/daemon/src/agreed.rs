//! The border between request handling and the state that keepers agree on.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use derive_more::{Display, Error};
use pollendrift_coordination::base::{Incarnation, MonotonicTime};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};

use crate::keeper::SubmitError;

/// The answer to a command, still to be awaited.
pub type SubmitFuture<'agreed> =
    Pin<Box<dyn Future<Output = Result<CommandAnswer, SubmitError>> + Send + 'agreed>>;

/// State that all hosts agree on, as one host sees it.
pub trait AgreedState: Send + Sync {
    /// The configuration in force, or why this host can't tell which one is.
    ///
    /// # Errors
    /// The lease on the configuration's being current ran out.
    fn configuration(&self) -> Result<Arc<Configuration>, StaleConfiguration>;

    /// Whether another host is known to serve by a newer configuration.
    fn is_behind(&self) -> bool;

    /// Every change accepted before this time is known here; `None` before a keeper has answered.
    fn confirmed_at(&self) -> Option<MonotonicTime>;

    /// Life of this process, once the keepers gave it one; nothing is claimed without it.
    fn incarnation(&self) -> Option<Incarnation>;

    /// Runs a command through the agreement group. All commands are idempotent by their own ids,
    /// so one whose answer was lost is sent again until the time for it is up.
    ///
    /// # Errors
    /// [`SubmitError::NotRun`] only where it is proved.
    fn submit(&self, command: ReplicatedCommand) -> SubmitFuture<'_>;
}

/// This host can't tell which configuration is in force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("this host can't tell which configuration is in force: {reason}")]
pub struct StaleConfiguration {
    /// What it waits for.
    pub reason: String,
}
