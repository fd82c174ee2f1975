//! What stands on disk keeps its form: names of files, their prefixes, frames and records.

use std::fmt::Write;
use std::io;
use std::sync::Arc;

use ciborium::Value;
use pollendrift_coordination::agreement::{
    EntryPayload, HardState, KeeperId, LogEntry, LogIndex, Membership, SnapshotMetadata, Term,
};
use pollendrift_coordination::base::Incarnation;
use pollendrift_store::{
    FileSystem, FrameScan, GroupId, JoinedGroup, LogStore, PersistBatch, SegmentStore, StoreError,
    StoreSnapshot, scan_frame,
};

use crate::fault_files::FaultFiles;
use crate::workload::open;

/// Bytes before the first frame of a file.
const PREFIX: usize = 12;

fn keeper(host: &str, incarnation: u64) -> KeeperId {
    KeeperId {
        host: host.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn membership() -> Membership {
    Membership {
        voters: [keeper("h1", 1_000), keeper("h2", 12)].into(),
        learners: [keeper("h3", 13)].into(),
    }
}

fn entry(index: u64, payload: EntryPayload) -> LogEntry {
    LogEntry {
        index: LogIndex(index),
        term: Term(4),
        payload,
    }
}

fn command() -> EntryPayload {
    EntryPayload::Command(Arc::from([0xde, 0xad]))
}

fn first_batch() -> PersistBatch {
    PersistBatch {
        hard: Some(HardState {
            term: Term(4),
            voted_for: Some(keeper("h2", 12)),
        }),
        truncate_from: None,
        entries: vec![
            entry(1, EntryPayload::Noop),
            entry(2, command()),
            entry(3, EntryPayload::Membership(membership())),
        ],
    }
}

/// Long enough that the next batch opens another segment.
fn replacing_batch() -> PersistBatch {
    PersistBatch {
        hard: None,
        truncate_from: Some(LogIndex(3)),
        entries: (3..30).map(|index| entry(index, command())).collect(),
    }
}

fn last_batch(index: u64) -> PersistBatch {
    PersistBatch {
        entries: vec![entry(index, command())],
        ..PersistBatch::default()
    }
}

fn snapshot(index: u64) -> StoreSnapshot {
    StoreSnapshot {
        mark: SnapshotMetadata {
            index: LogIndex(index),
            term: Term(4),
            membership: membership(),
        },
        state: b"state".to_vec(),
    }
}

fn group() -> JoinedGroup {
    JoinedGroup {
        id: GroupId(5),
        founding: membership(),
    }
}

fn filled(files: &FaultFiles) -> SegmentStore {
    let mut store = open(files).expect("fresh folder").store;
    store.join_group(group()).expect("no fault");
    for batch in [first_batch(), replacing_batch(), last_batch(30)] {
        store.persist(&batch).expect("no fault");
    }
    store
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// A payload with the names in it; the state in a snapshot is bytes to the store.
fn names_in(payload: &[u8]) -> String {
    match ciborium::from_reader::<Value, _>(payload) {
        Ok(value @ Value::Map(_)) => format!("{value:?}"),
        _ => String::from_utf8_lossy(payload).into_owned(),
    }
}

fn file_text(files: &FaultFiles, name: &str) -> String {
    let bytes = files.read(name).expect("it exists");
    let mut text = format!("{name}\n  {}\n", hex(&bytes[..PREFIX]));
    let mut offset = PREFIX;
    while let FrameScan::Complete { payload, next } = scan_frame(&bytes, offset) {
        let _ = writeln!(text, "  {}", hex(&bytes[offset..next]));
        let _ = writeln!(text, "    {}", names_in(payload));
        offset = next;
    }
    assert_eq!(offset, bytes.len(), "{name} has frames alone");
    text
}

fn folder_text(files: &FaultFiles) -> String {
    let names = files.names();
    names.iter().map(|name| file_text(files, name)).collect()
}

/// A renamed field would make a keeper unable to read its identity, votes and log after an upgrade.
#[test]
fn segments_and_identity_keep_their_bytes() {
    let files = FaultFiles::default();
    drop(filled(&files));
    insta::assert_snapshot!(folder_text(&files));
    open(&files).expect("it reads its own files");
}

/// A renamed field would make a keeper unable to read its snapshot, or to tell which segments follow
/// it.
#[test]
fn snapshot_files_keep_their_bytes() {
    let files = FaultFiles::default();
    let mut store = filled(&files);
    store.save_snapshot(&snapshot(29)).expect("no fault");
    let saved = folder_text(&files);
    store.install_snapshot(&snapshot(60)).expect("no fault");
    store.persist(&last_batch(61)).expect("no fault");
    drop(store);
    insta::assert_snapshot!(format!(
        "saved\n{saved}\ninstalled\n{}",
        folder_text(&files)
    ));
    open(&files).expect("it reads its own files");
}

/// A renamed field would make keepers of two builds unable to tell whether they are of one group.
#[test]
fn groups_keep_their_encoding() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&group(), &mut bytes).expect("CBOR");
    insta::assert_snapshot!(format!("{}\n{}", names_in(&bytes), hex(&bytes)));
}

fn stops_of_disks() -> [StoreError; 5] {
    let path = || "data/log".to_owned();
    [
        StoreError::DiskFull {
            action: "syncing the log",
            path: path(),
        },
        StoreError::Disk {
            action: "syncing the log",
            path: path(),
            source: Arc::new(io::Error::other("medium error")),
        },
        StoreError::Damaged {
            path: path(),
            offset: 12,
            reason: "checksum differs".to_owned(),
        },
        StoreError::Missing {
            path: path(),
            needed_by: "the log".to_owned(),
        },
        StoreError::UnknownFormat {
            path: path(),
            found: 9,
            known: 1,
        },
    ]
}

fn stops_of_folders() -> [StoreError; 7] {
    let folder = || "data".to_owned();
    [
        StoreError::Locked { folder: folder() },
        StoreError::OtherHost {
            folder: folder(),
            found: "h1".into(),
            expected: "h2".into(),
        },
        StoreError::Copied {
            folder: folder(),
            reason: "another inode".to_owned(),
        },
        StoreError::Gap {
            expected: LogIndex(3),
            found: LogIndex(5),
        },
        StoreError::TooLarge { bytes: 9, bound: 8 },
        StoreError::Encode {
            reason: "odd".to_owned(),
        },
        StoreError::Stopped {
            first: "disk full".into(),
        },
    ]
}

/// Operators read these texts in the log and in `status`; a renamed word would lead them astray.
#[test]
fn advice_on_stops_keeps_its_text() {
    let texts = stops_of_disks().into_iter().chain(stops_of_folders());
    let texts: Vec<String> = texts.map(|error| error.to_string()).collect();
    insta::assert_snapshot!(texts.join("\n"));
}
