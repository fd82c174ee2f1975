//! Guard that counts one attempt as running on its engines until it ends or is cancelled.
//!
//! A flight is one run of a pipeline that the planner counts.

use std::sync::Arc;

use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::routing::FlightKey;

use crate::entry::EntryContext;

/// Reports the end of an attempt to the planner, also when its caller disconnects midway.
///
/// Without it a dropped attempt would count as running forever, and its engines would look busy.
pub(super) struct FlightGuard {
    context: Arc<EntryContext>,
    flight: FlightKey,
    state: FlightState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlightState {
    Started,
    Generating,
    Failed,
}

impl FlightGuard {
    pub(super) fn new(context: &Arc<EntryContext>, flight: FlightKey) -> Self {
        Self {
            context: Arc::clone(context),
            flight,
            state: FlightState::Started,
        }
    }

    pub(super) fn record_first_token(&mut self) {
        if self.state == FlightState::Started {
            self.state = FlightState::Generating;
            self.context
                .fleet
                .first_token(self.context.clock.now(), self.flight);
        }
    }

    pub(super) fn fail(&mut self, failed_server: &ServerName) {
        self.state = FlightState::Failed;
        self.context
            .fleet
            .failed(self.context.clock.now(), self.flight, Some(failed_server));
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        if self.state != FlightState::Failed {
            self.context
                .fleet
                .finished(self.context.clock.now(), self.flight);
        }
    }
}
