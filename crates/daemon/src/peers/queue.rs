//! Queue of encoded frames for one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::Notify;

use super::settings::LinkSettings;

/// Reason why a frame was refused; a refused frame never leaves this process.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SendRefusal {
    /// The host is no known peer.
    #[display("host is not a peer")]
    UnknownHost,
    /// The link to the host is down.
    #[display("no link to the host")]
    Down,
    /// The queue to the host is full.
    #[display("queue to the host is full")]
    Full,
    /// The frame is larger than the limit or can't be encoded.
    #[display("{reason}")]
    TooLarge {
        /// Size and limit, or the encoder's error.
        reason: String,
    },
}

/// Two bounded queues of encoded frames.
///
/// Invariant: `agreement_bytes` and `other_bytes` are the sums over their queues; while `up` is
/// false both are empty.
#[derive(Default)]
struct QueueState {
    up: bool,
    agreement: VecDeque<Bytes>,
    agreement_bytes: usize,
    other: VecDeque<Bytes>,
    other_bytes: usize,
    dropped: u64,
}

/// Counts of a queue, for the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct QueueUsage {
    pub(super) frames: usize,
    pub(super) dropped: u64,
}

/// Queue of outbound frames of one link; pushing never waits.
pub(super) struct FrameQueue {
    state: Mutex<QueueState>,
    wake: Notify,
    max_agreement_frames: usize,
    max_other_frames: usize,
    max_queue_bytes: usize,
}

impl FrameQueue {
    pub(super) fn new(settings: &LinkSettings) -> Self {
        Self {
            state: Mutex::default(),
            wake: Notify::new(),
            max_agreement_frames: settings.max_agreement_frames,
            max_other_frames: settings.max_other_frames,
            max_queue_bytes: settings.max_queue_bytes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the queue for a new link, or closes it; both drop all queued frames.
    ///
    /// Frames that are queued when a link breaks are dropped: agreement frames are outdated when a
    /// link is up again, and the calls of the other frames have failed with the link.
    pub(super) fn set_link_up(&self, up: bool) {
        let mut state = self.lock();
        let dropped = state.dropped + (state.agreement.len() + state.other.len()) as u64;
        *state = QueueState {
            up,
            dropped,
            ..QueueState::default()
        };
    }

    /// Adds a frame whose loss a later frame corrects; drops the oldest such frames if the queue is
    /// full.
    pub(super) fn push_retransmitted(&self, frame: Bytes) -> Result<(), SendRefusal> {
        let mut state = self.lock();
        if !state.up {
            return Err(SendRefusal::Down);
        }
        state.agreement_bytes += frame.len();
        state.agreement.push_back(frame);
        while state.agreement.len() > self.max_agreement_frames
            || state.agreement_bytes > self.max_queue_bytes
        {
            let Some(oldest) = state.agreement.pop_front() else {
                break;
            };
            state.agreement_bytes -= oldest.len();
            state.dropped += 1;
        }
        drop(state);
        self.wake.notify_one();
        Ok(())
    }

    /// Adds a frame, or refuses it if the queue is full; an added frame is only dropped when the
    /// link breaks.
    pub(super) fn push(&self, frame: Bytes) -> Result<(), SendRefusal> {
        let mut state = self.lock();
        if !state.up {
            return Err(SendRefusal::Down);
        }
        let bytes = state.other_bytes + frame.len();
        if state.other.len() >= self.max_other_frames || bytes > self.max_queue_bytes {
            state.dropped += 1;
            return Err(SendRefusal::Full);
        }
        state.other_bytes = bytes;
        state.other.push_back(frame);
        drop(state);
        self.wake.notify_one();
        Ok(())
    }

    /// Removes the next frame; agreement frames first, since the leader's lease depends on them.
    pub(super) fn pop(&self) -> Option<Bytes> {
        let mut state = self.lock();
        if let Some(frame) = state.agreement.pop_front() {
            state.agreement_bytes -= frame.len();
            return Some(frame);
        }
        let frame = state.other.pop_front()?;
        state.other_bytes -= frame.len();
        Some(frame)
    }

    /// Waits until a frame may be queued.
    pub(super) async fn ready(&self) {
        self.wake.notified().await;
    }

    pub(super) fn usage(&self) -> QueueUsage {
        let state = self.lock();
        QueueUsage {
            frames: state.agreement.len() + state.other.len(),
            dropped: state.dropped,
        }
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::{FrameQueue, SendRefusal};
    use crate::peers::LinkSettings;

    /// Guards against a queue that grows without limit while a peer reads slowly, and against stale
    /// frames on a new link. The queue drops the oldest agreement frames, refuses other frames when
    /// full, and drops all frames when the link breaks.
    #[test]
    fn full_queue_drops_oldest_agreement_frames_and_refuses_others() {
        let settings = LinkSettings {
            max_agreement_frames: 2,
            max_other_frames: 1,
            max_queue_bytes: 10,
            ..LinkSettings::default()
        };
        let queue = FrameQueue::new(&settings);
        let frame = |text: &'static str| Bytes::from_static(text.as_bytes());
        assert_eq!(queue.push(frame("a")), Err(SendRefusal::Down));
        queue.set_link_up(true);
        for text in ["a1", "a2", "a3", "a4+6789ab"] {
            queue.push_retransmitted(frame(text)).expect("up");
        }
        assert_eq!(queue.push(frame("b1")), Ok(()));
        assert_eq!(queue.push(frame("b2")), Err(SendRefusal::Full));
        let popped: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
        assert_eq!(popped, [frame("a4+6789ab"), frame("b1")]);
        queue
            .push(frame("b3"))
            .expect("the queue has capacity again");
        queue.set_link_up(false);
        queue.set_link_up(true);
        assert_eq!(queue.pop(), None);
        assert_eq!(queue.usage().dropped, 5);
    }
}
