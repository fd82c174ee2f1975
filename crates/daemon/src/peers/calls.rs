//! Questions to peers that wait for their answers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use pollendrift_coordination::base::HostName;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::frame::PeerAnswer;

/// Number of a call, unique in the asking process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallNumber(pub u64);

/// Why a call has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The question never left this process.
    #[display("not sent: {reason}")]
    NotSent {
        /// Why.
        reason: String,
    },
    /// The question may have arrived.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// Why.
        reason: String,
    },
}

struct OpenCall {
    host: HostName,
    answer: oneshot::Sender<PeerAnswer>,
}

#[derive(Default)]
struct CallState {
    last: CallNumber,
    open: BTreeMap<CallNumber, OpenCall>,
}

/// All calls of this process that wait.
pub(super) struct CallTable {
    state: Mutex<CallState>,
    bound: usize,
}

impl CallTable {
    pub(super) fn new(bound: usize) -> Self {
        Self {
            state: Mutex::default(),
            bound,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a call to `host`; `None` if as many wait as the bound allows.
    pub(super) fn open(&self, host: &HostName) -> Option<PendingCall<'_>> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        if state.open.len() >= self.bound {
            return None;
        }
        let number = CallNumber(state.last.0 + 1);
        state.last = number;
        let call = OpenCall {
            host: host.clone(),
            answer: sender,
        };
        state.open.insert(number, call);
        Some(PendingCall {
            table: self,
            number,
            receiver,
        })
    }

    /// Gives an answer to its call; only the host that was asked may answer.
    pub(super) fn complete(&self, from: &HostName, number: CallNumber, answer: PeerAnswer) {
        let mut state = self.lock();
        let asked = state
            .open
            .get(&number)
            .is_some_and(|call| call.host == *from);
        if !asked {
            return;
        }
        if let Some(call) = state.open.remove(&number) {
            // The asker may have given up in the meantime.
            let _ = call.answer.send(answer);
        }
    }

    /// Ends all calls to a host whose link broke.
    pub(super) fn fail_all(&self, host: &HostName) {
        self.lock().open.retain(|_, call| call.host != *host);
    }
}

/// One call that waits; dropping it forgets the call.
pub(super) struct PendingCall<'table> {
    table: &'table CallTable,
    pub(super) number: CallNumber,
    receiver: oneshot::Receiver<PeerAnswer>,
}

impl PendingCall<'_> {
    pub(super) async fn wait(&mut self) -> Result<PeerAnswer, CallError> {
        (&mut self.receiver).await.map_err(|_| CallError::NoAnswer {
            reason: "link to the host broke".to_owned(),
        })
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.table.lock().open.remove(&self.number);
    }
}
