//! Comparison of the outcomes that callers observed with the evidence records, as a table.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use pollendrift_coordination::base::{SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BodyDigest, ChainHead, ChainWriter, DecisionTrace, EvidenceDigest, EvidenceEvent, OutcomeKind,
    RequestBegun, RequestFinished, RequestTimings, SealedRecord,
};
use pollendrift_standins::load::{ObservedOutcome, SentRequest, compare_with_evidence};

fn start_record() -> EvidenceEvent {
    EvidenceEvent::RequestBegun(RequestBegun {
        request: "r1".into(),
        customer: "ponant".into(),
        operation: "POST /v1/completions".into(),
        key: None,
        body: BodyDigest::of(b""),
        revision: 1.into(),
        decision: DecisionTrace::default(),
    })
}

fn end_record(outcome: OutcomeKind) -> EvidenceEvent {
    EvidenceEvent::RequestFinished(RequestFinished {
        request: "r1".into(),
        customer: "ponant".into(),
        revision: 1.into(),
        selector: None,
        attempts: Vec::new(),
        outcome,
        reason: "".into(),
        status: 200,
        answer: BodyDigest::of(b""),
        timings: RequestTimings::default(),
    })
}

fn export(events: Vec<EvidenceEvent>) -> String {
    let mut head = ChainHead {
        writer: ChainWriter {
            host: "brest-1".into(),
            incarnation: 1.into(),
        },
        sequence: SequenceNumber(0),
        digest: EvidenceDigest::ZERO,
    };
    let mut lines = String::new();
    for event in events {
        let sealed = SealedRecord::seal(&head, WallTime(1), event).unwrap();
        head = sealed.head();
        lines += &sealed.line;
        lines.push('\n');
    }
    lines
}

fn classify(observed: ObservedOutcome, received: usize, export: &str) -> &'static str {
    classify_resumed(0, observed, received, export)
}

fn classify_resumed(
    resumes: usize,
    observed: ObservedOutcome,
    received: usize,
    export: &str,
) -> &'static str {
    let sent = SentRequest {
        request: "r1".into(),
        observed,
        received,
        resumes,
    };
    let report = compare_with_evidence(&[sent], export).unwrap();
    let counts = [&report.unrecorded, &report.missing, &report.contradicted].map(Vec::len);
    match counts {
        [0, 0, 0] => "agrees",
        [1, 0, 0] => "cut off",
        [0, 1, 0] => "missing",
        [0, 0, 1] => "false",
        _ => "several",
    }
}

// Guards against a comparison that accepts evidence which lacks or contradicts what a caller
// observed, or that reports evidence as wrong although it agrees.
#[test]
fn each_pair_of_observed_and_recorded_outcome_is_classified() {
    let records: Vec<(&str, String)> = vec![
        ("nothing", export(Vec::new())),
        ("begun", export(vec![start_record()])),
        (
            "complete",
            export(vec![start_record(), end_record(OutcomeKind::Complete)]),
        ),
        (
            "incomplete",
            export(vec![start_record(), end_record(OutcomeKind::Incomplete)]),
        ),
        (
            "not-run",
            export(vec![start_record(), end_record(OutcomeKind::NotRun)]),
        ),
        (
            "unknown",
            export(vec![start_record(), end_record(OutcomeKind::Unknown)]),
        ),
        (
            "twice",
            export(vec![
                start_record(),
                start_record(),
                end_record(OutcomeKind::Complete),
            ]),
        ),
    ];
    let observations = [
        ("complete", ObservedOutcome::Complete, 1),
        ("incomplete", ObservedOutcome::Incomplete, 1),
        ("not-run", ObservedOutcome::NotRun, 0),
        ("unknown", ObservedOutcome::Unknown, 0),
        ("broken", ObservedOutcome::Broken, 0),
        ("broken after a token", ObservedOutcome::Broken, 1),
        ("not sent", ObservedOutcome::NotSent, 0),
    ];
    let mut table = String::new();
    for (name, observed, received) in observations {
        for (record, export) in &records {
            let class = classify(observed, received, export);
            table += &format!("{name} | {record} | {class}\n");
        }
    }
    insta::assert_snapshot!(table, @r"
    complete | nothing | missing
    complete | begun | missing
    complete | complete | agrees
    complete | incomplete | false
    complete | not-run | false
    complete | unknown | false
    complete | twice | false
    incomplete | nothing | missing
    incomplete | begun | missing
    incomplete | complete | false
    incomplete | incomplete | agrees
    incomplete | not-run | false
    incomplete | unknown | false
    incomplete | twice | false
    not-run | nothing | missing
    not-run | begun | missing
    not-run | complete | false
    not-run | incomplete | false
    not-run | not-run | agrees
    not-run | unknown | false
    not-run | twice | false
    unknown | nothing | missing
    unknown | begun | missing
    unknown | complete | false
    unknown | incomplete | false
    unknown | not-run | false
    unknown | unknown | agrees
    unknown | twice | false
    broken | nothing | cut off
    broken | begun | agrees
    broken | complete | agrees
    broken | incomplete | agrees
    broken | not-run | agrees
    broken | unknown | agrees
    broken | twice | false
    broken after a token | nothing | missing
    broken after a token | begun | agrees
    broken after a token | complete | agrees
    broken after a token | incomplete | agrees
    broken after a token | not-run | false
    broken after a token | unknown | agrees
    broken after a token | twice | false
    not sent | nothing | agrees
    not sent | begun | false
    not sent | complete | false
    not sent | incomplete | false
    not sent | not-run | false
    not sent | unknown | false
    not sent | twice | false
    ");
}

// Guards against an invalid record line that is skipped, or reported without its line number.
#[test]
fn an_invalid_record_line_is_reported_with_its_number() {
    let damaged = format!("{}{{\"record\":1}}", export(vec![start_record()]));
    let error = compare_with_evidence(&[], &damaged).unwrap_err();
    assert!(error.starts_with("line 2 of the export"), "{error}");
}

// Guards against reporting a resumed stream as contradicted: each entry that resumes it writes
// another start record. A second end record, or more start records than the resumes explain, is
// still a contradiction.
#[test]
fn a_resumed_stream_may_have_one_more_start_record_per_resume() {
    let gone = end_record(OutcomeKind::CallerGone);
    let complete = end_record(OutcomeKind::Complete);
    let cases: Vec<(&str, usize, Vec<EvidenceEvent>)> = vec![
        (
            "first entry died",
            1,
            vec![start_record(), start_record(), complete.clone()],
        ),
        (
            "first entry lost its caller",
            1,
            vec![
                start_record(),
                gone.clone(),
                start_record(),
                complete.clone(),
            ],
        ),
        (
            "begun once too often",
            1,
            vec![
                start_record(),
                start_record(),
                start_record(),
                complete.clone(),
            ],
        ),
        (
            "ended twice",
            1,
            vec![
                start_record(),
                complete.clone(),
                start_record(),
                complete.clone(),
            ],
        ),
        (
            "went away for good",
            1,
            vec![start_record(), start_record(), gone.clone()],
        ),
        (
            "did not go on",
            0,
            vec![start_record(), gone, start_record(), complete],
        ),
    ];
    let class = |(name, resumes, events): (&str, usize, Vec<EvidenceEvent>)| {
        format!(
            "{name}: {}",
            classify_resumed(resumes, ObservedOutcome::Complete, 1, &export(events))
        )
    };
    let table: Vec<String> = cases.into_iter().map(class).collect();
    insta::assert_snapshot!(table.join("\n"), @r"
    first entry died: agrees
    first entry lost its caller: false
    begun once too often: false
    ended twice: false
    went away for good: false
    did not go on: false
    ");
}
