//! Limit of one server, and this host's share of it.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::rate::RequestRate;
use super::rate_report::{RateReport, RateScope, StatementReport};
use super::rate_settings::RateSettings;
use crate::base::{HostName, MonotonicTime, ServerName};
use crate::demand::{DemandSum, ReportSender, ReportedHosts, SharedDemand};
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

/// Demand of one request, in the unit of reports: thousandths of a request.
const REQUEST_DEMAND: f64 = 1e3;

/// Limit of one server.
///
/// Invariant: the shares of all hosts add up to at most the limit once their reported demands have
/// reached each other; see [`SharedDemand`].
#[derive(Debug)]
pub(super) struct RateRecord {
    pub(super) server: ServerName,
    /// Last statement in an answer to this host.
    own: Option<RateStatement>,
    /// Newest statement that another host reported.
    reported: Option<RateStatement>,
    /// Statement in the last report of each sender, for as long as the report counts.
    reported_by: BTreeMap<HostName, RateStatement>,
    /// Demand in thousandths of a request.
    demand: SharedDemand,
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
            reported_by: BTreeMap::new(),
            demand: SharedDemand::default(),
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
        match stated {
            Some(stated) => self.reported_by.insert(from.clone(), stated),
            None => self.reported_by.remove(from),
        };
        let sum = DemandSum {
            demand: report.demand.millis_per_second() as f64,
            hosts: report.hosts,
        };
        self.demand.apply(now, from, sender, scope, sum);
    }

    pub(super) fn record_demand(&mut self, now: MonotonicTime, settings: &RateSettings) {
        self.demand.record(now, &settings.share(), REQUEST_DEMAND);
    }

    /// Drops expired reports.
    pub(super) fn expire_reports(&mut self, now: MonotonicTime, settings: &RateSettings) {
        self.demand.expire(now, &settings.share());
        let demand = &self.demand;
        self.reported_by
            .retain(|host, _| demand.has_report_of(host));
    }

    /// Returns the report to other hosts about the demand of `hosts`.
    pub(super) fn report(
        &mut self,
        now: MonotonicTime,
        settings: &RateSettings,
        hosts: ReportedHosts,
    ) -> RateReport {
        self.expire_reports(now, settings);
        let sum = self.demand.report(now, &settings.share(), hosts);
        let reporters = self.demand.reporters(hosts);
        let reported = reporters.filter_map(|host| self.reported_by.get(host).copied());
        let stated = reported.fold(self.own, |newest, stated| {
            RateStatement::newer(newest, Some(stated))
        });
        RateReport {
            server: self.server.clone(),
            stated: stated.map(|stated| StatementReport {
                limit: stated.limit,
                age: now.since(stated.at),
            }),
            // The conversion to an integer saturates.
            demand: RequestRate::from_millis_per_second(sum.demand as u64),
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
        Some(rate * self.demand.fraction(now, &settings.share(), hosts))
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

    fn newest_statement(&self) -> Option<RateStatement> {
        RateStatement::newer(self.own, self.reported)
    }
}
