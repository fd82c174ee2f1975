//! Group commit: one sync for all queued requests, in order, and no commit after an error.

use std::sync::mpsc::channel;

use pollendrift_coordination::agreement::LogIndex;
use pollendrift_store::{
    CommitRefusal, CommitRequest, CommitSettings, CommitThread, LogStore, PersistBatch, StoreError,
    StoreSnapshot, StoreUsage, SyncMark,
};

use crate::workload::{entry, snapshot};

/// Blocks each call until the test releases it, and fails at call number `fail_at`.
struct BlockingStore {
    entered: std::sync::mpsc::Sender<Vec<LogIndex>>,
    gate: std::sync::mpsc::Receiver<()>,
    fail_at: u64,
    calls: u64,
}

impl BlockingStore {
    fn call(&mut self, entries: Vec<LogIndex>) -> Result<SyncMark, StoreError> {
        self.calls += 1;
        drop(self.entered.send(entries));
        let _ = self.gate.recv();
        if self.calls == self.fail_at {
            return Err(StoreError::Stopped {
                first: "sync failed".into(),
            });
        }
        Ok(SyncMark {
            frame: self.calls,
            opens: 1,
        })
    }
}

impl LogStore for BlockingStore {
    fn persist(&mut self, batch: &PersistBatch) -> Result<SyncMark, StoreError> {
        self.call(batch.entries.iter().map(|entry| entry.index).collect())
    }

    fn save_snapshot(&mut self, _: &StoreSnapshot) -> Result<SyncMark, StoreError> {
        self.call(Vec::new())
    }

    fn install_snapshot(&mut self, _: &StoreSnapshot) -> Result<SyncMark, StoreError> {
        self.call(Vec::new())
    }

    fn next_index(&self) -> LogIndex {
        LogIndex(1)
    }

    fn usage(&self) -> StoreUsage {
        StoreUsage::default()
    }
}

fn persist(index: u64) -> CommitRequest {
    CommitRequest::Persist(PersistBatch {
        entries: vec![entry(index, 1)],
        ..PersistBatch::default()
    })
}

// Guards against one sync per request, a snapshot out of order, and a request that is reported
// durable after a failed sync. Requests that arrive during a sync share the next one, and requests
// after the failed sync are refused.
#[test]
fn queued_requests_share_one_sync_until_an_error() {
    let (entered, calls) = channel();
    let (open_gate, gate) = channel();
    let (report, reports) = channel();
    let store = BlockingStore {
        entered,
        gate,
        fail_at: 4,
        calls: 0,
    };
    let send = move |done: pollendrift_store::CommitReport| drop(report.send(done));
    let mut commit =
        CommitThread::start(Box::new(store), CommitSettings::default(), send).expect("a thread");
    commit.submit(persist(1)).expect("queued");
    let mut seen = vec![calls.recv().expect("first call")];
    for index in 2..=4 {
        commit.submit(persist(index)).expect("queued");
    }
    commit
        .submit(CommitRequest::Save(snapshot(1, 1)))
        .expect("queued");
    commit.submit(persist(5)).expect("queued");
    for _ in 0..3 {
        open_gate.send(()).expect("the store waits");
        seen.push(calls.recv().expect("next call"));
    }
    open_gate.send(()).expect("the store waits");
    let done: Vec<_> = reports
        .iter()
        .map(|done| (done.ticket.0, done.requests, done.result.is_ok()))
        .collect();
    let refusal = commit.submit(persist(6)).expect_err("stopped");
    let seen: Vec<Vec<u64>> = seen
        .into_iter()
        .map(|call| call.into_iter().map(|index| index.0).collect())
        .collect();
    insta::assert_compact_json_snapshot!((seen, done), @"[[[1], [2, 3, 4], [], [5]], [[1, 1, true], [4, 3, true], [5, 1, true], [6, 1, false]]]");
    assert_eq!(refusal, CommitRefusal::Stopped);
}
