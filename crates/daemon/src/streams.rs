//! Lets streams resume at another entry: replicates each token to one peer, and looks up streams of
//! other entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, RequestId};
use pollendrift_coordination::streams::{
    StreamRecord, StreamSettings, StreamTable, StreamUpdate, rank_hosts,
};

use crate::clock::TimeSource;
use crate::peers::{PeerAnswer, PeerFrame, PeerHub, PeerQuestion};

/// Time limit for a peer's answer to a look-up of a stream.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of hosts that may store a stream: the first in rank, or the second if the first is the
/// stream's entry.
const MAX_STORING_HOSTS: usize = 2;

/// Replicates the streams of this entry, and stores the streams that other entries replicate here.
pub struct StreamStore {
    table: Mutex<StreamTable>,
    hub: PeerHub,
    clock: Arc<dyn TimeSource>,
}

impl StreamStore {
    /// Creates a store without streams.
    pub fn new(hub: PeerHub, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            table: Mutex::new(StreamTable::new(StreamSettings::default())),
            hub,
            clock,
        }
    }

    /// Sends tokens that are about to go to the caller to the host that stores the stream. Does not
    /// wait for the host.
    pub fn replicate(&self, update: StreamUpdate) {
        let Some(holder) = self
            .ranked(&update.request)
            .into_iter()
            .find(|host| host != self.hub.host())
        else {
            return;
        };
        // A lost update leaves a gap in the stored stream, which makes the stream unknown there
        // rather than wrong.
        let _ = self.hub.send(&holder, &PeerFrame::Stream(update));
    }

    /// Records an update of another entry's stream.
    pub fn receive_update(&self, update: StreamUpdate) {
        let now = self.clock.now();
        let mut table = self.lock();
        table.record(now, update);
        table.tick(now);
    }

    /// Answers a peer's look-up with this host's encoded record of a stream, if it has one.
    pub fn answer_look_up(&self, request: &RequestId) -> PeerAnswer {
        let record = self.lock().look_up(request).cloned();
        let encoded = record.and_then(|record| {
            let mut bytes = Vec::new();
            ciborium::into_writer(&record, &mut bytes).ok()?;
            Some(bytes.into())
        });
        PeerAnswer::Request(encoded)
    }

    /// Looks up a stream in rank order at the hosts that may store it, which may include this host.
    ///
    /// Returns `None` if none of them has the stream or answers in time.
    pub async fn find(&self, request: &RequestId) -> Option<StreamRecord> {
        for host in self.ranked(request).iter().take(MAX_STORING_HOSTS) {
            let found = if host == self.hub.host() {
                self.lock().look_up(request).cloned()
            } else {
                self.look_up_at(host, request).await
            };
            if found.is_some() {
                return found;
            }
        }
        None
    }

    async fn look_up_at(&self, host: &HostName, request: &RequestId) -> Option<StreamRecord> {
        let question = PeerQuestion::RequestLookUp(request.clone());
        let answer = self
            .hub
            .call(host, question, 0, LOOK_UP_TIMEOUT)
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
