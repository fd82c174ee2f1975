//! Texts that are sent to callers and operators and stored in evidence.

use std::fmt::Display;
use std::time::Duration;

use pollendrift_coordination::agreement::{LogIndex, RefusalReason, StateMachineError};
use pollendrift_coordination::base::{MonotonicTime, Revision, WallTime};
use pollendrift_coordination::claims::NotRunReason;
use pollendrift_coordination::configuration::{
    AllowMismatch, ApplyError, ConsideredSelector, LabelKey, LabelValue, Mismatch, Requirement,
    RequirementTest, SelectMismatch, SelectionRefusal, SelectorTarget, ServiceState,
};
use pollendrift_coordination::evidence::{BatchRefusal, BufferError, EvidenceError};
use pollendrift_coordination::leases::RenewalDecodeError;
use pollendrift_coordination::ledger::DropReason;
use pollendrift_coordination::ledger::{AttemptError, ChainError, ChainLink};
use pollendrift_coordination::limits;
use pollendrift_coordination::placement::{
    HeldWeights, LoadOrder, PlacementWait, UnloadPolicy, WeightsId,
};
use pollendrift_coordination::replicated::ReplicatedTime;
use pollendrift_coordination::retries::{CallKind, RunProof, SendOutcome, StopReason};
use pollendrift_coordination::revision_follower::UnconfirmedRevision;
use pollendrift_coordination::routes::TableError;
use pollendrift_coordination::routing::{NoRoute, NoRouteReason, RejectCounts};
use pollendrift_coordination::streams::EventTooLong;

use crate::samples::{findings, keeper, layers};

fn lines<T, I>(values: I) -> String
where
    T: Display,
    I: IntoIterator<Item = T>,
{
    let lines: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    lines.join("\n")
}

fn mismatches() -> [Mismatch; 6] {
    let value = |text| LabelValue::new(text).expect("a value");
    let values = || [value("gold"), value("silver")].into();
    let tests = [
        RequirementTest::In(values()),
        RequirementTest::NotIn(values()),
        RequirementTest::Exists,
        RequirementTest::DoesNotExist,
        RequirementTest::Gt(7),
        RequirementTest::Lt(8),
    ];
    tests.map(|test| Mismatch {
        found: (test != RequirementTest::Exists).then(|| value("5")),
        requirement: Requirement {
            key: LabelKey::new("tier").expect("a key"),
            test,
        },
    })
}

fn targets() -> [SelectorTarget; 2] {
    [
        SelectorTarget::Model {
            model: "m".into(),
            version: Some("v1".into()),
            adapter: Some("legal".into()),
        },
        SelectorTarget::Service("booking".into()),
    ]
}

// Guards against changed reasons why no selector serves a request, in answers and evidence.
#[test]
fn refusals_of_selection_keep_their_text() {
    let mut reasons = targets().map(SelectMismatch::Target).to_vec();
    reasons.push(SelectMismatch::Adapter("legal".into()));
    reasons.extend(mismatches().map(SelectMismatch::Label));
    let considered = reasons.into_iter().map(|reason| ConsideredSelector {
        selector: "drafts".into(),
        reason,
    });
    let refusal = SelectionRefusal {
        revision: Revision(6),
        considered: considered.collect(),
        unnamed: 9,
    };
    let mut allows = targets().map(AllowMismatch::Target).to_vec();
    allows.extend(mismatches().map(AllowMismatch::Label));
    allows.extend([
        AllowMismatch::OutOfService,
        AllowMismatch::Version,
        AllowMismatch::Adapter("legal".into()),
    ]);
    let states = [ServiceState::InService, ServiceState::OutOfService];
    let texts = [refusal.to_string(), lines(allows), lines(states)];
    insta::assert_snapshot!(texts.join("\n"));
}

// Guards against changed reasons why no route was found or a request was not accepted, in answers and
// evidence.
#[test]
fn refusals_of_requests_keep_their_text() {
    let counts = RejectCounts {
        role: 1,
        not_permitted: 2,
        excluded: 3,
        ejected: 4,
        kv_full: 5,
        share_used: 6,
    };
    let version = || "v1".into();
    let reasons = vec![
        NoRouteReason::NotServed,
        NoRouteReason::LayerMissing {
            version: version(),
            layer: 4,
        },
        NoRouteReason::Rejected {
            version: version(),
            layer: 4,
            counts,
        },
        NoRouteReason::DeadlineMissed {
            predicted: Duration::from_millis(70),
        },
    ];
    let limits = [
        limits::AdmissionRefusal::RateLimited,
        limits::AdmissionRefusal::QueueFull,
        limits::AdmissionRefusal::DeadlineUnreachable,
        limits::AdmissionRefusal::TooLarge,
        limits::AdmissionRefusal::TooManyCustomers,
    ];
    let tables = [
        TableError::UnknownRoute,
        TableError::KeyMissing,
        TableError::KeyUnknown,
    ];
    let not_run = [
        NotRunReason::KeepersUnreachable,
        NotRunReason::ClaimsFull,
        NotRunReason::ConnectionRefused,
        NotRunReason::ProvedNotStarted,
        NotRunReason::EntryReplaced,
    ];
    let texts = [
        NoRoute { reasons }.to_string(),
        lines(limits),
        lines(tables),
        lines(not_run),
        EventTooLong.to_string(),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

// Guards against changed texts of how an attempt ended and whether it may have run, in evidence and
// logs.
#[test]
fn outcomes_of_attempts_keep_their_text() {
    let outcomes = [
        SendOutcome::ConnectionRefused,
        SendOutcome::NotConnected,
        SendOutcome::Declined,
        SendOutcome::ResetAfterSend,
        SendOutcome::TimedOut,
        SendOutcome::ErrorStatus,
        SendOutcome::IncompleteAnswer,
        SendOutcome::Answered,
    ];
    let proofs = [
        RunProof::NotSent,
        RunProof::NotRun,
        RunProof::Unknown,
        RunProof::Ran,
    ];
    let kinds = [CallKind::Idempotent, CallKind::NonIdempotent];
    let stops = [
        StopReason::Answered,
        StopReason::NotRepeatable,
        StopReason::TooManyAttempts,
        StopReason::DeadlineTooNear,
        StopReason::BudgetUsedUp,
    ];
    let texts = [lines(outcomes), lines(proofs), lines(kinds), lines(stops)];
    insta::assert_snapshot!(texts.join("\n"));
}

fn chain_errors() -> [ChainError; 5] {
    [
        ChainError::Empty,
        ChainError::Gap { layer: 4 },
        ChainError::Overlap { layer: 4 },
        ChainError::OutOfModel {
            layers: layers(0, 9),
            count: 8,
        },
        ChainError::WrongVersion {
            expected: "v1".into(),
            found: "v2".into(),
        },
    ]
}

// Guards against changed reasons why a token was dropped, in logs and evidence.
#[test]
fn reasons_of_dropped_tokens_keep_their_text() {
    let drops = [
        DropReason::ForeignRequest,
        DropReason::OldAttempt,
        DropReason::UnknownAttempt,
        DropReason::Duplicate,
        DropReason::OffRoute,
        DropReason::BeyondWindow,
        DropReason::TooLong,
        DropReason::CountContradicted,
    ];
    let errors = [
        AttemptError::Complete,
        AttemptError::NotNewer { running: 3.into() },
        AttemptError::Route(ChainError::Empty),
    ];
    let link = ChainLink {
        server: "b1".into(),
        layers: layers(0, 4),
        version: "v1".into(),
    };
    let texts = [
        lines(drops),
        lines(chain_errors().map(DropReason::Chain)),
        lines(errors),
        link.to_string(),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

fn weights() -> WeightsId {
    WeightsId {
        model: "m".into(),
        version: "v1".into(),
    }
}

// Guards against changed log texts of which engine loads what, and what the placement waits for.
#[test]
fn orders_of_placement_keep_their_text() {
    let until = MonotonicTime::from_millis(5);
    let waits = [
        PlacementWait::NoRight,
        PlacementWait::Settling { until },
        PlacementWait::Unfenced {
            server: "b1".into(),
            until,
        },
        PlacementWait::StoreBusy,
        PlacementWait::Blocked {
            weights: weights(),
            layer: 4,
        },
    ];
    let order = LoadOrder {
        server: "b1".into(),
        fencing: 12.into(),
        valid_until: until,
        load: HeldWeights {
            weights: weights(),
            layers: layers(0, 4),
        },
        given_up: UnloadPolicy::Cut,
    };
    let given_up = [UnloadPolicy::Finish, UnloadPolicy::Cut];
    let texts = [lines(waits), order.to_string(), lines(given_up)];
    insta::assert_snapshot!(texts.join("\n"));
}

fn agreement_refusals() -> [RefusalReason; 12] {
    [
        RefusalReason::NotLeader {
            leader: Some(keeper("k1", 11)),
        },
        RefusalReason::HandingOver,
        RefusalReason::Busy,
        RefusalReason::TooLarge { size: 9, limit: 8 },
        RefusalReason::ChangePending,
        RefusalReason::NotLearner,
        RefusalReason::AlreadyMember,
        RefusalReason::NotMember,
        RefusalReason::NotCaughtUp,
        RefusalReason::NotAnswering,
        RefusalReason::HandOverFirst,
        RefusalReason::QuorumAtRisk,
    ]
}

fn apply_errors() -> [ApplyError; 4] {
    let offered = Revision(6);
    [
        ApplyError::OtherStart {
            held: Revision(4),
            from: Revision(5),
        },
        ApplyError::Older {
            held: Revision(7),
            offered,
        },
        ApplyError::OtherContent { offered },
        ApplyError::NotReadable {
            offered,
            findings: findings(),
        },
    ]
}

// Guards against changed reasons of keepers' refusals and of unconfirmed configurations, which
// operators read.
#[test]
fn refusals_of_keepers_keep_their_text() {
    let unconfirmed = [
        UnconfirmedRevision::NeverConfirmed,
        UnconfirmedRevision::LeaseOver {
            held: Revision(4),
            since: Duration::from_millis(70),
        },
    ];
    let state_machine_error = StateMachineError {
        what: "command",
        reason: "odd".to_owned(),
    };
    let numbers = [
        LogIndex(4).to_string(),
        MonotonicTime::from_micros(4).to_string(),
        ReplicatedTime::from_micros(4).to_string(),
        WallTime(4).to_string(),
        layers(0, 4).to_string(),
    ];
    let texts = [
        lines(agreement_refusals()),
        lines(apply_errors()),
        lines(unconfirmed),
        state_machine_error.to_string(),
        lines(numbers),
        RenewalDecodeError.to_string(),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

fn evidence_errors() -> [EvidenceError; 6] {
    [
        EvidenceError::Digest,
        EvidenceError::DigestMismatch,
        EvidenceError::Head,
        EvidenceError::NotCanonical,
        EvidenceError::TooLong,
        EvidenceError::Unreadable {
            message: "odd".into(),
        },
    ]
}

// Guards against changed texts of evidence errors, which auditors and operators read.
#[test]
fn evidence_errors_keep_their_text() {
    let refusals = [
        BatchRefusal::Empty,
        BatchRefusal::Line {
            index: 2,
            error: EvidenceError::Digest,
        },
        BatchRefusal::Misplaced {
            index: 2,
            expected: 7.into(),
        },
        BatchRefusal::Fork { sequence: 7.into() },
    ];
    let full = [
        BufferError::Full {
            records: 8,
            bytes: 900,
        },
        BufferError::Unwritable(EvidenceError::TooLong),
    ];
    let texts = [lines(evidence_errors()), lines(refusals), lines(full)];
    insta::assert_snapshot!(texts.join("\n"));
}
