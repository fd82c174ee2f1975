//! Counts one request in the metrics, once, however it ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
}

impl RequestMeter {
    /// Counts a request that has just arrived.
    pub(super) fn start(context: &Arc<RelayContext>) -> Self {
        context.metrics.request_begun();
        Self(Arc::new(MeterState {
            context: Arc::clone(context),
            arrived: context.clock.now(),
            is_over: AtomicBool::new(false),
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

    /// Events went to the caller; `since_last` is `None` for the first.
    pub(super) fn events_sent(&self, now: MonotonicTime, since_last: Option<Duration>) {
        let metrics = &self.0.context.metrics;
        match since_last {
            Some(since_last) => metrics.next_token(since_last),
            None => metrics.first_token(now.since(self.0.arrived)),
        }
    }
}

impl MeterState {
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
