//! Retries: proof tables, budgets under a storm, ejection and slow start.

use std::collections::BTreeMap;
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime};
use pollendrift_coordination::retries::{
    BudgetTable, CallDeadline, CallKind, FailedAttempt, OutlierSettings, OutlierTable,
    RetrySettings, RetryVerdict, SendOutcome, SlowStartSettings, decide_retry, slow_start_share,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{DefaultKey, SlotMap};

const OUTCOMES: [SendOutcome; 8] = [
    SendOutcome::ConnectionRefused,
    SendOutcome::NotConnected,
    SendOutcome::Declined,
    SendOutcome::ResetAfterSend,
    SendOutcome::TimedOut,
    SendOutcome::ErrorStatus,
    SendOutcome::IncompleteAnswer,
    SendOutcome::Answered,
];

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn describe(verdict: &RetryVerdict) -> String {
    match verdict {
        RetryVerdict::Retry { wait } => format!("retry after {wait:?}"),
        RetryVerdict::Stop { reason, proof } => format!("stop, {reason} ({proof})"),
    }
}

// The caller is told `not run` only where that is proved, and a non-idempotent call is sent again
// only if no byte of it has left. Every way in which a send can end meets both kinds of calls.
// A reset or an error status can hide a run whose answer was lost.
#[test]
fn only_proved_calls_are_sent_again() {
    let customer = CustomerName::from("c");
    let mut lines = Vec::new();
    for kind in [CallKind::NonIdempotent, CallKind::Idempotent] {
        for outcome in OUTCOMES {
            let mut budgets = BudgetTable::new(RetrySettings::default());
            let attempt = FailedAttempt {
                customer: &customer,
                kind,
                outcome,
                attempts: 1,
                deadline: None,
            };
            let verdict = decide_retry(at(0), &mut budgets, &attempt, 1.0);
            lines.push(format!("{kind}, {outcome}: {}", describe(&verdict)));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    non-idempotent, connection refused: retry after 20ms
    non-idempotent, no connection: retry after 20ms
    non-idempotent, declined: stop, may not run twice (not run)
    non-idempotent, reset after the send: stop, may not run twice (unknown)
    non-idempotent, timed out: stop, may not run twice (unknown)
    non-idempotent, error status: stop, may not run twice (unknown)
    non-idempotent, incomplete answer: stop, may not run twice (ran)
    non-idempotent, answered: stop, answered (ran)
    idempotent, connection refused: retry after 20ms
    idempotent, no connection: retry after 20ms
    idempotent, declined: retry after 20ms
    idempotent, reset after the send: retry after 20ms
    idempotent, timed out: retry after 20ms
    idempotent, error status: retry after 20ms
    idempotent, incomplete answer: retry after 20ms
    idempotent, answered: stop, answered (ran)
    ");
}

// The caller does not wait for a retry that comes too late, comes too often, or was not earned.
// The deadline travels as time left: 300 ms at arrival, of which 280 ms have passed.
#[test]
fn retries_end_with_deadline_attempts_and_budget() {
    let customer = CustomerName::from("c");
    let settings = RetrySettings {
        budget_burst: 2.0,
        budget_floor: 0.0,
        ..RetrySettings::default()
    };
    let mut budgets = BudgetTable::new(settings);
    let deadline = CallDeadline::from_remaining(at(1_000), Duration::from_millis(300));
    let cases = [
        (at(1_000), 1, Some(deadline)),
        (at(1_280), 2, Some(deadline)),
        (at(1_290), 4, None),
        (at(1_290), 3, None),
        (at(1_300), 1, None),
    ];
    let mut lines = Vec::new();
    for (now, attempts, deadline) in cases {
        let attempt = FailedAttempt {
            customer: &customer,
            kind: CallKind::Idempotent,
            outcome: SendOutcome::TimedOut,
            attempts,
            deadline,
        };
        lines.push(describe(&decide_retry(now, &mut budgets, &attempt, 0.5)));
    }
    let margin = Duration::from_millis(40);
    let hops = [1_000, 1_250, 1_270].map(|now| deadline.remaining_for_hop(at(now), margin));
    lines.push(format!("{hops:?}"));
    insta::assert_snapshot!(lines.join("\n"), @r"
    retry after 10ms
    stop, deadline too near (unknown)
    stop, too many attempts (unknown)
    retry after 40ms
    stop, retry budget used up (unknown)
    [Some(260ms), Some(10ms), None]
    ");
}

/// Sends per call while every send fails: ten customers, 100 calls a second each, for 30 s.
fn run_storm(settings: RetrySettings) -> f64 {
    let mut budgets = BudgetTable::new(settings);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut retries: BTreeMap<u64, Vec<(CustomerName, u32)>> = BTreeMap::new();
    let (mut calls, mut sends) = (0_u32, 0_u32);
    for now in 0..30_000 {
        let mut due = retries.remove(&now).unwrap_or_default();
        let customer = CustomerName::from(format!("c{}", now % 10));
        budgets.record_call(at(now), &customer);
        due.push((customer, 1));
        calls += 1;
        for (customer, attempts) in due {
            sends += 1;
            let attempt = FailedAttempt {
                customer: &customer,
                kind: CallKind::Idempotent,
                outcome: SendOutcome::ErrorStatus,
                attempts,
                deadline: None,
            };
            let jitter = rng.random_range(0.0..1.0);
            if let RetryVerdict::Retry { wait } =
                decide_retry(at(now), &mut budgets, &attempt, jitter)
            {
                let after = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX - now - 1) + 1;
                retries
                    .entry(now + after)
                    .or_default()
                    .push((customer, attempts + 1));
            }
        }
    }
    f64::from(sends) / f64::from(calls)
}

// The failing service meets at most 1.25 times the calls, where retries alone would make it 4.
// Every send fails for 30 s. A call earns a fifth of a retry, and each customer has one a second.
#[test]
fn a_storm_stays_under_a_stated_factor() {
    let bounded = run_storm(RetrySettings::default());
    let unbounded = run_storm(RetrySettings {
        budget_burst: 1e9,
        ..RetrySettings::default()
    });
    assert!((1.15..=1.25).contains(&bounded), "{bounded}");
    assert!(unbounded > 3.9, "{unbounded}");
}

// Strangers cannot fill the table: beyond its bound the customer that was quiet longest goes.
#[test]
fn budgets_are_bounded() {
    let mut budgets = BudgetTable::new(RetrySettings {
        max_customers: 3,
        ..RetrySettings::default()
    });
    for index in 0..100 {
        budgets.record_call(at(index), &CustomerName::from(format!("c{index}")));
    }
    assert_eq!(budgets.len(), 3);
}

// Callers are never left without a peer: of ten that all fail, three are ejected, and longer each
// time. The count in a row starts anew with a success, so single failures eject nobody.
#[test]
fn ejection_keeps_a_floor_and_backs_off() {
    let mut servers: SlotMap<DefaultKey, ()> = SlotMap::new();
    let keys: Vec<DefaultKey> = (0..10).map(|_| servers.insert(())).collect();
    let mut table: OutlierTable<DefaultKey, &str> = OutlierTable::new(OutlierSettings::default());
    for _ in 0..5 {
        for key in &keys {
            table.failed(at(0), *key, "peers", 10);
        }
    }
    assert_eq!(table.ejections().count(), 3);
    let mut lengths = Vec::new();
    let mut now = at(0);
    for _ in 0..6 {
        let until = table
            .ejections()
            .map(|(_, ejection)| ejection.until)
            .max()
            .unwrap();
        lengths.push(until.since(now).as_secs());
        now = until;
        let back = table.tick(now);
        assert!(!back.is_empty() && !table.is_ejected(now, back[0]));
        for _ in 0..2 {
            assert_eq!(table.failed(now, back[0], "peers", 10), None);
        }
        table.succeeded(back[0]);
        for _ in 0..3 {
            table.failed(now, back[0], "peers", 10);
        }
        assert!(table.is_ejected(now, back[0]));
    }
    assert_eq!(lengths, [5, 10, 20, 40, 80, 120]);
    let alone = table.failed(now, keys[9], "alone", 1);
    assert_eq!(alone, None);
}

// A server that has just come back takes a tenth of its share, and the whole one after the window.
#[test]
fn the_share_rises_through_the_window() {
    let settings = SlowStartSettings::default();
    let shares = [1_000, 3_500, 6_000, 11_000, 90_000]
        .map(|now| slow_start_share(at(now), at(1_000), &settings));
    let expected = [0.1, 0.325, 0.55, 1.0, 1.0];
    let off = shares.iter().zip(expected).map(|(a, b)| (a - b).abs());
    assert!(
        off.into_iter().all(|difference| difference < 1e-9),
        "{shares:?}"
    );
}

// Drafts that look for room many times a second must not pay for looking: running drafts that
// broke were then cut for want of budget. And a host that learns that it shares the budget with
// more others must not keep what it had saved up for fewer.
#[test]
fn looking_at_the_budget_costs_nothing_and_a_smaller_share_holds_at_once() {
    let settings = RetrySettings {
        budget_ratio: 0.0,
        budget_floor: 0.1,
        budget_burst: 4.0,
        ..RetrySettings::default()
    };
    let customer = CustomerName::from("c");
    let mut budgets = BudgetTable::new(settings);
    for millis in 0..1_000 {
        assert!(budgets.has_budget(at(millis), &customer));
    }
    let smaller = RetrySettings {
        budget_burst: 1.0,
        ..settings
    };
    budgets.configure(at(1_000), smaller);
    let taken = (0..4).filter(|_| budgets.take(at(1_000), &customer));
    assert_eq!(taken.count(), 1);
    assert!(!budgets.has_budget(at(1_000), &customer));
}
