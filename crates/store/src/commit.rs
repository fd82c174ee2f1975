//! Group commit: a thread of its own writes, and one sync serves all who wait.
//!
//! While a sync runs, requests queue up; the next sync takes them all. A caller waits for at most
//! the running sync and its own, and the thread that decides never waits for the disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{Builder, JoinHandle};

use derive_more::{Display, Error};
use pollendrift_coordination::agreement::{EntryPayload, LogIndex, PersistRequest, StoredSnapshot};

use crate::error::StoreError;
use crate::log_store::{LogStore, PersistBatch, StoreSnapshot, StoreUsage, SyncMark};

/// Number of a request to the commit thread; rises by one with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommitTicket(pub u64);

/// Bounds of one sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitSettings {
    /// Requests that may wait; more are refused.
    pub queue: usize,
    /// Requests that one sync takes at most.
    pub requests_per_sync: usize,
    /// Bytes of commands after which a sync takes no further request.
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

/// What the commit thread is asked to make durable.
#[derive(Debug)]
pub enum CommitRequest {
    /// Hard state and entries.
    Persist(PersistBatch),
    /// Snapshot of the keeper's own state.
    Save(StoreSnapshot),
    /// Snapshot from the leader.
    Install(StoreSnapshot),
    /// Order of the agreement core, in its order of writing.
    Agreement(PersistRequest),
}

/// All requests up to a ticket are durable, or the store has stopped.
#[derive(Clone, Debug)]
pub struct CommitReport {
    /// Last request that the report speaks of.
    pub ticket: CommitTicket,
    /// Mark of the sync, or why the store stopped; nothing after it becomes durable.
    pub result: Result<SyncMark, StoreError>,
    /// What the store takes up now.
    pub usage: StoreUsage,
    /// Requests that the sync served.
    pub requests: usize,
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CommitRefusal {
    /// As many requests wait as the queue holds: the disk is too slow for the load.
    #[display("disk is behind: the queue to the store is full")]
    Full,
    /// The thread has ended after a fault.
    #[display("store has stopped")]
    Stopped,
}

struct QueuedRequest {
    ticket: CommitTicket,
    request: CommitRequest,
}

/// Owner of the store's thread; dropping it lets the thread finish what is queued and end.
pub struct CommitThread {
    sender: Option<SyncSender<QueuedRequest>>,
    last: CommitTicket,
    thread: Option<JoinHandle<()>>,
}

impl CommitThread {
    /// Starts the thread; `report` is called on it after every sync, in the order of tickets.
    ///
    /// # Errors
    /// The operating system has no thread to give.
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
            .spawn(move || serve(report, store, settings, receiver))?;
        Ok(Self {
            sender: Some(sender),
            last: CommitTicket::default(),
            thread: Some(thread),
        })
    }

    /// Queues a request; its ticket comes back in a report once it is durable.
    ///
    /// # Errors
    /// The queue is full, or the store has stopped; nothing was queued.
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

    /// Lets the thread finish what is queued, and waits for its end.
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

/// The receiver goes first at the end: who has seen the last report can queue nothing more.
fn serve<F>(
    mut report: F,
    mut store: Box<dyn LogStore>,
    settings: CommitSettings,
    receiver: Receiver<QueuedRequest>,
) where
    F: FnMut(CommitReport),
{
    let mut waiting = None;
    while let Some(first) = waiting.take().or_else(|| receiver.recv().ok()) {
        let group = gather(first, settings, &receiver);
        waiting = group.next;
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
    /// Request that was taken from the queue but doesn't join the group.
    next: Option<QueuedRequest>,
}

/// Takes what waits, in order, until a request can't share the sync.
fn gather(
    first: QueuedRequest,
    settings: CommitSettings,
    receiver: &Receiver<QueuedRequest>,
) -> CommitGroup {
    let mut group = CommitGroup {
        request: first.request,
        ticket: first.ticket,
        requests: 1,
        next: None,
    };
    let CommitRequest::Persist(batch) = &mut group.request else {
        return group;
    };
    let mut bytes = batch_bytes(batch);
    while group.requests < settings.requests_per_sync && bytes < settings.bytes_per_sync {
        let Ok(queued) = receiver.try_recv() else {
            break;
        };
        let CommitRequest::Persist(later) = queued.request else {
            group.next = Some(queued);
            break;
        };
        bytes += batch_bytes(&later);
        batch.merge(later);
        group.ticket = queued.ticket;
        group.requests += 1;
    }
    group
}

fn batch_bytes(batch: &PersistBatch) -> usize {
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
        CommitRequest::Agreement(order) => commit_order(store, order),
    }
}

/// Writes hard state, snapshot, truncation and entries; without a snapshot that is one sync.
///
/// The log restarts behind a snapshot that reaches beyond it, or from which on everything is
/// truncated: such a log may contradict the snapshot, and a crash before the truncation is written
/// would leave the two joined. Behind any other snapshot the log goes on.
fn commit_order(store: &mut dyn LogStore, order: PersistRequest) -> Result<SyncMark, StoreError> {
    let mut batch = PersistBatch {
        hard: order.hard_state,
        truncate_from: order.truncate_from,
        entries: order.entries,
    };
    if let Some(snapshot) = order.snapshot {
        let hard = PersistBatch {
            hard: batch.hard.take(),
            ..PersistBatch::default()
        };
        store.persist(&hard)?;
        commit_snapshot(store, snapshot, order.truncate_from)?;
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
