//! Time that this process spends on each kind of work.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use crate::clock::{SystemClock, TimeSource};

/// Work of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCount {
    /// Steps: calls, or polls of a future.
    pub steps: u64,
    /// Time that they took. On a host with one core this is its processor time and that of whatever
    /// interrupted it.
    pub time: Duration,
}

/// Counts of work by kind. Kinds are fixed names in the code, so their number is limited.
#[derive(Debug, Default)]
pub struct WorkMeter {
    counts: Mutex<BTreeMap<&'static str, WorkCount>>,
    clock: SystemClock,
}

impl WorkMeter {
    /// Runs `work` and counts it as one step of `kind`.
    pub fn measure<T, F>(&self, kind: &'static str, work: F) -> T
    where
        F: FnOnce() -> T,
    {
        let began = self.clock.now();
        let result = work();
        self.record(kind, self.clock.now().since(began));
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

    /// Returns the work since the start of the process.
    pub fn counts(&self) -> BTreeMap<&'static str, WorkCount> {
        self.lock().clone()
    }

    fn record(&self, kind: &'static str, time: Duration) {
        let mut counts = self.lock();
        let count = counts.entry(kind).or_default();
        count.steps += 1;
        count.time += time;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, WorkCount>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
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

#[cfg(test)]
mod tests {
    use super::WorkMeter;

    /// Guards against work that no counter shows: a process without processor time must tell what took it.
    #[tokio::test]
    async fn steps_are_counted_by_kind() {
        let meter = WorkMeter::default();
        assert_eq!(meter.measure("call", || 7), 7);
        let work = async {
            tokio::task::yield_now().await;
            8
        };
        assert_eq!(meter.track("task", Box::pin(work)).await, 8);
        let steps: Vec<_> = meter
            .counts()
            .into_iter()
            .map(|(kind, count)| (kind, count.steps))
            .collect();
        assert_eq!(steps, [("call", 1), ("task", 2)]);
    }
}
