//! The agreement core's contract, one node at a time: what it takes, refuses, holds and drops.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementEffect, AgreementEnvelope, AgreementInput, AgreementMessage, AgreementNode,
    AgreementSettings, AppendOutcome, AppendReply, AppendRequest, EntryPayload, Heartbeat,
    HeartbeatRound, IdentityRejected, KeeperId, LogEntry, LogIndex, Membership, MembershipChange,
    PersistSequence, RequestToken, RestoredState, SnapshotChunk, SnapshotMark, StartMark, Term,
    VoteKind, VoteReply, VoteRequest,
};
use pollendrift_coordination::base::{HostName, Incarnation, MonotonicTime};
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};

fn keeper(host: &str, incarnation: u64) -> KeeperId {
    KeeperId {
        host: HostName::from(host),
        incarnation: Incarnation(incarnation),
    }
}

fn membership() -> Membership {
    Membership {
        voters: BTreeSet::from([keeper("a", 2), keeper("b", 2), keeper("c", 2)]),
        learners: BTreeSet::new(),
    }
}

fn settings() -> AgreementSettings {
    AgreementSettings {
        max_command_bytes: 16,
        max_uncommitted_entries: 2,
        max_pending_reads: 1,
        ..AgreementSettings::default()
    }
}

fn follower() -> AgreementNode {
    let restored = RestoredState::founding(membership());
    AgreementNode::new(
        settings(),
        keeper("a", 2),
        restored,
        MonotonicTime::START,
        7,
    )
}

fn from_b(message: AgreementMessage) -> AgreementInput {
    from_keeper(keeper("b", 2), message)
}

fn from_keeper(from: KeeperId, message: AgreementMessage) -> AgreementInput {
    AgreementInput::Message(AgreementEnvelope {
        from,
        to: keeper("a", 2),
        start: StartMark {
            nonce: 1,
            term: Term(1),
            last_index: LogIndex(1),
        },
        message,
    })
}

fn grant(kind: VoteKind) -> AgreementInput {
    let term = Term(2);
    let granted = true;
    from_b(AgreementMessage::VoteReply(VoteReply {
        kind,
        term,
        granted,
    }))
}

/// A leader of three in term 2 whose election ends at the returned time.
fn leader() -> (AgreementNode, MonotonicTime) {
    let mut node = follower();
    let now = node.next_deadline();
    node.tick(now, Vec::new());
    node.tick(now, vec![grant(VoteKind::PreVote)]);
    let synced = AgreementInput::Persisted(PersistSequence(1));
    node.tick(now, vec![synced, grant(VoteKind::Election)]);
    (node, now)
}

fn propose(token: u64, bytes: usize) -> AgreementInput {
    let command = Arc::from(vec![0_u8; bytes]);
    AgreementInput::Propose {
        token: RequestToken(token),
        command,
    }
}

fn append(prev: u64, entries: &[(u64, u64)]) -> AgreementMessage {
    let entry = |(index, term): &(u64, u64)| LogEntry {
        index: LogIndex(*index),
        term: Term(*term),
        payload: EntryPayload::Noop,
    };
    AgreementMessage::Append(AppendRequest {
        term: Term(2),
        prev_index: LogIndex(prev),
        prev_term: Term(1),
        entries: entries.iter().map(entry).collect(),
        commit: LogIndex(1),
    })
}

/// Kinds of effects with their outcome, without messages and status.
fn outcomes(effects: &[AgreementEffect]) -> Vec<String> {
    let outcome = |effect: &AgreementEffect| match effect {
        AgreementEffect::Proposal { token, outcome } => Some(format!("{token} {outcome:?}")),
        AgreementEffect::Read { token, outcome } => Some(format!("{token} {outcome:?}")),
        AgreementEffect::MembershipChange { outcome, .. } => Some(format!("{outcome:?}")),
        AgreementEffect::HandOver { outcome, .. } => Some(format!("{outcome:?}")),
        AgreementEffect::MessageDropped { reason, .. } => Some(reason.to_string()),
        AgreementEffect::Persist(order) => Some(format!("persist {}", order.entries.len())),
        AgreementEffect::Send(envelope) => match &envelope.message {
            AgreementMessage::AppendReply(reply) => Some(format!("{:?}", reply.outcome)),
            _ => None,
        },
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

/// The caller of an isolated leader waits, then is told `unknown`, and later ones are refused.
/// No peer answers; at the election timeout the leader steps down before it reads its inputs,
/// so it refuses what reaches it in that very moment.
#[test]
fn isolated_leader_stops_claiming() {
    let (mut node, now) = leader();
    node.tick(now, vec![propose(1, 4)]);
    let end = node.leads_until(now).unwrap();
    let read = AgreementInput::Read {
        token: RequestToken(2),
    };
    let effects = node.tick(end, vec![propose(3, 4), read]);
    insta::assert_debug_snapshot!(outcomes(&effects), @r#"
    [
        "1 Unknown",
        "3 NotAppended(NotLeader { leader: None })",
        "2 Refused(NotLeader { leader: None })",
    ]
    "#);
    assert_eq!(node.leads_until(end), None);
}

/// A leader would lose an acknowledged entry if a follower answered before its sync and crashed.
#[test]
fn follower_answers_only_after_the_sync() {
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

/// A caller's accepted entry could vanish if a new leader took an earlier term's entry for committed
/// because a majority holds it: a third keeper with a later term's entry could still be elected and
/// replace it. So it commits only together with the first entry of the leader's own term.
#[test]
fn leader_commits_no_earlier_term_by_counting() {
    let (mut node, now) = leader();
    let matched = |index| {
        from_b(AgreementMessage::AppendReply(AppendReply {
            term: Term(2),
            outcome: AppendOutcome::Matched(LogIndex(index)),
        }))
    };
    let mut commits = Vec::new();
    let synced = AgreementInput::Persisted(PersistSequence(2));
    for input in [synced, matched(1), matched(2)] {
        node.tick(now, vec![input]);
        commits.push(node.commit_index().0);
    }
    assert_eq!(commits, [0, 0, 2]);
}

/// Two leaders could be elected if a disk that came back empty counted under its new incarnation
/// before the membership names it, or a host that is in no membership. Only the voter counts.
#[test]
fn only_voters_of_the_membership_are_counted() {
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

/// A follower that holds entries of a lost leader would deliver them as accepted if it took the new
/// leader's commit index for its own whole log. Only what that leader compared is committed.
#[test]
fn follower_commits_only_what_was_compared() {
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

/// Callers over a bound are told at once that nothing was appended. All proposals of a tick, and
/// those that come while a sync runs, share one persist order.
#[test]
fn bounds_refuse_and_proposals_share_a_sync() {
    let (mut node, now) = leader();
    let inputs = vec![propose(1, 17), propose(2, 16), propose(3, 1), propose(4, 1)];
    let reads = [5, 6].map(|token| AgreementInput::Read {
        token: RequestToken(token),
    });
    let early = AgreementInput::ChangeMembership {
        token: RequestToken(7),
        change: MembershipChange::Remove(keeper("b", 2)),
    };
    let inputs = inputs.into_iter().chain(reads).chain([early]).collect();
    let mut told = outcomes(&node.tick(now, inputs));
    let synced = AgreementInput::Persisted(PersistSequence(2));
    told.extend(outcomes(&node.tick(now, vec![synced])));
    insta::assert_debug_snapshot!(told, @r#"
    [
        "1 NotAppended(TooLarge { size: 17, limit: 16 })",
        "4 NotAppended(Busy)",
        "6 Refused(Busy)",
        "NotAppended(ChangePending)",
        "persist 2",
    ]
    "#);
}

/// Operators are told why a change of the membership is not made; a learner that lacks entries and
/// counted would turn the loss of one more host into a standstill.
#[test]
fn membership_changes_that_would_do_harm_are_refused() {
    let (mut node, now) = leader();
    let matched = |index| {
        from_b(AgreementMessage::AppendReply(AppendReply {
            term: Term(2),
            outcome: AppendOutcome::Matched(LogIndex(index)),
        }))
    };
    let synced = |sequence| AgreementInput::Persisted(PersistSequence(sequence));
    let change = |change| AgreementInput::ChangeMembership {
        token: RequestToken(1),
        change,
    };
    let learner = change(MembershipChange::AddLearner(keeper("d", 1)));
    node.tick(now, vec![synced(2), matched(2)]);
    node.tick(now, vec![learner]);
    node.tick(now, vec![synced(3), matched(3)]);
    let refused = [
        MembershipChange::Promote(keeper("d", 1)),
        MembershipChange::Promote(keeper("c", 2)),
        MembershipChange::AddLearner(keeper("b", 1)),
        MembershipChange::Remove(keeper("e", 1)),
        MembershipChange::Remove(keeper("a", 2)),
    ];
    let target = HostName::from("e");
    let token = RequestToken(2);
    let mut inputs: Vec<AgreementInput> = refused.into_iter().map(change).collect();
    inputs.push(AgreementInput::HandOver { token, target });
    insta::assert_debug_snapshot!(outcomes(&node.tick(now, inputs)), @r#"
    [
        "NotAppended(NotCaughtUp)",
        "NotAppended(NotLearner)",
        "NotAppended(AlreadyMember)",
        "NotAppended(NotMember)",
        "NotAppended(HandOverFirst)",
        "Refused(NotMember)",
    ]
    "#);
}

/// Messages that must not count are dropped with their reason, and change nothing.
#[test]
fn messages_that_must_not_count_are_dropped() {
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
            "former receiver",
            keeper("b", 2),
            keeper("a", 1),
            heartbeat(2),
        ),
        ("own identity", a(), a(), heartbeat(2)),
        ("former sender", keeper("b", 1), a(), heartbeat(2)),
        ("term far ahead", keeper("b", 2), a(), heartbeat(u64::MAX)),
        ("gap in entries", keeper("b", 2), a(), append(1, &[(3, 2)])),
        (
            "falling terms",
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
            "against what is committed",
            keeper("b", 2),
            a(),
            append(0, &[(1, 2)]),
        ),
    ];
    let mut told = String::new();
    for (name, from, to, message) in cases {
        let mut node = follower();
        node.tick(MonotonicTime::START, vec![from_b(append(1, &[]))]);
        let last = node.last_index();
        let start = StartMark {
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
        told.push_str(&format!("{name}: {}\n", outcomes(&effects).join(", ")));
    }
    insta::assert_snapshot!(told, @"
    former receiver: not addressed to this incarnation
    own identity: sent under this keeper's own identity
    former sender: sent by a former incarnation
    term far ahead: content is malformed
    gap in entries: content is malformed
    falling terms: content is malformed
    term above its leader's: content is malformed
    against what is committed: content is malformed
    ");
}

/// An empty disk waits to be added, and a disk with a gap takes no part: neither ever stands.
#[test]
fn empty_and_broken_disks_never_stand() {
    let mut broken = RestoredState::founding(membership());
    broken.entries[0].index = LogIndex(2);
    let mut roles = Vec::new();
    for restored in [RestoredState::default(), broken] {
        let id = keeper("a", 2);
        let mut node = AgreementNode::new(settings(), id, restored, MonotonicTime::START, 7);
        let never = MonotonicTime::from_micros(u64::MAX);
        assert_eq!(node.next_deadline(), never);
        node.tick(never, Vec::new());
        roles.push(node.status().role.to_string());
    }
    insta::assert_debug_snapshot!(roles, @r#"
    [
        "outsider",
        "retired",
    ]
    "#);
}

/// A group of one leads itself, and accepts once its own disk has the command.
#[test]
fn one_keeper_alone_accepts_after_its_own_sync() {
    let mut alone = membership();
    alone.voters = BTreeSet::from([keeper("a", 2)]);
    let restored = RestoredState::founding(alone);
    let start = MonotonicTime::START;
    let mut node = AgreementNode::new(settings(), keeper("a", 2), restored, start, 7);
    let now = node.next_deadline();
    let synced = |sequence| AgreementInput::Persisted(PersistSequence(sequence));
    let mut told = Vec::new();
    for inputs in [
        vec![],
        vec![synced(1)],
        vec![propose(1, 4), synced(2)],
        vec![synced(3)],
    ] {
        told.push(outcomes(&node.tick(now, inputs)).join(", "));
    }
    insta::assert_debug_snapshot!(told, @r#"
    [
        "persist 0",
        "persist 1",
        "persist 1",
        "1 Committed(LogIndex(3))",
    ]
    "#);
}

/// Keepers with one seed and one incarnation would split their votes for ever if they drew the
/// same timeouts.
#[test]
fn keepers_with_the_same_seed_draw_other_timeouts() {
    let due = ["a", "b", "c"].map(|host| {
        let restored = RestoredState::founding(membership());
        let id = keeper(host, 2);
        AgreementNode::new(settings(), id, restored, MonotonicTime::START, 7).next_deadline()
    });
    assert!(due[0] != due[1] && due[1] != due[2] && due[0] != due[2]);
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
            mark: SnapshotMark {
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
    /// Whatever a peer sends, nothing panics, and neither term nor commit index falls.
    #[test]
    fn any_messages_keep_the_invariants(messages in proptest::collection::vec(any_message(), 1..40)) {
        let mut node = follower();
        let mut sequence = 0;
        for message in messages {
            let before = (node.status().term, node.commit_index());
            let effects = node.tick(node.next_deadline(), vec![from_b(message)]);
            let is_order = |effect: &&AgreementEffect| matches!(effect, AgreementEffect::Persist(_));
            sequence += effects.iter().filter(is_order).count() as u64;
            let synced = AgreementInput::Persisted(PersistSequence(sequence));
            node.tick(MonotonicTime::START, vec![synced]);
            assert!(node.status().term >= before.0 && node.commit_index() >= before.1);
            assert!(node.commit_index() <= node.last_index());
            assert!(node.durable_index() <= node.last_index());
        }
    }
}
