//! Resumable streams: copies of the answers that peers are sending to callers.
//!
//! The entry that sends an answer replicates each token to one other host, and sends it to its
//! caller once that host has confirmed the copy. If the entry crashes, the caller reconnects to any
//! entry with its request id and the last position that it received, and the answer continues from
//! there without a missing or repeated token. If a host that stores the copy fails, the entry
//! replicates the complete answer to another one.

mod events;
mod holders;
mod search;
mod settings;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Not;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use events::{
    EventBatch, EventFault, EventFramer, EventId, EventProgress, EventTooLong, EventVerdict,
    StreamEvent,
};
pub use holders::{HolderSettings, HolderTable};
pub use search::{LookUpAnswer, ResumeQuery, ResumeVerdict, StreamSearch};
pub use settings::StreamSettings;

use crate::base::{
    AttemptNumber, CustomerName, HostName, MonotonicTime, ReceiptNumber, RequestId, TokenPosition,
    VersionName,
};
use crate::ledger::GeneratedToken;

/// SHA-256 over all parameters of a draft; a resume must have the same digest.
pub type DraftDigest = [u8; 32];

/// Difference between the attempt numbers of two runs of a stream. A resume begins a run.
///
/// It exceeds the attempts of one run, so engines, which drop attempts with lower numbers, drop what
/// an earlier run still begins.
const ATTEMPTS_PER_RUN: u32 = 1_000;

/// Number before the first attempt of a run that resumes a stream whose copy has `attempt`.
pub fn next_run(attempt: AttemptNumber) -> AttemptNumber {
    AttemptNumber(attempt.0.saturating_add(ATTEMPTS_PER_RUN))
}

/// Number of the run to which an attempt belongs. Tokens of different runs may differ, because
/// engines sample them.
fn run_number(attempt: AttemptNumber) -> u32 {
    attempt.0 / ATTEMPTS_PER_RUN
}

/// New tokens of one answer, as the entry that sends the answer replicates them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamUpdate {
    /// Id of the request.
    pub request: RequestId,
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Digest of the requested draft.
    pub digest: DraftDigest,
    /// Version of the weights, the same for the whole answer.
    pub version: VersionName,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// Number of the running attempt.
    pub attempt: AttemptNumber,
    /// Position of the first of `tokens`.
    pub first: TokenPosition,
    /// Tokens that the entry is sending to the caller.
    pub tokens: Vec<GeneratedToken>,
    /// Reason why the answer ended, sent with its last tokens; `None` before.
    pub finish: Option<String>,
    /// Whether this is the first copy of a new answer, which replaces the copy of an earlier answer
    /// with the same request id.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub replaces: bool,
    /// Number of the confirmation that the entry waits for. A host of an older version ignores it
    /// and confirms nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub receipt: Option<ReceiptNumber>,
}

/// Stored copy of one answer.
///
/// Invariant: `tokens[i]` is the token of position `i`, without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Digest of the requested draft.
    pub digest: DraftDigest,
    /// Version of the weights, the same for the whole answer.
    pub version: VersionName,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// Highest attempt number received.
    pub attempt: AttemptNumber,
    /// All tokens received, in order.
    pub tokens: Vec<GeneratedToken>,
    /// Reason why the answer ended; `None` while it runs.
    pub finish: Option<String>,
}

#[derive(Clone, Debug)]
struct StoredStream {
    record: StreamRecord,
    /// Entry that sends the answer; updates of others belong to another run of the stream.
    entry: HostName,
    updated_at: MonotonicTime,
    bytes: usize,
}

/// What an update does to the stored copy of its request.
enum Placement {
    /// It begins a copy, in place of the stored one.
    Start,
    /// It continues the stored copy, which has this number of tokens.
    Append { known: usize },
    /// It belongs to an earlier run.
    Refuse,
}

impl StoredStream {
    fn empty(now: MonotonicTime, entry: &HostName, update: &StreamUpdate) -> Self {
        Self {
            record: empty_record(update),
            entry: entry.clone(),
            updated_at: now,
            bytes: record_overhead(update),
        }
    }

    fn place(&self, entry: &HostName, update: &StreamUpdate) -> Placement {
        let record = &self.record;
        let is_same_draft = record.digest == update.digest && record.customer == update.customer;
        if update.replaces || !is_same_draft {
            return Placement::Start;
        }
        match run_number(update.attempt).cmp(&run_number(record.attempt)) {
            Ordering::Greater => Placement::Start,
            Ordering::Equal if self.entry == *entry => Placement::Append {
                known: record.tokens.len(),
            },
            Ordering::Equal | Ordering::Less => Placement::Refuse,
        }
    }
}

/// Stored copies of answers that peers are sending, by request id.
///
/// Invariants: `by_age` contains each stream once, under the time of its last update; `bytes` is
/// the sum over all streams and does not exceed [`StreamSettings::max_bytes`] after a call.
#[derive(Clone, Debug)]
pub struct StreamTable {
    settings: StreamSettings,
    streams: BTreeMap<RequestId, StoredStream>,
    by_age: BTreeSet<(MonotonicTime, RequestId)>,
    bytes: usize,
}

impl StreamTable {
    /// Creates a table without streams.
    pub fn new(settings: StreamSettings) -> Self {
        Self {
            settings,
            streams: BTreeMap::new(),
            by_age: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Adds the tokens of an update that `entry` sent; returns whether the table now contains all of
    /// them.
    ///
    /// An update that leaves a gap changes nothing, because a caller may hold the tokens that were
    /// confirmed before it. Neither does one of an earlier run: its entry does not know yet that the
    /// caller has resumed the stream elsewhere, and its tokens may differ.
    pub fn record(&mut self, now: MonotonicTime, entry: &HostName, update: StreamUpdate) -> bool {
        let request = update.request.clone();
        let stored = self.streams.get(&request);
        let known = match stored.map_or(Placement::Start, |stored| stored.place(entry, &update)) {
            Placement::Refuse => return false,
            Placement::Start => 0,
            Placement::Append { known } => known,
        };
        let first = to_usize(update.first.0);
        if first > known {
            return false;
        }
        let earlier = self.remove(&request).filter(|_| known > 0);
        let mut stored = earlier.unwrap_or_else(|| StoredStream::empty(now, entry, &update));
        for token in update.tokens.into_iter().skip(known - first) {
            stored.bytes += token_bytes(&token);
            stored.record.tokens.push(token);
        }
        stored.record.attempt = stored.record.attempt.max(update.attempt);
        stored.record.finish = stored.record.finish.or(update.finish);
        stored.updated_at = now;
        self.insert(request.clone(), stored);
        self.evict();
        self.streams.contains_key(&request)
    }

    /// Returns the stored copy of the answer to `request`.
    pub fn look_up(&self, request: &RequestId) -> Option<&StreamRecord> {
        self.streams.get(request).map(|stored| &stored.record)
    }

    /// Removes streams without an update during the retention. Callers run it on every tick.
    pub fn tick(&mut self, now: MonotonicTime) {
        while let Some((updated_at, request)) = self.by_age.first().cloned() {
            if now.since(updated_at) < self.settings.retention {
                return;
            }
            self.remove(&request);
        }
    }

    /// Number of stored streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is stored.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn insert(&mut self, request: RequestId, stored: StoredStream) {
        self.bytes += stored.bytes;
        self.by_age.insert((stored.updated_at, request.clone()));
        self.streams.insert(request, stored);
    }

    fn remove(&mut self, request: &RequestId) -> Option<StoredStream> {
        let stored = self.streams.remove(request)?;
        self.by_age.remove(&(stored.updated_at, request.clone()));
        self.bytes -= stored.bytes;
        Some(stored)
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

/// Returns the hosts that may store a request's stream, the most likely first.
///
/// With rendezvous hashing every host computes the same order. The entry replicates to the first
/// host that it reaches other than itself, so a look-up asks the first hosts first.
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

fn empty_record(update: &StreamUpdate) -> StreamRecord {
    StreamRecord {
        customer: update.customer.clone(),
        digest: update.digest,
        version: update.version.clone(),
        model_layers: update.model_layers,
        attempt: update.attempt,
        tokens: Vec::new(),
        finish: None,
    }
}

fn record_overhead(update: &StreamUpdate) -> usize {
    size_of::<StoredStream>() + update.request.as_str().len() * 2
}

fn token_bytes(token: &GeneratedToken) -> usize {
    size_of::<GeneratedToken>() + token.text.as_ref().len()
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
