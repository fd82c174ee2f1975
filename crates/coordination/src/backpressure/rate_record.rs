//! Limit of one server, and this host's share of it.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::demand::DemandMeter;
use super::rate::RequestRate;
use super::rate_report::{RateReport, RateScope, ReportSender, StatementReport};
use super::rate_settings::RateSettings;
use crate::base::{HostName, MonotonicTime, ServerName};
use crate::limits::TokenBucket;

/// Statement of a server in one of its answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateStatement {
    /// `None` if the server stated no limit.
    pub(super) limit: Option<RequestRate>,
    /// Time of the answer.
    pub(super) at: MonotonicTime,
}

impl RateStatement {
    fn newer(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        let statements = one.into_iter().chain(other);
        statements.max_by_key(|statement| statement.at)
    }
}

/// Report of another host.
#[derive(Clone, Copy, Debug)]
struct StoredReport {
    sender: ReportSender,
    scope: RateScope,
    stated: Option<RateStatement>,
    demand: RequestRate,
    hosts: u32,
    received_at: MonotonicTime,
}

/// Demand of several hosts, and their number.
#[derive(Clone, Copy, Debug, Default)]
struct DemandSum {
    demand: RequestRate,
    hosts: u32,
}

impl DemandSum {
    fn plus(self, demand: RequestRate, hosts: u32) -> Self {
        Self {
            demand: self.demand.plus(demand),
            hosts: self.hosts.saturating_add(hosts),
        }
    }
}

/// Hosts whose demand a report to another host contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportedHosts {
    /// This host, which serves callers.
    This,
    /// The hosts that report to this keeper.
    Followers,
    /// All hosts that this keeper knows of.
    All,
}

/// Limit of one server.
///
/// Invariant: the shares of all hosts add up to at most the limit once their reported demands have
/// reached each other. A host that is in no sum takes an even part of the limit, and hosts in a sum
/// divide only the even parts of the hosts in it.
#[derive(Debug)]
pub(super) struct RateRecord {
    pub(super) server: ServerName,
    /// Last statement in an answer to this host.
    own: Option<RateStatement>,
    /// Newest statement that another host reported.
    reported: Option<RateStatement>,
    /// Last report of each sender.
    reports: BTreeMap<HostName, StoredReport>,
    demand: DemandMeter,
    /// Demand of this host as last reported to others.
    sent_demand: RequestRate,
    /// Requests of this host that wait for a part of its share.
    pub(super) waiting: u32,
    bucket: Option<TokenBucket>,
}

impl RateRecord {
    pub(super) fn new(server: ServerName) -> Self {
        Self {
            server,
            own: None,
            reported: None,
            reports: BTreeMap::new(),
            demand: DemandMeter::default(),
            sent_demand: RequestRate::default(),
            waiting: 0,
            bucket: None,
        }
    }

    /// Returns the rate that the server accepts from all hosts together, if it is limited.
    pub(super) fn limit(&self) -> Option<RequestRate> {
        self.newest_statement()?.limit
    }

    /// Time of the newest statement.
    pub(super) fn stated_at(&self) -> Option<MonotonicTime> {
        self.newest_statement().map(|statement| statement.at)
    }

    pub(super) fn apply_own(&mut self, statement: RateStatement) {
        self.own = RateStatement::newer(self.own, Some(statement));
    }

    pub(super) fn apply_report(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        sender: ReportSender,
        scope: RateScope,
        report: &RateReport,
    ) {
        let stated = report.stated.map(|stated| RateStatement {
            limit: stated.limit,
            at: now.before(stated.age),
        });
        self.reported = RateStatement::newer(self.reported, stated);
        let stored = StoredReport {
            sender,
            scope,
            stated,
            demand: report.demand,
            hosts: report.hosts,
            received_at: now,
        };
        self.reports.insert(from.clone(), stored);
    }

    pub(super) fn record_demand(&mut self, now: MonotonicTime, settings: &RateSettings) {
        self.demand.record(now, settings.demand_window);
    }

    /// Drops expired reports.
    pub(super) fn expire_reports(&mut self, now: MonotonicTime, settings: &RateSettings) {
        self.reports
            .retain(|_, report| now.since(report.received_at) < settings.report_lifetime);
    }

    /// Returns the report to other hosts about the demand of `hosts`.
    pub(super) fn report(
        &mut self,
        now: MonotonicTime,
        settings: &RateSettings,
        hosts: ReportedHosts,
    ) -> RateReport {
        self.expire_reports(now, settings);
        let is_included = |report: &&StoredReport| match hosts {
            ReportedHosts::This => false,
            ReportedHosts::Followers => report.sender == ReportSender::Entry,
            ReportedHosts::All => true,
        };
        let parts = self.reports.values().filter(is_included);
        let parts = parts.filter(|report| report.scope == RateScope::Part);
        let mut stated = self.own;
        let mut sum = DemandSum::default();
        for part in parts {
            stated = RateStatement::newer(stated, part.stated);
            sum = sum.plus(part.demand, part.hosts);
        }
        if hosts == ReportedHosts::This {
            self.sent_demand = self.demand.rate(now, settings.demand_window);
            sum = sum.plus(self.sent_demand, 1);
        }
        RateReport {
            server: self.server.clone(),
            stated: stated.map(|stated| StatementReport {
                limit: stated.limit,
                age: now.since(stated.at),
            }),
            demand: sum.demand,
            hosts: sum.hosts,
        }
    }

    /// Returns this host's share of the limit in requests per second, if the server is limited.
    /// `hosts` is the number of hosts that serve callers.
    pub(super) fn share(
        &self,
        now: MonotonicTime,
        settings: &RateSettings,
        hosts: u32,
    ) -> Option<f64> {
        let rate = self.allowed_rate(now, settings)?;
        let hosts = f64::from(hosts.max(1));
        let sum = self.known_demand(now, settings);
        let known_hosts = f64::from(sum.hosts.max(1)).min(hosts);
        let own = self.sent_demand.per_second();
        let total = sum.demand.per_second().max(own);
        let proportion = if total > 0.0 {
            own / total
        } else {
            known_hosts.recip()
        };
        let even = settings.even_fraction / known_hosts;
        let divided = rate * known_hosts / hosts;
        Some(divided * (even + (1.0 - settings.even_fraction) * proportion))
    }

    /// Returns the bucket that is refilled at this host's share, if the server is limited.
    pub(super) fn bucket(
        &mut self,
        now: MonotonicTime,
        settings: &RateSettings,
        hosts: u32,
        random: &mut ChaCha8Rng,
    ) -> Option<&mut TokenBucket> {
        let Some(share) = self.share(now, settings, hosts) else {
            self.bucket = None;
            return None;
        };
        let burst = 1.0 + share * settings.burst.as_secs_f64();
        // Hosts learn of a limit at the same time. With equal levels, they would all send at the
        // same time too.
        let bucket = self.bucket.get_or_insert_with(|| {
            let level = random.random_range(0.0..1.0);
            TokenBucket::new(now, share, burst).with_level(level)
        });
        bucket.configure(now, share, burst);
        Some(bucket)
    }

    /// Limit that holds now, raised to the trial rate if no answer has stated it for a while.
    fn allowed_rate(&self, now: MonotonicTime, settings: &RateSettings) -> Option<f64> {
        let statement = self.newest_statement()?;
        let limit = statement.limit?;
        let is_old = now.since(statement.at) >= settings.trial_age;
        let allowed = if is_old {
            limit.max(settings.trial_rate)
        } else {
            limit
        };
        Some(allowed.per_second())
    }

    /// Demand of all hosts that this host knows of, itself included.
    fn known_demand(&self, now: MonotonicTime, settings: &RateSettings) -> DemandSum {
        let fresh = self
            .reports
            .values()
            .filter(|report| now.since(report.received_at) < settings.report_lifetime);
        let totals = fresh
            .clone()
            .filter(|report| report.scope == RateScope::Total);
        if let Some(total) = totals.max_by_key(|report| report.received_at) {
            return DemandSum::default().plus(total.demand, total.hosts);
        }
        let parts = fresh.filter(|report| report.scope == RateScope::Part);
        let own = DemandSum::default().plus(self.sent_demand, 1);
        parts.fold(own, |sum, part| sum.plus(part.demand, part.hosts))
    }

    fn newest_statement(&self) -> Option<RateStatement> {
        RateStatement::newer(self.own, self.reported)
    }
}
