//! Sample values used by several tests.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    EntryPayload, KeeperId, LogEntry, LogIndex, Membership, SnapshotMetadata, Term,
};
use pollendrift_coordination::base::{
    FindingList, Incarnation, LayerRange, Place, Revision, WallTime,
};
use pollendrift_coordination::claims::{
    AnswerBody, AnswerHeader, ClaimScope, ClaimTicket, StoredAnswer,
};
use pollendrift_coordination::configuration::{
    ChangeConflict, ChangeSummary, ConfigurationDigest, DifferenceSummary, DocumentKey,
    LabelSubject,
};

pub(crate) fn keeper(host: &str, incarnation: u64) -> KeeperId {
    KeeperId {
        host: host.into(),
        incarnation: Incarnation(incarnation),
    }
}

pub(crate) fn membership() -> Membership {
    Membership {
        voters: [keeper("k1", 11), keeper("k2", 12)].into(),
        learners: [keeper("k3", 13)].into(),
    }
}

pub(crate) fn mark() -> SnapshotMetadata {
    SnapshotMetadata {
        index: LogIndex(40),
        term: Term(3),
        membership: membership(),
    }
}

pub(crate) fn entries() -> Vec<LogEntry> {
    let payloads = [
        EntryPayload::Noop,
        EntryPayload::Command(Arc::from([0xde, 0xad])),
        EntryPayload::Membership(membership()),
    ];
    let entry = |(index, payload)| LogEntry {
        index: LogIndex(index),
        term: Term(4),
        payload,
    };
    (41..).zip(payloads).map(entry).collect()
}

pub(crate) fn layers(first: u32, end: u32) -> LayerRange {
    LayerRange::new(first, end).expect("a range")
}

pub(crate) fn findings() -> FindingList {
    let place = |line| Place {
        file: "f".into(),
        line,
        column: 7,
    };
    let mut findings = FindingList::default();
    findings.warning(place(5), "odd", "even");
    findings.error(place(6), "bad", "good");
    findings
}

pub(crate) fn document_keys() -> [DocumentKey; 6] {
    let labels = |subject| DocumentKey::Labels {
        subject,
        name: "n*".into(),
        matching: "tier In [gold]".into(),
    };
    [
        labels(LabelSubject::BackendServer),
        labels(LabelSubject::Customer),
        labels(LabelSubject::Host),
        labels(LabelSubject::Request),
        DocumentKey::Selector("s1".into()),
        DocumentKey::Source,
    ]
}

pub(crate) fn difference() -> DifferenceSummary {
    let [server, customer, host, request, selector, source] = document_keys();
    DifferenceSummary {
        added: vec![server, customer],
        removed: vec![host, request],
        changed: vec![selector, source],
        unnamed: 9,
    }
}

pub(crate) fn summary() -> ChangeSummary {
    ChangeSummary {
        revision: Revision(6),
        change_id: "c5".into(),
        operator: "anna".into(),
        time: WallTime(1_700),
        digest: ConfigurationDigest([0xab; 32]),
        difference: difference(),
    }
}

pub(crate) fn conflict() -> ChangeConflict {
    ChangeConflict {
        based_on: Revision(5),
        current: Revision(6),
        winner: Some(summary()),
        difference: DifferenceSummary::default(),
    }
}

pub(crate) fn scope() -> ClaimScope {
    ClaimScope {
        customer: "ponant".into(),
        service: "booking".into(),
        key: "key-1".into(),
    }
}

pub(crate) fn ticket() -> ClaimTicket {
    ClaimTicket {
        host: "h1".into(),
        incarnation: Incarnation(8),
        sequence: 21.into(),
    }
}

pub(crate) fn answer(body: AnswerBody) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![AnswerHeader {
            name: "content-type".into(),
            value: "text/plain".into(),
        }],
        body,
    }
}
