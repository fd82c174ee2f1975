//! Compares group commit with one sync per entry, for 1, 8 and 64 writers.
//!
//! Each writer appends one entry of 256 bytes and waits until it is durable before the next.

#![allow(clippy::expect_used, reason = "a benchmark can't run without its disk")]
#![allow(
    missing_docs,
    reason = "the macros of criterion generate undocumented items"
)]

use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use pollendrift_coordination::agreement::{EntryPayload, LogEntry, LogIndex, Term};
use pollendrift_coordination::base::{HostName, WallTime};
use pollendrift_store::{
    CommitRequest, CommitSettings, CommitThread, DiskFiles, OpenRequest, PersistBatch,
    SegmentStore, StoreSettings,
};

const WRITERS: [usize; 3] = [1, 8, 64];
const COMMAND_BYTES: usize = 256;

/// A writer that waits until its ticket is durable.
struct WaitingWriter {
    ticket: u64,
    wake: Sender<()>,
}

/// Submits entries in log order and stores the waiting writers.
struct WriterQueue {
    commit: CommitThread,
    next: LogIndex,
    waiting: Arc<Mutex<Vec<WaitingWriter>>>,
}

fn start_queue(folder: &tempfile::TempDir, requests_per_sync: usize) -> WriterQueue {
    let request = OpenRequest {
        host: HostName::from("h1"),
        wall: WallTime(1),
        settings: StoreSettings::default(),
    };
    let files = Box::new(DiskFiles::new(folder.path()));
    let opened = SegmentStore::open(files, &request).expect("fresh folder");
    let waiting: Arc<Mutex<Vec<WaitingWriter>>> = Arc::default();
    let woken = waiting.clone();
    let settings = CommitSettings {
        requests_per_sync,
        ..CommitSettings::default()
    };
    let commit = CommitThread::start(Box::new(opened.store), settings, move |report| {
        report.result.expect("disk works");
        let mut waiting = woken.lock().expect("no writer panics");
        waiting.retain(|writer| writer.ticket > report.ticket.0 || writer.wake.send(()).is_err());
    });
    WriterQueue {
        commit: commit.expect("a thread"),
        next: LogIndex(1),
        waiting,
    }
}

/// Appends `entries` from `writers` threads and returns the elapsed time.
fn append_all(writers: usize, requests_per_sync: usize, entries: u64) -> Duration {
    let folder = tempfile::tempdir().expect("a folder");
    let queue = Mutex::new(start_queue(&folder, requests_per_sync));
    let share = entries.div_ceil(writers as u64);
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..writers {
            scope.spawn(|| (0..share).for_each(|_| append_one(&queue)));
        }
    });
    start
        .elapsed()
        .mul_f64(entries as f64 / (share * writers as u64) as f64)
}

fn append_one(queue: &Mutex<WriterQueue>) {
    let (wake, woken) = channel();
    let mut queue = queue.lock().expect("no writer panics");
    let entry = LogEntry {
        index: queue.next,
        term: Term(1),
        payload: EntryPayload::Command(vec![7; COMMAND_BYTES].into()),
    };
    let batch = PersistBatch {
        entries: vec![entry],
        ..PersistBatch::default()
    };
    queue.next = queue.next.next();
    let waiting = queue.waiting.clone();
    let mut waiting = waiting.lock().expect("no writer panics");
    let ticket = queue
        .commit
        .submit(CommitRequest::Persist(batch))
        .expect("the queue is long enough");
    waiting.push(WaitingWriter {
        ticket: ticket.0,
        wake,
    });
    drop(waiting);
    drop(queue);
    woken.recv().expect("the store answers");
}

fn compare(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("durable_appends");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(2));
    group.throughput(Throughput::Elements(1));
    for writers in WRITERS {
        for (name, requests_per_sync) in [("sync_per_entry", 1), ("group_commit", 1_024)] {
            group.bench_function(BenchmarkId::new(name, writers), |bencher| {
                bencher.iter_custom(|entries| append_all(writers, requests_per_sync, entries));
            });
        }
    }
    group.finish();
}

criterion_group!(group_commit, compare);
criterion_main!(group_commit);
