//! Combines concurrent requests for the same round of messages to other hosts into one.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Mutex;

/// Shares one round among concurrent callers; each gets a round that began after its call.
///
/// While no keeper leads, every host that follows this keeper asks it each second. If each of those
/// questions asked all keepers again and again, hundreds of hosts would keep the keepers too busy
/// to elect a leader. With shared rounds at most one runs at a time, for any number of callers.
#[derive(Default)]
pub(crate) struct CoalescedRounds {
    arrivals: AtomicU64,
    last: Mutex<LastRound>,
}

/// The round that completed last.
struct LastRound {
    /// Number of calls that arrived before the round began.
    covered_arrivals: u64,
    outcome: Result<(), String>,
}

impl Default for LastRound {
    fn default() -> Self {
        Self {
            covered_arrivals: 0,
            outcome: Ok(()),
        }
    }
}

impl CoalescedRounds {
    /// Waits for a round that began after this call. A cancelled wait ends a round that it runs, and
    /// the next caller begins another.
    ///
    /// # Errors
    /// The error of that round.
    pub(crate) async fn wait<R>(&self, round: R) -> Result<(), String>
    where
        R: AsyncFnOnce() -> Result<(), String>,
    {
        let arrival = self.arrivals.fetch_add(1, Ordering::SeqCst);
        let mut last = self.last.lock().await;
        if last.covered_arrivals > arrival {
            return last.outcome.clone();
        }
        let covered_arrivals = self.arrivals.load(Ordering::SeqCst);
        let outcome = round().await;
        *last = LastRound {
            covered_arrivals,
            outcome: outcome.clone(),
        };
        outcome
    }
}

#[cfg(test)]
mod tests;
