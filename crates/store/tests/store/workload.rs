//! A script of store calls, and a model of the recovered state after each call.

use pollendrift_coordination::agreement::{
    EntryPayload, HardState, LogEntry, LogIndex, SnapshotMetadata, Term,
};
use pollendrift_coordination::base::{HostName, WallTime};
use pollendrift_store::{
    LogStore, OpenRequest, OpenedStore, PersistBatch, RecoveredLog, SegmentStore, StoreError,
    StoreSettings, StoreSnapshot, SyncMark,
};

use crate::fault_files::FaultFiles;

/// One call of the store.
pub(crate) enum Call {
    Persist(PersistBatch),
    Save(StoreSnapshot),
    Install(StoreSnapshot),
}

pub(crate) fn open(files: &FaultFiles) -> Result<OpenedStore, StoreError> {
    open_as(files, "h1", 1_000)
}

pub(crate) fn open_as(
    files: &FaultFiles,
    host: &str,
    wall: u64,
) -> Result<OpenedStore, StoreError> {
    let request = OpenRequest {
        host: HostName::from(host),
        wall: WallTime(wall),
        settings: StoreSettings { segment_bytes: 600 },
    };
    SegmentStore::open(Box::new(files.clone()), &request)
}

pub(crate) fn entry(index: u64, term: u64) -> LogEntry {
    let byte = u8::try_from(index % 251).expect("below 251");
    LogEntry {
        index: LogIndex(index),
        term: Term(term),
        payload: EntryPayload::Command(vec![byte; 40].into()),
    }
}

pub(crate) fn snapshot(index: u64, term: u64) -> StoreSnapshot {
    StoreSnapshot {
        mark: SnapshotMetadata {
            index: LogIndex(index),
            term: Term(term),
            ..SnapshotMetadata::default()
        },
        state: vec![7; 700],
    }
}

fn append(from: u64, to: u64, term: u64) -> Call {
    Call::Persist(PersistBatch {
        hard: Some(HardState {
            term: Term(term),
            voted_for: None,
        }),
        truncate_from: None,
        entries: (from..=to).map(|index| entry(index, term)).collect(),
    })
}

fn replace(from: u64, to: u64, term: u64) -> Call {
    Call::Persist(PersistBatch {
        truncate_from: Some(LogIndex(from)),
        entries: (from..=to).map(|index| entry(index, term)).collect(),
        hard: None,
    })
}

/// Appends across several segments, replaced suffixes, own snapshots and two from the leader.
pub(crate) fn script() -> Vec<Call> {
    let mut calls = vec![
        append(1, 12, 1),
        append(13, 20, 1),
        replace(15, 18, 2),
        append(19, 30, 3),
    ];
    calls.extend([
        Call::Save(snapshot(17, 2)),
        append(31, 33, 3),
        replace(33, 40, 4),
    ]);
    calls.extend([
        Call::Install(snapshot(60, 4)),
        append(61, 75, 5),
        append(76, 77, 5),
    ]);
    calls.extend([
        replace(76, 76, 6),
        Call::Install(snapshot(76, 7)),
        append(77, 80, 7),
    ]);
    calls.extend([Call::Save(snapshot(79, 7)), append(81, 81, 7)]);
    calls
}

pub(crate) fn run(store: &mut SegmentStore, call: &Call) -> Result<SyncMark, StoreError> {
    match call {
        Call::Persist(batch) => store.persist(batch),
        Call::Save(snapshot) => store.save_snapshot(snapshot),
        Call::Install(snapshot) => store.install_snapshot(snapshot),
    }
}

/// State that recovery must return after `call` is applied to `log`.
pub(crate) fn expected_after(log: &RecoveredLog, call: &Call) -> RecoveredLog {
    let mut log = log.clone();
    match call {
        Call::Persist(batch) => {
            if let Some(from) = batch.truncate_from {
                log.entries.retain(|entry| entry.index < from);
            }
            log.entries.extend(batch.entries.iter().cloned());
            log.hard = batch.hard.clone().unwrap_or(log.hard);
        }
        Call::Save(snapshot) => {
            log.entries
                .retain(|entry| entry.index > snapshot.mark.index);
            log.snapshot = Some(snapshot.clone());
        }
        Call::Install(snapshot) => {
            log.entries.clear();
            log.snapshot = Some(snapshot.clone());
        }
    }
    log
}
