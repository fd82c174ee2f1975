//! Callers that come back, told from those whose timeouts are always short.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime};
use pollendrift_coordination::limits::{TimeoutSettings, UsualTimeouts};

const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);

struct Caller {
    timeouts: UsualTimeouts,
    route: Arc<str>,
    count: u64,
}

impl Caller {
    fn new(settings: TimeoutSettings) -> Self {
        Self {
            timeouts: UsualTimeouts::new(settings),
            route: "drafts".into(),
            count: 0,
        }
    }

    /// Whether a request of `customer` with this timeout, in milliseconds, counts as a return.
    fn is_return(&mut self, customer: &str, timeout: u64) -> bool {
        self.count += 1;
        let now = MonotonicTime::from_millis(100 * self.count);
        let customer = CustomerName::from(customer);
        let timeout = Duration::from_millis(timeout);
        self.timeouts
            .record(now, &customer, &self.route, timeout, ROUTE_TIMEOUT)
    }

    /// Number of requests out of `count` that count as returns; `timeout` is that of the n-th.
    fn returns<F>(&mut self, customer: &str, count: u64, timeout: F) -> u64
    where
        F: Fn(u64) -> u64,
    {
        let is_return = |number: &u64| self.is_return(customer, timeout(*number));
        (0..count).filter(is_return).count() as u64
    }
}

// Guards against callers with short timeouts of their own that are placed before others, and earn no
// credit for their priority, with every request.
#[test]
fn callers_with_short_timeouts_are_not_returns_for_long() {
    let mut caller = Caller::new(TimeoutSettings::default());
    let returns = caller.returns("short", 100, |_| 4_000);
    assert!(returns < 16, "{returns} of 100 requests");
    assert!(caller.is_return("short", 3_400));
    assert!(!caller.is_return("short", 3_500));
}

// Guards against returns that are taken for new requests: at the first request of a customer, and
// while every request is refused and each caller comes back once.
#[test]
fn callers_that_come_back_are_returns_at_any_time() {
    let mut caller = Caller::new(TimeoutSettings::default());
    assert!(caller.is_return("usual", 19_000));
    let alternate = |number: u64| {
        if number.is_multiple_of(2) {
            20_000
        } else {
            18_500
        }
    };
    assert_eq!(caller.returns("usual", 200, alternate), 100);
}

// Guards against memory that grows with the names of customers.
#[test]
fn the_pair_without_requests_for_longest_is_forgotten() {
    let mut caller = Caller::new(TimeoutSettings {
        samples: 2,
        max_pairs: 2,
        ..TimeoutSettings::default()
    });
    let returns = ["a", "b"].map(|name| caller.returns(name, 3, |_| 4_000));
    assert_eq!(returns, [1, 1]);
    assert!(caller.is_return("c", 4_000));
    assert_eq!(caller.returns("b", 3, |_| 4_000), 0);
    assert!(caller.is_return("a", 4_000));
}
