//! Which routes a host serves by while newer ones are laid out.

use pollendrift_coordination::base::{MonotonicTime, Revision};

use super::{LaidOut, LayOutState};

fn laid_out(revision: u64) -> LaidOut {
    LaidOut {
        revision: Revision(revision),
        // What can't be laid out has a text, by which the test knows it.
        table: Err(format!("routes {revision}")),
    }
}

/// The caller sees: its request is served by the routes of a moment ago while newer ones are laid out,
/// and waits where those are older. A host that was suspended for ten seconds is told of a revoked key
/// as it wakes up; served by what it had, the key would still work.
#[test]
fn a_host_that_was_away_does_not_serve_by_its_old_routes() {
    let mut state = LayOutState::default();
    let mut seen = Vec::new();
    let mut look = |state: &mut LayOutState, millis: u64, newest: u64| {
        let now = MonotonicTime::from_millis(millis);
        let served = state.table(now, Revision(newest)).expect_err("a text");
        seen.push(format!("{millis} ms, {newest} in force: {served}"));
    };
    look(&mut state, 100, 1);
    state.last = Some(laid_out(1));
    look(&mut state, 200, 1);
    look(&mut state, 900, 2);
    look(&mut state, 1_300, 2);
    state.last = Some(laid_out(2));
    look(&mut state, 1_400, 2);
    look(&mut state, 11_400, 3);
    state.last = Some(laid_out(3));
    look(&mut state, 11_500, 3);
    insta::assert_snapshot!(seen.join("\n"), @r"
    100 ms, 1 in force: the routes are being laid out
    200 ms, 1 in force: routes 1
    900 ms, 2 in force: routes 1
    1300 ms, 2 in force: the routes are being laid out
    1400 ms, 2 in force: routes 2
    11400 ms, 3 in force: the routes are being laid out
    11500 ms, 3 in force: routes 3
    ");
}
