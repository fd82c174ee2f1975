//! Demand of one host, and its fraction of the demand of all hosts.

use std::collections::BTreeMap;

use super::meter::DemandMeter;
use super::report::{ReportScope, ReportSender};
use super::settings::ShareSettings;
use crate::base::{HostName, MonotonicTime};

/// Demand of several hosts, and their number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSum {
    /// Whole units per second. The unit is the user's, such as tokens. Sums of whole numbers are
    /// exact, so hosts that add them in another order get the same sum.
    pub demand: f64,
    /// Number of the hosts that serve callers.
    pub hosts: u32,
}

impl DemandSum {
    fn plus(self, other: Self) -> Self {
        Self {
            demand: self.demand + other.demand,
            hosts: self.hosts.saturating_add(other.hosts),
        }
    }
}

/// Hosts whose demand a report to another host contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedHosts {
    /// This host, which serves callers.
    This,
    /// The hosts that report to this keeper.
    Followers,
    /// All hosts that this keeper knows of.
    All,
}

/// Report of another host.
#[derive(Clone, Copy, Debug)]
struct StoredReport {
    sender: ReportSender,
    scope: ReportScope,
    sum: DemandSum,
    received_at: MonotonicTime,
}

/// Demand of this host for one resource, and the reports of other hosts about it.
///
/// Invariant: the fractions of all hosts add up to at most 1 once their reported demands have
/// reached each other. A host that is in no sum uses an even part, and hosts in a sum divide only
/// the even parts of the hosts in it.
#[derive(Clone, Debug, Default)]
pub struct SharedDemand {
    own: DemandMeter,
    /// Demand of this host as last reported to others, in whole units per second.
    sent: f64,
    /// Last report of each sender.
    reports: BTreeMap<HostName, StoredReport>,
}

impl SharedDemand {
    /// Records demand of this host, in units.
    pub fn record(&mut self, now: MonotonicTime, settings: &ShareSettings, amount: f64) {
        self.own.record(now, settings.demand_window, amount);
    }

    /// Sets the demand of this host to 0.
    pub fn clear_own(&mut self) {
        self.own = DemandMeter::default();
    }

    /// Applies a report of the host `from`; it replaces the former one.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        sender: ReportSender,
        scope: ReportScope,
        sum: DemandSum,
    ) {
        let report = StoredReport {
            sender,
            scope,
            sum,
            received_at: now,
        };
        self.reports.insert(from.clone(), report);
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: MonotonicTime, settings: &ShareSettings) {
        self.reports
            .retain(|_, report| report.is_fresh(now, settings));
    }

    /// Returns the demand of `hosts`, for a report to other hosts.
    pub fn report(
        &mut self,
        now: MonotonicTime,
        settings: &ShareSettings,
        hosts: ReportedHosts,
    ) -> DemandSum {
        self.expire(now, settings);
        if hosts == ReportedHosts::This {
            self.sent = self.own.rate(now, settings.demand_window).floor();
            return self.own_sum();
        }
        let parts = self.parts(hosts).map(|(_, report)| report.sum);
        parts.fold(DemandSum::default(), DemandSum::plus)
    }

    /// Returns the hosts whose stored reports a report about `hosts` sums up.
    pub fn reporters(&self, hosts: ReportedHosts) -> impl Iterator<Item = &HostName> {
        self.parts(hosts).map(|(host, _)| host)
    }

    /// Whether a report of `host` is stored.
    pub fn has_report_of(&self, host: &HostName) -> bool {
        self.reports.contains_key(host)
    }

    /// Whether a fresh report of another host states demand.
    pub fn has_reported_demand(&self, now: MonotonicTime, settings: &ShareSettings) -> bool {
        let mut fresh = self.fresh(now, settings);
        fresh.any(|report| report.sum.demand > 0.0)
    }

    /// Demand of this host as last reported to others.
    pub fn sent(&self) -> f64 {
        self.sent
    }

    /// Returns the fraction of the resource that this host may use, from 0 to 1. `hosts` is the
    /// number of hosts that serve callers.
    pub fn fraction(&self, now: MonotonicTime, settings: &ShareSettings, hosts: u32) -> f64 {
        let hosts = f64::from(hosts.max(1));
        let sum = self.known(now, settings);
        let known_hosts = f64::from(sum.hosts.max(1)).min(hosts);
        let total = sum.demand.max(self.sent);
        let proportion = if total > 0.0 {
            self.sent / total
        } else {
            known_hosts.recip()
        };
        let even = settings.even_fraction / known_hosts;
        known_hosts / hosts * (even + (1.0 - settings.even_fraction) * proportion)
    }

    /// Demand of all hosts that this host knows of, itself included.
    pub fn known(&self, now: MonotonicTime, settings: &ShareSettings) -> DemandSum {
        let fresh = self.fresh(now, settings);
        let totals = fresh.filter(|report| report.scope == ReportScope::Total);
        if let Some(total) = totals.max_by_key(|report| report.received_at) {
            return total.sum;
        }
        let fresh = self.fresh(now, settings);
        let parts = fresh.filter(|report| report.scope == ReportScope::Part);
        parts.fold(self.own_sum(), |sum, part| sum.plus(part.sum))
    }

    fn own_sum(&self) -> DemandSum {
        DemandSum {
            demand: self.sent,
            hosts: 1,
        }
    }

    /// Reports about parts of all hosts, from the senders that `hosts` includes.
    fn parts(&self, hosts: ReportedHosts) -> impl Iterator<Item = (&HostName, &StoredReport)> {
        let is_included = move |report: &StoredReport| match hosts {
            ReportedHosts::This => false,
            ReportedHosts::Followers => report.sender == ReportSender::Entry,
            ReportedHosts::All => true,
        };
        let reports = self.reports.iter();
        reports.filter(move |(_, report)| report.scope == ReportScope::Part && is_included(report))
    }

    fn fresh(
        &self,
        now: MonotonicTime,
        settings: &ShareSettings,
    ) -> impl Iterator<Item = &StoredReport> {
        let reports = self.reports.values();
        reports.filter(move |report| report.is_fresh(now, settings))
    }
}

impl StoredReport {
    fn is_fresh(&self, now: MonotonicTime, settings: &ShareSettings) -> bool {
        now.since(self.received_at) < settings.report_lifetime
    }
}
