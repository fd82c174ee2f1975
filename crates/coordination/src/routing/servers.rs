//! Selects a server of a plain service.
//!
//! Each response includes the load of its server. Between two responses this process knows only the
//! requests that it sent itself, so the weight of other hosts' reported requests decays.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::base::{MonotonicTime, ServerName};
use crate::retries::{OutlierSettings, OutlierTable};

new_key_type! {
    /// Key of a server's load record.
    struct LoadKey;
}

/// Time in which the weight of other hosts' reported requests decays to zero. Calls of plain
/// services take tens of milliseconds, so each slot of a server finishes many calls within a
/// second.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Score added to a server in another data centre. It is high enough that an idle local server is
/// preferred, and low enough that calls do not queue on a local server while servers elsewhere are
/// idle.
const DISTANCE_PENALTY: f64 = 0.1;
/// Factor on the score of a server that has just started and is therefore slow.
const COLD_FACTOR: f64 = 1.6;
/// Maximum number of load records; the least recently used server without own requests is evicted
/// first.
const MAX_SERVERS: usize = 4_096;

/// A server that can receive a call.
#[derive(Clone, Debug)]
pub struct ServerCandidate {
    /// Name of the server.
    pub server: ServerName,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server has just started and is slow.
    pub cold: bool,
    /// Whether the server is in this host's data centre.
    pub near: bool,
}

/// Load that a server reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadRecord {
    /// Own requests that have not ended.
    own: u32,
    /// Requests of other hosts at the last response.
    others: u32,
    reported_at: MonotonicTime,
    used_at: MonotonicTime,
}

/// Loads of servers, estimated from responses and from this process's own requests.
#[derive(Debug)]
pub struct ServerLoads {
    loads: SlotMap<LoadKey, LoadRecord>,
    by_name: BTreeMap<ServerName, LoadKey>,
    outliers: OutlierTable<LoadKey, ()>,
}

impl ServerLoads {
    /// Creates an empty table that ejects failing servers according to `outlier`.
    pub fn new(outlier: OutlierSettings) -> Self {
        Self {
            loads: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            outliers: OutlierTable::new(outlier),
        }
    }

    /// Selects the least loaded server that is not ejected. If all servers are ejected, it selects
    /// the least loaded of them. Returns `None` without candidates.
    pub fn choose<'a>(
        &self,
        now: MonotonicTime,
        candidates: &'a [ServerCandidate],
    ) -> Option<&'a ServerCandidate> {
        let score = |candidate: &&ServerCandidate| {
            let ejected = self.is_ejected(now, &candidate.server);
            (ejected, self.score(now, candidate))
        };
        candidates.iter().min_by(|left, right| {
            let (left, right) = (score(left), score(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        })
    }

    /// Requests per slot of a server including the new one, with the factor for a cold server and
    /// the penalty for another data centre. The lowest score wins.
    fn score(&self, now: MonotonicTime, candidate: &ServerCandidate) -> f64 {
        let record = self.record(&candidate.server);
        let requests = f64::from(record.own) + remaining_others(now, &record) + 1.0;
        let mut score = requests / f64::from(candidate.slots.max(1));
        if candidate.cold {
            score *= COLD_FACTOR;
        }
        if !candidate.near {
            score += DISTANCE_PENALTY;
        }
        score
    }

    /// Records that a request was sent to `server`.
    pub fn started(&mut self, now: MonotonicTime, server: &ServerName) {
        let record = self.find(server);
        record.own = record.own.saturating_add(1);
        record.used_at = now;
    }

    /// Records that a request to `server` ended.
    pub fn ended(&mut self, server: &ServerName) {
        let record = self.find(server);
        record.own = record.own.saturating_sub(1);
    }

    /// Records the load that `server` reported in the response to an own request. Call it before
    /// [`Self::ended`], since the report includes that request.
    pub fn reported(&mut self, now: MonotonicTime, server: &ServerName, load: ReportedLoad) {
        let record = self.find(server);
        let total = load.running.saturating_add(load.waiting);
        record.others = total.saturating_sub(record.own);
        record.reported_at = now;
    }

    /// Records a successful request to `server`.
    pub fn succeeded(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.get(server) {
            self.outliers.succeeded(*key);
        }
    }

    /// Records a request that failed through the fault of `server`, which is one of `peers` servers
    /// of its service.
    pub fn failed(&mut self, now: MonotonicTime, server: &ServerName, peers: usize) {
        self.find(server);
        if let Some(key) = self.by_name.get(server) {
            self.outliers.failed(now, *key, (), peers);
        }
    }

    /// Ends all ejections and forgets the failures that led to them, because their cause was not the
    /// servers.
    pub fn clear_ejections(&mut self) {
        self.outliers.clear();
    }

    /// Ends ejections whose time has expired.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.outliers.tick(now);
    }

    fn is_ejected(&self, now: MonotonicTime, server: &ServerName) -> bool {
        let key = self.by_name.get(server);
        key.is_some_and(|key| self.outliers.is_ejected(now, *key))
    }

    fn record(&self, server: &ServerName) -> LoadRecord {
        let key = self.by_name.get(server);
        let record = key.and_then(|key| self.loads.get(*key));
        record.copied().unwrap_or_default()
    }

    fn find(&mut self, server: &ServerName) -> &mut LoadRecord {
        let known = self.by_name.get(server).copied();
        let key = match known.filter(|key| self.loads.contains_key(*key)) {
            Some(key) => key,
            None => self.insert(server),
        };
        &mut self.loads[key]
    }

    fn insert(&mut self, server: &ServerName) -> LoadKey {
        if self.loads.len() >= MAX_SERVERS {
            self.evict_oldest();
        }
        let key = self.loads.insert(LoadRecord::default());
        self.by_name.insert(server.clone(), key);
        key
    }

    fn evict_oldest(&mut self) {
        let idle = self.by_name.iter().filter(|(_, key)| {
            let record = self.loads.get(**key);
            record.is_none_or(|record| record.own == 0)
        });
        let used_at = |key: &LoadKey| self.loads.get(*key).map(|record| record.used_at);
        let oldest = idle.min_by_key(|(_, key)| used_at(key));
        let Some((server, key)) = oldest.map(|(server, key)| (server.clone(), *key)) else {
            return;
        };
        self.by_name.remove(&server);
        self.loads.remove(key);
        self.outliers.remove(key);
    }
}

/// Requests of other hosts at the last response, with linear decay over `REPORT_LIFETIME`.
fn remaining_others(now: MonotonicTime, record: &LoadRecord) -> f64 {
    let age = now.since(record.reported_at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
    f64::from(record.others) * (1.0 - age).max(0.0)
}
