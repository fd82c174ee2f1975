//! Builders of evidence records, chains and exports for tests.
#![allow(dead_code, reason = "each test file uses some of the builders")]
#![allow(clippy::unwrap_used, reason = "a builder that fails is a failed test")]

use pollendrift_coordination::base::{HostName, Incarnation, SequenceNumber, WallTime};
use pollendrift_coordination::evidence::{
    BodyDigest, ChainAnchor, ChainHead, ChainWriter, DecisionTrace, EvidenceDigest, EvidenceEvent,
    EvidenceExport, OutcomeKind, RequestBegun, RequestFinished, RequestRefused, RequestTimings,
    RetentionApplied, SealedRecord,
};

pub(crate) fn writer(host: &str) -> ChainWriter {
    ChainWriter {
        host: HostName::from(host),
        incarnation: Incarnation(7),
    }
}

pub(crate) fn begun(request: &str) -> EvidenceEvent {
    EvidenceEvent::RequestBegun(RequestBegun {
        request: request.into(),
        customer: "ponant".into(),
        operation: "POST /v1/completions".into(),
        key: None,
        body: BodyDigest::of(b"draft a clause"),
        revision: 4.into(),
        decision: DecisionTrace {
            selector: Some("drafts".into()),
            labels: [("tier".into(), "large".into())].into(),
            considered: Vec::new(),
        },
    })
}

pub(crate) fn finished(request: &str, outcome: OutcomeKind) -> EvidenceEvent {
    EvidenceEvent::RequestFinished(RequestFinished {
        request: request.into(),
        customer: "ponant".into(),
        revision: 4.into(),
        selector: Some("drafts".into()),
        attempts: Vec::new(),
        outcome,
        reason: "the last token was sent".into(),
        status: 200,
        answer: BodyDigest::of(b"answer"),
        timings: RequestTimings::default(),
    })
}

pub(crate) fn refused(request: &str) -> EvidenceEvent {
    EvidenceEvent::RequestRefused(RequestRefused {
        request: request.into(),
        customer: None,
        operation: "POST /v1/completions".into(),
        body: BodyDigest::of(b""),
        revision: Some(4.into()),
        decision: DecisionTrace::default(),
        status: 401,
        outcome: OutcomeKind::NotRun,
        kind: "no-credential".into(),
        reason: "nothing was sent to a backend server".into(),
    })
}

/// Seals `events` as a chain, one millisecond apart.
pub(crate) fn chain(host: &str, events: Vec<EvidenceEvent>) -> Vec<SealedRecord> {
    let mut head = ChainHead {
        writer: writer(host),
        sequence: SequenceNumber(0),
        digest: EvidenceDigest::ZERO,
    };
    let mut records = Vec::new();
    for (millis, event) in (1_764_633_600_000..).zip(events) {
        let sealed = SealedRecord::seal(&head, WallTime(millis), event).unwrap();
        head = sealed.head();
        records.push(sealed);
    }
    records
}

/// Returns a chain of `requests` requests, each with its start and its end.
pub(crate) fn busy_chain(host: &str, requests: usize) -> Vec<SealedRecord> {
    let events = (0..requests).flat_map(|number| {
        let name = format!("{host}-r{number}");
        [begun(&name), finished(&name, OutcomeKind::Complete)]
    });
    chain(host, events.collect())
}

/// Returns the event in which `keeper` records that it dropped a chain up to `dropped`.
pub(crate) fn retention(keeper: &str, dropped: &SealedRecord) -> EvidenceEvent {
    EvidenceEvent::RetentionApplied(RetentionApplied {
        keeper: keeper.into(),
        chain: dropped.record.writer.clone(),
        through: dropped.record.sequence,
        digest: dropped.digest,
        reason: "older than 400 days".into(),
    })
}

pub(crate) fn anchor(dropped: &SealedRecord) -> ChainAnchor {
    ChainAnchor {
        writer: dropped.record.writer.clone(),
        through: dropped.record.sequence,
        digest: dropped.digest,
    }
}

/// Exports complete chains.
pub(crate) fn export(chains: &[Vec<SealedRecord>]) -> Vec<String> {
    export_after(None, chains)
}

/// Exports chains; the first of them starts after `anchor`.
pub(crate) fn export_after(
    anchor: Option<ChainAnchor>,
    chains: &[Vec<SealedRecord>],
) -> Vec<String> {
    let mut export = EvidenceExport::default();
    let mut lines = Vec::new();
    if let Some(anchor) = anchor {
        lines.push(export.anchor(anchor).unwrap());
    }
    for sealed in chains.iter().flatten() {
        export.count_record();
        lines.push(sealed.line.to_string());
    }
    for sealed in chains.iter().filter_map(|chain| chain.last()) {
        lines.push(export.head(sealed.head()).unwrap());
    }
    lines.push(export.end(WallTime(1_764_640_000_000)).unwrap());
    lines
}
