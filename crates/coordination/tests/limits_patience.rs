//! How long requests wait at hosts that have just started, and at hosts that are full.

use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::limits::WaitSettings;

/// Time for which a caller hears nothing before it leaves.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Longest time from a send to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(250);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Callers refused of a hundred that come back within `spread` of the start of all hosts, where the first
/// whole chain of engines is known `known` after it.
fn refused_in_a_herd(settings: &WaitSettings, spread: u64, known: u64) -> usize {
    let started = at(10_000);
    let arrivals =
        (0..100).map(|caller| started.after(Duration::from_millis(caller * spread / 100)));
    let is_refused = |arrived: &MonotonicTime| {
        settings.wait_until(*arrived, started, *arrived)
            < started.after(Duration::from_millis(known))
    };
    arrivals.filter(is_refused).count()
}

// Guards against callers whose streams were cut by a restart of all hosts and who are refused by hosts that
// know no engine yet: most of them have one retry.
#[test]
fn a_herd_after_a_restart_is_not_refused_for_want_of_knowledge() {
    let learning = WaitSettings::default();
    let blind = WaitSettings {
        learning_time: Duration::ZERO,
        ..learning
    };
    for known in [900, 1_200, 1_400, 1_600] {
        assert_eq!(
            refused_in_a_herd(&learning, 500, known),
            0,
            "known after {known} ms"
        );
    }
    assert!(refused_in_a_herd(&blind, 500, 1_600) > 50);
}

// Guards against callers that are kept until they leave: a refusal must come while they still listen, and
// the first event of what is sent at the last moment too.
#[test]
fn nobody_waits_until_it_leaves() {
    let settings = WaitSettings::default();
    let started = at(0);
    for arrived in [at(100), at(4_900), at(60_000)] {
        let until = settings.wait_until(arrived, started, arrived);
        assert!(until.since(arrived) + FIRST_EVENT < CALLER_PATIENCE);
    }
    let full = settings.wait_until(at(60_000), started, at(60_000));
    assert_eq!(full.since(at(60_000)), settings.full);
}
