//! Logs refusals for lack of capacity and admissions after a wait, and records the refusals.

use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime};
use pollendrift_coordination::limits::{CapacityRefusal, RefusalRecord, RequestPriority};

use super::DraftPool;
use crate::clock::millis;
use crate::relay::request::RelayRequest;

impl DraftPool {
    /// Records a refusal for operators who ask about the draft, and logs it if it was not admitted.
    pub(super) fn record_refusal(
        &self,
        request: &RelayRequest,
        priority: RequestPriority,
        now: MonotonicTime,
        reason: CapacityRefusal,
        retry_after: Duration,
    ) {
        let inspection = self.gate.inspect();
        let record = RefusalRecord {
            request: request.attempt.clone(),
            service: request.service.name.clone(),
            customer: request.customer.clone(),
            priority,
            tokens: request.kv_tokens(),
            reason,
            refused_at: now,
            waited: now.since(request.arrived),
            retry_after,
            capacity_tokens: inspection.limited_tokens(),
            held_tokens: inspection.held_tokens,
            inputs: self.state().capacity.inputs(),
        };
        // The other refusals are in the log as `refused` only, like those of calls.
        if matches!(reason, CapacityRefusal::NotAdmitted { .. }) {
            log_refusal(&record);
        }
        self.refusals.record(record);
    }

    pub(super) fn log_late_admission(
        &self,
        request: &RelayRequest,
        priority: RequestPriority,
        now: MonotonicTime,
    ) {
        let inspection = self.gate.inspect();
        let inputs = self.state().capacity.inputs();
        log::info!(request = request.attempt.as_str(), customer = name_of(request.customer.as_ref()),
            priority:? = priority, waited_ms = millis(now.since(request.arrived)),
            capacity_tokens = inspection.limited_tokens(), held_tokens = inspection.held_tokens,
            free_tokens = inputs.map(|inputs| inputs.free), share = inputs.map(|inputs| inputs.share),
            report_age_ms = inputs.map(|inputs| millis(now.since(inputs.measured_at)));
            "admitted after a wait");
    }
}

fn log_refusal(record: &RefusalRecord) {
    let inputs = record.inputs;
    log::info!(request = record.request.as_str(), customer = name_of(record.customer.as_ref()),
        priority:? = record.priority, reason:% = record.reason, is_return = record.reason.is_return(),
        waited_ms = millis(record.waited),
        capacity_tokens = record.capacity_tokens, held_tokens = record.held_tokens,
        free_tokens = inputs.map(|inputs| inputs.free), share = inputs.map(|inputs| inputs.share),
        report_age_ms = inputs.map(|inputs| millis(record.refused_at.since(inputs.measured_at)));
        "not admitted");
}

/// Name for a log line; empty if keys are not checked.
fn name_of(customer: Option<&CustomerName>) -> &str {
    customer.map_or("", CustomerName::as_str)
}
