//! Closes new connections of callers unread while this host is overloaded.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::limits::{ConnectionShedder, ShedSettings};
use pollendrift_http::{ConnectionGate, ConnectionObserver};

use crate::clock::{TimeSource, millis};
use crate::telemetry::MetricRegistry;

/// Time between two log lines about closed connections.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Counts the connections that find no place at this host.
pub(super) struct ConnectionCounter(pub(super) Arc<MetricRegistry>);

impl ConnectionObserver for ConnectionCounter {
    fn record_cleared(&self) {
        self.0.record_displaced_connection("closed");
    }

    fn record_refused(&self) {
        self.0.record_displaced_connection("refused");
    }
}

/// Lets in the connections that this host has the processor time for.
pub(super) struct OverloadGate {
    state: Mutex<GateState>,
    clock: Arc<dyn TimeSource>,
    metrics: Arc<MetricRegistry>,
}

struct GateState {
    shedder: ConnectionShedder,
    /// Connections that were closed since the last log line.
    closed: u64,
    logged_at: MonotonicTime,
    /// Last wait of a connection for the processor.
    last_wait: Duration,
}

impl OverloadGate {
    /// Creates a gate for one server.
    pub(super) fn start(
        clock: &Arc<dyn TimeSource>,
        metrics: &Arc<MetricRegistry>,
    ) -> Arc<dyn ConnectionGate> {
        Arc::new(Self {
            state: Mutex::new(GateState {
                shedder: ConnectionShedder::new(ShedSettings::default()),
                closed: 0,
                logged_at: MonotonicTime::START,
                last_wait: Duration::ZERO,
            }),
            clock: Arc::clone(clock),
            metrics: Arc::clone(metrics),
        })
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionGate for OverloadGate {
    fn may_serve(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        if state.shedder.may_serve(now) {
            return true;
        }
        state.closed += 1;
        self.metrics.record_shed_connection();
        if now.since(state.logged_at) >= LOG_PERIOD {
            log::warn!(connections = state.closed, wait_ms = millis(state.last_wait); "connections closed unread: this host is overloaded");
            state.closed = 0;
            state.logged_at = now;
        }
        false
    }

    fn record_wait(&self, wait: Duration) {
        let now = self.clock.now();
        let mut state = self.state();
        state.last_wait = wait;
        state.shedder.record_wait(now, wait);
    }
}
