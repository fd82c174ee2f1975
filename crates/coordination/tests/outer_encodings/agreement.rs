//! Agreement between keepers: messages, and what keepers store.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEnvelope, AgreementMessage, AppendOutcome, AppendReply, AppendRequest, HardState,
    Heartbeat, HeartbeatReply, HeartbeatRound, IdentityRejected, LogIndex, ObservedAck,
    ProcessStart, SnapshotChunk, SnapshotOutcome, SnapshotReply, Term, VoteKind, VoteReply,
    VoteRequest,
};
use pollendrift_coordination::base::MonotonicTime;

use crate::encoded_text::cbor;
use crate::samples::{entries, keeper, mark, membership};

const TERM: Term = Term(4);
const SENT: MonotonicTime = MonotonicTime::from_micros(5_000);

fn start() -> ProcessStart {
    ProcessStart {
        nonce: 77,
        term: Term(2),
        last_index: LogIndex(30),
    }
}

fn votes(kind: VoteKind) -> [AgreementMessage; 2] {
    [
        AgreementMessage::VoteRequest(VoteRequest {
            kind,
            term: TERM,
            last_index: LogIndex(43),
            last_term: Term(3),
        }),
        AgreementMessage::VoteReply(VoteReply {
            kind,
            term: TERM,
            granted: true,
        }),
    ]
}

fn append() -> AgreementMessage {
    AgreementMessage::Append(AppendRequest {
        term: TERM,
        prev_index: LogIndex(40),
        prev_term: Term(3),
        entries: entries(),
        commit: LogIndex(39),
    })
}

fn append_replies() -> [AgreementMessage; 3] {
    let outcomes = [
        AppendOutcome::Matched(LogIndex(43)),
        AppendOutcome::Mismatch {
            refused: LogIndex(40),
            hint_index: LogIndex(38),
            hint_term: Term(2),
        },
        AppendOutcome::StaleTerm,
    ];
    outcomes.map(|outcome| {
        AgreementMessage::AppendReply(AppendReply {
            term: TERM,
            outcome,
        })
    })
}

fn heartbeats() -> [AgreementMessage; 2] {
    let witnessed = ObservedAck {
        keeper: keeper("k2", 12),
        start: start(),
        term: Term(3),
        index: LogIndex(41),
    };
    [
        AgreementMessage::Heartbeat(Heartbeat {
            term: TERM,
            round: HeartbeatRound(9),
            sent_at: SENT,
            witnessed: vec![witnessed],
        }),
        AgreementMessage::HeartbeatReply(HeartbeatReply {
            term: TERM,
            round: HeartbeatRound(9),
            sent_at: SENT,
            commit: LogIndex(42),
        }),
    ]
}

fn snapshots() -> Vec<AgreementMessage> {
    let chunk = AgreementMessage::SnapshotChunk(SnapshotChunk {
        term: TERM,
        mark: mark(),
        offset: 64,
        total: 66,
        bytes: Arc::from([0xbe, 0xef]),
    });
    let outcomes = [
        SnapshotOutcome::Continue(66),
        SnapshotOutcome::Installed(LogIndex(40)),
    ];
    let replies = outcomes.map(|outcome| {
        AgreementMessage::SnapshotReply(SnapshotReply {
            term: TERM,
            index: LogIndex(40),
            outcome,
        })
    });
    std::iter::once(chunk).chain(replies).collect()
}

fn messages() -> Vec<AgreementMessage> {
    let mut messages = Vec::new();
    for kind in [VoteKind::PreVote, VoteKind::Election, VoteKind::HandOver] {
        messages.extend(votes(kind));
    }
    messages.push(append());
    messages.extend(append_replies());
    messages.extend(heartbeats());
    messages.extend(snapshots());
    messages.push(AgreementMessage::TimeoutNow(TERM));
    messages.push(AgreementMessage::IdentityRejected(IdentityRejected {
        nonce: 77,
        witnessed_term: TERM,
        witnessed_index: LogIndex(42),
    }));
    messages
}

// Guards against a renamed field: old and new keepers would be unable to read each other during an upgrade.
#[test]
fn agreement_messages_keep_their_encoding() {
    let shown: Vec<String> = messages().iter().map(cbor).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

// Guards against a renamed field of the envelope: keepers would drop all messages of other builds.
#[test]
fn agreement_envelopes_keep_their_encoding() {
    let envelope = AgreementEnvelope {
        from: keeper("k1", 11),
        to: keeper("k2", 12),
        start: start(),
        message: AgreementMessage::TimeoutNow(TERM),
    };
    insta::assert_snapshot!(cbor(&envelope));
}

// Guards against a renamed field: a keeper could not read the entries, votes and memberships that it
// has stored.
#[test]
fn agreement_entries_keep_their_encoding() {
    let hard = HardState {
        term: TERM,
        voted_for: Some(keeper("k2", 12)),
    };
    let mut shown: Vec<String> = entries().iter().map(cbor).collect();
    shown.extend([cbor(&hard), cbor(&mark()), cbor(&membership())]);
    shown.push(keeper("k1", 11).to_string());
    insta::assert_snapshot!(shown.join("\n"));
}
