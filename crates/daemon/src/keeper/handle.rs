//! Handle to the keeper of this host, for the other parts of the daemon.

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

    /// Runs a command through the group; sends it to the leader if this keeper doesn't lead. The
    /// command is not sent again once its outcome is unknown.
    ///
    /// # Errors
    /// See [`KeeperClient::submit`].
    pub async fn submit(&self, command: Vec<u8>) -> Result<Vec<u8>, SubmitError> {
        self.client.submit(command, RetryPermission::Never).await
    }

    /// Waits until the local state machine has applied every command accepted before this call.
    ///
    /// # Errors
    /// No leader was confirmed by a quorum in time, or this keeper did not apply the entries in
    /// time.
    pub async fn read_barrier(&self) -> Result<LogIndex, SubmitError> {
        self.client.read_barrier().await
    }

    /// Client that this handle sends requests with.
    #[must_use]
    pub fn client(&self) -> &KeeperClient {
        &self.client
    }

    /// Current status of the keeper.
    #[must_use]
    pub fn status(&self) -> KeeperStatus {
        self.port.status()
    }

    /// Returns a receiver of status changes of the keeper.
    #[must_use]
    pub fn watch_status(&self) -> watch::Receiver<KeeperStatus> {
        self.port.watch_status()
    }

    /// Transfers leadership to any voter that accepts it, before a planned stop; tries for at most
    /// `limit`. Returns whether this keeper no longer leads.
    pub async fn hand_over(&self, limit: Duration) -> bool {
        timeout(limit, self.try_voters()).await.unwrap_or(false)
    }

    async fn try_voters(&self) -> bool {
        for target in self.other_voters() {
            if self.port.status().role != KeeperRole::Leader {
                return true;
            }
            let outcome = self
                .port
                .ask(|outcome| KeeperRequest::HandOver { target, outcome });
            match outcome.await {
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

    /// Stops the keeper after the sync in progress; the caller waits for the task. Returns whether
    /// the stop request was queued.
    pub fn stop(&self) -> bool {
        self.port.stop()
    }
}
