//! Table of the links of one process, and the methods that send frames on them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock, PoisonError, RwLock, RwLockReadGuard, Weak};
use std::time::Duration;

use bytes::Bytes;
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::backlog::{FrameBacklog, handle_deferred_frames};
use super::calls::{CallError, CallNumber, CallTable, PendingCall};
use super::discovery::PeerDiscovery;
use super::forward_service::{ForwardHandler, RunningCount};
use super::frame::{
    PEER_PROTOCOL, PeerAnswer, PeerCall, PeerFrame, PeerHello, PeerQuestion, encode_frame,
};
use super::inbound::accept_streams;
use super::outbound::maintain_link;
use super::queue::SendRefusal;
use super::settings::LinkSettings;
use super::slot::PeerSlot;
use super::status::PeerStatus;
use super::traffic::{FrameCount, FrameTraffic, frame_kind};
use super::transport::{PeerAcceptor, PeerDialer};
use crate::clock::{SystemClock, TimeSource};
use crate::work::WorkMeter;

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct PeerNode {
    /// Host of this process.
    pub host: HostName,
    /// Incarnation of this process.
    pub process: Incarnation,
    /// Discovery of peers; `None` if the settings list the peers, and then none is added.
    pub discovery: Option<Arc<PeerDiscovery>>,
}

/// Address of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Host of the peer.
    pub host: HostName,
    /// Address on which it accepts links of peers.
    pub address: SocketAddr,
}

/// Consecutive heartbeats without an echo after which a link counts as broken.
const MISSED_HEARTBEATS: u32 = 4;
/// Heartbeats of a link that cost as much as one attempt to open a link; used to derive the maximum
/// back-off.
const BACKOFF_HEARTBEATS: u32 = 2;

/// Intervals and timeouts of one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkTiming {
    /// Time between two heartbeats.
    pub(super) heartbeat: Duration,
    /// Time without a received frame after which the link counts as broken.
    pub(super) silence_timeout: Duration,
    /// Maximum wait between two attempts to open the link.
    pub(super) max_backoff: Duration,
    /// Timeout for opening the link.
    pub(super) handshake: Duration,
}

/// Handler of received frames. Its methods run on the link's task and must not block; long work
/// must be spawned.
pub trait PeerHandler: Send + Sync {
    /// Handles a frame, except the frames that the link itself handles (hello, heartbeats, answers,
    /// hosts).
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame);

    /// Called when the outbound link to a peer has come up or gone down.
    fn link_changed(&self, hub: &PeerHub, host: &HostName, up: bool) {
        let _ = (hub, host, up);
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
    pub(super) calls: Arc<CallTable>,
    traffic: FrameTraffic,
    pub(super) work: Arc<WorkMeter>,
    pub(super) backlog: FrameBacklog,
    pub(super) forward_handler: OnceLock<Weak<dyn ForwardHandler>>,
    /// Forwarded requests in progress at this host.
    pub(super) forwarded: RunningCount,
    /// Clock of the times at which peers were heard; it runs on while the machine is suspended.
    clock: SystemClock,
}

/// Handle to all links of the process; clones are cheap.
#[derive(Clone)]
pub struct PeerHub {
    pub(super) shared: Arc<HubShared>,
}

/// Owner of the tasks of all links; dropping it ends every link at once.
pub struct PeerTasks {
    hub: PeerHub,
    tasks: JoinSet<()>,
}

/// Starts a task that maintains a link to each peer.
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
        calls: Arc::new(CallTable::new(settings.max_pending_calls)),
        traffic: FrameTraffic::default(),
        work: Arc::new(WorkMeter::new(settings.deferrable)),
        backlog: FrameBacklog::new(&settings),
        forward_handler: OnceLock::new(),
        forwarded: RunningCount::new(0),
        slots: RwLock::default(),
        clock: SystemClock::default(),
        settings,
    };
    let hub = PeerHub {
        shared: Arc::new(shared),
    };
    for peer in peers {
        hub.add_peer(peer);
    }
    let mut tasks = JoinSet::new();
    if hub.defers_frames() {
        tasks.spawn(handle_deferred_frames(hub.clone()));
    }
    PeerTasks { hub, tasks }
}

impl PeerTasks {
    /// Handle to the links.
    #[must_use]
    pub fn hub(&self) -> &PeerHub {
        &self.hub
    }

    /// Spawns a task that accepts links of peers on `listener`.
    pub fn accept(&mut self, listener: TcpListener, acceptor: Arc<dyn PeerAcceptor>) {
        self.tasks
            .spawn(accept_streams(self.hub.clone(), listener, acceptor));
    }

    /// Spawns the task of discovery, if the node has one.
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
    /// Host of this process.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.shared.node.host
    }

    /// Hosts of all peers, sorted by name.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostName> {
        self.slots().keys().cloned().collect()
    }

    /// Discovery of peers; `None` if the settings list them.
    #[must_use]
    pub fn discovery(&self) -> Option<&Arc<PeerDiscovery>> {
        self.shared.node.discovery.as_ref()
    }

    /// Adds a peer and starts its link; does nothing for this host and for a known address. A peer
    /// with a new address gets a new link.
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

    /// Ends the link to a peer and removes the peer.
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

    /// Timing of the link to `host`. Links between keepers have short intervals, since keepers
    /// depend on each other. On other links the heartbeat interval grows with the number of hosts
    /// that accept callers, so that a keeper's cost for all of them together stays the same.
    pub(super) fn timing_of(&self, host: &HostName) -> LinkTiming {
        let settings = &self.shared.settings;
        let is_between_keepers =
            |discovery: &PeerDiscovery| discovery.own_reach().keeper && discovery.is_keeper(host);
        let link_discovery = self.discovery().filter(|found| !is_between_keepers(found));
        let entries = link_discovery
            .and_then(|found| found.entry_count())
            .unwrap_or(0);
        let heartbeat = settings
            .heartbeat
            .max(settings.heartbeat_per_entry * entries);
        LinkTiming {
            heartbeat,
            silence_timeout: settings.silence_timeout.max(heartbeat * MISSED_HEARTBEATS),
            max_backoff: settings.max_backoff.max(heartbeat * BACKOFF_HEARTBEATS),
            handshake: match link_discovery {
                Some(_) => settings.entry_handshake_timeout,
                None => settings.handshake_timeout,
            },
        }
    }

    /// Queues a frame for `host`; never waits.
    ///
    /// # Errors
    /// The frame was not queued and is never sent.
    pub fn send(&self, host: &HostName, frame: &PeerFrame) -> Result<(), SendRefusal> {
        self.send_as(frame_kind(frame), host, frame)
    }

    /// Queues a frame for `host` and counts it as `kind`; never waits.
    ///
    /// # Errors
    /// The frame was not queued and is never sent.
    pub fn send_as(
        &self,
        kind: &'static str,
        host: &HostName,
        frame: &PeerFrame,
    ) -> Result<(), SendRefusal> {
        let slot = self.slot(host).ok_or(SendRefusal::UnknownHost)?;
        let bytes = self.encode(frame)?;
        let size = bytes.len();
        if frame.is_retransmitted() {
            slot.queue.push_retransmitted(bytes)?;
        } else {
            slot.queue.push(bytes)?;
        }
        self.shared.traffic.record(kind, size, 1);
        Ok(())
    }

    /// Encodes a frame once and queues it for each of `hosts`; returns the hosts whose queue
    /// accepted it.
    pub fn send_to<'hosts>(
        &self,
        hosts: &'hosts [HostName],
        frame: &PeerFrame,
    ) -> Vec<&'hosts HostName> {
        let bytes = match self.encode(frame) {
            Ok(bytes) => bytes,
            Err(refusal) => {
                log::error!(reason:% = refusal; "frame for several peers can't be encoded, sent to none");
                return Vec::new();
            }
        };
        let is_queued = |host: &&HostName| {
            let slot = self.slot(host);
            slot.is_some_and(|slot| slot.queue.push(bytes.clone()).is_ok())
        };
        let queued: Vec<_> = hosts.iter().filter(is_queued).collect();
        let traffic = &self.shared.traffic;
        traffic.record(frame_kind(frame), bytes.len(), queued.len());
        queued
    }

    /// Frames that this process queued for its peers so far, by kind.
    #[must_use]
    pub fn sent_frames(&self) -> BTreeMap<&'static str, FrameCount> {
        self.shared.traffic.counts()
    }

    /// Work of this process by kind.
    #[must_use]
    pub fn work(&self) -> &Arc<WorkMeter> {
        &self.shared.work
    }

    /// Peers whose outbound link is up, sorted by name.
    #[must_use]
    pub fn up_hosts(&self) -> Vec<HostName> {
        let slots = self.slots();
        let up = slots.iter().filter(|(_, slot)| *slot.up.borrow());
        up.map(|(host, _)| host.clone()).collect()
    }

    /// Sends a question to a peer and waits for its answer, for at most `answer_timeout`.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the question never left this process, otherwise
    /// [`CallError::NoAnswer`].
    pub async fn call(
        &self,
        host: &HostName,
        question: PeerQuestion,
        hops: u8,
        answer_timeout: Duration,
    ) -> Result<PeerAnswer, CallError> {
        let mut pending = self.send_numbered(host, |number| {
            PeerFrame::Call(PeerCall {
                number,
                hops,
                patience: answer_timeout,
                question,
            })
        })?;
        let answer = timeout(answer_timeout, pending.wait()).await;
        answer.unwrap_or_else(|_| {
            Err(CallError::NoAnswer {
                reason: "no answer in time".to_owned(),
            })
        })
    }

    /// Queues a frame that the receiver answers like a call. `build` gets the number of the answer.
    ///
    /// # Errors
    /// [`CallError::NotSent`]: the frame was not queued and is never sent.
    pub fn send_numbered<F>(&self, host: &HostName, build: F) -> Result<PendingCall, CallError>
    where
        F: FnOnce(CallNumber) -> PeerFrame,
    {
        let not_sent = |reason: String| CallError::NotSent { reason };
        let pending = self.shared.calls.open(host);
        let pending = pending.ok_or_else(|| not_sent("too many calls wait already".to_owned()))?;
        self.send(host, &build(pending.number))
            .map_err(|refusal| not_sent(refusal.to_string()))?;
        Ok(pending)
    }

    /// Peers that sent this process a frame within the last `max_age`, sorted by name.
    #[must_use]
    pub fn heard_within(&self, max_age: Duration) -> Vec<HostName> {
        let oldest = self.shared.clock.now().before(max_age).as_micros();
        let slots = self.slots();
        let heard = slots.iter().filter(|(_, slot)| {
            let heard_at = slot.heard_at.load(Ordering::Relaxed);
            heard_at > 0 && heard_at >= oldest
        });
        heard.map(|(host, _)| host.clone()).collect()
    }

    /// Whether what the process of `host` kept in memory at most `memory` ago may still be there.
    ///
    /// It is gone if the host has refused the last connection, since nothing listens there any more,
    /// and if this process has heard nothing of it during `memory`.
    #[must_use]
    pub fn may_remember(&self, host: &HostName, memory: Duration) -> bool {
        let Some(slot) = self.slot(host) else {
            return false;
        };
        let heard_at = MonotonicTime::from_micros(slot.heard_at.load(Ordering::Relaxed));
        !slot.refuses_connections() && self.shared.clock.now().since(heard_at) < memory
    }

    /// Records that a frame of the peer of `slot` arrived.
    pub(super) fn record_heard(&self, slot: &PeerSlot) {
        let now = self.shared.clock.now().as_micros();
        slot.heard_at.store(now, Ordering::Relaxed);
    }

    /// Answers a call of `host` on the link that `host` opened: the call arrived on it, while the
    /// link to `host` may not be up yet. Uses the link to `host` if the other one fails. The
    /// requester of a lost answer times out.
    ///
    /// # Errors
    /// The answer was not queued.
    pub fn answer(
        &self,
        host: &HostName,
        number: CallNumber,
        answer: PeerAnswer,
    ) -> Result<(), SendRefusal> {
        let frame = PeerFrame::Answer { number, answer };
        let slot = self.slot(host).ok_or(SendRefusal::UnknownHost)?;
        let bytes = self
            .work()
            .measure("answer-encode", || self.encode(&frame))?;
        let size = bytes.len();
        let replies = slot.replies().clone();
        let is_sent = replies.is_some_and(|replies| replies.push(bytes.clone()).is_ok());
        if !is_sent {
            slot.queue.push(bytes)?;
        }
        let traffic = &self.shared.traffic;
        traffic.record(frame_kind(&frame), size, 1);
        Ok(())
    }

    /// Returns a receiver of whether the outbound link to `host` is up; `None` if it is no peer.
    #[must_use]
    pub fn watch_link(&self, host: &HostName) -> Option<watch::Receiver<bool>> {
        Some(self.slot(host)?.up.subscribe())
    }

    /// Status of the links to all peers, sorted by name.
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
        PeerFrame::Hello(self.own_hello())
    }

    pub(super) fn own_hello(&self) -> PeerHello {
        PeerHello {
            protocol: PEER_PROTOCOL,
            host: self.shared.node.host.clone(),
            process: self.shared.node.process,
            reach: self.discovery().map(|discovery| discovery.own_reach()),
        }
    }

    /// Sets the handler of forwarded requests; only the first call has an effect. Without a handler,
    /// or after its owner has dropped it, this host refuses channels for them.
    pub fn accept_forwarding(&self, handler: &Arc<dyn ForwardHandler>) {
        let _ = self.shared.forward_handler.set(Arc::downgrade(handler));
    }

    /// Handler of forwarded requests, if this host accepts them.
    pub(super) fn forward_handler(&self) -> Option<Arc<dyn ForwardHandler>> {
        self.shared.forward_handler.get()?.upgrade()
    }

    /// Number of forwarded requests in progress at this host.
    #[must_use]
    pub fn forwarded_count(&self) -> usize {
        *self.shared.forwarded.borrow()
    }

    /// Waits until no forwarded request is in progress at this host.
    pub async fn forwarded_finished(&self) {
        let mut running = self.shared.forwarded.subscribe();
        let _ = running.wait_for(|running| *running == 0).await;
    }

    /// Peers with a fixed address, sorted by name.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        let slots = self.slots();
        slots.values().map(|slot| slot.peer.clone()).collect()
    }
}
