//! State of the link to one peer.

use std::io::ErrorKind;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::error::LinkError;
use super::hub::PeerAddress;
use super::queue::FrameQueue;
use super::settings::LinkSettings;
use super::status::PeerStatus;

/// State of the link to one peer.
pub(super) struct PeerSlot {
    pub(super) peer: PeerAddress,
    pub(super) queue: FrameQueue,
    /// Queue of answers to calls of the peer, for the link that the peer opened last.
    pub(super) replies: Mutex<Option<Arc<FrameQueue>>>,
    statistics: Mutex<LinkStatistics>,
    pub(super) up: watch::Sender<bool>,
    /// Time of the last frame from the peer on any link, in microseconds of the hub's clock; 0
    /// before the first one.
    pub(super) heard_at: AtomicU64,
    /// Task that maintains the outbound link.
    pub(super) task: Mutex<Option<AbortHandle>>,
}

#[derive(Default)]
struct LinkStatistics {
    links: u64,
    last_error: String,
    /// Whether the last attempt to connect was refused, so that no process listens at the address.
    refuses_connections: bool,
    round_trip: Option<Duration>,
}

impl PeerSlot {
    pub(super) fn new(peer: PeerAddress, settings: &LinkSettings) -> Self {
        Self {
            queue: FrameQueue::new(settings),
            replies: Mutex::default(),
            statistics: Mutex::default(),
            up: watch::Sender::new(false),
            heard_at: AtomicU64::new(0),
            task: Mutex::default(),
            peer,
        }
    }

    pub(super) fn end(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.as_ref() {
            task.abort();
        }
        self.mark_down("the peer was removed".to_owned());
    }

    fn statistics(&self) -> MutexGuard<'_, LinkStatistics> {
        self.statistics
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_round_trip(&self, time: Duration) {
        self.statistics().round_trip = Some(time);
    }

    pub(super) fn mark_up(&self) {
        let mut statistics = self.statistics();
        statistics.links += 1;
        statistics.refuses_connections = false;
        drop(statistics);
        self.queue.set_link_up(true);
        self.up.send_replace(true);
    }

    pub(super) fn mark_down(&self, error: String) {
        self.statistics().last_error = error;
        self.queue.set_link_up(false);
        self.up.send_replace(false);
    }

    /// Records a failed attempt to open the link.
    pub(super) fn record_failed_attempt(&self, error: &LinkError) {
        self.mark_down(error.to_string());
        self.statistics().refuses_connections = match error {
            LinkError::Dial(error) => error.kind() == ErrorKind::ConnectionRefused,
            _ => false,
        };
    }

    pub(super) fn refuses_connections(&self) -> bool {
        self.statistics().refuses_connections
    }

    /// Sets the queue of answers for a link that the peer has just opened.
    pub(super) fn open_replies(&self, queue: &Arc<FrameQueue>) {
        queue.set_link_up(true);
        *self.replies() = Some(queue.clone());
    }

    /// Closes the queue of answers for a link; removes it unless the peer has opened another link.
    pub(super) fn close_replies(&self, queue: &Arc<FrameQueue>) {
        queue.set_link_up(false);
        let mut replies = self.replies();
        if replies
            .as_ref()
            .is_some_and(|open| Arc::ptr_eq(open, queue))
        {
            *replies = None;
        }
    }

    pub(super) fn replies(&self) -> MutexGuard<'_, Option<Arc<FrameQueue>>> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn status(&self) -> PeerStatus {
        let usage = self.queue.usage();
        let statistics = self.statistics();
        PeerStatus {
            host: self.peer.host.clone(),
            address: self.peer.address,
            up: *self.up.borrow(),
            links: statistics.links,
            last_error: statistics.last_error.clone(),
            round_trip: statistics.round_trip,
            queued: usage.frames,
            dropped: usage.dropped,
        }
    }
}
