//! Waiting times at hosts that have just started, and at hosts whose backend servers are full.

use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::limits::WaitSettings;

/// Time without an event after which a caller disconnects.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time from a send to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(250);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Counts the refused callers among a hundred that retry within `spread` ms of the start of all
/// hosts. The first complete chain of engines is known `known` ms after that start.
fn refused_after_restart(settings: &WaitSettings, spread: u64, known: u64) -> usize {
    let started = at(10_000);
    let arrivals =
        (0..100).map(|caller| started.after(Duration::from_millis(caller * spread / 100)));
    let is_refused = |arrived: &MonotonicTime| {
        settings.wait_until(*arrived, started, *arrived)
            < started.after(Duration::from_millis(known))
    };
    arrivals.filter(is_refused).count()
}

// Guards against hosts that refuse callers because they know no engine yet. A restart of all hosts
// aborts the callers' streams, all of them retry at once, and most have only one retry.
#[test]
fn retries_after_a_restart_of_all_hosts_wait_for_discovery() {
    let discovering = WaitSettings::default();
    let without_learning = WaitSettings {
        discovery_time: Duration::ZERO,
        ..discovering
    };
    for known in [900, 1_200, 1_400, 1_600] {
        assert_eq!(
            refused_after_restart(&discovering, 500, known),
            0,
            "known after {known} ms"
        );
    }
    assert!(refused_after_restart(&without_learning, 500, 1_600) > 50);
}

// Guards against requests that wait until their callers disconnect. The refusal, or the first event
// of a request sent at the last moment, must reach the caller before its timeout.
#[test]
fn requests_wait_less_than_the_caller_timeout() {
    let settings = WaitSettings::default();
    let started = at(0);
    for arrived in [at(100), at(4_900), at(60_000)] {
        let until = settings.wait_until(arrived, started, arrived);
        assert!(until.since(arrived) + FIRST_EVENT < CALLER_TIMEOUT);
    }
    let full = settings.wait_until(at(60_000), started, at(60_000));
    assert_eq!(full.since(at(60_000)), settings.full);
}
