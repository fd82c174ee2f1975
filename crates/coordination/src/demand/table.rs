//! Demand for services, and this host's share of each.

use std::collections::BTreeMap;

use serde::Serialize;
use slotmap::{SlotMap, new_key_type};

use super::report::{DemandBatch, DemandReport, InvalidDemand, ReportScope, ReportSender};
use super::settings::DemandSettings;
use super::shared::{DemandSum, ReportedHosts, SharedDemand};
use crate::base::{HostName, MonotonicTime, ServiceName};

new_key_type! {
    /// Key of a service's demand.
    struct ServiceKey;
}

/// Maximum number of services. Hosts use an equal share of further ones.
const MAX_SERVICES: usize = 256;

/// Demand for a service in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemandDump {
    /// Name of the service.
    pub service: ServiceName,
    /// Demand of this host as last reported, in KV tokens per second.
    pub own_demand: f64,
    /// Demand of the hosts that this host knows of, itself included, in KV tokens per second.
    pub known_demand: f64,
    /// Number of the hosts that `known_demand` is about.
    pub known_hosts: u32,
    /// Number of hosts that serve callers.
    pub hosts: u32,
    /// Fraction of the service's capacity that this host may use.
    pub share: f64,
}

#[derive(Debug)]
struct ServiceDemand {
    service: ServiceName,
    demand: SharedDemand,
    /// Time of the last draft that arrived at this host.
    last_draft: Option<MonotonicTime>,
}

impl ServiceDemand {
    fn is_used_here(&self, now: MonotonicTime, settings: &DemandSettings) -> bool {
        let is_recent = |at| now.since(at) < settings.idle_lifetime;
        self.last_draft.is_some_and(is_recent)
    }

    /// Whether this host has demand, or any other host has according to the reports.
    ///
    /// A report without demand does not count. Otherwise hosts would report a service to each other
    /// for ever.
    fn is_used(&self, now: MonotonicTime, settings: &DemandSettings) -> bool {
        self.is_used_here(now, settings) || self.demand.has_reported_demand(now, &settings.share)
    }
}

/// Demand of this host and of all hosts for each service.
#[derive(Debug)]
pub struct DemandTable {
    settings: DemandSettings,
    services: SlotMap<ServiceKey, ServiceDemand>,
    by_name: BTreeMap<ServiceName, ServiceKey>,
    /// Number of hosts that serve callers.
    hosts: u32,
    /// Time of the last warning about invalid reports.
    warned_at: Option<MonotonicTime>,
}

impl DemandTable {
    /// Creates a table without services.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            services: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            hosts: settings.default_hosts,
            warned_at: None,
        }
    }

    /// Sets the number of hosts that serve callers.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// Records a draft of `tokens` KV tokens that arrived at this host, whether it is sent or not.
    pub fn record(&mut self, now: MonotonicTime, service: &ServiceName, tokens: u64) {
        let settings = self.settings;
        let Some(record) = self.find_for_draft(now, service) else {
            return;
        };
        record.demand.record(now, &settings.share, tokens as f64);
        record.last_draft = Some(now);
    }

    /// Returns the fraction of the capacity of `service` that this host may use, from 0 to 1.
    pub fn share(&self, now: MonotonicTime, service: &ServiceName) -> f64 {
        let key = self.by_name.get(service);
        let record = key.and_then(|key| self.services.get(*key));
        match record {
            Some(record) => record
                .demand
                .fraction(now, &self.settings.share, self.hosts),
            None => f64::from(self.hosts.max(1)).recip(),
        }
    }

    /// Applies reports of the host `from`. Ignores invalid ones, and returns a warning about them
    /// at most once in [`DemandSettings::warning_interval`].
    #[must_use = "a warning is to be logged"]
    pub fn apply_batch(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        sender: ReportSender,
        batch: &DemandBatch,
    ) -> Option<InvalidDemand> {
        let mut invalid = None;
        for report in &batch.reports {
            match report.checked() {
                Ok(sum) => self.apply(now, (from, sender), batch.scope, &report.service, sum),
                Err(reason) => {
                    let first = invalid.get_or_insert(InvalidDemand { count: 0, reason });
                    first.count += 1;
                }
            }
        }
        invalid.filter(|_| self.may_warn(now))
    }

    /// Returns the demand of this host, which serves callers, for its peers.
    pub fn report_own(&mut self, now: MonotonicTime) -> DemandBatch {
        self.report(now, ReportedHosts::This, ReportScope::Part)
    }

    /// Returns the demand of the hosts that report to this keeper, for the other keepers.
    pub fn report_followers(&mut self, now: MonotonicTime) -> DemandBatch {
        self.report(now, ReportedHosts::Followers, ReportScope::Part)
    }

    /// Returns the demand of all hosts that this keeper knows of, for the hosts that follow it.
    pub fn report_all(&mut self, now: MonotonicTime) -> DemandBatch {
        self.report(now, ReportedHosts::All, ReportScope::Total)
    }

    /// Returns reports that replace those of this host at a keeper that it no longer follows.
    ///
    /// While keepers have no leader, hosts follow another keeper every 0.7 s. Without a withdrawal
    /// each would count three times, and hosts would use 0.45 of the capacity.
    pub fn withdrawal(&self) -> DemandBatch {
        let services = self.by_name.keys();
        let reports =
            services.map(|service| DemandReport::new(service.clone(), DemandSum::default()));
        DemandBatch {
            scope: ReportScope::Part,
            reports: reports.collect(),
        }
    }

    /// Drops expired reports and services without demand.
    pub fn tick(&mut self, now: MonotonicTime) {
        let settings = self.settings;
        self.services.retain(|_, record| {
            record.demand.expire(now, &settings.share);
            record.is_used(now, &settings)
        });
        let services = &self.services;
        self.by_name.retain(|_, key| services.contains_key(*key));
    }

    /// Returns the demand for all services, for the dump.
    pub fn dump(&self, now: MonotonicTime) -> Vec<DemandDump> {
        let records = self.by_name.values();
        let records = records.filter_map(|key| self.services.get(*key));
        let dumps = records.map(|record| {
            let known = record.demand.known(now, &self.settings.share);
            DemandDump {
                service: record.service.clone(),
                own_demand: record.demand.sent(),
                known_demand: known.demand,
                known_hosts: known.hosts,
                hosts: self.hosts,
                share: self.share(now, &record.service),
            }
        });
        dumps.collect()
    }

    fn apply(
        &mut self,
        now: MonotonicTime,
        (from, sender): (&HostName, ReportSender),
        scope: ReportScope,
        service: &ServiceName,
        sum: DemandSum,
    ) {
        let known = self.by_name.get(service).copied();
        let may_insert = sum.demand > 0.0 && self.services.len() < MAX_SERVICES;
        let key = match known {
            Some(key) => key,
            None if may_insert => self.insert(service),
            None => return,
        };
        if let Some(record) = self.services.get_mut(key) {
            record.demand.apply(now, from, sender, scope, sum);
        }
    }

    fn report(
        &mut self,
        now: MonotonicTime,
        hosts: ReportedHosts,
        scope: ReportScope,
    ) -> DemandBatch {
        let settings = self.settings;
        let mut reports = Vec::new();
        for key in self.by_name.values() {
            let Some(record) = self.services.get_mut(*key) else {
                continue;
            };
            if !record.is_used(now, &settings) {
                continue;
            }
            if !record.is_used_here(now, &settings) {
                record.demand.clear_own();
            }
            let sum = record.demand.report(now, &settings.share, hosts);
            if sum.hosts > 0 {
                reports.push(DemandReport::new(record.service.clone(), sum));
            }
        }
        DemandBatch { scope, reports }
    }

    /// Returns the record of a service that a draft arrived for; `None` if the table is full of
    /// services that drafts arrive for here.
    fn find_for_draft(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
    ) -> Option<&mut ServiceDemand> {
        let key = match self.by_name.get(service).copied() {
            Some(key) => key,
            None => {
                if self.services.len() >= MAX_SERVICES {
                    self.evict_unused_here(now)?;
                }
                self.insert(service)
            }
        };
        self.services.get_mut(key)
    }

    /// Removes a service that only other hosts have demand for. `None` if there is none.
    fn evict_unused_here(&mut self, now: MonotonicTime) -> Option<()> {
        let mut services = self.services.values();
        let unused = services.find(|record| !record.is_used_here(now, &self.settings))?;
        let key = self.by_name.remove(&unused.service.clone())?;
        self.services.remove(key).map(drop)
    }

    fn insert(&mut self, service: &ServiceName) -> ServiceKey {
        let key = self.services.insert(ServiceDemand {
            service: service.clone(),
            demand: SharedDemand::default(),
            last_draft: None,
        });
        self.by_name.insert(service.clone(), key);
        key
    }

    fn may_warn(&mut self, now: MonotonicTime) -> bool {
        let is_recent = |at| now.since(at) < self.settings.warning_interval;
        if self.warned_at.is_some_and(is_recent) {
            return false;
        }
        self.warned_at = Some(now);
        true
    }
}
