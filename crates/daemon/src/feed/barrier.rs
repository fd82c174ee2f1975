//! Combines concurrent quorum-checked reads into one.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Mutex;

/// Shares one read among concurrent callers; each gets a read that began after its call.
///
/// While no keeper leads, every host that follows this keeper asks it each second. If each of those
/// questions asked all keepers again and again, hundreds of hosts would keep the keepers too busy
/// to elect a leader. With shared reads at most one read runs at a time, for any number of waiting
/// questions.
#[derive(Default)]
pub(super) struct CoalescedBarrier {
    arrivals: AtomicU64,
    last: Mutex<LastBarrier>,
}

/// The read that completed last.
struct LastBarrier {
    /// Number of calls that arrived before the read began.
    covered_arrivals: u64,
    outcome: Result<(), String>,
}

impl Default for LastBarrier {
    fn default() -> Self {
        Self {
            covered_arrivals: 0,
            outcome: Ok(()),
        }
    }
}

impl CoalescedBarrier {
    /// Waits for a read that began after this call.
    ///
    /// # Errors
    /// The error of that read.
    pub(super) async fn wait<R>(&self, read: R) -> Result<(), String>
    where
        R: AsyncFnOnce() -> Result<(), String>,
    {
        let arrival = self.arrivals.fetch_add(1, Ordering::SeqCst);
        let mut last = self.last.lock().await;
        if last.covered_arrivals > arrival {
            return last.outcome.clone();
        }
        let covered_arrivals = self.arrivals.load(Ordering::SeqCst);
        let outcome = read().await;
        *last = LastBarrier {
            covered_arrivals,
            outcome: outcome.clone(),
        };
        outcome
    }
}

#[cfg(test)]
mod tests;
