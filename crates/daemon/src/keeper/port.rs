//! The queues between a keeper's task and everybody else.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEnvelope, HandOverOutcome, KeeperId, LogIndex, MembershipChange,
};
use pollendrift_coordination::base::HostName;
use tokio::sync::{mpsc, oneshot, watch};

use super::error::SubmitError;
use super::status::KeeperStatus;
use crate::peers::{KeeperIntroduction, decode_agreement};

/// Agreement messages that wait for the task; they are repeated, so more are dropped.
const MESSAGE_QUEUE: usize = 4_096;

/// What this keeper made of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LocalOutcome<T> {
    /// Done.
    Done(T),
    /// Not done here; the leader may.
    NotLeader(Option<KeeperId>),
    /// Not done.
    Failed(SubmitError),
}

/// Sender of a request's outcome.
pub(super) type OutcomeSender<T> = oneshot::Sender<LocalOutcome<T>>;

/// What a keeper is asked.
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
    /// Ends the task once all that was decided is synced.
    Stop,
}

impl KeeperRequest {
    /// Whether the asker has given up.
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

/// Sending side; clones are cheap.
#[derive(Clone)]
pub struct KeeperPort {
    requests: mpsc::Sender<KeeperRequest>,
    messages: mpsc::Sender<AgreementEnvelope>,
    status: watch::Receiver<KeeperStatus>,
    introduction: watch::Receiver<Option<KeeperIntroduction>>,
}

/// Receiving side, for the keeper's task.
pub struct KeeperInbox {
    pub(super) requests: mpsc::Receiver<KeeperRequest>,
    pub(super) messages: mpsc::Receiver<AgreementEnvelope>,
    pub(super) status: watch::Sender<KeeperStatus>,
    pub(super) introduction: watch::Sender<Option<KeeperIntroduction>>,
}

/// Queues of a keeper that holds up to `requests` requests.
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
    /// Answers requests of a keeper that has no group yet; returns once it is to stop.
    ///
    /// Left in the queue they would run once the group is found, long after their askers gave up.
    pub(super) async fn refuse_requests(&mut self) {
        while let Some(request) = self.requests.recv().await {
            // Askers may have given up in the meantime.
            let _ = match request {
                KeeperRequest::Submit { outcome, .. } => elsewhere(outcome),
                KeeperRequest::Read { outcome } => elsewhere(outcome),
                KeeperRequest::HandOver { outcome, .. } => elsewhere(outcome),
                KeeperRequest::Change { outcome, .. } => elsewhere(outcome),
                KeeperRequest::Stop => return,
            };
        }
    }
}

fn elsewhere<T>(outcome: OutcomeSender<T>) -> bool {
    outcome.send(LocalOutcome::NotLeader(None)).is_ok()
}

impl KeeperPort {
    /// State of the keeper now.
    #[must_use]
    pub fn status(&self) -> KeeperStatus {
        self.status.borrow().clone()
    }

    /// Follows the state of the keeper.
    #[must_use]
    pub fn watch_status(&self) -> watch::Receiver<KeeperStatus> {
        self.status.clone()
    }

    /// This keeper and its group; `None` until its folder is open.
    pub(super) fn introduction(&self) -> Option<KeeperIntroduction> {
        self.introduction.borrow().clone()
    }

    /// Gives an encoded agreement message of `from` to the task; drops what it can't take.
    pub(super) fn take_message(&self, from: &HostName, bytes: &[u8]) {
        let Ok(envelope) = decode_agreement(bytes) else {
            log::warn!(peer:% = from; "agreement message can't be read");
            return;
        };
        if envelope.from.host != *from {
            log::warn!(peer:% = from; "agreement message under another host's name");
            return;
        }
        // A full queue drops the message; the core repeats what matters.
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
                // Its host may live on for a while, and answer for a keeper that is gone. Said to be
                // not run, the command would not be taken to the keepers that go on.
                mpsc::error::TrySendError::Closed(_) => LocalOutcome::NotLeader(None),
            };
        }
        receiver.await.unwrap_or_else(|_| {
            LocalOutcome::Failed(SubmitError::unknown("keeper ended before it answered"))
        })
    }

    pub(super) fn stop(&self) -> bool {
        self.requests.try_send(KeeperRequest::Stop).is_ok()
    }

    /// Waits until the state machine holds `index`.
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
