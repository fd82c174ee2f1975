//! Interface between request handling and the replicated state, which the keepers agree on.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use derive_more::{Display, Error};
use pollendrift_coordination::base::{Incarnation, MonotonicTime};
use pollendrift_coordination::claims::{ClaimScope, KnownClaim};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::replicated::{CommandAnswer, ReplicatedCommand};

use crate::keeper::SubmitError;

/// Future of a command's answer.
pub type SubmitFuture<'agreed> =
    Pin<Box<dyn Future<Output = Result<CommandAnswer, SubmitError>> + Send + 'agreed>>;

/// Replicated state of all hosts, as known to one host.
pub trait AgreedState: Send + Sync {
    /// Returns the configuration in force.
    ///
    /// # Errors
    /// Fails if the lease that confirms the configuration as current has expired.
    fn configuration(&self) -> Result<Arc<Configuration>, StaleConfiguration>;

    /// Whether another host is known to use a newer configuration.
    fn is_behind(&self) -> bool;

    /// Time before which every accepted change is known to this host; `None` until a keeper has
    /// answered.
    fn confirmed_at(&self) -> Option<MonotonicTime>;

    /// Incarnation of this process; `None` until the keepers have assigned one. Claims require it.
    fn incarnation(&self) -> Option<Incarnation>;

    /// Claim of a key in the copy of this host's keeper, without a question to the other keepers. The
    /// copy may be older than the agreed state; `None` also on a host without a keeper.
    fn known_claim(&self, scope: &ClaimScope) -> Option<KnownClaim>;

    /// Submits a command to the agreement group. Commands are idempotent by their ids, so a command
    /// whose answer was lost is sent again until its timeout.
    ///
    /// # Errors
    /// Returns [`SubmitError::NotRun`] only if it is proved that the command did not run.
    fn submit(&self, command: ReplicatedCommand) -> SubmitFuture<'_>;
}

/// This host can't determine which configuration is in force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("this host can't tell which configuration is in force: {reason}")]
pub struct StaleConfiguration {
    /// Condition that this host waits for.
    pub reason: String,
}
