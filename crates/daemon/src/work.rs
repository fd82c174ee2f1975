//! Time that this process spends on each kind of work, and the order in which work gets it.
//!
//! On a host with a keeper, what hosts tell each other in passing, surveys and layouts must not take the
//! processor from the agreement, from confirmed reads and from changes. Such work is deferrable: it may
//! take a share of the time, and waits beyond it.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use pollendrift_coordination::limits::{WorkBudget, WorkSettings};
use tokio::time::{Sleep, sleep};

use crate::clock::{SystemClock, TimeSource};

/// Work of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCount {
    /// Steps: calls, or polls of a future.
    pub steps: u64,
    /// Time that they took. On a host with one core this is its processor time and that of whatever
    /// interrupted it.
    pub time: Duration,
    /// Pieces of work that were dropped, as too many waited.
    pub dropped: u64,
}

/// Counts of work by kind, and the share of deferrable work. Kinds are fixed names in the code, so
/// their number is limited.
#[derive(Debug, Default)]
pub struct WorkMeter {
    counts: Mutex<BTreeMap<&'static str, WorkCount>>,
    /// Share of deferrable work; `None` without a limit.
    budget: Option<Mutex<WorkBudget>>,
    clock: SystemClock,
}

impl WorkMeter {
    /// Creates a meter that limits deferrable work; `None` for no limit.
    pub fn new(deferrable: Option<WorkSettings>) -> Self {
        let budget = deferrable.map(|settings| Mutex::new(WorkBudget::new(settings)));
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Runs `work` and counts it as one step of `kind`.
    pub fn measure<T, F>(&self, kind: &'static str, work: F) -> T
    where
        F: FnOnce() -> T,
    {
        self.timed(kind, work).0
    }

    /// Runs `work` as [`WorkMeter::measure`] does, and charges it to the share of deferrable work.
    pub fn measure_deferrable<T, F>(&self, kind: &'static str, work: F) -> T
    where
        F: FnOnce() -> T,
    {
        let (result, time) = self.timed(kind, work);
        if let Some(budget) = &self.budget {
            lock(budget).charge(self.clock.now(), time);
        }
        result
    }

    /// Counts each poll of `work` as a step of `kind`.
    pub fn track<F>(&self, kind: &'static str, work: F) -> TrackedWork<'_, F>
    where
        F: Future + Unpin,
    {
        TrackedWork {
            meter: self,
            kind,
            work,
        }
    }

    /// Polls `work` within the share of deferrable work, and counts each poll as a step of `kind`.
    pub fn defer<F>(self: &Arc<Self>, kind: &'static str, work: F) -> DeferredWork<F>
    where
        F: Future + Unpin,
    {
        DeferredWork {
            meter: Arc::clone(self),
            kind,
            work,
            pause: None,
        }
    }

    /// Waits until deferrable work may go on.
    pub async fn turn(&self) {
        loop {
            let wait = self.wait();
            if wait.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }

    /// Counts pieces of work that were dropped.
    pub fn record_dropped(&self, kind: &'static str, dropped: u64) {
        if dropped > 0 {
            lock(&self.counts).entry(kind).or_default().dropped += dropped;
        }
    }

    /// Returns the work since the start of the process.
    pub fn counts(&self) -> BTreeMap<&'static str, WorkCount> {
        lock(&self.counts).clone()
    }

    fn wait(&self) -> Duration {
        let budget = self.budget.as_ref();
        budget.map_or(Duration::ZERO, |budget| lock(budget).wait(self.clock.now()))
    }

    fn timed<T, F>(&self, kind: &'static str, work: F) -> (T, Duration)
    where
        F: FnOnce() -> T,
    {
        let began = self.clock.now();
        let result = work();
        let time = self.clock.now().since(began);
        let mut counts = lock(&self.counts);
        let count = counts.entry(kind).or_default();
        count.steps += 1;
        count.time += time;
        (result, time)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A future whose polls are counted.
pub struct TrackedWork<'meter, F> {
    meter: &'meter WorkMeter,
    kind: &'static str,
    work: F,
}

impl<F> Future for TrackedWork<'_, F>
where
    F: Future + Unpin,
{
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let tracked = &mut *self;
        let work = Pin::new(&mut tracked.work);
        tracked.meter.measure(tracked.kind, || work.poll(context))
    }
}

/// A future that is polled within the share of deferrable work.
pub struct DeferredWork<F> {
    meter: Arc<WorkMeter>,
    kind: &'static str,
    work: F,
    /// Wait for the share.
    pause: Option<Pin<Box<Sleep>>>,
}

impl<F> Future for DeferredWork<F>
where
    F: Future + Unpin,
{
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let deferred = &mut *self;
        loop {
            if let Some(pause) = &mut deferred.pause {
                ready!(pause.as_mut().poll(context));
                deferred.pause = None;
            }
            let wait = deferred.meter.wait();
            if wait.is_zero() {
                break;
            }
            deferred.pause = Some(Box::pin(sleep(wait)));
        }
        let work = Pin::new(&mut deferred.work);
        let meter = &deferred.meter;
        meter.measure_deferrable(deferred.kind, || work.poll(context))
    }
}

#[cfg(test)]
mod tests;
