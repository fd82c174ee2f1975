//! Exports the state of the admission to the metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use pollendrift_coordination::base::{MonotonicTime, ServiceName};
use pollendrift_coordination::limits::AdmissionCounts;

use super::DraftPool;
use crate::relay::context::RelayContext;
use crate::telemetry::{AdmissionLevels, AdmissionMetrics};

/// Counts that are in the metrics already, by service.
#[derive(Default)]
pub(crate) struct ExportedAdmission {
    services: BTreeMap<ServiceName, ExportedService>,
}

struct ExportedService {
    /// The pool that the counts are of. A service that loses its priorities and gets them again has
    /// a new pool, whose counts start at 0.
    pool: Arc<DraftPool>,
    counts: AdmissionCounts,
}

impl RelayContext {
    /// Updates the metrics of the admission of drafts.
    pub(crate) fn export_admission(&self, now: MonotonicTime, exported: &mut ExportedAdmission) {
        let pools = self.admission.lock().clone();
        exported.update(self.metrics.admission(), pools, |service, pool| {
            pool.levels(now, self.fleet.demand().share(now, service))
        });
    }
}

impl ExportedAdmission {
    fn update<F>(
        &mut self,
        metrics: &AdmissionMetrics,
        pools: BTreeMap<ServiceName, Arc<DraftPool>>,
        levels: F,
    ) where
        F: Fn(&ServiceName, &DraftPool) -> AdmissionLevels,
    {
        // A removed pool still has counts of the time since the last update.
        self.services.retain(|service, exported| {
            let pool = pools.get(service);
            let is_current = pool.is_some_and(|pool| Arc::ptr_eq(pool, &exported.pool));
            if !is_current {
                let counted = exported.count();
                let none = AdmissionLevels {
                    capacity: Some(0),
                    ..AdmissionLevels::default()
                };
                metrics.record(service, &counted, &none);
            }
            is_current
        });
        for (service, pool) in pools {
            let entry = self.services.entry(service.clone());
            let exported = entry.or_insert_with(|| ExportedService {
                pool,
                counts: AdmissionCounts::default(),
            });
            let counted = exported.count();
            metrics.record(&service, &counted, &levels(&service, &exported.pool));
        }
    }
}

impl ExportedService {
    /// Returns the counts since the last call.
    fn count(&mut self) -> AdmissionCounts {
        let counts = self.pool.gate.inspect().counts;
        let counted = counts.since(&self.counts);
        self.counts = counts;
        counted
    }
}

impl DraftPool {
    fn levels(&self, now: MonotonicTime, share: f64) -> AdmissionLevels {
        let inspection = self.gate.inspect();
        let state = self.state();
        AdmissionLevels {
            capacity: inspection.limited_tokens(),
            held_tokens: inspection.held_tokens,
            share,
            promised_returns: state.returns.promised(now).count,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;
    use std::sync::Arc;
    use std::time::Duration;

    use pollendrift_coordination::base::{CustomerName, MonotonicTime, ServiceName};
    use pollendrift_coordination::limits::{AdmissionCapacity, CustomerLimits, RequestPriority};

    use super::{DraftPool, ExportedAdmission};
    use crate::admission::GateOffer;
    use crate::clock::{SystemClock, TimeSource};
    use crate::relay::admission::UNLIMITED;
    use crate::telemetry::MetricRegistry;

    fn pool(clock: &Arc<dyn TimeSource>) -> Arc<DraftPool> {
        let pool = DraftPool::new(Arc::default(), Arc::clone(clock), 1);
        pool.gate.set_capacity(AdmissionCapacity {
            kv_tokens: 100,
            ..UNLIMITED
        });
        Arc::new(pool)
    }

    /// Offers an urgent draft of 60 tokens; it runs for good if it fits, and is refused if it does not.
    async fn offer(pool: &DraftPool) {
        let offer = GateOffer {
            customer: &CustomerName::from("plant-inn"),
            limits: CustomerLimits {
                max_queued: 0,
                ..CustomerLimits::default()
            },
            priority: RequestPriority::Urgent,
            tokens: 60,
            run_time: Some(Duration::ZERO),
            deadline: None,
            is_return: false,
        };
        let ticket = pool.gate.admit_offer(offer).await;
        let _ = ticket.map(std::mem::forget);
    }

    // Guards against drafts that the metrics count twice or lose: at each update, and when a service
    // loses its priorities and gets them again, which replaces its pool.
    #[tokio::test]
    async fn each_draft_is_counted_once() {
        let clock: Arc<dyn TimeSource> = Arc::new(SystemClock::default());
        let metrics = MetricRegistry::new().unwrap();
        let service = ServiceName::from("writers");
        let mut exported = ExportedAdmission::default();
        let mut update = |pools: &[&Arc<DraftPool>]| {
            let pools = pools.iter().map(|pool| (service.clone(), Arc::clone(pool)));
            let pools: BTreeMap<_, _> = pools.collect();
            let now = MonotonicTime::START;
            exported.update(metrics.admission(), pools, |_, pool| pool.levels(now, 0.5));
            let text = metrics.text();
            let lines = text.lines().filter(|line| {
                let is_kind =
                    line.contains("admitted") || line.contains("refus") || line.contains("held");
                is_kind
                    && line.contains("service=")
                    && !line.contains("normal")
                    && !line.contains("batch")
            });
            let values = lines.filter_map(|line| line.rsplit(' ').next().map(str::to_owned));
            values.collect::<Vec<_>>().join(" ")
        };
        let (first, second) = (pool(&clock), pool(&clock));
        let mut seen = vec![update(&[&first])];
        offer(&first).await;
        offer(&first).await;
        seen.push(update(&[&first]));
        seen.push(update(&[&first]));
        offer(&first).await;
        offer(&second).await;
        seen.push(update(&[&second]));
        seen.push(update(&[]));
        insta::assert_snapshot!(seen.join("\n"), @r#"
        0 0 0
        1 60 1
        1 60 1
        2 60 2
        2 0 2
        "#);
    }
}
