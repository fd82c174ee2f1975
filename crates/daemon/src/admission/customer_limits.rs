//! Limits of a customer at this entry, from its labels.

use pollendrift_coordination::configuration::LabelSettings;
use pollendrift_coordination::limits::CustomerLimits;

use super::AdmissionGate;

impl AdmissionGate {
    /// Computes this entry's limits for a customer.
    ///
    /// Labels limit a customer at all entries together; each entry enforces an equal share.
    pub(super) fn limits(&self, settings: &LabelSettings) -> CustomerLimits {
        let share = |total: Option<u64>, default: u32| match total {
            Some(total) => u32::try_from(total)
                .unwrap_or(u32::MAX)
                .div_ceil(self.entries),
            None => default,
        };
        // A limit of 0 refuses everything: no slot, and no queue to wait for one. The table takes a
        // rate of 0 as no limit.
        if settings.in_flight == Some(0) || settings.requests_per_second == Some(0) {
            return CustomerLimits {
                max_in_flight: 0,
                max_queued: 0,
                ..self.defaults
            };
        }
        CustomerLimits {
            weight: settings.weight.unwrap_or(self.defaults.weight).max(1),
            max_in_flight: share(settings.in_flight, self.defaults.max_in_flight),
            max_queued: share(settings.queue, self.defaults.max_queued),
            requests_per_second: share(
                settings.requests_per_second,
                self.defaults.requests_per_second,
            ),
            burst: self.defaults.burst,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::time::Duration;

    use pollendrift_coordination::base::CustomerName;
    use pollendrift_coordination::configuration::LabelSettings;
    use pollendrift_coordination::limits::LimitSettings;

    use crate::admission::{AdmissionGate, GateLimits, GateRequest};
    use crate::clock::SystemClock;

    // Guards against a limit that does not apply to the requests after a change of the labels: a
    // request rate of 0 meant no limit, and requests over 0 in flight waited for their deadline.
    #[tokio::test]
    async fn limits_follow_the_labels_while_the_entry_runs() {
        let limits = GateLimits {
            max_running: 100,
            max_wait: Duration::from_secs(10),
            entries: 3,
        };
        let clock = Arc::new(SystemClock::default());
        let gate = Arc::new(AdmissionGate::new(LimitSettings::default(), limits, clock));
        let customer = CustomerName::from("plant-inn");
        let labels = |in_flight, requests_per_second| LabelSettings {
            in_flight,
            requests_per_second,
            ..LabelSettings::default()
        };
        let mut seen = Vec::new();
        for (in_flight, rate) in [
            (None, None),
            (Some(0), None),
            (None, Some(0)),
            (Some(3), None),
            (None, None),
        ] {
            let request = GateRequest {
                customer: &customer,
                settings: &labels(in_flight, rate),
                tokens: 10,
                deadline: None,
            };
            let admitted = tokio::time::timeout(Duration::from_millis(50), gate.admit(request));
            let result = match admitted.await {
                Ok(Ok(_)) => "admitted".to_owned(),
                Ok(Err(refusal)) => refusal.to_string(),
                Err(_) => "waits".to_owned(),
            };
            seen.push(format!("in flight {in_flight:?}, rate {rate:?}: {result}"));
        }
        insta::assert_snapshot!(seen.join("\n"), @r#"
        in flight None, rate None: admitted
        in flight Some(0), rate None: queue full
        in flight None, rate Some(0): queue full
        in flight Some(3), rate None: admitted
        in flight None, rate None: admitted
        "#);
    }
}
