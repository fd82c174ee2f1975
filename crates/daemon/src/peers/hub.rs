//! All links of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use bytes::Bytes;
use pollendrift_coordination::base::{HostName, Incarnation};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

use super::calls::{CallError, CallNumber, CallTable};
use super::discovery::PeerDiscovery;
use super::frame::{
    PEER_PROTOCOL, PeerAnswer, PeerCall, PeerFrame, PeerHello, PeerQuestion, encode_frame,
};
use super::inbound::accept_streams;
use super::outbound::maintain_link;
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
    /// How peers are found where no list names them; `None` with a list, to which nobody is added.
    pub discovery: Option<Arc<PeerDiscovery>>,
}

/// Where a peer listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The peer.
    pub host: HostName,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// Heartbeats without an echo after which a link counts as broken.
const SILENT_HEARTBEATS: u32 = 4;
/// Heartbeats of a working link that an attempt to open one costs as much as.
const WAITED_HEARTBEATS: u32 = 2;

/// How often a link is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkTiming {
    /// Time between two heartbeats.
    pub(super) heartbeat: Duration,
    /// Silence after which the link counts as broken.
    pub(super) silence_timeout: Duration,
    /// Longest wait between two attempts to open it.
    pub(super) max_backoff: Duration,
    /// Time for opening it.
    pub(super) handshake: Duration,
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
    /// Task that keeps the outbound link.
    task: Mutex<Option<AbortHandle>>,
}

#[derive(Default)]
struct LinkNotes {
    links: u64,
    last_error: String,
    round_trip: Option<Duration>,
}

impl PeerSlot {
    fn new(peer: PeerAddress, settings: &LinkSettings) -> Self {
        Self {
            queue: FrameQueue::new(settings),
            replies: Mutex::default(),
            notes: Mutex::default(),
            up: watch::Sender::new(false),
            task: Mutex::default(),
            peer,
        }
    }

    fn end(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.as_ref() {
            task.abort();
        }
        self.mark_down("the peer was taken out".to_owned());
    }

    fn notes(&self) -> MutexGuard<'_, LinkNotes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_round_trip(&self, time: Duration) {
        self.notes().round_trip = Some(time);
    }

    pub(super) fn mark_up(&self) {
        self.notes().links += 1;
        self.queue.set_link_up(true);
        self.up.send_replace(true);
    }

    pub(super) fn mark_down(&self, error: String) {
        self.notes().last_error = error;
        self.queue.set_link_up(false);
        self.up.send_replace(false);
    }

    /// Takes the answers for a link that the peer has just opened.
    pub(super) fn open_replies(&self, queue: &Arc<FrameQueue>) {
        queue.set_link_up(true);
        *self.replies() = Some(queue.clone());
    }

    /// Ends the answers for a link, unless the peer has opened another one since.
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
    pub(super) dials: Semaphore,
    slots: RwLock<BTreeMap<HostName, Arc<PeerSlot>>>,
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
    let shared = HubShared {
        node,
        dialer,
        handler,
        handshakes: Semaphore::new(settings.max_handshakes),
        dials: Semaphore::new(settings.max_dials),
        calls: CallTable::new(settings.max_open_calls),
        slots: RwLock::default(),
        settings,
    };
    let hub = PeerHub {
        shared: Arc::new(shared),
    };
    for peer in peers {
        hub.add_peer(peer);
    }
    let tasks = JoinSet::new();
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

    /// Finds peers from now on, where the node has a discovery.
    pub fn discover(&mut self) {
        if let Some(discovery) = self.hub.discovery().cloned() {
            self.tasks.spawn(discovery.run(self.hub.clone()));
        }
    }
}

impl Drop for PeerTasks {
    fn drop(&mut self) {
        for slot in self.hub.slots().values() {
            slot.end();
        }
    }
}

impl PeerHub {
    /// This process's host.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.shared.node.host
    }

    /// Hosts of all peers, by name.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostName> {
        self.slots().keys().cloned().collect()
    }

    /// How peers are found; `None` where the settings list them.
    #[must_use]
    pub fn discovery(&self) -> Option<&Arc<PeerDiscovery>> {
        self.shared.node.discovery.as_ref()
    }

    /// Keeps a link to `peer` from now on; one that is reached elsewhere than before gets a new
    /// link.
    pub(super) fn add_peer(&self, peer: PeerAddress) {
        if peer.host == self.shared.node.host {
            return;
        }
        let mut slots = self
            .shared
            .slots
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = slots.get(&peer.host) {
            if slot.peer == peer {
                return;
            }
            slot.end();
        }
        let slot = Arc::new(PeerSlot::new(peer, &self.shared.settings));
        let task = tokio::spawn(maintain_link(self.clone(), Arc::clone(&slot)));
        *slot.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        slots.insert(slot.peer.host.clone(), slot);
    }

    /// Ends the link to a peer that is gone for good.
    pub(super) fn remove_peer(&self, host: &HostName) {
        let mut slots = self
            .shared
            .slots
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = slots.remove(host) {
            slot.end();
        }
    }

    /// How often the link to `host` is tried. Keepers depend on each other and try theirs often. All other
    /// links together cost a keeper the same, however many there are.
    pub(super) fn timing_of(&self, host: &HostName) -> LinkTiming {
        let settings = &self.shared.settings;
        let is_between_keepers =
            |discovery: &PeerDiscovery| discovery.own_reach().keeper && discovery.is_keeper(host);
        let far = self.discovery().filter(|found| !is_between_keepers(found));
        let entries = far.and_then(|found| found.entry_count()).unwrap_or(0);
        let heartbeat = settings
            .heartbeat
            .max(settings.heartbeat_per_entry * entries);
        LinkTiming {
            heartbeat,
            silence_timeout: settings.silence_timeout.max(heartbeat * SILENT_HEARTBEATS),
            max_backoff: settings.max_backoff.max(heartbeat * WAITED_HEARTBEATS),
            handshake: match far {
                Some(_) => settings.entry_handshake_timeout,
                None => settings.handshake_timeout,
            },
        }
    }

    /// Queues a frame; never waits.
    ///
    /// # Errors
    /// The frame was not sent and won't be.
    pub fn send(&self, host: &HostName, frame: &PeerFrame) -> Result<(), SendRefusal> {
        let slot = self.slot(host).ok_or(SendRefusal::UnknownHost)?;
        let bytes = self.encode(frame)?;
        if frame.is_retransmitted() {
            return slot.queue.push_retransmitted(bytes);
        }
        slot.queue.push(bytes)
    }

    /// Queues a frame for each of `hosts`, encoded once; returns those for which it was queued.
    pub fn send_to<'hosts>(
        &self,
        hosts: &'hosts [HostName],
        frame: &PeerFrame,
    ) -> Vec<&'hosts HostName> {
        let bytes = match self.encode(frame) {
            Ok(bytes) => bytes,
            Err(refusal) => {
                log::error!(reason:% = refusal; "frame for many peers not sent");
                return Vec::new();
            }
        };
        let is_queued = |host: &&HostName| {
            let slot = self.slot(host);
            slot.is_some_and(|slot| slot.queue.push(bytes.clone()).is_ok())
        };
        hosts.iter().filter(is_queued).collect()
    }

    /// Peers whose links work, by name.
    #[must_use]
    pub fn up_hosts(&self) -> Vec<HostName> {
        let slots = self.slots();
        let up = slots.iter().filter(|(_, slot)| *slot.up.borrow());
        up.map(|(host, _)| host.clone()).collect()
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
        self.slots().values().map(|slot| slot.status()).collect()
    }

    fn encode(&self, frame: &PeerFrame) -> Result<Bytes, SendRefusal> {
        let bound = self.shared.settings.max_frame_bytes;
        encode_frame(frame, bound).map_err(|error| SendRefusal::TooLarge {
            reason: error.to_string(),
        })
    }

    pub(super) fn slot(&self, host: &HostName) -> Option<Arc<PeerSlot>> {
        self.slots().get(host).cloned()
    }

    fn slots(&self) -> RwLockReadGuard<'_, BTreeMap<HostName, Arc<PeerSlot>>> {
        self.shared
            .slots
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn hello(&self) -> PeerFrame {
        PeerFrame::Hello(PeerHello {
            protocol: PEER_PROTOCOL,
            host: self.shared.node.host.clone(),
            process: self.shared.node.process,
            reach: self.discovery().map(|discovery| discovery.own_reach()),
        })
    }
}
