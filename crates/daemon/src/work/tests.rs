use std::sync::Arc;
use std::time::{Duration, Instant};

use pollendrift_coordination::limits::WorkSettings;
use tokio::task::yield_now;

use super::WorkMeter;

/// Guards against work that no counter shows: a process without processor time must tell what took it.
#[tokio::test]
async fn steps_are_counted_by_kind() {
    let meter = WorkMeter::default();
    assert_eq!(meter.measure("call", || 7), 7);
    let work = async {
        yield_now().await;
        8
    };
    assert_eq!(meter.track("task", Box::pin(work)).await, 8);
    meter.record_dropped("frame", 1);
    let counts: Vec<_> = meter
        .counts()
        .into_iter()
        .map(|(kind, count)| (kind, count.steps, count.dropped))
        .collect();
    assert_eq!(counts, [("call", 1, 0), ("frame", 0, 1), ("task", 2, 0)]);
}

/// Guards against deferrable tasks that together leave no time for the other tasks of their thread.
#[tokio::test]
async fn deferred_tasks_share_one_budget() {
    let meter = Arc::new(WorkMeter::new(Some(WorkSettings::default())));
    let began = Instant::now();
    for _ in 0..4 {
        let meter = Arc::clone(&meter);
        let endless = async {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                yield_now().await;
            }
        };
        tokio::spawn(async move { meter.defer("endless", Box::pin(endless)).await });
    }
    while began.elapsed() < Duration::from_secs(2) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let spent = meter.counts()["endless"].time;
    let settings = WorkSettings::default();
    let most = began.elapsed() * settings.share_percent / 100 + 2 * settings.burst;
    assert!(spent <= most, "{spent:?} of {:?}", began.elapsed());
}
