//! Shares of a host's time: deferrable work, and notices to other hosts.

use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::limits::{NoticePace, PaceSettings, WorkBudget, WorkSettings};

const START: MonotonicTime = MonotonicTime::from_millis(60_000);

/// Guards against work that takes the processor from elections: a table of the time that work which always
/// has more to do gets in ten seconds, by the length of its steps.
#[test]
fn deferrable_work_stays_within_its_share() {
    let mut rows = Vec::new();
    for step_millis in [1, 7, 33, 200, 1_500] {
        let step = Duration::from_millis(step_millis);
        let mut budget = WorkBudget::new(WorkSettings::default());
        let (mut now, mut spent, mut longest) = (START, Duration::ZERO, Duration::ZERO);
        while now.since(START) < Duration::from_secs(10) {
            let wait = budget.wait(now);
            longest = longest.max(wait);
            now = now.after(wait);
            now = now.after(step);
            budget.charge(now, step);
            spent += step;
        }
        let share = spent.as_secs_f64() / now.since(START).as_secs_f64();
        rows.push(format!(
            "{step:?}: share {share:.2}, longest wait {longest:?}"
        ));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    1ms: share 0.51, longest wait 1ms
    7ms: share 0.51, longest wait 7ms
    33ms: share 0.51, longest wait 33ms
    200ms: share 0.52, longest wait 200ms
    1.5s: share 0.58, longest wait 1.5s
    ");
}

/// Guards against work that waits though the host has time for it.
#[test]
fn work_below_its_share_does_not_wait() {
    let mut budget = WorkBudget::new(WorkSettings::default());
    for tick in 0..1_000_u64 {
        let now = START.after(Duration::from_millis(tick * 10));
        assert_eq!(budget.wait(now), Duration::ZERO);
        budget.charge(
            now.after(Duration::from_millis(4)),
            Duration::from_millis(4),
        );
    }
}

/// Guards against notices whose number grows with the failures: first ones leave at once, later ones are joined.
#[test]
fn notices_leave_at_once_until_there_are_many() {
    let mut pace = NoticePace::new(START, PaceSettings::default());
    let mut now = START;
    let mut gaps = Vec::new();
    for _ in 0..12 {
        let gap = pace.gap_after(now);
        gaps.push(gap.as_millis().to_string());
        now = now.after(gap);
    }
    insta::assert_snapshot!(gaps.join(" "), @"15 15 15 15 15 15 15 15 80 100 100 100");
    pace.set_steady_gap(now, Duration::from_secs(1));
    let later = now.after(Duration::from_secs(20));
    assert_eq!(pace.gap_after(later), PaceSettings::default().least_gap);
}
