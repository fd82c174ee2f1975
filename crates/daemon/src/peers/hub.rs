//! All links of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pollendrift_coordination::base::{HostName, Incarnation};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::calls::{CallError, CallNumber, CallTable};
use super::frame::{
    PEER_PROTOCOL, PeerAnswer, PeerCall, PeerFrame, PeerHello, PeerQuestion, encode_frame,
};
use super::inbound::accept_streams;
use super::outbound::keep_link;
use super::queue::{FrameQueue, SendRefusal};
use super::settings::LinkSettings;
use super::status::PeerStatus;
use super::transport::{PeerAcceptor, PeerDialer};

/// Who this process is.
#[derive(Clone, Debug)]
pub struct PeerNode {
    /// Host.
    pub host: HostName,
    /// Life of the process.
    pub process: Incarnation,
}

/// Where a peer listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The peer.
    pub host: HostName,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// Receiver of frames. Its methods run on the link's task and must not block; what takes time is
/// spawned.
pub trait PeerHandler: Send + Sync {
    /// Takes a frame other than those that the link itself handles (hello, heartbeats, answers).
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame);

    /// The outbound link to a peer came up or went down.
    fn link_changed(&self, hub: &PeerHub, host: &HostName, up: bool) {
        let _ = (hub, host, up);
    }
}

/// What is known of one peer.
pub(super) struct PeerSlot {
    pub(super) peer: PeerAddress,
    pub(super) queue: FrameQueue,
    /// Answers that go back on the link that the peer opened last.
    replies: Mutex<Option<Arc<FrameQueue>>>,
    notes: Mutex<LinkNotes>,
    up: watch::Sender<bool>,
}

#[derive(Default)]
struct LinkNotes {
    links: u64,
    last_error: String,
    round_trip: Option<Duration>,
}

impl PeerSlot {
    fn notes(&self) -> MutexGuard<'_, LinkNotes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn note_round_trip(&self, time: Duration) {
        self.notes().round_trip = Some(time);
    }

    pub(super) fn note_up(&self) {
        self.notes().links += 1;
        self.queue.set_up(true);
        self.up.send_replace(true);
    }

    pub(super) fn note_down(&self, error: String) {
        self.notes().last_error = error;
        self.queue.set_up(false);
        self.up.send_replace(false);
    }

    /// Takes the answers for a link that the peer has just opened.
    pub(super) fn open_replies(&self, queue: &Arc<FrameQueue>) {
        queue.set_up(true);
        *self.replies() = Some(queue.clone());
    }

    /// Ends the answers for a link, unless the peer has opened another one since.
    pub(super) fn close_replies(&self, queue: &Arc<FrameQueue>) {
        queue.set_up(false);
        let mut replies = self.replies();
        if replies
            .as_ref()
            .is_some_and(|open| Arc::ptr_eq(open, queue))
        {
            *replies = None;
        }
    }

    fn replies(&self) -> MutexGuard<'_, Option<Arc<FrameQueue>>> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn status(&self) -> PeerStatus {
        let usage = self.queue.usage();
        let notes = self.notes();
        PeerStatus {
            host: self.peer.host.clone(),
            address: self.peer.address,
            up: *self.up.borrow(),
            links: notes.links,
            last_error: notes.last_error.clone(),
            round_trip: notes.round_trip,
            queued: usage.frames,
            dropped: usage.dropped,
        }
    }
}

pub(super) struct HubShared {
    pub(super) node: PeerNode,
    pub(super) settings: LinkSettings,
    pub(super) dialer: Box<dyn PeerDialer>,
    pub(super) handler: Arc<dyn PeerHandler>,
    pub(super) handshakes: Semaphore,
    slots: BTreeMap<HostName, Arc<PeerSlot>>,
    pub(super) calls: CallTable,
}

/// Handle to all links; clones are cheap.
#[derive(Clone)]
pub struct PeerHub {
    pub(super) shared: Arc<HubShared>,
}

/// Tasks of all links; dropping them ends every link at once.
pub struct PeerTasks {
    hub: PeerHub,
    tasks: JoinSet<()>,
}

/// Starts a link to each peer.
pub fn start_peers(
    node: PeerNode,
    settings: LinkSettings,
    peers: Vec<PeerAddress>,
    dialer: Box<dyn PeerDialer>,
    handler: Arc<dyn PeerHandler>,
) -> PeerTasks {
    let mut slots = BTreeMap::new();
    for peer in peers {
        if peer.host == node.host {
            continue;
        }
        let slot = PeerSlot {
            queue: FrameQueue::new(&settings),
            replies: Mutex::default(),
            notes: Mutex::default(),
            up: watch::Sender::new(false),
            peer,
        };
        slots.insert(slot.peer.host.clone(), Arc::new(slot));
    }
    let shared = HubShared {
        node,
        dialer,
        handler,
        handshakes: Semaphore::new(settings.handshakes),
        calls: CallTable::new(settings.open_calls),
        slots,
        settings,
    };
    let hub = PeerHub {
        shared: Arc::new(shared),
    };
    let mut tasks = JoinSet::new();
    for slot in hub.shared.slots.values() {
        tasks.spawn(keep_link(hub.clone(), slot.clone()));
    }
    PeerTasks { hub, tasks }
}

impl PeerTasks {
    /// Handle to the links.
    #[must_use]
    pub fn hub(&self) -> &PeerHub {
        &self.hub
    }

    /// Accepts peers' links on `listener` from now on.
    pub fn accept(&mut self, listener: TcpListener, acceptor: Arc<dyn PeerAcceptor>) {
        self.tasks
            .spawn(accept_streams(self.hub.clone(), listener, acceptor));
    }
}

impl PeerHub {
    /// This process's host.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.shared.node.host
    }

    /// Hosts of all peers.
    pub fn hosts(&self) -> impl Iterator<Item = &HostName> {
        self.shared.slots.keys()
    }

    /// Queues a frame; never waits.
    ///
    /// # Errors
    /// The frame was not sent and won't be.
    pub fn send(&self, host: &HostName, frame: &PeerFrame) -> Result<(), SendRefusal> {
        let slot = self.slot(host).ok_or(SendRefusal::UnknownHost)?;
        let bytes = self.encode(frame)?;
        if frame.is_repeated() {
            return slot.queue.push_repeated(bytes);
        }
        slot.queue.push(bytes)
    }

    /// Asks a peer and waits for its answer, for `patience` at most.
    ///
    /// # Errors
    /// [`CallError::NotSent`] only if the question never left this process.
    pub async fn call(
        &self,
        host: &HostName,
        question: PeerQuestion,
        hops: u8,
        patience: Duration,
    ) -> Result<PeerAnswer, CallError> {
        let not_sent = |reason: String| CallError::NotSent { reason };
        let mut waiting = self
            .shared
            .calls
            .open(host)
            .ok_or_else(|| not_sent("too many calls wait already".to_owned()))?;
        let call = PeerCall {
            number: waiting.number,
            hops,
            patience,
            question,
        };
        self.send(host, &PeerFrame::Call(call))
            .map_err(|refusal| not_sent(refusal.to_string()))?;
        let answer = timeout(patience, waiting.wait()).await;
        answer.unwrap_or_else(|_| {
            Err(CallError::NoAnswer {
                reason: "no answer in time".to_owned(),
            })
        })
    }

    /// Answers a call of `host`, on the link that it opened: the question came that way, while the
    /// link to it may not be up yet. A lost answer shows up as the asker's timeout.
    ///
    /// # Errors
    /// The answer was not sent.
    pub fn answer(
        &self,
        host: &HostName,
        number: CallNumber,
        answer: PeerAnswer,
    ) -> Result<(), SendRefusal> {
        let frame = PeerFrame::Answer { number, answer };
        let slot = self.slot(host).ok_or(SendRefusal::UnknownHost)?;
        let bytes = self.encode(&frame)?;
        let replies = slot.replies().clone();
        if let Some(replies) = replies
            && replies.push(bytes.clone()).is_ok()
        {
            return Ok(());
        }
        slot.queue.push(bytes)
    }

    /// Follows whether the outbound link to `host` works; `None` if it is no peer.
    #[must_use]
    pub fn watch_link(&self, host: &HostName) -> Option<watch::Receiver<bool>> {
        Some(self.slot(host)?.up.subscribe())
    }

    /// Every peer as this process sees it, by name.
    #[must_use]
    pub fn status(&self) -> Vec<PeerStatus> {
        let slots = self.shared.slots.values();
        slots.map(|slot| slot.status()).collect()
    }

    fn encode(&self, frame: &PeerFrame) -> Result<Bytes, SendRefusal> {
        let bound = self.shared.settings.frame_bytes;
        encode_frame(frame, bound).map_err(|error| SendRefusal::TooLarge {
            reason: error.to_string(),
        })
    }

    pub(super) fn slot(&self, host: &HostName) -> Option<&Arc<PeerSlot>> {
        self.shared.slots.get(host)
    }

    pub(super) fn hello(&self) -> PeerFrame {
        PeerFrame::Hello(PeerHello {
            protocol: PEER_PROTOCOL,
            host: self.shared.node.host.clone(),
            process: self.shared.node.process,
        })
    }
}
