//! Counts one request in the metrics, once, however it ends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_dialect::RefusalKind;

use super::context::RelayContext;
use crate::telemetry::RequestEnd;

/// A request that is counted as active; clones count the same one.
///
/// One that is dropped without an end had a caller that went away: it would else stay active in the
/// metrics for ever.
#[derive(Clone)]
pub(super) struct RequestMeter(Arc<MeterState>);

struct MeterState {
    context: Arc<RelayContext>,
    arrived: MonotonicTime,
    is_over: AtomicBool,
    events: Mutex<EventTimes>,
}

/// When the events of a stream went to its caller, over all chains that ran it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventTimes {
    /// From the request's arrival to its first event; `None` before it.
    pub(super) first: Option<Duration>,
    /// Longest time between two events.
    pub(super) longest_pause: Duration,
    last_at: Option<MonotonicTime>,
}

impl RequestMeter {
    /// Counts a request that has just arrived.
    pub(super) fn start(context: &Arc<RelayContext>) -> Self {
        context.metrics.request_begun();
        Self(Arc::new(MeterState {
            context: Arc::clone(context),
            arrived: context.clock.now(),
            is_over: AtomicBool::new(false),
            events: Mutex::default(),
        }))
    }

    /// The request ended; only the first word counts.
    pub(super) fn ended(&self, outcome: OutcomeKind) {
        self.0.end(outcome);
    }

    /// The request was refused.
    pub(super) fn refused(&self, kind: RefusalKind) {
        let outcome = match kind {
            RefusalKind::UnknownOutcome | RefusalKind::TimedOut => OutcomeKind::Unknown,
            _ => OutcomeKind::NotRun,
        };
        self.0
            .context
            .metrics
            .request_refused(outcome, kind.to_string());
        self.ended(outcome);
    }

    /// Events went to the caller.
    ///
    /// A pause counts from the last event that the caller has, whichever chain sent it: counted from
    /// the start of the next chain, the metrics left out the pauses at engines that died.
    pub(super) fn events_sent(&self, now: MonotonicTime) {
        let metrics = &self.0.context.metrics;
        let mut events = self.0.events();
        match events.last_at.replace(now) {
            Some(last_at) => {
                let pause = now.since(last_at);
                events.longest_pause = events.longest_pause.max(pause);
                metrics.next_token(pause);
            }
            None => {
                let first = now.since(self.0.arrived);
                events.first = Some(first);
                metrics.first_token(first);
            }
        }
    }

    /// When events went to the caller so far.
    pub(super) fn event_times(&self) -> EventTimes {
        *self.0.events()
    }
}

impl MeterState {
    fn events(&self) -> MutexGuard<'_, EventTimes> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, outcome: OutcomeKind) {
        if self.is_over.swap(true, Ordering::Relaxed) {
            return;
        }
        self.context.metrics.request_ended(RequestEnd {
            outcome,
            // Counted with each send.
            attempts: 0,
            duration: self.context.clock.now().since(self.arrived),
        });
    }
}

impl Drop for MeterState {
    fn drop(&mut self) {
        self.end(OutcomeKind::CallerGone);
    }
}
