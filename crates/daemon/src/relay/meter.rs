//! Counts each request in the metrics exactly once, for every way in which it ends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_dialect::RefusalKind;

use super::context::RelayContext;
use crate::telemetry::RequestEnd;

/// Counts one request as active until it ends; clones share the count.
///
/// If the last clone is dropped before an end is recorded, the caller disconnected. The drop
/// records that end, since the request would otherwise stay active in the metrics forever.
#[derive(Clone)]
pub(super) struct RequestMeter(Arc<MeterState>);

struct MeterState {
    context: Arc<RelayContext>,
    arrived: MonotonicTime,
    /// Whether the metrics of this host contain the request: not if another host forwarded it, whose
    /// metrics do.
    is_counted: bool,
    has_ended: AtomicBool,
    events: Mutex<EventTimes>,
}

/// Times at which events of a stream were sent to its caller, over all chains that ran it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventTimes {
    /// Time from the arrival of the request to its first event; `None` before that event.
    pub(super) first: Option<Duration>,
    /// Longest time between two events.
    pub(super) longest_pause: Duration,
    last_at: Option<MonotonicTime>,
}

impl RequestMeter {
    /// Counts a request that arrives now as active.
    pub(super) fn start(context: &Arc<RelayContext>) -> Self {
        context.metrics.record_request_start();
        Self::with_counting(context, true)
    }

    /// Starts a meter for a request that another host forwarded. It counts only as such.
    pub(super) fn start_forwarded(context: &Arc<RelayContext>) -> Self {
        context.metrics.record_peer_request();
        Self::with_counting(context, false)
    }

    fn with_counting(context: &Arc<RelayContext>, is_counted: bool) -> Self {
        Self(Arc::new(MeterState {
            context: Arc::clone(context),
            arrived: context.clock.now(),
            is_counted,
            has_ended: AtomicBool::new(false),
            events: Mutex::default(),
        }))
    }

    /// Records the end of the request; later calls have no effect.
    pub(super) fn record_end(&self, outcome: OutcomeKind) {
        self.0.end(outcome);
    }

    /// Records that the request was refused, which ends it.
    pub(super) fn record_refusal(&self, kind: RefusalKind) {
        let outcome = match kind {
            RefusalKind::UnknownOutcome | RefusalKind::TimedOut => OutcomeKind::Unknown,
            _ => OutcomeKind::NotRun,
        };
        self.0
            .context
            .metrics
            .record_refusal(outcome, kind.to_string());
        self.record_end(outcome);
    }

    /// Records that events were sent to the caller at `now`.
    ///
    /// A pause starts at the last event that was sent, whichever chain sent it. If it started with
    /// the next chain, the metrics would omit the pauses caused by engines that failed.
    pub(super) fn record_events_sent(&self, now: MonotonicTime) {
        let metrics = &self.0.context.metrics;
        let mut events = self.0.events();
        match events.last_at.replace(now) {
            Some(last_at) => {
                let pause = now.since(last_at);
                events.longest_pause = events.longest_pause.max(pause);
                if self.0.is_counted {
                    metrics.record_next_token(pause);
                }
            }
            None => {
                let first = now.since(self.0.arrived);
                events.first = Some(first);
                if self.0.is_counted {
                    metrics.record_first_token(first);
                }
            }
        }
    }

    /// Returns the times of the events sent so far.
    pub(super) fn event_times(&self) -> EventTimes {
        *self.0.events()
    }
}

impl MeterState {
    fn events(&self) -> MutexGuard<'_, EventTimes> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, outcome: OutcomeKind) {
        if self.has_ended.swap(true, Ordering::Relaxed) || !self.is_counted {
            return;
        }
        self.context.metrics.record_request_end(RequestEnd {
            outcome,
            // Each send counts its attempt in the metrics.
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
