//! One quorum-checked read for all that wait for one.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Mutex;

/// Shares reads between callers: each is answered by one that began after it came.
///
/// Failure: while no keeper leads, every host that follows this one asks it each second, and each of
/// those questions asked all keepers again and again. Symptom: hundreds of hosts kept the keepers so busy
/// that none was elected. Shared, the questions cost one read at a time, however many wait.
#[derive(Default)]
pub(super) struct CoalescedBarrier {
    arrivals: AtomicU64,
    last: Mutex<LastBarrier>,
}

/// The read that ended last.
struct LastBarrier {
    /// Arrivals before it began.
    covers: u64,
    outcome: Result<(), String>,
}

impl Default for LastBarrier {
    fn default() -> Self {
        Self {
            covers: 0,
            outcome: Ok(()),
        }
    }
}

impl CoalescedBarrier {
    /// Waits for a read that began after this call.
    ///
    /// # Errors
    /// That read's.
    pub(super) async fn wait<R>(&self, read: R) -> Result<(), String>
    where
        R: AsyncFnOnce() -> Result<(), String>,
    {
        let arrival = self.arrivals.fetch_add(1, Ordering::SeqCst);
        let mut last = self.last.lock().await;
        if last.covers > arrival {
            return last.outcome.clone();
        }
        let covers = self.arrivals.load(Ordering::SeqCst);
        let outcome = read().await;
        *last = LastBarrier {
            covers,
            outcome: outcome.clone(),
        };
        outcome
    }
}

#[cfg(test)]
mod tests;
