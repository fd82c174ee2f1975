//! Rates of requests that backend servers accept, divided among the hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::{SlotMap, new_key_type};

use super::rate::{RequestRate, StatedRate};
use super::rate_record::{RateRecord, RateStatement};
use super::rate_report::{RateBatch, RateReport, RateScope};
use super::rate_settings::RateSettings;
use crate::base::{HostName, MonotonicTime, ServerName};
use crate::demand::{ReportSender, ReportedHosts};

new_key_type! {
    /// Key of a server's record.
    struct RateKey;
}

/// Maximum number of records; the one with the oldest statement is evicted first.
const MAX_SERVERS: usize = 4_096;

/// Change of the limit of a server by one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateChange {
    /// The server states a limit, and stated none or another one before.
    Limited {
        /// Rate that the server accepts now.
        rate: RequestRate,
        /// Rate that it accepted before, if it was limited.
        former: Option<RequestRate>,
    },
    /// The server no longer states a limit.
    Ended {
        /// Rate that it accepted before.
        former: RequestRate,
    },
}

/// A limit of which this host has used up its share.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "{server} accepts {rate} requests a second from all hosts; the share of this host, {share}, is used up"
)]
pub struct UsedUpRate {
    /// Name of the server.
    pub server: ServerName,
    /// Rate that the server accepts from all hosts together.
    pub rate: RequestRate,
    /// Share of this host.
    pub share: RequestRate,
    /// Time until the share allows another request, after those that wait already.
    pub wait: Duration,
}

/// State of a limit in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RateDump {
    /// Name of the server.
    pub server: ServerName,
    /// Rate that the server accepts from all hosts together, in requests per second.
    pub limit: f64,
    /// Share of this host, in requests per second.
    pub share: f64,
    /// Requests that wait for a part of the share.
    pub waiting: u32,
}

/// Limits of the servers that state one, and this host's share of each.
#[derive(Debug)]
pub struct RateTable {
    settings: RateSettings,
    records: SlotMap<RateKey, RateRecord>,
    by_name: BTreeMap<ServerName, RateKey>,
    /// Number of hosts that serve callers.
    hosts: u32,
    random: ChaCha8Rng,
}

impl RateTable {
    /// Creates a table without limits; `seed` seeds the random initial levels of shares.
    pub fn new(settings: RateSettings, seed: u64) -> Self {
        Self {
            settings,
            records: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            hosts: settings.default_hosts,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the number of hosts that serve callers.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// Applies the statement in an answer that `server` sent to this host, and returns how it
    /// changes the limit. An invalid statement changes nothing.
    pub fn apply_statement(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        stated: StatedRate,
    ) -> Option<RateChange> {
        let former = self.limit(server);
        let limit = match stated {
            StatedRate::Unlimited => None,
            StatedRate::Limited(rate) => Some(rate),
            StatedRate::Invalid => return None,
        };
        if limit.is_some() || former.is_some() {
            let statement = RateStatement { limit, at: now };
            self.find(server).apply_own(statement);
        }
        match (former, limit) {
            (former, Some(rate)) if former != Some(rate) => {
                Some(RateChange::Limited { rate, former })
            }
            (Some(former), None) => Some(RateChange::Ended { former }),
            _ => None,
        }
    }

    /// Applies reports of the host `from`.
    pub fn apply_batch(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        sender: ReportSender,
        batch: &RateBatch,
    ) {
        for report in &batch.reports {
            let is_limited = report.stated.is_some_and(|stated| stated.limit.is_some());
            if is_limited || self.by_name.contains_key(&report.server) {
                self.find(&report.server)
                    .apply_report(now, from, sender, batch.scope, report);
            }
        }
    }

    /// Returns the demand of this host, which serves callers, for its peers.
    pub fn report_own(&mut self, now: MonotonicTime) -> RateBatch {
        self.report(now, ReportedHosts::This, RateScope::Part)
    }

    /// Returns the demand of the hosts that report to this keeper, for the other keepers.
    pub fn report_followers(&mut self, now: MonotonicTime) -> RateBatch {
        self.report(now, ReportedHosts::Followers, RateScope::Part)
    }

    /// Returns the demand of all hosts that this keeper knows of, for the hosts that follow it.
    pub fn report_all(&mut self, now: MonotonicTime) -> RateBatch {
        self.report(now, ReportedHosts::All, RateScope::Total)
    }

    /// Returns reports that replace those of this host at a keeper that it no longer follows. Without
    /// them the host would count twice until its last report expires.
    pub fn withdrawal(&self) -> RateBatch {
        let reports = self.by_name.keys().map(|server| RateReport {
            server: server.clone(),
            stated: None,
            demand: RequestRate::default(),
            hosts: 0,
        });
        RateBatch {
            scope: RateScope::Part,
            reports: reports.collect(),
        }
    }

    /// Records that this host wants to send a request to `server`, whether it may or not.
    pub fn record_demand(&mut self, now: MonotonicTime, server: &ServerName) {
        let settings = self.settings;
        if let Some(record) = self.limited(server) {
            record.record_demand(now, &settings);
        }
    }

    /// Whether this host may send a request to `server` now.
    pub fn may_send(&mut self, now: MonotonicTime, server: &ServerName) -> bool {
        self.bucket_of(now, server)
            .is_none_or(|bucket| bucket.has_token(now))
    }

    /// Takes a request to `server` out of this host's share. False if the share is used up.
    pub fn take(&mut self, now: MonotonicTime, server: &ServerName) -> bool {
        self.bucket_of(now, server)
            .is_none_or(|bucket| bucket.take(now).is_ok())
    }

    /// Counts a request that waits for a part of the share.
    pub fn add_waiting(&mut self, server: &ServerName) {
        if let Some(record) = self.limited(server) {
            record.waiting = record.waiting.saturating_add(1);
        }
    }

    /// Uncounts a request that [`RateTable::add_waiting`] counted.
    pub fn remove_waiting(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.get(server) {
            let waiting = &mut self.records[*key].waiting;
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// Returns the limit of `server` and the time until this host may send another request to it;
    /// `None` if the server is not limited.
    pub fn used_up(&mut self, now: MonotonicTime, server: &ServerName) -> Option<UsedUpRate> {
        let (settings, hosts) = (self.settings, self.hosts);
        let rate = self.limit(server)?;
        let record = self.limited(server)?;
        let share = record.share(now, &settings, hosts)?;
        let needed = f64::from(record.waiting) + 1.0;
        let wait = self.bucket_of(now, server)?.time_until(now, needed);
        Some(UsedUpRate {
            server: server.clone(),
            rate,
            share: RequestRate::from_per_second(share).unwrap_or_default(),
            wait,
        })
    }

    /// Returns the rate that `server` accepts from all hosts together; `None` if it states no
    /// limit.
    pub fn limit(&self, server: &ServerName) -> Option<RequestRate> {
        let key = self.by_name.get(server)?;
        self.records.get(*key)?.limit()
    }

    /// Number of servers that state a limit.
    pub fn limited_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.limit().is_some()).count()
    }

    /// Removes records of limits that ended a while ago, and expired reports.
    pub fn tick(&mut self, now: MonotonicTime) {
        let settings = self.settings;
        let is_expired = |record: &RateRecord| {
            let is_recent = |at| now.since(at) < settings.ended_lifetime;
            record.limit().is_none() && !record.stated_at().is_some_and(is_recent)
        };
        let expired: Vec<ServerName> = self
            .records
            .values_mut()
            .filter_map(|record| {
                record.expire_reports(now, &settings);
                is_expired(record).then(|| record.server.clone())
            })
            .collect();
        for server in expired {
            self.remove(&server);
        }
    }

    /// Removes a server that left.
    pub fn remove(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.remove(server) {
            self.records.remove(key);
        }
    }

    /// Returns the state of all limits, for the dump.
    pub fn dump(&self, now: MonotonicTime) -> Vec<RateDump> {
        let records = self
            .by_name
            .values()
            .filter_map(|key| self.records.get(*key));
        let limited = records.filter_map(|record| {
            Some(RateDump {
                server: record.server.clone(),
                limit: record.limit()?.per_second(),
                share: record.share(now, &self.settings, self.hosts)?,
                waiting: record.waiting,
            })
        });
        limited.collect()
    }

    fn report(&mut self, now: MonotonicTime, hosts: ReportedHosts, scope: RateScope) -> RateBatch {
        let settings = self.settings;
        let records = self.records.values_mut();
        let reports: Vec<RateReport> = records
            .map(|record| record.report(now, &settings, hosts))
            .collect();
        RateBatch { scope, reports }
    }

    fn bucket_of(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
    ) -> Option<&mut crate::limits::TokenBucket> {
        let key = *self.by_name.get(server)?;
        let record = self.records.get_mut(key)?;
        record.bucket(now, &self.settings, self.hosts, &mut self.random)
    }

    fn limited(&mut self, server: &ServerName) -> Option<&mut RateRecord> {
        let key = *self.by_name.get(server)?;
        let record = self.records.get_mut(key)?;
        record.limit().is_some().then_some(record)
    }

    fn find(&mut self, server: &ServerName) -> &mut RateRecord {
        let key = match self.by_name.get(server).copied() {
            Some(key) => key,
            None => self.insert(server),
        };
        &mut self.records[key]
    }

    fn insert(&mut self, server: &ServerName) -> RateKey {
        if self.records.len() >= MAX_SERVERS {
            self.evict_oldest();
        }
        let key = self.records.insert(RateRecord::new(server.clone()));
        self.by_name.insert(server.clone(), key);
        key
    }

    fn evict_oldest(&mut self) {
        let records = self.records.values();
        let oldest = records.min_by_key(|record| record.stated_at());
        if let Some(server) = oldest.map(|record| record.server.clone()) {
            self.remove(&server);
        }
    }
}
