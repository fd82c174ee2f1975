//! What a keeper answers its callers, and when it stands.

use std::collections::BTreeSet;

use pollendrift_coordination::agreement::{
    AgreementInput, AgreementMessage, AgreementNode, AppendOutcome, AppendReply, LogIndex,
    MembershipChange, PersistSequence, RequestToken, RestoredState, Term,
};
use pollendrift_coordination::base::{HostName, MonotonicTime};

use super::support::{from_b, keeper, leader, membership, outcomes, propose, settings};

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
