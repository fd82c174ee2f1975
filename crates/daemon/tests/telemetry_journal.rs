//! Tests of the evidence files of a keeper: crashes, gaps, retention and verified exports.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use pollendrift::clock::{SystemClock, TimeSource};
use pollendrift::evidence::EvidenceFiles;
use pollendrift::telemetry::{
    EvidenceJournal, EvidenceRecorder, EvidenceSink, RecorderSlot, StoreFuture,
};
use pollendrift_coordination::base::{Incarnation, SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BufferSettings, ChainHead, ChainWriter, EvidenceBuffer, EvidenceDigest, EvidenceEvent,
    EvidenceFilter, KeeperBatch, RetentionPolicy, RevisionInForce, SealedRecord, verify,
};
use pollendrift_coordination::replicated::{EvidencePosition, IndexedRecord};

const DAY: u64 = 86_400_000;
/// Segment size for two records of these tests.
const SEGMENT_BYTES: u64 = 600;

/// Records of writers that alternate in the replicated order, one record a day.
struct ReplicatedRecords {
    heads: Vec<ChainHead>,
    records: Vec<IndexedRecord>,
}

impl ReplicatedRecords {
    fn new(hosts: &[&str]) -> Self {
        let heads = hosts.iter().map(|host| ChainHead {
            writer: ChainWriter {
                host: (*host).into(),
                incarnation: Incarnation(1),
            },
            sequence: SequenceNumber(0),
            digest: EvidenceDigest::ZERO,
        });
        Self {
            heads: heads.collect(),
            records: Vec::new(),
        }
    }

    fn with(mut self, count: usize) -> Self {
        for number in 0..count {
            let event = EvidenceEvent::RevisionInForce(RevisionInForce { revision: 4.into() });
            let writer = number % self.heads.len();
            self.add(writer, event);
        }
        self
    }

    fn add(&mut self, writer: usize, event: EvidenceEvent) {
        let position = u64::try_from(self.records.len()).unwrap();
        let head = &mut self.heads[writer];
        let sealed = SealedRecord::seal(head, WallTime(position * DAY), event).unwrap();
        *head = sealed.head();
        self.records.push(IndexedRecord {
            position: EvidencePosition(position),
            writer: sealed.record.writer.host.clone(),
            incarnation: sealed.record.writer.incarnation,
            sequence: sealed.record.sequence,
            record: sealed.line.as_bytes().into(),
        });
    }
}

fn open(folder: &Path) -> EvidenceJournal {
    EvidenceJournal::open_with("brest-1".into(), folder, SEGMENT_BYTES).unwrap()
}

/// Chains and findings that an auditor gets from the export.
fn verified(journal: &EvidenceJournal) -> String {
    let mut bytes = Vec::new();
    journal.export(WallTime(100 * DAY), &mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let report = verify("export", text.lines(), &[]);
    let chains = report.chains.iter();
    let chains = chains.map(|chain| format!("{} {}", chain.head.writer, chain.records));
    let chains: Vec<_> = chains.collect();
    format!("{}; {}", chains.join(", "), report.findings)
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder.join("evidence")).unwrap();
    let mut files: Vec<_> = entries.map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

// Guards against lost or duplicated records after a keeper crashes during its last write. Records
// reported as stored must remain, and the truncated ones are appended again from the log.
#[test]
fn a_crash_neither_loses_nor_duplicates_records() {
    let replicated = ReplicatedRecords::new(&["brest-1", "brest-2"]).with(5);
    let folder = tempfile::tempdir().unwrap();
    open(folder.path()).append(&replicated.records).unwrap();
    let last = files(folder.path()).pop().unwrap();
    let bytes = fs::read(&last).unwrap();
    for cut in (0..bytes.len()).step_by(5).chain([bytes.len()]) {
        fs::write(&last, &bytes[..cut]).unwrap();
        let mut journal = open(folder.path());
        assert!(journal.next() <= EvidencePosition(5));
        journal.append(&replicated.records).unwrap();
        assert_eq!(journal.next(), EvidencePosition(5));
        let expected = "brest-1/1 3, brest-2/1 2; ";
        assert_eq!(verified(&journal), expected, "truncated at byte {cut}");
        assert_eq!(fs::read(&last).unwrap(), bytes);
    }
}

// Guards against faults that verification misses: a keeper was disconnected for longer than the
// replicated state retains records, an untrusted record contains a line break, a bit on the disk
// flips.
#[test]
fn verification_reports_gaps_and_damaged_lines() {
    let folder = tempfile::tempdir().unwrap();
    let mut replicated = ReplicatedRecords::new(&["brest-1"]).with(9);
    let mut journal = open(folder.path());
    journal.append(&replicated.records[..2]).unwrap();
    replicated.records[5].record = b"{\"record\":\nx".as_slice().into();
    journal.append(&replicated.records[4..]).unwrap();
    drop(journal);
    let last = files(folder.path()).pop().unwrap();
    let mut bytes = fs::read(&last).unwrap();
    let index = bytes.len() - 100;
    bytes[index] ^= 1;
    fs::write(&last, bytes).unwrap();
    let journal = open(folder.path());
    assert_eq!(journal.next(), EvidencePosition(9));
    insta::assert_snapshot!(verified(&journal), @"
    brest-1/1 5; export:6:1: error: damaged: not readable: missing field `detail` at line 1 column 223 (accepted: the line as it was exported)
    export:3:1: error: gap: records 3..=4 of brest-1/1 are missing before this line (accepted: every record, or an anchor where retention dropped the first ones)
    export:4:1: error: gap: records 6..=6 of brest-1/1 are missing before this line (accepted: every record, or an anchor where retention dropped the first ones)
    ");
}

// Guards against exports that no longer verify after a crash during retention. Old segments are
// dropped after the drop is recorded, so a crash leaves the record without the drop or a partial
// drop; the next start must complete both.
#[test]
fn exports_verify_after_interrupted_retention() {
    let folder = tempfile::tempdir().unwrap();
    let mut replicated = ReplicatedRecords::new(&["brest-1", "brest-2"]).with(8);
    let mut journal = open(folder.path());
    journal.append(&replicated.records).unwrap();
    let policy = RetentionPolicy {
        max_age: Duration::from_secs(3 * 86_400),
        max_bytes: 1 << 20,
    };
    let plan = journal
        .plan_retention(WallTime(8 * DAY), &policy)
        .unwrap()
        .unwrap();
    let mut lines = vec![format!("planned: {} records", plan.records.len())];
    for record in &plan.records {
        replicated.add(0, EvidenceEvent::RetentionApplied(record.clone()));
    }
    journal.append(&replicated.records).unwrap();
    lines.push(format!("on record, not dropped: {}", verified(&journal)));
    let first = files(folder.path()).remove(0);
    let kept = fs::read(&first).unwrap();
    journal.apply(plan).unwrap();
    lines.push(format!("dropped: {}", verified(&journal)));
    fs::write(&first, kept).unwrap();
    let mut journal = open(folder.path());
    lines.push(format!(
        "half dropped, opened again: {}",
        verified(&journal)
    ));
    let again = journal.plan_retention(WallTime(8 * DAY), &policy).unwrap();
    lines.push(format!("nothing more is old: {}", again.is_none()));
    let small = RetentionPolicy {
        max_age: Duration::from_secs(100 * 86_400),
        max_bytes: SEGMENT_BYTES,
    };
    let plan = journal
        .plan_retention(WallTime(8 * DAY), &small)
        .unwrap()
        .unwrap();
    journal.apply(plan).unwrap();
    lines.push(format!(
        "dropped for its bytes, without a record: {}",
        verified(&journal)
    ));
    insta::assert_snapshot!(lines.join("\n"), @"
    planned: 4 records
    on record, not dropped: brest-1/1 8, brest-2/1 4; 
    dropped: brest-1/1 5, brest-2/1 2; 
    half dropped, opened again: brest-1/1 5, brest-2/1 2; 
    nothing more is old: true
    dropped for its bytes, without a record: brest-1/1 1, brest-2/1 0; export:1:1: error: removed: no keeper recorded that brest-1/1 was dropped through 7 (accepted: a record `retention-applied` for the anchor)
    export:2:1: error: removed: no keeper recorded that brest-2/1 was dropped through 4 (accepted: a record `retention-applied` for the anchor)
    ");
}

// Guards against a search that misses records in other segments or ignores its time range or limit.
#[test]
fn records_are_found_across_files_up_to_a_limit() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path());
    journal
        .append(&ReplicatedRecords::new(&["brest-1"]).with(7).records)
        .unwrap();
    let filter = EvidenceFilter {
        from: Some(WallTime(2 * DAY)),
        until: Some(WallTime(6 * DAY)),
        ..EvidenceFilter::default()
    };
    let numbers = |limit| {
        let found = journal.find(&filter, limit).unwrap();
        found
            .iter()
            .map(|record| record.sequence.0)
            .collect::<Vec<_>>()
    };
    assert_eq!(numbers(100), [3, 4, 5, 6]);
    assert_eq!(numbers(2), [3, 4]);
}

// Guards against an error text without the path when `evidence` is a file instead of a folder.
#[test]
fn a_file_in_place_of_the_folder_is_an_error_with_its_path() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("evidence"), "x").unwrap();
    let error = EvidenceJournal::open("brest-1".into(), folder.path()).unwrap_err();
    assert!(error.to_string().contains("evidence"));
}

/// Keepers that store every batch at once.
struct ImmediateKeepers;

impl EvidenceSink for ImmediateKeepers {
    fn store(&self, sent: KeeperBatch) -> StoreFuture {
        let last = SealedRecord::parse(sent.batch.lines.last().unwrap()).unwrap();
        Box::pin(async move { Ok(last.record.sequence) })
    }
}

// Guards against evidence dropped before the drop is recorded. Records exceed the maximum age while
// the keepers have no quorum: the files must stay complete until the records of the drop are
// stored.
#[tokio::test]
async fn old_files_are_dropped_only_after_the_drop_is_recorded() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path());
    journal
        .append(&ReplicatedRecords::new(&["brest-1"]).with(8).records)
        .unwrap();
    let files = EvidenceFiles::new(journal);
    let policy = RetentionPolicy {
        max_age: Duration::from_secs(4 * 86_400),
        max_bytes: u64::MAX,
    };
    let clock: Arc<dyn TimeSource> = Arc::new(SystemClock::default());
    let slot = RecorderSlot::new(Arc::clone(&clock));
    let now = WallTime(8 * DAY);
    assert!(!files.apply_retention(now, policy, &slot).await.unwrap());
    let writer = ChainWriter {
        host: "brest-1".into(),
        incarnation: Incarnation(2),
    };
    let buffer = EvidenceBuffer::new(writer, BufferSettings::default(), ["keepers".into()]);
    let recorder = Arc::new(EvidenceRecorder::new(buffer, clock));
    slot.set_recorder(Arc::clone(&recorder));
    let retained = {
        let dropping = files.apply_retention(now, policy, &slot);
        tokio::pin!(dropping);
        while recorder.status().records == 0 {
            assert!(futures_util::poll!(&mut dropping).is_pending());
            tokio::task::yield_now().await;
        }
        let kept = files.find(&EvidenceFilter::default(), 100).unwrap().len();
        assert_eq!(kept, 8, "nothing is dropped before its record is stored");
        tokio::select! {
            () = recorder.run(&ImmediateKeepers) => false,
            retained = &mut dropping => retained.unwrap(),
        }
    };
    let left = files.find(&EvidenceFilter::default(), 100).unwrap();
    let left: Vec<_> = left.iter().map(|record| record.sequence.0).collect();
    assert_eq!((retained, left), (true, vec![4, 5, 6, 7, 8]));
    assert!(!files.apply_retention(now, policy, &slot).await.unwrap());
}
