//! Streams that another host can go on with: what a host remembers of answers that its peers send.
//!
//! The entry that sends an answer tells one other host of each token before it tells its caller.
//! When the entry dies, the caller reconnects anywhere with its request's id and the last position
//! it holds, and the answer goes on from there without a gap or a second word. Nothing waits for
//! the telling; a token that was told to the caller and lost on the way here ends the stream's
//! being resumable, and the caller is told so.

mod events;
mod settings;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use events::{EventFramer, EventId, EventProgress, EventTooLong, EventVerdict, StreamEvent};
pub use settings::StreamSettings;

use crate::base::{
    AttemptNumber, CustomerName, HostName, MonotonicTime, RequestId, TokenPosition, VersionName,
};
use crate::ledger::GeneratedToken;

/// SHA-256 over all that a draft asks for; a resume must ask for the same.
pub type DraftDigest = [u8; 32];

/// What an entry tells of one answer that it sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamUpdate {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub customer: CustomerName,
    /// What it asked for.
    pub digest: DraftDigest,
    /// Version that the whole answer is made with.
    pub version: VersionName,
    /// Layers of the model.
    pub model_layers: u32,
    /// Running attempt.
    pub attempt: AttemptNumber,
    /// Position of the first of `tokens`.
    pub first: TokenPosition,
    /// Tokens that go to the caller now.
    pub tokens: Vec<GeneratedToken>,
    /// Why the answer ended, with its last tokens.
    pub finish: Option<String>,
}

/// What is remembered of one answer.
///
/// Invariant: `tokens` are those of positions 0 to its length, without a gap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Whose it is.
    pub customer: CustomerName,
    /// What it asked for.
    pub digest: DraftDigest,
    /// Version that the whole answer is made with.
    pub version: VersionName,
    /// Layers of the model.
    pub model_layers: u32,
    /// Highest attempt that was told.
    pub attempt: AttemptNumber,
    /// All tokens that were told.
    pub tokens: Vec<GeneratedToken>,
    /// Why the answer ended; `None` while it runs.
    pub finish: Option<String>,
}

#[derive(Clone, Debug)]
struct HeldStream {
    record: StreamRecord,
    told_at: MonotonicTime,
    bytes: usize,
}

/// Answers that peers send, by request.
///
/// Invariants: `by_age` holds each stream once, under the time of its last note; `bytes` is the sum
/// over all streams and never passes the bound after a call.
#[derive(Clone, Debug)]
pub struct StreamTable {
    settings: StreamSettings,
    streams: BTreeMap<RequestId, HeldStream>,
    by_age: BTreeSet<(MonotonicTime, RequestId)>,
    bytes: usize,
}

impl StreamTable {
    /// An empty table.
    pub fn new(settings: StreamSettings) -> Self {
        Self {
            settings,
            streams: BTreeMap::new(),
            by_age: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Takes a note. One that leaves a gap makes the stream unknown here: going on behind a gap
    /// would give the caller an answer with a hole.
    pub fn record(&mut self, now: MonotonicTime, note: StreamUpdate) {
        let mut held = match self.remove(&note.request) {
            Some(held)
                if held.record.digest == note.digest && held.record.customer == note.customer =>
            {
                held
            }
            _ => HeldStream {
                record: empty_record(&note),
                told_at: now,
                bytes: note_overhead(&note),
            },
        };
        let known = u32::try_from(held.record.tokens.len()).unwrap_or(u32::MAX);
        if note.first.0 > known {
            return;
        }
        let fresh = note.tokens.into_iter().skip(to_usize(known - note.first.0));
        for token in fresh {
            held.bytes += token_bytes(&token);
            held.record.tokens.push(token);
        }
        held.record.attempt = held.record.attempt.max(note.attempt);
        held.record.finish = held.record.finish.or(note.finish);
        held.told_at = now;
        self.insert(note.request, held);
        self.evict();
    }

    /// What is known of `request`.
    pub fn look_up(&self, request: &RequestId) -> Option<&StreamRecord> {
        self.streams.get(request).map(|held| &held.record)
    }

    /// Forgets streams of which nothing was told for the retention; call it every tick.
    pub fn tick(&mut self, now: MonotonicTime) {
        while let Some((told_at, request)) = self.by_age.first().cloned() {
            if now.since(told_at) < self.settings.retention {
                return;
            }
            self.remove(&request);
        }
    }

    /// Streams held.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is held.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn insert(&mut self, request: RequestId, held: HeldStream) {
        self.bytes += held.bytes;
        self.by_age.insert((held.told_at, request.clone()));
        self.streams.insert(request, held);
    }

    fn remove(&mut self, request: &RequestId) -> Option<HeldStream> {
        let held = self.streams.remove(request)?;
        self.by_age.remove(&(held.told_at, request.clone()));
        self.bytes -= held.bytes;
        Some(held)
    }

    fn evict(&mut self) {
        while self.bytes > self.settings.max_bytes {
            let Some((_, oldest)) = self.by_age.first().cloned() else {
                return;
            };
            self.remove(&oldest);
        }
    }
}

/// Hosts that may remember a request's stream, the likeliest first.
///
/// Rendezvous hashing: every host computes the same order. The entry tells the first host that is
/// not itself, so who asks later finds the record at the first or the second.
pub fn rank_hosts<'host, I>(request: &RequestId, hosts: I) -> Vec<&'host HostName>
where
    I: IntoIterator<Item = &'host HostName>,
{
    let mut ranked: Vec<([u8; 32], &HostName)> = hosts
        .into_iter()
        .map(|host| (host_score(request, host), host))
        .collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, host)| host).collect()
}

fn host_score(request: &RequestId, host: &HostName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(request.as_str());
    hasher.update([0]);
    hasher.update(host.as_str());
    hasher.finalize().into()
}

fn empty_record(note: &StreamUpdate) -> StreamRecord {
    StreamRecord {
        customer: note.customer.clone(),
        digest: note.digest,
        version: note.version.clone(),
        model_layers: note.model_layers,
        attempt: note.attempt,
        tokens: Vec::new(),
        finish: None,
    }
}

fn note_overhead(note: &StreamUpdate) -> usize {
    size_of::<HeldStream>() + note.request.as_str().len() * 2
}

fn token_bytes(token: &GeneratedToken) -> usize {
    size_of::<GeneratedToken>() + token.text.as_ref().len()
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
