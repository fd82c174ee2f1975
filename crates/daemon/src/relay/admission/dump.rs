//! State of the admission of drafts, for the dump.

use std::collections::BTreeMap;

use pollendrift_coordination::base::{MonotonicTime, ServiceName};
use pollendrift_coordination::limits::CapacityInputs;
use serde::Serialize;

use super::{DraftAdmission, DraftPool};
use crate::admission::GateStatus;
use crate::clock::millis;

/// State of the admission to one service in a dump.
#[derive(Clone, Debug, Serialize)]
pub(in crate::relay) struct PoolDump {
    /// Running and waiting drafts.
    requests: GateStatus,
    /// KV memory of the running drafts, in tokens.
    held_tokens: u64,
    /// Figures of the last measurement.
    inputs: Option<CapacityInputs>,
    /// Mean time to the first event, in milliseconds.
    first_event_ms: u64,
    /// Callers that were told when to come back and have not reached that time.
    promised_returns: u32,
}

impl DraftAdmission {
    /// State of each service, for the dump.
    pub(in crate::relay) fn dump(&self) -> BTreeMap<ServiceName, PoolDump> {
        let pools = self.lock();
        let dump = pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.dump(self.clock.now())));
        dump.collect()
    }
}

impl DraftPool {
    fn dump(&self, now: MonotonicTime) -> PoolDump {
        let state = self.state();
        PoolDump {
            requests: self.gate.status(),
            held_tokens: self.gate.in_flight_tokens(),
            inputs: state.capacity.inputs(),
            first_event_ms: millis(state.first_event),
            promised_returns: state.returns.promised(now).count,
        }
    }
}
