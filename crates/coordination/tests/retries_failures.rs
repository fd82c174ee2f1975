//! Retry decisions, retry budgets, outlier ejection and slow start.

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

// Guards against a non-idempotent call that runs twice, and against a `not run` without proof:
// after a reset or an error status the call may have run and its answer may be lost. Covers each
// outcome of a send for both kinds of calls.
#[test]
fn non_idempotent_calls_are_retried_only_if_not_sent() {
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

// Guards against retries after the deadline, in excess of the attempts or without budget. The
// deadline arrives as remaining time: 300 ms at arrival, of which 280 ms have elapsed at the second
// case.
#[test]
fn deadline_attempts_and_budget_stop_retries() {
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

/// Returns the sends per call while every send fails: ten customers, 100 calls per second each, 30
/// s.
fn simulate_outage(settings: RetrySettings) -> f64 {
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

// Guards against retries that overload a failing service. Every send fails for 30 s; each call
// earns 0.2 retries, and each customer gains one per second. The budget limits the load to 1.25
// times the calls; without it the load is four times the calls.
#[test]
fn budgets_bound_the_load_of_a_failing_service() {
    let bounded = simulate_outage(RetrySettings::default());
    let unbounded = simulate_outage(RetrySettings {
        budget_burst: 1e9,
        ..RetrySettings::default()
    });
    assert!((1.15..=1.25).contains(&bounded), "{bounded}");
    assert!(unbounded > 3.9, "{unbounded}");
}

// Guards against unbounded memory for the budgets of many customers: a full table removes the
// budget with the least recent call.
#[test]
fn the_number_of_budgets_is_bounded() {
    let mut budgets = BudgetTable::new(RetrySettings {
        max_customers: 3,
        ..RetrySettings::default()
    });
    for index in 0..100 {
        budgets.record_call(at(index), &CustomerName::from(format!("c{index}")));
    }
    assert_eq!(budgets.len(), 3);
}

// Guards against the ejection of all peers: of ten failing servers, three are ejected, for a longer
// time at each ejection. A success resets the count of consecutive failures, so single failures
// eject none.
#[test]
fn ejections_are_limited_in_number_and_grow_in_length() {
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
        let expired = table.tick(now);
        assert!(!expired.is_empty() && !table.is_ejected(now, expired[0]));
        for _ in 0..2 {
            assert_eq!(table.failed(now, expired[0], "peers", 10), None);
        }
        table.succeeded(expired[0]);
        for _ in 0..3 {
            table.failed(now, expired[0], "peers", 10);
        }
        assert!(table.is_ejected(now, expired[0]));
    }
    assert_eq!(lengths, [5, 10, 20, 40, 80, 120]);
    let alone = table.failed(now, keys[9], "alone", 1);
    assert_eq!(alone, None);
}

// Guards against a returned server that receives its full share at once: the share starts at a
// tenth and is complete after the window.
#[test]
fn the_share_rises_linearly_during_slow_start() {
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

// Guards against budget checks that consume the budget: hosts check it many times a second for
// waiting requests; if each check took a retry, none would be left for failed requests. Also guards against a host that keeps more saved retries than its share after it learns of more hosts
// with which it shares the budget.
#[test]
fn budget_checks_are_free_and_a_smaller_burst_applies_at_once() {
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
