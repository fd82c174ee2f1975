//! Admitted drafts, and those of them that are on engines.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use pollendrift_coordination::base::MonotonicTime;

use super::{DraftPool, mean};
use crate::admission::AdmissionTicket;
use crate::clock::TimeSource;

/// An admitted draft; dropping it frees its part of the capacity.
pub(in crate::relay) struct DraftTicket {
    pub(super) pool: Arc<DraftPool>,
    pub(super) ticket: AdmissionTicket,
    pub(super) tokens: u64,
    pub(super) is_return: bool,
    /// Whether an engine has begun to answer the draft.
    pub(super) has_run: AtomicBool,
    pub(super) clock: Arc<dyn TimeSource>,
    pub(super) admitted_at: MonotonicTime,
}

/// An admitted draft on engines; dropping it subtracts its tokens from the sent ones.
pub(in crate::relay) struct SentDraft {
    pool: Arc<DraftPool>,
    tokens: u64,
}

impl DraftTicket {
    /// Counts the draft as on engines until the result is dropped.
    pub(in crate::relay) fn record_sent(&self) -> SentDraft {
        SentDraft::new(&self.pool, self.tokens)
    }

    /// Records that the first event of the draft arrived.
    pub(in crate::relay) fn record_first_event(&self, now: MonotonicTime) {
        self.has_run.store(true, Ordering::Relaxed);
        let mut state = self.pool.state();
        state.first_event = mean(state.first_event, now.since(self.admitted_at));
    }
}

impl Drop for DraftTicket {
    fn drop(&mut self) {
        if !self.has_run.load(Ordering::Relaxed) {
            self.ticket.set_unused();
            return;
        }
        let run_time = self.clock.now().since(self.admitted_at);
        let mut state = self.pool.state();
        state.run_time = mean(state.run_time, run_time);
    }
}

impl SentDraft {
    fn new(pool: &Arc<DraftPool>, tokens: u64) -> Self {
        let pool = Arc::clone(pool);
        pool.sent_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self { pool, tokens }
    }
}

impl Drop for SentDraft {
    fn drop(&mut self) {
        let sent = &self.pool.sent_tokens;
        sent.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::time::Duration;

    use pollendrift_coordination::base::CustomerName;
    use pollendrift_coordination::limits::{LimitSettings, RequestPriority};
    use pollendrift_coordination::routing::PoolCapacity;

    use tokio::time::timeout;

    use super::{DraftPool, SentDraft, TimeSource};
    use crate::admission::GateOffer;
    use crate::clock::SystemClock;

    const DRAFT_TOKENS: u64 = 5_000;
    /// Free memory of the engines. A host of all demand may hold `free_factor` times as much, which is
    /// less than the memory of four drafts, in addition to what it held at the time of the report.
    const FREE_TOKENS: i64 = 3_500;
    /// Time after which a draft counts as not admitted.
    const MAX_WAIT: Duration = Duration::from_millis(20);

    fn offer(customer: &CustomerName) -> GateOffer<'_> {
        GateOffer {
            customer,
            limits: LimitSettings::for_drafts().default_limits,
            priority: RequestPriority::Urgent,
            tokens: DRAFT_TOKENS,
            run_time: None,
            deadline: None,
            is_return: false,
        }
    }

    // Guards against a capacity that grows with drafts that still look for an engine: reports of
    // engines do not have them, and their memory would count as free twice.
    #[tokio::test]
    async fn only_drafts_on_engines_are_added_to_the_free_memory() {
        let clock = Arc::new(SystemClock::default());
        let pool = Arc::new(DraftPool::new(
            Arc::default(),
            Arc::clone(&clock) as Arc<dyn TimeSource>,
            1,
        ));
        let customer = CustomerName::from("customer");
        let mut tickets = Vec::new();
        for _ in 0..3 {
            let admitted = pool.gate.admit_offer(offer(&customer)).await;
            tickets.push(admitted.expect("a capacity without limit"));
        }
        let mut admitted_after = Vec::new();
        let mut sent = Vec::new();
        for _ in 0..2 {
            let now = clock.now();
            let measured = PoolCapacity {
                total: 100_000,
                free: FREE_TOKENS,
                measured_at: now,
            };
            pool.update(now, Some(measured), 1.0);
            let next = timeout(MAX_WAIT, pool.gate.admit_offer(offer(&customer))).await;
            admitted_after.push(next.is_ok());
            for _ in 0..3 {
                sent.push(SentDraft::new(&pool, DRAFT_TOKENS));
            }
        }
        assert_eq!(admitted_after, [false, true]);
    }
}
