//! Externally visible format of metrics, log lines and the evidence on disk.

#![allow(clippy::expect_used, reason = "a helper that fails is a failed test")]

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use log::{Level, Record};
use pollendrift::peers::FrameCount;
use pollendrift::telemetry::{
    AdmissionLevels, EvidenceJournal, INSTRUMENTS, MetricRegistry, RefusedConnection, RequestEnd,
    format_line, log_field,
};
use pollendrift_coordination::base::{Incarnation, SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BufferSettings, ChainHead, ChainWriter, EvidenceBuffer, EvidenceDigest, EvidenceEvent,
    OutcomeKind, RevisionInForce, SealedRecord,
};
use pollendrift_coordination::limits::AdmissionCounts;
use pollendrift_coordination::replicated::{EvidencePosition, IndexedRecord};

fn writer() -> ChainWriter {
    ChainWriter {
        host: "brest-1".into(),
        incarnation: Incarnation(1),
    }
}

/// Metrics of which every instrument was recorded once.
fn recorded() -> MetricRegistry {
    let metrics = MetricRegistry::new().expect("a registry");
    let buffer = EvidenceBuffer::new(writer(), BufferSettings::default(), ["k1".into()]);
    metrics.record_access_refusal(RefusedConnection {
        face: "callers",
        reason: "token",
    });
    let mut counts = AdmissionCounts::default();
    counts.urgent.refused = 3;
    let levels = AdmissionLevels {
        share: 0.25,
        ..AdmissionLevels::default()
    };
    metrics
        .admission()
        .record(&"writers".into(), &counts, &levels);
    metrics.set_backend_servers(43);
    metrics.set_backed_off_servers(1);
    metrics.set_rate_limited_servers(1);
    metrics.set_unreachable_services(1);
    metrics.set_claims(2);
    metrics.set_configuration(7.into(), Duration::from_secs(2));
    metrics.add_connection("callers");
    metrics.set_evidence(&buffer.status());
    metrics.set_keeper_leader(true);
    metrics.record_request_start();
    metrics.record_request_end(RequestEnd {
        outcome: OutcomeKind::Complete,
        attempts: 2,
        duration: Duration::from_millis(700),
    });
    metrics.record_forwarded("answered");
    metrics.record_peer_request();
    let frames = FrameCount {
        frames: 2,
        bytes: 300,
    };
    metrics.add_peer_frames("leases", frames);
    metrics.record_copy_loss();
    metrics.record_resume("lost");
    metrics.record_unconfirmed_tokens(3);
    metrics.set_requests_queued(3);
    metrics.record_refusal(OutcomeKind::NotRun, "no-selector");
    metrics.record_first_token(Duration::from_millis(300));
    metrics.record_next_token(Duration::from_millis(40));
    metrics
}

// Guards against a renamed instrument, label or bucket, which would leave the operators' plots and
// alerts without data and without an error.
#[test]
fn metrics_keep_their_names_and_labels() {
    insta::assert_snapshot!(recorded().text());
}

// Guards against a renamed instrument, which would be missing in dashboards that select metrics by
// name.
#[test]
fn instruments_keep_their_names_and_units() {
    let mut text = String::new();
    for spec in INSTRUMENTS {
        let kind = format!("{:?}", spec.kind).to_lowercase();
        let _ = writeln!(
            text,
            "{} {kind} {}: {}",
            spec.name, spec.unit, spec.description
        );
    }
    insta::assert_snapshot!(text);
}

/// The line without its time, which differs between runs.
fn line(record: &Record<'_>) -> String {
    let line = format_line(record);
    let (time, rest) = line.split_once(',').expect("a time");
    let digits = time.strip_prefix("{\"t\":").expect("a time");
    assert!(digits.parse::<u64>().is_ok(), "{digits}");
    format!("{{\"t\":0,{rest}")
}

// Guards against a renamed field of a line, which would break log searches by that field.
#[test]
fn log_lines_keep_their_form() {
    let mut text = String::new();
    for level in [
        Level::Error,
        Level::Warn,
        Level::Info,
        Level::Debug,
        Level::Trace,
    ] {
        let about = [
            (log_field::CUSTOMER, log::kv::Value::from("ponant")),
            (log_field::HOST, log::kv::Value::from("brest-1")),
            (log_field::REQUEST, log::kv::Value::from("r\"1")),
            (log_field::REVISION, log::kv::Value::from(7_u64)),
            ("behind", log::kv::Value::from(-1_i64)),
            ("up", log::kv::Value::from(true)),
        ];
        let record = Record::builder()
            .target("pollendrift::entry")
            .level(level)
            .key_values(&about)
            .args(format_args!("refused"))
            .build();
        text.push_str(&line(&record));
    }
    insta::assert_snapshot!(text);
}

fn agreed_records() -> Vec<IndexedRecord> {
    let mut head = ChainHead {
        writer: writer(),
        sequence: SequenceNumber(0),
        digest: EvidenceDigest::ZERO,
    };
    let seal = |position: u64| {
        let event = EvidenceEvent::RevisionInForce(RevisionInForce { revision: 4.into() });
        let sealed = SealedRecord::seal(&head, WallTime(position * 1_000), event).expect("seals");
        head = sealed.head();
        IndexedRecord {
            position: EvidencePosition(position),
            writer: sealed.record.writer.host.clone(),
            incarnation: sealed.record.writer.incarnation,
            sequence: sealed.record.sequence,
            record: sealed.line.as_bytes().into(),
        }
    };
    (0..3).map(seal).collect()
}

/// Names and contents of all files below `folder`, by their names.
fn files(folder: &Path, at: &str, text: &mut String) {
    let entries = std::fs::read_dir(folder).expect("a folder");
    let mut entries: Vec<_> = entries.map(|entry| entry.expect("an entry")).collect();
    entries.sort_by_key(std::fs::DirEntry::file_name);
    for entry in entries {
        let name = format!("{at}/{}", entry.file_name().to_string_lossy());
        if entry.path().is_dir() {
            files(&entry.path(), &name, text);
        } else {
            let content = std::fs::read(entry.path()).expect("a file");
            let _ = writeln!(text, "{name}\n{}", String::from_utf8_lossy(&content));
        }
    }
}

// Guards against a renamed folder, file or field, with which a keeper would lose its evidence at the
// next start and the export would fail verification.
#[test]
fn evidence_on_disk_and_its_export_keep_their_form() {
    let folder = tempfile::tempdir().expect("a folder");
    let open = EvidenceJournal::open_with("brest-1".into(), folder.path(), 600);
    let mut journal = open.expect("opens");
    journal.append(&agreed_records()).expect("appends");
    let mut text = String::new();
    files(folder.path(), "", &mut text);
    let mut export = Vec::new();
    journal
        .export(WallTime(9_000), &mut export)
        .expect("exports");
    let _ = writeln!(text, "export\n{}", String::from_utf8_lossy(&export));
    insta::assert_snapshot!(text);
}
