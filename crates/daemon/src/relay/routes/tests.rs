//! Tests of the selection of a route table while a newer one is being built.

use pollendrift_coordination::base::{MonotonicTime, Revision};

use super::{BuildState, BuiltTable};

fn built_table(revision: u64) -> BuiltTable {
    BuiltTable {
        revision: Revision(revision),
        // An error text identifies the table in the snapshot.
        table: Err(format!("routes {revision}")),
    }
}

/// Guards against a host that accepts a revoked key after a suspension of ten seconds because it
/// serves by its old table while it builds the new one. Also guards against a host that serves
/// nobody while changes arrive faster than it builds them: it must reach only the first revision
/// that it finds.
#[test]
fn suspended_host_does_not_serve_by_stale_routes() {
    let mut state = BuildState::new();
    let mut seen = Vec::new();
    let mut observe = |state: &mut BuildState, millis: u64, newest: u64| {
        let now = MonotonicTime::from_millis(millis);
        let served = state
            .table(now, Revision(newest))
            .expect_err("the table holds an error text");
        seen.push(format!("{millis} ms, {newest} in force: {served}"));
    };
    observe(&mut state, 100, 1);
    state.last = Some(built_table(1));
    for (millis, newest) in [(200, 1), (900, 2), (1_500, 3), (2_100, 4)] {
        observe(&mut state, millis, newest);
    }
    state.last = Some(built_table(2));
    observe(&mut state, 2_900, 5);
    for (millis, newest) in [(12_900, 7), (13_100, 8)] {
        observe(&mut state, millis, newest);
    }
    state.last = Some(built_table(7));
    observe(&mut state, 13_200, 9);
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
