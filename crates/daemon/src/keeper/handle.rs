//! What the rest of a daemon does with its own keeper.

use std::time::Duration;

use pollendrift_coordination::agreement::{HandOverOutcome, KeeperRole, LogIndex};
use pollendrift_coordination::base::HostName;
use tokio::sync::watch;
use tokio::time::timeout;

use super::client::{KeeperClient, RetryPermission};
use super::error::SubmitError;
use super::port::{KeeperPort, KeeperRequest, LocalOutcome};
use super::status::KeeperStatus;

/// Handle to the keeper of this host; clones are cheap.
#[derive(Clone)]
pub struct KeeperHandle {
    port: KeeperPort,
    client: KeeperClient,
}

impl KeeperHandle {
    pub(super) fn new(port: KeeperPort, client: KeeperClient) -> Self {
        Self { port, client }
    }

    /// Runs a command through the group; goes to the leader where this keeper doesn't lead. The
    /// command is never sent again once its fate is unknown.
    ///
    /// # Errors
    /// See [`KeeperClient::submit`].
    pub async fn submit(&self, command: Vec<u8>) -> Result<Vec<u8>, SubmitError> {
        self.client.submit(command, RetryPermission::Never).await
    }

    /// Waits until the state machine here holds everything that was accepted before this call.
    ///
    /// # Errors
    /// No leader was confirmed by a quorum in time, or this keeper lags.
    pub async fn read_barrier(&self) -> Result<LogIndex, SubmitError> {
        self.client.read_barrier().await
    }

    /// The client behind this handle.
    #[must_use]
    pub fn client(&self) -> &KeeperClient {
        &self.client
    }

    /// State of the keeper now.
    #[must_use]
    pub fn status(&self) -> KeeperStatus {
        self.port.status()
    }

    /// Follows the state of the keeper.
    #[must_use]
    pub fn watch_status(&self) -> watch::Receiver<KeeperStatus> {
        self.port.watch_status()
    }

    /// Gives leadership away before a planned stop, to any voter that takes it; returns whether
    /// this keeper no longer leads.
    pub async fn hand_over(&self, patience: Duration) -> bool {
        timeout(patience, self.try_voters()).await.unwrap_or(false)
    }

    async fn try_voters(&self) -> bool {
        for target in self.other_voters() {
            if self.port.status().role != KeeperRole::Leader {
                return true;
            }
            let asking = self
                .port
                .ask(|outcome| KeeperRequest::HandOver { target, outcome });
            match asking.await {
                LocalOutcome::Done(HandOverOutcome::Done) | LocalOutcome::NotLeader(_) => {
                    return true;
                }
                LocalOutcome::Done(_) | LocalOutcome::Failed(_) => {}
            }
        }
        self.port.status().role != KeeperRole::Leader
    }

    fn other_voters(&self) -> Vec<HostName> {
        let status = self.port.status();
        let own = status.keeper.as_ref();
        let others = status.membership.voters.iter();
        others
            .filter(|voter| Some(*voter) != own)
            .map(|voter| voter.host.clone())
            .collect()
    }

    /// Ends the keeper once all that it decided is synced; the caller waits for the task.
    pub fn stop(&self) -> bool {
        self.port.stop()
    }
}
