//! Evidence: records, heads and exports as auditors read them, and their digests.

use pollendrift_coordination::base::{Incarnation, WallTime};
use pollendrift_coordination::evidence::{
    AttemptTrace, BodyDigest, ChainAnchor, ChainHead, ChainWriter, ConfigurationChanged,
    DecisionTrace, EvidenceBatch, EvidenceDigest, EvidenceEvent, EvidenceExport, EvidenceFilter,
    MissingRange, OutcomeKind, RefusalsOmitted, RequestBegun, RequestFinished, RequestRefused,
    RequestTimings, RetentionApplied, RevisionInForce, SealedRecord, SelectorVerdict, TracedStage,
    verify,
};

use crate::encoded_text::{cbor, json};
use crate::samples::layers;

const OUTCOMES: [OutcomeKind; 5] = [
    OutcomeKind::CallerGone,
    OutcomeKind::Complete,
    OutcomeKind::Incomplete,
    OutcomeKind::NotRun,
    OutcomeKind::Unknown,
];

fn writer() -> ChainWriter {
    ChainWriter {
        host: "h1".into(),
        incarnation: Incarnation(7),
    }
}

fn decision() -> DecisionTrace {
    DecisionTrace {
        selector: Some("drafts".into()),
        labels: [("tier".into(), "large".into())].into(),
        considered: vec![SelectorVerdict {
            selector: "calls".into(),
            reason: "another service".into(),
        }],
    }
}

fn begun() -> EvidenceEvent {
    EvidenceEvent::RequestBegun(RequestBegun {
        request: "r1".into(),
        customer: "ponant".into(),
        operation: "POST /v1/completions".into(),
        key: Some("key-1".into()),
        body: BodyDigest::of(b"draft a clause"),
        revision: 4.into(),
        decision: decision(),
    })
}

fn attempt() -> AttemptTrace {
    AttemptTrace {
        attempt: 2.into(),
        model: Some("m".into()),
        version: Some("v1".into()),
        adapter: Some("legal".into()),
        stages: vec![TracedStage {
            server: "b1".into(),
            layers: Some(layers(0, 8)),
        }],
        from: 3.into(),
        tokens: 5,
        ending: "complete".into(),
    }
}

fn finished(outcome: OutcomeKind) -> EvidenceEvent {
    EvidenceEvent::RequestFinished(RequestFinished {
        request: "r1".into(),
        customer: "ponant".into(),
        revision: 4.into(),
        selector: Some("drafts".into()),
        attempts: vec![attempt()],
        outcome,
        reason: "the last token was sent".into(),
        status: 200,
        answer: BodyDigest::of(b"answer"),
        timings: RequestTimings {
            queued_us: 11,
            first_us: 12,
            total_us: 13,
        },
    })
}

fn refused() -> EvidenceEvent {
    EvidenceEvent::RequestRefused(RequestRefused {
        request: "r2".into(),
        customer: Some("ponant".into()),
        operation: "POST /v1/completions".into(),
        body: BodyDigest::of(b"draft"),
        revision: Some(4.into()),
        decision: decision(),
        status: 503,
        outcome: OutcomeKind::NotRun,
        kind: "no-route".into(),
        reason: "nothing was sent to a backend server".into(),
    })
}

fn changed() -> EvidenceEvent {
    EvidenceEvent::ConfigurationChanged(ConfigurationChanged {
        change: "c5".into(),
        operator: "anna".into(),
        based_on: 4.into(),
        revision: Some(5.into()),
        documents: BodyDigest::of(b"kind: selector"),
        changed_objects: vec!["selector drafts".into()],
        reason: "accepted".into(),
    })
}

fn keeper_events() -> [EvidenceEvent; 3] {
    [
        EvidenceEvent::RefusalsOmitted(RefusalsOmitted {
            count: 6,
            first: WallTime(1_000),
            last: WallTime(2_000),
        }),
        EvidenceEvent::RetentionApplied(RetentionApplied {
            keeper: "k1".into(),
            chain: writer(),
            through: 2.into(),
            digest: EvidenceDigest::new([0x11; 32]),
            reason: "older than 400 days".into(),
        }),
        EvidenceEvent::RevisionInForce(RevisionInForce { revision: 5.into() }),
    ]
}

fn events() -> Vec<EvidenceEvent> {
    let mut events = vec![changed(), begun()];
    events.extend(OUTCOMES.map(finished));
    events.push(refused());
    events.extend(keeper_events());
    events
}

fn anchor() -> ChainAnchor {
    ChainAnchor {
        writer: writer(),
        through: 2.into(),
        digest: EvidenceDigest::new([0x11; 32]),
    }
}

fn chain() -> Vec<SealedRecord> {
    let mut head = ChainHead {
        writer: writer(),
        sequence: anchor().through,
        digest: anchor().digest,
    };
    let mut records = Vec::new();
    for (time, event) in (5_000..).zip(events()) {
        let sealed = SealedRecord::seal(&head, WallTime(time), event).expect("it seals");
        head = sealed.head();
        records.push(sealed);
    }
    records
}

fn export() -> Vec<String> {
    let mut export = EvidenceExport::default();
    let mut lines = vec![export.anchor(anchor()).expect("JSON")];
    let records = chain();
    for sealed in &records {
        export.count_record();
        lines.push(sealed.line.to_string());
    }
    let last = records.last().expect("records").head();
    lines.push(export.head(last).expect("JSON"));
    lines.push(export.end(WallTime(9_000)).expect("JSON"));
    lines
}

// Guards against a renamed field or variant: digests would change, so auditors could not verify the
// exports that they stored, and keepers would reject the chains of other builds.
#[test]
fn evidence_exports_keep_their_lines_and_digests() {
    let lines = export();
    for sealed in chain() {
        assert_eq!(SealedRecord::parse(&sealed.line), Ok(sealed));
    }
    let report = verify("export", lines.iter().map(String::as_str), &[]);
    assert!(!report.findings.has_errors(), "{}", report.findings);
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a changed text of heads: auditors could no longer verify with the heads that they
// stored.
#[test]
fn evidence_heads_keep_their_text() {
    let head = chain().pop().expect("records").head();
    let missing = MissingRange {
        writer: writer(),
        first: 3.into(),
        last: 4.into(),
    };
    let outcomes = OUTCOMES.map(|outcome| outcome.to_string());
    let lines = [
        head.to_string(),
        json(&head),
        json(&anchor()),
        missing.to_string(),
        cbor(&missing),
        outcomes.join(" "),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a renamed field: hosts and keepers could not request evidence of each other.
#[test]
fn evidence_requests_keep_their_encoding() {
    let filter = EvidenceFilter {
        request: Some("r1".into()),
        customer: Some("ponant".into()),
        from: Some(WallTime(1_000)),
        until: Some(WallTime(2_000)),
        outcome: Some(OutcomeKind::Complete),
        selector: Some("drafts".into()),
    };
    let batch = EvidenceBatch {
        writer: writer(),
        first: 3.into(),
        lines: vec!["line".into()],
    };
    insta::assert_snapshot!([json(&filter), cbor(&filter), cbor(&batch)].join("\n"));
}
