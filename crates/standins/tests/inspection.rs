//! Contract of the comparison of callers' sights with evidence, as a table.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

use pollendrift_coordination::base::{SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BodyDigest, ChainHead, ChainWriter, DecisionTrace, EvidenceDigest, EvidenceEvent, OutcomeKind,
    RequestBegun, RequestFinished, RequestTimings, SealedRecord,
};
use pollendrift_standins::load::{SeenOutcome, SentRequest, inspect};

fn begun() -> EvidenceEvent {
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

fn ended(outcome: OutcomeKind) -> EvidenceEvent {
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

fn judged(seen: SeenOutcome, received: usize, export: &str) -> &'static str {
    judged_after(0, seen, received, export)
}

fn judged_after(resumes: usize, seen: SeenOutcome, received: usize, export: &str) -> &'static str {
    let sent = SentRequest {
        request: "r1".into(),
        seen,
        received,
        resumes,
    };
    let report = inspect(&[sent], export).unwrap();
    let counts = [&report.cut_off, &report.missing, &report.untrue].map(Vec::len);
    match counts {
        [0, 0, 0] => "agrees",
        [1, 0, 0] => "cut off",
        [0, 1, 0] => "missing",
        [0, 0, 1] => "false",
        _ => "several",
    }
}

#[test]
fn each_pair_of_sight_and_record_is_judged() {
    let records: Vec<(&str, String)> = vec![
        ("nothing", export(Vec::new())),
        ("begun", export(vec![begun()])),
        (
            "complete",
            export(vec![begun(), ended(OutcomeKind::Complete)]),
        ),
        (
            "incomplete",
            export(vec![begun(), ended(OutcomeKind::Incomplete)]),
        ),
        ("not-run", export(vec![begun(), ended(OutcomeKind::NotRun)])),
        (
            "unknown",
            export(vec![begun(), ended(OutcomeKind::Unknown)]),
        ),
        (
            "twice",
            export(vec![begun(), begun(), ended(OutcomeKind::Complete)]),
        ),
    ];
    let sights = [
        ("complete", SeenOutcome::Complete, 1),
        ("incomplete", SeenOutcome::Incomplete, 1),
        ("not-run", SeenOutcome::NotRun, 0),
        ("unknown", SeenOutcome::Unknown, 0),
        ("broken", SeenOutcome::Broken, 0),
        ("broken after a token", SeenOutcome::Broken, 1),
        ("not sent", SeenOutcome::NotSent, 0),
    ];
    let mut table = String::new();
    for (name, seen, received) in sights {
        for (record, export) in &records {
            let verdict = judged(seen, received, export);
            table += &format!("{name} | {record} | {verdict}\n");
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

#[test]
fn a_line_that_is_no_record_is_named() {
    let damaged = format!("{}{{\"record\":1}}", export(vec![begun()]));
    let error = inspect(&[], &damaged).unwrap_err();
    assert!(error.starts_with("line 2 of the export"), "{error}");
}

// A stream that went on at another entry is taken on there anew. Without that allowance each such
// answer counted as false; with it, a second end or one more beginning than the caller made still
// does.
#[test]
fn a_stream_that_went_on_elsewhere_may_begin_once_more() {
    let gone = ended(OutcomeKind::CallerGone);
    let complete = ended(OutcomeKind::Complete);
    let cases: Vec<(&str, usize, Vec<EvidenceEvent>)> = vec![
        (
            "first entry died",
            1,
            vec![begun(), begun(), complete.clone()],
        ),
        (
            "first entry lost its caller",
            1,
            vec![begun(), gone.clone(), begun(), complete.clone()],
        ),
        (
            "begun once too often",
            1,
            vec![begun(), begun(), begun(), complete.clone()],
        ),
        (
            "ended twice",
            1,
            vec![begun(), complete.clone(), begun(), complete.clone()],
        ),
        (
            "went away for good",
            1,
            vec![begun(), begun(), gone.clone()],
        ),
        ("did not go on", 0, vec![begun(), gone, begun(), complete]),
    ];
    let verdict = |(name, resumes, events): (&str, usize, Vec<EvidenceEvent>)| {
        format!(
            "{name}: {}",
            judged_after(resumes, SeenOutcome::Complete, 1, &export(events))
        )
    };
    let table: Vec<String> = cases.into_iter().map(verdict).collect();
    insta::assert_snapshot!(table.join("\n"), @r"
    first entry died: agrees
    first entry lost its caller: false
    begun once too often: false
    ended twice: false
    went away for good: false
    did not go on: false
    ");
}
