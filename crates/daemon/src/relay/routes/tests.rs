//! Which routes a host serves by while newer ones are laid out.

use pollendrift_coordination::base::{MonotonicTime, Revision};

use super::{BuildState, BuiltTable};

fn laid_out(revision: u64) -> BuiltTable {
    BuiltTable {
        revision: Revision(revision),
        // What can't be laid out has a text, by which the test knows it.
        table: Err(format!("routes {revision}")),
    }
}

/// The caller sees: its request is served by the routes of a moment ago while newer ones are laid out,
/// also where changes come faster than they are laid out; it waits where the routes may be older. A
/// host that was suspended for ten seconds is told of a revoked key as it wakes up; served by what it
/// had, the key would still work. Made to reach each newer revision, it would serve nobody for as long
/// as changes come.
#[test]
fn a_host_that_was_away_does_not_serve_by_its_old_routes() {
    let mut state = BuildState::new();
    let mut seen = Vec::new();
    let mut look = |state: &mut BuildState, millis: u64, newest: u64| {
        let now = MonotonicTime::from_millis(millis);
        let served = state.table(now, Revision(newest)).expect_err("a text");
        seen.push(format!("{millis} ms, {newest} in force: {served}"));
    };
    look(&mut state, 100, 1);
    state.last = Some(laid_out(1));
    for (millis, newest) in [(200, 1), (900, 2), (1_500, 3), (2_100, 4)] {
        look(&mut state, millis, newest);
    }
    state.last = Some(laid_out(2));
    look(&mut state, 2_900, 5);
    for (millis, newest) in [(12_900, 7), (13_100, 8)] {
        look(&mut state, millis, newest);
    }
    state.last = Some(laid_out(7));
    look(&mut state, 13_200, 9);
    insta::assert_snapshot!(seen.join("\n"), @r"
    100 ms, 1 in force: the routes are being laid out
    200 ms, 1 in force: routes 1
    900 ms, 2 in force: routes 1
    1500 ms, 3 in force: routes 1
    2100 ms, 4 in force: routes 1
    2900 ms, 5 in force: routes 2
    12900 ms, 7 in force: the routes are being laid out
    13100 ms, 8 in force: the routes are being laid out
    13200 ms, 9 in force: routes 7
    ");
}
