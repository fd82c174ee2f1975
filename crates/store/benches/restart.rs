//! Measures the time to open a folder after many changes, and its size, with and without snapshots.

#![allow(clippy::expect_used, reason = "a benchmark can't run without its disk")]
#![allow(
    missing_docs,
    reason = "the macros of criterion generate undocumented items"
)]

use std::hint::black_box;
use std::path::Path;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pollendrift_coordination::agreement::{
    EntryPayload, LogEntry, LogIndex, SnapshotMetadata, Term,
};
use pollendrift_coordination::base::{HostName, WallTime};
use pollendrift_store::{
    DiskFiles, LogStore, OpenRequest, OpenedStore, PersistBatch, SegmentStore, StoreSettings,
    StoreSnapshot,
};

const CHANGE_BYTES: usize = 1_024;
const CHANGES_PER_SYNC: u64 = 16;
/// Size of the state in bytes after any number of changes, equal to 200 changes.
const STATE_BYTES: usize = 200 * CHANGE_BYTES;

/// Number of changes, and number of changes between snapshots; 0 disables snapshots.
const CASES: [(u64, u64); 5] = [
    (100, 0),
    (1_000, 0),
    (10_000, 0),
    (10_000, 1_000),
    (40_000, 1_000),
];

fn open(folder: &Path) -> OpenedStore {
    let request = OpenRequest {
        host: HostName::from("h1"),
        wall: WallTime(1),
        settings: StoreSettings::default(),
    };
    SegmentStore::open(Box::new(DiskFiles::new(folder)), &request).expect("sound folder")
}

fn change(index: u64) -> LogEntry {
    LogEntry {
        index: LogIndex(index),
        term: Term(1),
        payload: EntryPayload::Command(vec![7; CHANGE_BYTES].into()),
    }
}

fn fill(folder: &Path, changes: u64, snapshot_every: u64) -> u64 {
    let mut store = open(folder).store;
    let mut index = 0;
    let mut saved = 0;
    while index < changes {
        let end = (index + CHANGES_PER_SYNC).min(changes);
        let batch = PersistBatch {
            entries: (index + 1..=end).map(change).collect(),
            ..PersistBatch::default()
        };
        store.persist(&batch).expect("disk works");
        index = end;
        if snapshot_every > 0 && index >= saved + snapshot_every {
            saved = index;
            save(&mut store, index);
        }
    }
    let usage = store.usage();
    usage.log_bytes + usage.snapshot_bytes
}

fn save(store: &mut SegmentStore, index: u64) {
    let mark = SnapshotMetadata {
        index: LogIndex(index),
        term: Term(1),
        ..SnapshotMetadata::default()
    };
    let state = vec![3; STATE_BYTES];
    store
        .save_snapshot(&StoreSnapshot { mark, state })
        .expect("disk works");
}

fn measure(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("restart");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(2));
    for (changes, snapshot_every) in CASES {
        let folder = tempfile::tempdir().expect("a folder");
        let bytes = fill(folder.path(), changes, snapshot_every);
        println!(
            "{changes} changes of {CHANGE_BYTES} bytes, snapshot every {snapshot_every}: {bytes} bytes on disk"
        );
        let id = BenchmarkId::new(format!("snapshot_every_{snapshot_every}"), changes);
        group.bench_function(id, |bencher| {
            bencher.iter(|| black_box(open(folder.path()).recovered.entries.len()));
        });
    }
    group.finish();
}

criterion_group!(restart, measure);
criterion_main!(restart);
