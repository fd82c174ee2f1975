//! State of a gate, for the dump and the metrics.

use pollendrift_coordination::limits::{AdmissionCapacity, AdmissionCounts, CustomerCounts};

use super::AdmissionGate;

/// State of a gate, read at one moment.
pub(crate) struct GateInspection {
    /// Capacity as last set.
    pub(crate) capacity: AdmissionCapacity,
    /// KV cache of the running requests, in tokens.
    pub(crate) held_tokens: u64,
    /// Requests by priority.
    pub(crate) counts: AdmissionCounts,
}

impl GateInspection {
    /// KV cache that running requests may hold, in tokens; `None` if it is not limited.
    pub(crate) fn limited_tokens(&self) -> Option<u64> {
        let tokens = self.capacity.kv_tokens;
        (tokens < u64::MAX).then_some(tokens)
    }
}

impl AdmissionGate {
    /// Returns the customers with the most refusals, at most `limit` of them.
    pub(crate) fn most_refused(&self, limit: usize) -> Vec<CustomerCounts> {
        self.lock().table.most_refused(limit)
    }

    /// Returns the current state.
    pub(crate) fn inspect(&self) -> GateInspection {
        let state = self.lock();
        GateInspection {
            capacity: state.table.capacity(),
            held_tokens: state.table.in_flight_tokens(),
            counts: state.table.counts(),
        }
    }
}
