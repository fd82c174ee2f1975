//! Back-offs and leaves that servers state in their answers.

use std::time::Duration;

use pollendrift_coordination::backpressure::{BackOffTable, LeavingTable};
use pollendrift_coordination::base::{Incarnation, MonotonicTime, ServerName};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::START.after(Duration::from_millis(millis))
}

fn server() -> ServerName {
    ServerName::from("s-1")
}

/// Guards against a back-off that a later, shorter one cuts off: each holds to its own end.
#[test]
fn a_shorter_back_off_does_not_end_a_longer_one() {
    let seconds = Duration::from_secs;
    // Back-offs by the second of the request, and the second at which the last one ends.
    let cases: [(&[(u64, u64)], u64); 4] = [
        (&[(1, 3)], 4),
        (&[(1, 3), (2, 1)], 4),
        (&[(1, 1), (1, 4)], 5),
        (&[(1, 0)], 1),
    ];
    for (back_offs, end) in cases {
        let mut table = BackOffTable::default();
        for (start, time) in back_offs {
            table.start(at(start * 1_000), &server(), seconds(*time));
        }
        let last = back_offs.iter().map(|(start, _)| *start).max().unwrap_or(0) * 1_000;
        for now in [last, end * 1_000 - 1, end * 1_000, end * 1_000 + 1] {
            if now < last {
                continue;
            }
            let is_active = table.is_active(at(now), &server());
            assert_eq!(is_active, now < end * 1_000, "{back_offs:?} at {now} ms");
            table.tick(at(now));
        }
        assert_eq!(table.count(at(end * 1_000)), 0);
    }
}

/// Guards against a back-off for one server that holds others back.
#[test]
fn a_back_off_is_about_one_server() {
    let mut table = BackOffTable::default();
    table.start(at(0), &server(), Duration::from_secs(3));
    assert!(!table.is_active(at(1), &"s-2".into()));
    table.remove(&server());
    assert!(!table.is_active(at(1), &server()));
}

/// Guards against a server that stays out after it was started again under its name, and against an
/// earlier incarnation that counts as serving after a later one stated that it leaves.
#[test]
fn a_leave_is_final_for_its_incarnation_only() {
    let mut table = LeavingTable::default();
    assert!(table.record(at(0), &server(), Incarnation(5)));
    assert!(!table.record(at(10), &server(), Incarnation(5)));
    for (incarnation, is_leaving) in [(4, true), (5, true), (6, false)] {
        let incarnation = Incarnation(incarnation);
        assert_eq!(table.is_leaving(&server(), incarnation), is_leaving);
    }
    assert!(table.record(at(20), &server(), Incarnation(6)));
    table.tick(at(20_000));
    assert!(table.is_leaving(&server(), Incarnation(6)));
}
