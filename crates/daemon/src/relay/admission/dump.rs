//! State of the admission of drafts, for the dump.

use std::collections::BTreeMap;

use pollendrift_coordination::base::{MonotonicTime, ServiceName};
use pollendrift_coordination::limits::{AdmissionCounts, CapacityInputs, CustomerCounts};
use serde::Serialize;

use super::{DraftAdmission, DraftPool};
use crate::admission::GateStatus;
use crate::clock::millis;

/// Customers in the list of those with the most refusals.
const MAX_CUSTOMERS: usize = 16;

/// State of the admission to one service in a dump.
#[derive(Clone, Debug, Serialize)]
pub(in crate::relay) struct PoolDump {
    /// Running and waiting drafts.
    requests: GateStatus,
    /// KV memory that running drafts may hold, in tokens; `None` if it is not limited.
    capacity_tokens: Option<u64>,
    /// KV memory of the running drafts, in tokens.
    held_tokens: u64,
    /// Figures of the last measurement.
    inputs: Option<CapacityInputs>,
    /// Age of that measurement, in milliseconds.
    report_age_ms: Option<u64>,
    /// Mean time to the first event, in milliseconds.
    first_event_ms: u64,
    /// Callers that were told when to come back and have not reached that time.
    promised_returns: u32,
    /// Drafts by priority.
    counts: AdmissionCounts,
    /// Customers with the most refusals.
    most_refused: Vec<CustomerCounts>,
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
        let inspection = self.gate.inspect();
        let state = self.state();
        let inputs = state.capacity.inputs();
        PoolDump {
            requests: self.gate.status(),
            capacity_tokens: inspection.limited_tokens(),
            held_tokens: inspection.held_tokens,
            inputs,
            report_age_ms: inputs.map(|inputs| millis(now.since(inputs.measured_at))),
            first_event_ms: millis(state.first_event),
            promised_returns: state.returns.promised(now).count,
            counts: inspection.counts,
            most_refused: self.gate.most_refused(MAX_CUSTOMERS),
        }
    }
}
