//! How long computations take: slots that run side by side, each with its own next free time.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Prompt positions run this many times faster than generated ones, since they run in parallel.
const PREFILL_SPEED_UP: u64 = 16;

/// Compute capacity of one engine.
///
/// A slot's next free time moves by the exact cost of each computation, so timer rounding adds to
/// the latency of a step but not to the engine's throughput.
#[derive(Debug)]
pub(crate) struct EnginePace {
    layer_tokens_per_second: u64,
    free_at: Mutex<Vec<Instant>>,
    running: AtomicU32,
    queued: AtomicU32,
}

impl EnginePace {
    pub(crate) fn new(layer_tokens_per_second: u64, slots: u32) -> Self {
        let slots = usize::try_from(slots.max(1)).unwrap_or(1);
        Self {
            layer_tokens_per_second: layer_tokens_per_second.max(1),
            free_at: Mutex::new(vec![Instant::now(); slots]),
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    pub(crate) fn queued(&self) -> u32 {
        self.queued.load(Ordering::Relaxed)
    }

    /// Microseconds of one slot for `positions` positions through `layers` layers.
    pub(crate) fn cost_micros(&self, layers: u32, positions: usize) -> u64 {
        let positions = u64::try_from(positions).unwrap_or(u64::MAX);
        let prefill = positions.saturating_sub(1);
        let slots = u64::try_from(self.lock().len()).unwrap_or(1);
        let weighted = PREFILL_SPEED_UP
            .saturating_add(prefill)
            .saturating_mul(u64::from(layers));
        weighted
            .saturating_mul(MICROS_PER_SECOND)
            .saturating_mul(slots)
            / (self.layer_tokens_per_second * PREFILL_SPEED_UP)
    }

    /// Waits until a slot has done `micros` microseconds of work.
    pub(crate) async fn work(&self, micros: u64) {
        let gauge = RunningGauge::new(self);
        let done_at = self.reserve(Duration::from_micros(micros));
        tokio::time::sleep_until(done_at).await;
        drop(gauge);
    }

    fn reserve(&self, cost: Duration) -> Instant {
        let now = Instant::now();
        let mut slots = self.lock();
        let Some(slot) = slots.iter_mut().min() else {
            return now + cost;
        };
        *slot = (*slot).max(now) + cost;
        *slot
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.free_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct RunningGauge<'pace> {
    pace: &'pace EnginePace,
}

impl<'pace> RunningGauge<'pace> {
    fn new(pace: &'pace EnginePace) -> Self {
        let running = pace.running.fetch_add(1, Ordering::Relaxed) + 1;
        let slots = u32::try_from(pace.lock().len()).unwrap_or(u32::MAX);
        pace.queued
            .store(running.saturating_sub(slots), Ordering::Relaxed);
        Self { pace }
    }
}

impl Drop for RunningGauge<'_> {
    fn drop(&mut self) {
        let running = self
            .pace
            .running
            .fetch_sub(1, Ordering::Relaxed)
            .saturating_sub(1);
        let slots = u32::try_from(self.pace.lock().len()).unwrap_or(u32::MAX);
        self.pace
            .queued
            .store(running.saturating_sub(slots), Ordering::Relaxed);
    }
}
