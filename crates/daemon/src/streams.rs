//! Streams that can go on at another entry: tells one peer of each token, and asks for others'.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, RequestId};
use pollendrift_coordination::streams::{
    StreamRecord, StreamSettings, StreamTable, StreamUpdate, rank_hosts,
};

use crate::clock::TimeSource;
use crate::peers::{PeerAnswer, PeerFrame, PeerHub, PeerQuestion};

/// Time that a peer has to answer what it knows of a stream.
const LOOK_UP_PATIENCE: Duration = Duration::from_millis(800);
/// Hosts that may hold a stream: the first in rank, or the second where the first was the entry.
const HOLDERS: usize = 2;

/// This host's part in remembering streams.
pub struct StreamStore {
    table: Mutex<StreamTable>,
    hub: PeerHub,
    clock: Arc<dyn TimeSource>,
}

impl StreamStore {
    /// A keeper of no streams.
    pub fn new(hub: PeerHub, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            table: Mutex::new(StreamTable::new(StreamSettings::default())),
            hub,
            clock,
        }
    }

    /// Tells the request's host of tokens that are about to go to the caller; waits for nothing.
    pub fn replicate(&self, note: StreamUpdate) {
        let Some(holder) = self
            .ranked(&note.request)
            .into_iter()
            .find(|host| host != self.hub.host())
        else {
            return;
        };
        // A note that is lost here leaves a gap there, which makes the stream unknown, not wrong.
        let _ = self.hub.send(&holder, &PeerFrame::Stream(note));
    }

    /// Takes what an entry tells.
    pub fn receive_update(&self, note: StreamUpdate) {
        let now = self.clock.now();
        let mut table = self.lock();
        table.record(now, note);
        table.tick(now);
    }

    /// What this host knows of a stream, for a peer.
    pub fn answer_look_up(&self, request: &RequestId) -> PeerAnswer {
        let record = self.lock().look_up(request).cloned();
        let encoded = record.and_then(|record| {
            let mut bytes = Vec::new();
            ciborium::into_writer(&record, &mut bytes).ok()?;
            Some(bytes.into())
        });
        PeerAnswer::Request(encoded)
    }

    /// What is known of a stream here or at the hosts that may hold it.
    pub async fn find(&self, request: &RequestId) -> Option<StreamRecord> {
        for host in self.ranked(request).iter().take(HOLDERS) {
            let found = if host == self.hub.host() {
                self.lock().look_up(request).cloned()
            } else {
                self.ask(host, request).await
            };
            if found.is_some() {
                return found;
            }
        }
        None
    }

    async fn ask(&self, host: &HostName, request: &RequestId) -> Option<StreamRecord> {
        let question = PeerQuestion::RequestLookUp(request.clone());
        let answer = self
            .hub
            .call(host, question, 0, LOOK_UP_PATIENCE)
            .await
            .ok()?;
        let PeerAnswer::Request(Some(bytes)) = answer else {
            return None;
        };
        ciborium::from_reader(bytes.0.as_ref()).ok()
    }

    fn ranked(&self, request: &RequestId) -> Vec<HostName> {
        let mut hosts = self.hub.hosts();
        hosts.push(self.hub.host().clone());
        rank_hosts(request, hosts.iter())
            .into_iter()
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, StreamTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
