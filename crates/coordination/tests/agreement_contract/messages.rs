//! Handling of messages: which are counted, delayed until a sync, or dropped.

use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, AgreementMessage, Heartbeat,
    HeartbeatRound, IdentityRejected, LogIndex, PersistSequence, ProcessStart, SnapshotChunk,
    SnapshotMetadata, Term, VoteKind, VoteRequest,
};
use pollendrift_coordination::base::MonotonicTime;
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};

use super::support::{append, follower, from_b, from_keeper, grant, keeper, membership, outcomes};

// Guards against a reply before the sync: if the follower then crashes, the leader loses an
// acknowledged entry.
#[test]
fn follower_replies_to_an_append_only_after_the_sync() {
    let mut node = follower();
    let message = from_b(append(1, &[(2, 2), (3, 2)]));
    let before = node.tick(MonotonicTime::START, vec![message]);
    let synced = AgreementInput::Persisted(PersistSequence(1));
    let after = node.tick(MonotonicTime::START, vec![synced]);
    insta::assert_debug_snapshot!((outcomes(&before), outcomes(&after)), @r#"
    (
        [
            "persist 2",
        ],
        [
            "Matched(LogIndex(3))",
        ],
    )
    "#);
}

// Guards against two elected leaders. Votes must not count from keepers outside the membership: a
// disk that returned empty under a new incarnation, or a host that no membership contains.
#[test]
fn only_votes_of_voters_are_counted() {
    let mut node = follower();
    let now = node.next_deadline();
    node.tick(now, Vec::new());
    let mut roles = Vec::new();
    for voter in [keeper("b", 3), keeper("d", 2), keeper("c", 2)] {
        let AgreementInput::Message(vote) = grant(VoteKind::PreVote) else {
            return;
        };
        node.tick(now, vec![from_keeper(voter, vote.message)]);
        roles.push((node.status().role.to_string(), node.status().term.0));
    }
    insta::assert_debug_snapshot!(roles, @r#"
    [
        (
            "candidate",
            1,
        ),
        (
            "candidate",
            1,
        ),
        (
            "candidate",
            2,
        ),
    ]
    "#);
}

// Guards against a follower that delivers entries of a lost leader as committed, because it applies
// the new leader's commit index to its complete log. Only entries that the new leader compared
// count.
#[test]
fn follower_commits_only_compared_entries() {
    let mut node = follower();
    let stale = from_b(append(1, &[(2, 1), (3, 1)]));
    let AgreementMessage::Append(mut probe) = append(1, &[]) else {
        return;
    };
    probe.commit = LogIndex(3);
    let probe = from_b(AgreementMessage::Append(probe));
    node.tick(MonotonicTime::START, vec![stale, probe]);
    assert_eq!(
        (node.commit_index(), node.last_index()),
        (LogIndex(1), LogIndex(3))
    );
}

// Guards against a message from or to a wrong incarnation, or with contradictory content, that
// changes the term or the log. The node must drop it with the reason and stay unchanged.
#[test]
fn invalid_messages_are_dropped() {
    let heartbeat = |term| {
        AgreementMessage::Heartbeat(Heartbeat {
            term: Term(term),
            round: HeartbeatRound(1),
            sent_at: MonotonicTime::START,
            witnessed: Vec::new(),
        })
    };
    let a = || keeper("a", 2);
    let cases = [
        (
            "addressed to a former incarnation",
            keeper("b", 2),
            keeper("a", 1),
            heartbeat(2),
        ),
        ("own identity", a(), a(), heartbeat(2)),
        ("former sender", keeper("b", 1), a(), heartbeat(2)),
        ("term far ahead", keeper("b", 2), a(), heartbeat(u64::MAX)),
        ("gap in entries", keeper("b", 2), a(), append(1, &[(3, 2)])),
        (
            "decreasing terms",
            keeper("b", 2),
            a(),
            append(1, &[(2, 2), (3, 1)]),
        ),
        (
            "term above its leader's",
            keeper("b", 2),
            a(),
            append(1, &[(2, 3)]),
        ),
        (
            "conflicts with a committed entry",
            keeper("b", 2),
            a(),
            append(0, &[(1, 2)]),
        ),
    ];
    let mut report = String::new();
    for (name, from, to, message) in cases {
        let mut node = follower();
        node.tick(MonotonicTime::START, vec![from_b(append(1, &[]))]);
        let last = node.last_index();
        let start = ProcessStart {
            nonce: 1,
            term: Term(1),
            last_index: LogIndex(1),
        };
        let envelope = AgreementEnvelope {
            from,
            to,
            start,
            message,
        };
        let input = AgreementInput::Message(envelope);
        let effects = node.tick(MonotonicTime::START, vec![input]);
        assert_eq!((node.last_index(), node.status().term), (last, Term(2)));
        report.push_str(&format!("{name}: {}\n", outcomes(&effects).join(", ")));
    }
    insta::assert_snapshot!(report, @"
    addressed to a former incarnation: not addressed to this incarnation
    own identity: sent under this keeper's own identity
    former sender: sent by a former incarnation
    term far ahead: content is malformed
    gap in entries: content is malformed
    decreasing terms: content is malformed
    term above its leader's: content is malformed
    conflicts with a committed entry: content is malformed
    ");
}

fn any_message() -> impl Strategy<Value = AgreementMessage> {
    let number = || 0..5_u64;
    let vote =
        (number(), number(), number(), any::<bool>()).prop_map(|(term, index, last, pre)| {
            AgreementMessage::VoteRequest(VoteRequest {
                kind: if pre {
                    VoteKind::PreVote
                } else {
                    VoteKind::HandOver
                },
                term: Term(term),
                last_index: LogIndex(index),
                last_term: Term(last),
            })
        });
    let entries = proptest::collection::vec((number(), number()), 0..4);
    let appends = (number(), entries).prop_map(|(prev, entries)| append(prev, &entries));
    let chunk = (number(), number(), number()).prop_map(|(index, offset, total)| {
        AgreementMessage::SnapshotChunk(SnapshotChunk {
            term: Term(2),
            mark: SnapshotMetadata {
                index: LogIndex(index),
                term: Term(1),
                membership: membership(),
            },
            offset,
            total,
            bytes: Arc::from([0_u8; 2].as_slice()),
        })
    });
    let rejected = number().prop_map(|nonce| {
        AgreementMessage::IdentityRejected(IdentityRejected {
            nonce,
            witnessed_term: Term(9),
            witnessed_index: LogIndex(9),
        })
    });
    let timeout = number().prop_map(|term| AgreementMessage::TimeoutNow(Term(term)));
    prop_oneof![
        vote,
        appends,
        chunk,
        rejected,
        timeout,
        Just(append(1, &[]))
    ]
}

proptest! {
    // Guards against messages of a peer that cause a panic or decrease the term or commit index.
    #[test]
    fn any_messages_keep_the_invariants(messages in proptest::collection::vec(any_message(), 1..40)) {
        let mut node = follower();
        let mut sequence = 0;
        for message in messages {
            let before = (node.status().term, node.commit_index());
            let effects = node.tick(node.next_deadline(), vec![from_b(message)]);
            let is_persist = |effect: &&AgreementEffect| matches!(effect, AgreementEffect::Persist(_));
            sequence += effects.iter().filter(is_persist).count() as u64;
            let synced = AgreementInput::Persisted(PersistSequence(sequence));
            node.tick(MonotonicTime::START, vec![synced]);
            assert!(node.status().term >= before.0 && node.commit_index() >= before.1);
            assert!(node.commit_index() <= node.last_index());
            assert!(node.durable_index() <= node.last_index());
        }
    }
}
