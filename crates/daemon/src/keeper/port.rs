//! Queues between the task of a keeper and the other parts of the daemon.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEnvelope, HandOverOutcome, KeeperId, LogIndex, MembershipChange,
};
use pollendrift_coordination::base::HostName;
use tokio::sync::{mpsc, oneshot, watch};

use super::error::SubmitError;
use super::status::KeeperStatus;
use crate::peers::{KeeperIntroduction, decode_agreement};

/// Capacity of the queue of agreement messages; further ones are dropped, since the core repeats
/// them.
const MESSAGE_QUEUE: usize = 4_096;

/// Outcome of a request to this keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LocalOutcome<T> {
    /// The keeper executed the request; contains its result.
    Done(T),
    /// This keeper doesn't lead and executed nothing; contains the leader, if known.
    NotLeader(Option<KeeperId>),
    /// The request failed; contains whether it may have run.
    Failed(SubmitError),
}

/// Sender of a request's outcome.
pub(super) type OutcomeSender<T> = oneshot::Sender<LocalOutcome<T>>;

/// Request to the task of a keeper, with the sender of its outcome.
pub(super) enum KeeperRequest {
    Submit {
        command: Arc<[u8]>,
        outcome: OutcomeSender<Vec<u8>>,
    },
    Read {
        outcome: OutcomeSender<LogIndex>,
    },
    HandOver {
        target: HostName,
        outcome: OutcomeSender<HandOverOutcome>,
    },
    Change {
        change: MembershipChange,
        outcome: OutcomeSender<LogIndex>,
    },
    /// Ends the task after the sync in progress.
    Stop,
}

impl KeeperRequest {
    /// Whether the requester has given up.
    pub(super) fn is_abandoned(&self) -> bool {
        match self {
            Self::Submit { outcome, .. } => outcome.is_closed(),
            Self::Read { outcome } => outcome.is_closed(),
            Self::HandOver { outcome, .. } => outcome.is_closed(),
            Self::Change { outcome, .. } => outcome.is_closed(),
            Self::Stop => false,
        }
    }
}

/// Sending side of a keeper's queues; clones are cheap.
#[derive(Clone)]
pub struct KeeperPort {
    requests: mpsc::Sender<KeeperRequest>,
    messages: mpsc::Sender<AgreementEnvelope>,
    status: watch::Receiver<KeeperStatus>,
    introduction: watch::Receiver<Option<KeeperIntroduction>>,
}

/// Receiving side of a keeper's queues, for its task.
pub struct KeeperInbox {
    pub(super) requests: mpsc::Receiver<KeeperRequest>,
    pub(super) messages: mpsc::Receiver<AgreementEnvelope>,
    pub(super) status: watch::Sender<KeeperStatus>,
    pub(super) introduction: watch::Sender<Option<KeeperIntroduction>>,
}

/// Creates the queues of a keeper, with a capacity of `requests` requests.
#[must_use]
pub fn keeper_queue(requests: usize) -> (KeeperPort, KeeperInbox) {
    let (request_sender, request_receiver) = mpsc::channel(requests.max(1));
    let (message_sender, message_receiver) = mpsc::channel(MESSAGE_QUEUE);
    let (status_sender, status_receiver) = watch::channel(KeeperStatus::default());
    let (introduction_sender, introduction_receiver) = watch::channel(None);
    let port = KeeperPort {
        requests: request_sender,
        messages: message_sender,
        status: status_receiver,
        introduction: introduction_receiver,
    };
    let inbox = KeeperInbox {
        requests: request_receiver,
        messages: message_receiver,
        status: status_sender,
        introduction: introduction_sender,
    };
    (port, inbox)
}

impl KeeperInbox {
    /// Refuses requests while the keeper has no group; returns after a stop request.
    ///
    /// Requests left in the queue would run once the group is found, long after their requesters
    /// gave up.
    pub(super) async fn refuse_requests(&mut self) {
        while let Some(request) = self.requests.recv().await {
            // The requester may have given up.
            let _ = match request {
                KeeperRequest::Submit { outcome, .. } => send_not_leader(outcome),
                KeeperRequest::Read { outcome } => send_not_leader(outcome),
                KeeperRequest::HandOver { outcome, .. } => send_not_leader(outcome),
                KeeperRequest::Change { outcome, .. } => send_not_leader(outcome),
                KeeperRequest::Stop => return,
            };
        }
    }
}

fn send_not_leader<T>(outcome: OutcomeSender<T>) -> bool {
    outcome.send(LocalOutcome::NotLeader(None)).is_ok()
}

impl KeeperPort {
    /// Current status of the keeper.
    #[must_use]
    pub fn status(&self) -> KeeperStatus {
        self.status.borrow().clone()
    }

    /// Returns a receiver of status changes of the keeper.
    #[must_use]
    pub fn watch_status(&self) -> watch::Receiver<KeeperStatus> {
        self.status.clone()
    }

    /// Introduction of this keeper and its group; `None` until the keeper's task has started.
    pub(super) fn introduction(&self) -> Option<KeeperIntroduction> {
        self.introduction.borrow().clone()
    }

    /// Queues an encoded agreement message of `from` for the task. Drops messages that can't be
    /// decoded, name another sender or don't fit into the queue.
    pub(super) fn receive_message(&self, from: &HostName, bytes: &[u8]) {
        let Ok(envelope) = decode_agreement(bytes) else {
            log::warn!(peer:% = from; "agreement message can't be decoded");
            return;
        };
        if envelope.from.host != *from {
            log::warn!(peer:% = from; "agreement message names another host as its sender");
            return;
        }
        // A full queue drops the message; the core repeats messages that matter.
        let _ = self.messages.try_send(envelope);
    }

    /// Queues a request and waits for its outcome.
    pub(super) async fn ask<T, F>(&self, request: F) -> LocalOutcome<T>
    where
        F: FnOnce(OutcomeSender<T>) -> KeeperRequest,
    {
        let (sender, receiver) = oneshot::channel();
        if let Err(error) = self.requests.try_send(request(sender)) {
            return match error {
                mpsc::error::TrySendError::Full(_) => LocalOutcome::Failed(SubmitError::not_run(
                    "too many requests wait for the keeper",
                )),
                // The host may run on for a while after its keeper has stopped. "Not run" would
                // keep the caller from sending the command to the other keepers.
                mpsc::error::TrySendError::Closed(_) => LocalOutcome::NotLeader(None),
            };
        }
        receiver.await.unwrap_or_else(|_| {
            LocalOutcome::Failed(SubmitError::unknown("keeper ended before it answered"))
        })
    }

    /// Queues a stop request; returns whether the queue accepted it.
    pub(super) fn stop(&self) -> bool {
        self.requests.try_send(KeeperRequest::Stop).is_ok()
    }

    /// Waits until the state machine has applied `index`.
    ///
    /// # Errors
    /// [`SubmitError::NotRun`] if the keeper stops before.
    pub(super) async fn wait_applied(&self, index: LogIndex) -> Result<(), SubmitError> {
        let mut status = self.status.clone();
        let reached = status
            .wait_for(|status| status.applied >= index || status.stopped.is_some())
            .await;
        match reached {
            Ok(status) if status.applied >= index => Ok(()),
            _ => Err(SubmitError::not_run("keeper has stopped")),
        }
    }
}
