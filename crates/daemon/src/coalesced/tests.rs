use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::CoalescedRounds;

/// Duration of one read.
const READ_TIME: Duration = Duration::from_millis(100);

// Guards against hundreds of hosts whose questions keep the keepers too busy to elect a leader:
// without shared reads each question asks all keepers.
#[tokio::test(start_paused = true)]
async fn concurrent_questions_share_one_read_at_a_time() {
    let barrier = Arc::new(CoalescedRounds::default());
    let reads = Arc::new(AtomicU32::new(0));
    let mut questions = JoinSet::new();
    for question in 0..300_u64 {
        let (barrier, reads) = (Arc::clone(&barrier), Arc::clone(&reads));
        questions.spawn(async move {
            sleep(Duration::from_millis(question)).await;
            let read = async || {
                reads.fetch_add(1, Ordering::Relaxed);
                sleep(READ_TIME).await;
                Ok(())
            };
            barrier.wait(read).await
        });
    }
    let outcomes = questions.join_all().await;
    assert!(outcomes.iter().all(Result::is_ok));
    let reads = reads.load(Ordering::Relaxed);
    assert!(reads <= 5, "{reads} reads in 300 ms of questions");
}

// Guards against an answer from a read that began before the question: it would lack a change
// accepted between the two.
#[tokio::test(start_paused = true)]
async fn question_gets_a_read_that_began_after_it() {
    let barrier = Arc::new(CoalescedRounds::default());
    let accepted = Arc::new(AtomicU32::new(0));
    let observed = Arc::new(AtomicU32::new(0));
    let ask = |barrier: Arc<CoalescedRounds>| {
        let (accepted, observed) = (Arc::clone(&accepted), Arc::clone(&observed));
        tokio::spawn(async move {
            let read = async || {
                let now = accepted.load(Ordering::Relaxed);
                sleep(READ_TIME).await;
                observed.store(now, Ordering::Relaxed);
                Ok(())
            };
            barrier.wait(read).await
        })
    };
    let first = ask(Arc::clone(&barrier));
    sleep(READ_TIME / 2).await;
    accepted.store(1, Ordering::Relaxed);
    let second = ask(Arc::clone(&barrier));
    assert!(matches!(first.await, Ok(Ok(()))));
    assert!(matches!(second.await, Ok(Ok(()))));
    assert_eq!(observed.load(Ordering::Relaxed), 1);
}
