//! Hosts that report that they reach no server of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::base::{HostName, MonotonicTime, ServiceName};

/// Settings of a [`PartitionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionSettings {
    /// Time for which a report holds: hosts repeat it within a third of that time.
    pub retention: Duration,
}

impl Default for PartitionSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(6),
        }
    }
}

#[derive(Clone, Debug)]
struct PartitionReport {
    /// Not empty.
    services: Vec<ServiceName>,
    reported_at: MonotonicTime,
}

/// Last reports of hosts about the services that they do not reach.
#[derive(Clone, Debug, Default)]
pub struct PartitionTable {
    settings: PartitionSettings,
    reports: BTreeMap<HostName, PartitionReport>,
}

impl PartitionTable {
    /// Records the services that `host` does not reach, in place of its former report.
    pub fn record(&mut self, now: MonotonicTime, host: &HostName, services: Vec<ServiceName>) {
        let retention = self.settings.retention;
        self.reports
            .retain(|_, report| now.since(report.reported_at) < retention);
        if services.is_empty() {
            self.reports.remove(host);
            return;
        }
        let report = PartitionReport {
            services,
            reported_at: now,
        };
        self.reports.insert(host.clone(), report);
    }

    /// Whether `host` reported that it does not reach one of `services`.
    pub fn is_cut_off(
        &self,
        now: MonotonicTime,
        host: &HostName,
        services: &[ServiceName],
    ) -> bool {
        let report = self.reports.get(host);
        let report =
            report.filter(|report| now.since(report.reported_at) < self.settings.retention);
        report.is_some_and(|report| {
            let mut lost = report.services.iter();
            lost.any(|service| services.contains(service))
        })
    }
}
