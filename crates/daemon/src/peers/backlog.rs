//! Received frames that wait until this process has time for them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use pollendrift_coordination::base::HostName;
use tokio::sync::Notify;
use tokio::task::yield_now;

use super::frame::decode_frame;
use super::hub::PeerHub;
use super::settings::LinkSettings;
use super::traffic::frame_kind;

/// Kind of the frames that are dropped, in counts.
const DROPPED_KIND: &str = "deferred-frame";

/// Handles deferred frames within the share of deferrable work; never returns.
pub(super) async fn handle_deferred_frames(hub: PeerHub) {
    loop {
        let (from, bytes) = hub.shared.backlog.next().await;
        hub.work().turn().await;
        let decoded = hub
            .work()
            .measure_deferrable("frame-decode", || decode_frame(&bytes));
        match decoded {
            Ok(frame) => {
                let kind = frame_kind(&frame);
                let handle = || hub.shared.handler.handle(&hub, &from, frame);
                hub.work().measure_deferrable(kind, handle);
            }
            Err(error) => log::warn!(peer:% = from, error:% = error; "deferred frame dropped"),
        }
        // Other tasks run between two frames.
        yield_now().await;
    }
}

impl PeerHub {
    /// Whether links put deferrable frames aside.
    pub(super) fn defers_frames(&self) -> bool {
        self.shared.settings.deferrable.is_some()
    }

    /// Puts a deferrable frame aside.
    pub(super) fn defer_frame(&self, from: &HostName, frame: Bytes) {
        let dropped = self.shared.backlog.push(from, frame);
        self.shared.work.record_dropped(DROPPED_KIND, dropped);
    }
}

/// Deferred frames of each peer, handled in turn so that no peer delays those of others.
pub(super) struct FrameBacklog {
    state: Mutex<BacklogState>,
    wake: Notify,
    max_frames: usize,
    max_bytes: usize,
}

#[derive(Default)]
struct BacklogState {
    /// Invariant: no queue is empty.
    queues: BTreeMap<HostName, PeerBacklog>,
    /// Peer whose frame was handled last.
    last: Option<HostName>,
}

/// Invariant: `bytes` is the sum over `frames`.
#[derive(Default)]
struct PeerBacklog {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

impl FrameBacklog {
    pub(super) fn new(settings: &LinkSettings) -> Self {
        Self {
            state: Mutex::default(),
            wake: Notify::new(),
            max_frames: settings.max_deferred_frames,
            max_bytes: settings.max_deferred_bytes,
        }
    }

    /// Adds a frame; returns the number of older frames of the same peer that it displaces.
    fn push(&self, from: &HostName, frame: Bytes) -> u64 {
        let mut state = self.lock();
        let queue = state.queues.entry(from.clone()).or_default();
        queue.bytes += frame.len();
        queue.frames.push_back(frame);
        let mut dropped = 0;
        while queue.frames.len() > 1
            && (queue.frames.len() > self.max_frames || queue.bytes > self.max_bytes)
        {
            queue.bytes -= queue.frames.pop_front().map_or(0, |frame| frame.len());
            dropped += 1;
        }
        drop(state);
        self.wake.notify_one();
        dropped
    }

    /// Waits for the next frame, with the peer that sent it.
    async fn next(&self) -> (HostName, Bytes) {
        loop {
            if let Some(next) = self.pop() {
                return next;
            }
            self.wake.notified().await;
        }
    }

    fn pop(&self) -> Option<(HostName, Bytes)> {
        let mut state = self.lock();
        let next = state.last.as_ref().and_then(|last| {
            let after = (std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded);
            state.queues.range::<HostName, _>(after).next()
        });
        let (host, _) = next.or_else(|| state.queues.first_key_value())?;
        let host = host.clone();
        let queue = state.queues.get_mut(&host)?;
        let frame = queue.frames.pop_front()?;
        queue.bytes -= frame.len();
        if queue.frames.is_empty() {
            state.queues.remove(&host);
        }
        state.last = Some(host.clone());
        Some((host, frame))
    }

    fn lock(&self) -> MutexGuard<'_, BacklogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
