//! Simulated computation times: parallel slots, each with its own next free time.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_border::EngineOffer;
use tokio::time::Instant;

/// Compute capacity of one engine.
///
/// The next free time of a slot advances by the exact cost of each computation, so timer rounding
/// adds to the latency of a step but does not lower the throughput of the engine. A prompt occupies
/// all slots, a generated token one slot.
#[derive(Debug)]
pub(crate) struct ComputeCapacity {
    engine_layers: f64,
    prefill_rate: f64,
    decode_rate: f64,
    free_at: Mutex<Vec<Instant>>,
    running: AtomicU32,
    prefill_tokens: AtomicU64,
}

impl ComputeCapacity {
    pub(crate) fn new(offer: &EngineOffer) -> Self {
        let slots = usize::try_from(offer.batch_slots.max(1)).unwrap_or(1);
        Self {
            engine_layers: f64::from(offer.layers.end.saturating_sub(offer.layers.first).max(1)),
            prefill_rate: rate(offer.prefill_tokens_per_second),
            decode_rate: rate(offer.decode_tokens_per_second),
            free_at: Mutex::new(vec![Instant::now(); slots]),
            running: AtomicU32::new(0),
            prefill_tokens: AtomicU64::new(0),
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    pub(crate) fn queued(&self) -> u32 {
        let slots = u32::try_from(self.lock().len()).unwrap_or(u32::MAX);
        self.running().saturating_sub(slots)
    }

    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Waits for the time that `positions` positions take in `layers` layers, plus `percent`
    /// percent.
    pub(crate) async fn compute(&self, layers: u32, positions: usize, percent: u64) {
        let gauge = RunningGauge::new(self, positions);
        let slowdown = 1.0 + count(percent) / 100.0;
        let share = f64::from(layers) / self.engine_layers * slowdown;
        let done_at = self.reserve(share, positions);
        tokio::time::sleep_until(done_at).await;
        drop(gauge);
    }

    fn reserve(&self, share: f64, positions: usize) -> Instant {
        let now = Instant::now();
        let prompt = count(u64::try_from(positions.saturating_sub(1)).unwrap_or(u64::MAX));
        let prompt_time = Duration::from_secs_f64(prompt * share / self.prefill_rate);
        let mut slots = self.lock();
        let slot_count = count(u64::try_from(slots.len()).unwrap_or(1));
        let token_time = Duration::from_secs_f64(slot_count * share / self.decode_rate);
        for slot in slots.iter_mut() {
            *slot = (*slot).max(now) + prompt_time;
        }
        let Some(slot) = slots.iter_mut().min() else {
            return now + prompt_time + token_time;
        };
        *slot += token_time;
        *slot
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.free_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rate(per_second: u64) -> f64 {
    count(per_second.max(1))
}

/// Exact up to 2^32 - 1; no count here is greater.
fn count(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

struct RunningGauge<'capacity> {
    capacity: &'capacity ComputeCapacity,
    prefill: u64,
}

impl<'capacity> RunningGauge<'capacity> {
    fn new(capacity: &'capacity ComputeCapacity, positions: usize) -> Self {
        let prefill = u64::try_from(positions.saturating_sub(1)).unwrap_or(u64::MAX);
        capacity.running.fetch_add(1, Ordering::Relaxed);
        capacity
            .prefill_tokens
            .fetch_add(prefill, Ordering::Relaxed);
        Self { capacity, prefill }
    }
}

impl Drop for RunningGauge<'_> {
    fn drop(&mut self) {
        self.capacity.running.fetch_sub(1, Ordering::Relaxed);
        self.capacity
            .prefill_tokens
            .fetch_sub(self.prefill, Ordering::Relaxed);
    }
}
