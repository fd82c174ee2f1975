//! Instruments of the admission of drafts by priority.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use pollendrift_coordination::base::ServiceName;
use pollendrift_coordination::limits::{AdmissionCounts, RequestPriority};

use super::instruments;
use super::metrics::{counter, float_gauge, gauge};

/// Services with time series over the life of the process: as many as hosts keep demand shares of.
/// Operators can publish any number of service names one after the other.
const MAX_SERVICES: usize = 256;

/// Current values of the admission to one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionLevels {
    /// KV memory that the admitted drafts may hold, in tokens; `None` if it is not limited.
    pub capacity: Option<u64>,
    /// KV memory that the admitted drafts hold, in tokens.
    pub held_tokens: u64,
    /// Fraction of the free KV memory of engines that this host may use.
    pub share: f64,
    /// Refused callers whose time to come back has not passed.
    pub promised_returns: u32,
}

/// Instruments of the admission of drafts, by service and priority.
#[derive(Debug)]
pub struct AdmissionMetrics {
    admitted: Counter<u64>,
    admitted_late: Counter<u64>,
    refused: Counter<u64>,
    waiting: Gauge<u64>,
    share: Gauge<f64>,
    promised_returns: Gauge<u64>,
    capacity: Gauge<u64>,
    held: Gauge<u64>,
    services: Mutex<BTreeSet<ServiceName>>,
}

impl AdmissionMetrics {
    /// Creates the instruments, each with one series without a service, which stays 0. Queries and
    /// alerts then find the metric also before a service has drafts of different priorities.
    pub(super) fn new(meter: &Meter) -> Self {
        let metrics = Self {
            admitted: counter(meter, &instruments::DRAFTS_ADMITTED),
            admitted_late: counter(meter, &instruments::DRAFTS_ADMITTED_LATE),
            refused: counter(meter, &instruments::DRAFTS_REFUSED),
            waiting: gauge(meter, &instruments::DRAFTS_WAITING),
            share: float_gauge(meter, &instruments::DEMAND_SHARE),
            promised_returns: gauge(meter, &instruments::PROMISED_RETURNS),
            capacity: gauge(meter, &instruments::ADMISSION_CAPACITY),
            held: gauge(meter, &instruments::ADMISSION_HELD),
            services: Mutex::default(),
        };
        for counter in [&metrics.admitted, &metrics.admitted_late, &metrics.refused] {
            counter.add(0, &[]);
        }
        metrics.waiting.record(0, &[]);
        metrics.set_levels(&[], &AdmissionLevels::default());
        metrics.capacity.record(0, &[]);
        metrics
    }

    /// Records the current values of a service, and adds the drafts that were `counted` since the
    /// last call.
    pub fn record(&self, service: &ServiceName, counted: &AdmissionCounts, now: &AdmissionLevels) {
        if !self.has_series(service) {
            return;
        }
        let service = KeyValue::new("service", service.as_str().to_owned());
        for priority in RequestPriority::DESCENDING {
            let counts = counted.of(priority);
            let attributes = [
                service.clone(),
                KeyValue::new("priority", priority_name(priority)),
            ];
            self.admitted.add(counts.admitted, &attributes);
            self.admitted_late
                .add(counts.admitted_after_wait, &attributes);
            self.refused.add(counts.refused, &attributes);
            self.waiting.record(u64::from(counts.waiting), &attributes);
        }
        self.set_levels(&[service], now);
    }

    fn set_levels(&self, attributes: &[KeyValue], now: &AdmissionLevels) {
        if let Some(capacity) = now.capacity {
            self.capacity.record(capacity, attributes);
        }
        self.held.record(now.held_tokens, attributes);
        self.share.record(now.share, attributes);
        let promised = u64::from(now.promised_returns);
        self.promised_returns.record(promised, attributes);
    }

    /// Whether the service has time series; gives it some if it is one of the first
    /// [`MAX_SERVICES`].
    fn has_series(&self, service: &ServiceName) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.contains(service) {
            return true;
        }
        let has_room = services.len() < MAX_SERVICES;
        if has_room {
            services.insert(service.clone());
        }
        has_room
    }
}

fn priority_name(priority: RequestPriority) -> &'static str {
    match priority {
        RequestPriority::Urgent => "urgent",
        RequestPriority::Normal => "normal",
        RequestPriority::Batch => "batch",
    }
}
