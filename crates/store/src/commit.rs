//! Group commit: a dedicated thread writes, and one sync serves all waiting requests.
//!
//! Requests that arrive during a sync are queued, and the next sync covers all of them. A caller
//! waits at most for the running sync and its own; the thread of the agreement state machine never
//! waits for the disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{Builder, JoinHandle};

use derive_more::{Display, Error};
use pollendrift_coordination::agreement::{EntryPayload, LogIndex, PersistRequest, StoredSnapshot};

use crate::error::StoreError;
use crate::log_store::{LogStore, PersistBatch, StoreSnapshot, StoreUsage, SyncMark};

/// Sequence number of a request to the commit thread; increases by one with each request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommitTicket(pub u64);

/// Limits of the request queue and of one sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitSettings {
    /// Maximum number of queued requests; further requests are refused.
    pub queue: usize,
    /// Maximum number of requests in one sync.
    pub requests_per_sync: usize,
    /// Size of the commands in bytes at which no further request joins a sync.
    pub bytes_per_sync: usize,
}

impl Default for CommitSettings {
    fn default() -> Self {
        Self {
            queue: 4_096,
            requests_per_sync: 1_024,
            bytes_per_sync: 4 * 1024 * 1024,
        }
    }
}

/// A change that the commit thread makes durable.
#[derive(Debug)]
pub enum CommitRequest {
    /// Hard state and entries.
    Persist(PersistBatch),
    /// Snapshot of the keeper's own state.
    Save(StoreSnapshot),
    /// Snapshot from the leader.
    Install(StoreSnapshot),
    /// Persist request of the agreement state machine, written in the order that it requires.
    Agreement(PersistRequest),
}

/// Result of one sync: all requests up to a ticket are durable, or the store has stopped.
#[derive(Clone, Debug)]
pub struct CommitReport {
    /// Last request that the report covers.
    pub ticket: CommitTicket,
    /// Mark of the sync, or the error that stopped the store; later requests never become durable.
    pub result: Result<SyncMark, StoreError>,
    /// Disk usage after the sync.
    pub usage: StoreUsage,
    /// Number of requests that the sync covered.
    pub requests: usize,
}

/// Reason why a request was not queued.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CommitRefusal {
    /// The queue is full: the disk is too slow for the load.
    #[display("disk is behind: the queue to the store is full")]
    Full,
    /// The thread has ended after an error.
    #[display("store has stopped")]
    Stopped,
}

struct QueuedRequest {
    ticket: CommitTicket,
    request: CommitRequest,
}

/// Owner of the store's thread; dropping it waits until the thread has written all queued requests
/// and ended.
pub struct CommitThread {
    sender: Option<SyncSender<QueuedRequest>>,
    last: CommitTicket,
    thread: Option<JoinHandle<()>>,
}

impl CommitThread {
    /// Starts the thread, which calls `report` after every sync, in the order of tickets.
    ///
    /// # Errors
    /// Fails if the operating system can't create a thread.
    pub fn start<F>(
        store: Box<dyn LogStore>,
        settings: CommitSettings,
        report: F,
    ) -> std::io::Result<Self>
    where
        F: FnMut(CommitReport) + Send + 'static,
    {
        let (sender, receiver) = sync_channel(settings.queue.max(1));
        let thread = Builder::new()
            .name("store".to_owned())
            .spawn(move || run_commits(report, store, settings, receiver))?;
        Ok(Self {
            sender: Some(sender),
            last: CommitTicket::default(),
            thread: Some(thread),
        })
    }

    /// Queues a request and returns its ticket; a report with this ticket or a later one confirms
    /// that the request is durable.
    ///
    /// # Errors
    /// Fails if the queue is full or the store has stopped; the request is not queued.
    pub fn submit(&mut self, request: CommitRequest) -> Result<CommitTicket, CommitRefusal> {
        let sender = self.sender.as_ref().ok_or(CommitRefusal::Stopped)?;
        let ticket = CommitTicket(self.last.0 + 1);
        let queued = QueuedRequest { ticket, request };
        sender.try_send(queued).map_err(|error| match error {
            TrySendError::Full(_) => CommitRefusal::Full,
            TrySendError::Disconnected(_) => CommitRefusal::Stopped,
        })?;
        self.last = ticket;
        Ok(ticket)
    }

    /// Waits until the thread has written all queued requests and ended.
    pub fn finish(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for CommitThread {
    fn drop(&mut self) {
        self.end();
    }
}

/// Commits requests until the queue closes or a write fails.
///
/// The receiver is the last parameter, so it is dropped first at the end. A caller that received
/// the last report therefore can't queue another request.
fn run_commits<F>(
    mut report: F,
    mut store: Box<dyn LogStore>,
    settings: CommitSettings,
    receiver: Receiver<QueuedRequest>,
) where
    F: FnMut(CommitReport),
{
    let mut deferred = None;
    while let Some(first) = deferred.take().or_else(|| receiver.recv().ok()) {
        let group = collect_group(first, settings, &receiver);
        deferred = group.deferred;
        let result = commit(store.as_mut(), group.request);
        let failed = result.is_err();
        report(CommitReport {
            ticket: group.ticket,
            result,
            usage: store.usage(),
            requests: group.requests,
        });
        if failed {
            return;
        }
    }
}

struct CommitGroup {
    request: CommitRequest,
    ticket: CommitTicket,
    requests: usize,
    /// Request that was removed from the queue but can't share the sync.
    deferred: Option<QueuedRequest>,
}

/// Collects queued requests in order, until one can't share the sync or a limit is reached.
fn collect_group(
    first: QueuedRequest,
    settings: CommitSettings,
    receiver: &Receiver<QueuedRequest>,
) -> CommitGroup {
    let mut group = CommitGroup {
        request: first.request,
        ticket: first.ticket,
        requests: 1,
        deferred: None,
    };
    let CommitRequest::Persist(batch) = &mut group.request else {
        return group;
    };
    let mut bytes = command_bytes(batch);
    while group.requests < settings.requests_per_sync && bytes < settings.bytes_per_sync {
        let Ok(queued) = receiver.try_recv() else {
            break;
        };
        let CommitRequest::Persist(later) = queued.request else {
            group.deferred = Some(queued);
            break;
        };
        bytes += command_bytes(&later);
        batch.merge(later);
        group.ticket = queued.ticket;
        group.requests += 1;
    }
    group
}

fn command_bytes(batch: &PersistBatch) -> usize {
    let commands = batch.entries.iter().map(|entry| match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len(),
        EntryPayload::Noop | EntryPayload::Membership(_) => 0,
    });
    commands.sum()
}

fn commit(store: &mut dyn LogStore, request: CommitRequest) -> Result<SyncMark, StoreError> {
    match request {
        CommitRequest::Persist(batch) => store.persist(&batch),
        CommitRequest::Save(snapshot) => store.save_snapshot(&snapshot),
        CommitRequest::Install(snapshot) => store.install_snapshot(&snapshot),
        CommitRequest::Agreement(request) => commit_agreement(store, request),
    }
}

/// Writes hard state, snapshot, truncation and entries, in this order; without a snapshot, one sync
/// covers all of them.
///
/// If the snapshot reaches beyond the log, or the request truncates everything after the snapshot,
/// the log restarts after the snapshot. Such a log may contradict the snapshot, and a crash before
/// the truncation is written would otherwise combine the two. After any other snapshot the log
/// continues.
fn commit_agreement(
    store: &mut dyn LogStore,
    request: PersistRequest,
) -> Result<SyncMark, StoreError> {
    let mut batch = PersistBatch {
        hard: request.hard_state,
        truncate_from: request.truncate_from,
        entries: request.entries,
    };
    if let Some(snapshot) = request.snapshot {
        let hard = PersistBatch {
            hard: batch.hard.take(),
            ..PersistBatch::default()
        };
        store.persist(&hard)?;
        commit_snapshot(store, snapshot, request.truncate_from)?;
    }
    store.persist(&batch)
}

fn commit_snapshot(
    store: &mut dyn LogStore,
    snapshot: StoredSnapshot,
    truncate_from: Option<LogIndex>,
) -> Result<SyncMark, StoreError> {
    let snapshot = StoreSnapshot {
        mark: snapshot.mark,
        state: snapshot.bytes.to_vec(),
    };
    let after = snapshot.mark.index.next();
    let is_beyond = store.next_index() < after;
    if is_beyond || truncate_from.is_some_and(|from| from <= after) {
        return store.install_snapshot(&snapshot);
    }
    store.save_snapshot(&snapshot)
}
