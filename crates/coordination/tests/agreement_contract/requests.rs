//! Answers to callers, and the conditions for starting an election.

use std::collections::BTreeSet;

use pollendrift_coordination::agreement::{
    AgreementInput, AgreementMessage, AgreementNode, AppendOutcome, AppendReply, LogIndex,
    MembershipChange, PersistSequence, RequestToken, RestoredState, Term,
};
use pollendrift_coordination::base::{HostName, MonotonicTime};

use super::support::{from_b, keeper, leader, membership, outcomes, propose, settings};

// Guards against an isolated leader that keeps claiming leadership and lets callers wait. At the
// election timeout it steps down before it processes inputs: pending proposals become `Unknown`,
// and requests that arrive in the same tick are refused.
#[test]
fn isolated_leader_steps_down_after_the_election_timeout() {
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

// Guards against an accepted entry that disappears because a leader commits an earlier term's entry
// as soon as a majority has it: a third keeper with an entry of a later term can still be elected
// and replace it. Such an entry must be committed only together with the first entry of the
// leader's own term.
#[test]
fn leader_does_not_commit_earlier_terms_by_counting() {
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

// Guards against unbounded queues, which exhaust memory, and one sync per proposal, which limits
// the rate. Requests above a limit are refused at once; proposals of a tick, and those during a
// sync, share one persist request.
#[test]
fn requests_above_limits_are_refused_and_proposals_share_a_sync() {
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
    let mut observed = outcomes(&node.tick(now, inputs));
    let synced = AgreementInput::Persisted(PersistSequence(2));
    observed.extend(outcomes(&node.tick(now, vec![synced])));
    insta::assert_debug_snapshot!(observed, @r#"
    [
        "1 NotAppended(TooLarge { size: 17, limit: 16 })",
        "4 NotAppended(Busy)",
        "6 Refused(Busy)",
        "NotAppended(ChangePending)",
        "persist 2",
    ]
    "#);
}

// Guards against the promotion of a learner that lacks entries: the loss of one more host would
// become an outage. Harmful membership changes are refused with a reason for the operator.
#[test]
fn harmful_membership_changes_are_refused() {
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

// Guards against the election of a keeper that lacks acknowledged entries, because its disk is
// empty or its log has a gap. It must never start an election: the former waits to be added, the
// latter is retired.
#[test]
fn empty_and_broken_disks_never_start_an_election() {
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

// Guards against a group of one that never commits, because it gets no replies. It must elect
// itself, and accept a command after its own sync.
#[test]
fn single_keeper_accepts_after_its_own_sync() {
    let mut alone = membership();
    alone.voters = BTreeSet::from([keeper("a", 2)]);
    let restored = RestoredState::founding(alone);
    let start = MonotonicTime::START;
    let mut node = AgreementNode::new(settings(), keeper("a", 2), restored, start, 7);
    let now = node.next_deadline();
    let synced = |sequence| AgreementInput::Persisted(PersistSequence(sequence));
    let mut observed = Vec::new();
    for inputs in [
        vec![],
        vec![synced(1)],
        vec![propose(1, 4), synced(2)],
        vec![synced(3)],
    ] {
        observed.push(outcomes(&node.tick(now, inputs)).join(", "));
    }
    insta::assert_debug_snapshot!(observed, @r#"
    [
        "persist 0",
        "persist 1",
        "persist 1",
        "1 Committed(LogIndex(3))",
    ]
    "#);
}

// Guards against keepers with the same seed and incarnation that draw the same timeouts and split
// their votes forever.
#[test]
fn keepers_with_the_same_seed_draw_different_timeouts() {
    let due = ["a", "b", "c"].map(|host| {
        let restored = RestoredState::founding(membership());
        let id = keeper(host, 2);
        AgreementNode::new(settings(), id, restored, MonotonicTime::START, 7).next_deadline()
    });
    assert!(due[0] != due[1] && due[1] != due[2] && due[0] != due[2]);
}
