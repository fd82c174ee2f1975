//! Table of the calls to peers that wait for an answer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use pollendrift_coordination::base::HostName;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::frame::PeerAnswer;

/// Number of a call, unique in the process that sends it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallNumber(pub u64);

/// Reason why a call has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The question never left this process.
    #[display("not sent: {reason}")]
    NotSent {
        /// Reason why it was not sent.
        reason: String,
    },
    /// The question may have reached the peer.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// Reason why there is no answer.
        reason: String,
    },
}

struct CallEntry {
    host: HostName,
    answer: oneshot::Sender<PeerAnswer>,
}

#[derive(Default)]
struct CallState {
    last: CallNumber,
    pending: BTreeMap<CallNumber, CallEntry>,
}

/// Pending calls of this process, at most `max_pending`.
pub(super) struct CallTable {
    state: Mutex<CallState>,
    max_pending: usize,
}

impl CallTable {
    pub(super) fn new(max_pending: usize) -> Self {
        Self {
            state: Mutex::default(),
            max_pending,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a call to `host`; `None` if the maximum number of calls is pending.
    pub(super) fn open(self: &Arc<Self>, host: &HostName) -> Option<PendingCall> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        if state.pending.len() >= self.max_pending {
            return None;
        }
        let number = CallNumber(state.last.0 + 1);
        state.last = number;
        let call = CallEntry {
            host: host.clone(),
            answer: sender,
        };
        state.pending.insert(number, call);
        Some(PendingCall {
            table: Arc::clone(self),
            number,
            receiver,
        })
    }

    /// Delivers an answer to its call; ignores answers of hosts other than the called one.
    pub(super) fn complete(&self, from: &HostName, number: CallNumber, answer: PeerAnswer) {
        let mut state = self.lock();
        let is_called_host = state
            .pending
            .get(&number)
            .is_some_and(|call| call.host == *from);
        if !is_called_host {
            return;
        }
        if let Some(call) = state.pending.remove(&number) {
            // The requester may have given up.
            let _ = call.answer.send(answer);
        }
    }

    /// Fails all calls to a host whose link broke.
    pub(super) fn fail_all(&self, host: &HostName) {
        self.lock().pending.retain(|_, call| call.host != *host);
    }
}

/// A call that waits for its answer; dropping it removes the call from the table.
pub struct PendingCall {
    table: Arc<CallTable>,
    pub(super) number: CallNumber,
    receiver: oneshot::Receiver<PeerAnswer>,
}

impl PendingCall {
    /// Waits for the answer. A cancelled wait loses nothing.
    ///
    /// # Errors
    /// [`CallError::NoAnswer`] if the link to the host broke.
    pub async fn wait(&mut self) -> Result<PeerAnswer, CallError> {
        (&mut self.receiver).await.map_err(|_| CallError::NoAnswer {
            reason: "link to the host broke".to_owned(),
        })
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.table.lock().pending.remove(&self.number);
    }
}
