//! Tests of log compaction.

use std::sync::Arc;

use super::{EntryPayload, LogEntry, LogIndex, ReplicatedLog, StoredSnapshot, Term};

/// Limit on retained entries; the logs of these tests are shorter, so it never applies.
const RETAINED: u64 = 1_000;

fn log_of(entries: u64, entry_bytes: usize) -> ReplicatedLog {
    let mut log = ReplicatedLog::default();
    for index in 1..=entries {
        log.push(LogEntry {
            index: LogIndex(index),
            term: Term(1),
            payload: EntryPayload::Command(Arc::from(vec![0; entry_bytes])),
        });
    }
    log
}

fn snapshot(log: &mut ReplicatedLog, index: u64, bytes: usize) -> u64 {
    let mark = log
        .metadata_at(LogIndex(index))
        .expect("an entry of the log");
    let bytes = Arc::from(vec![0; bytes]);
    log.store_snapshot(StoredSnapshot { mark, bytes }, RETAINED);
    log.base_index().0
}

// Guards against sending every large command since the group was founded to a keeper with an empty
// disk, although a snapshot contains them in a few hundred kilobytes: the leader would run at full
// load and callers of all hosts would wait. The entries before a snapshot may be as large as the
// snapshot, or reach back to the previous snapshot, which a peer may still be receiving.
#[test]
fn entries_before_a_snapshot_are_limited_by_its_size() {
    let cases = [
        (
            "large commands, first snapshot",
            100,
            45_000,
            vec![(90, 150_000)],
        ),
        (
            "large commands, second",
            100,
            45_000,
            vec![(40, 150_000), (90, 150_000)],
        ),
        (
            "large commands, third",
            100,
            45_000,
            vec![(20, 150_000), (40, 150_000), (90, 150_000)],
        ),
        ("small commands", 100, 100, vec![(40, 9_000), (90, 150_000)]),
        ("empty state", 10, 100, vec![(5, 0), (10, 0)]),
    ];
    let mut seen = Vec::new();
    for (name, entries, entry_bytes, snapshots) in cases {
        let mut log = log_of(entries, entry_bytes);
        let mut bases = Vec::new();
        for (index, bytes) in snapshots {
            bases.push(format!(
                "{} before {index}",
                snapshot(&mut log, index, bytes)
            ));
        }
        seen.push(format!("{name}: {}", bases.join(", ")));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    large commands, first snapshot: 0 before 90
    large commands, second: 0 before 40, 40 before 90
    large commands, third: 0 before 20, 20 before 40, 40 before 90
    small commands: 0 before 40, 0 before 90
    empty state: 0 before 5, 5 before 10
    ");
}
