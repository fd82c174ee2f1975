//! Choice among the servers of a plain service.
//!
//! Each answer tells the load of its server for free. Between two answers the load is known only
//! from what this process sent itself, so what was told of others' requests fades.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::base::{MonotonicTime, ServerName};
use crate::retries::{OutlierSettings, OutlierTable};

new_key_type! {
    /// Key of a server's load.
    struct LoadKey;
}

/// Time after which nothing is believed any more of others' requests. Calls of plain services take
/// tens of milliseconds, so a second is many turns of a server's slots.
const LOAD_MEMORY: Duration = Duration::from_secs(1);
/// How much busier a server of another data centre may be taken for: enough that an idle server
/// near is preferred, too little to let one queue beside idle ones elsewhere.
const DISTANCE_PENALTY: f64 = 0.1;
/// How many times slower a server is taken for that has just started.
const COLD_FACTOR: f64 = 1.6;
/// Servers remembered; those not asked for longest are forgotten beyond.
const MAX_SERVERS: usize = 4_096;

/// A server that could take a call.
#[derive(Clone, Debug)]
pub struct ServerCandidate {
    /// Its name.
    pub server: ServerName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it has just started and is slow.
    pub cold: bool,
    /// Whether it stands in this host's data centre.
    pub near: bool,
}

/// Load that a server told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadRecord {
    /// Own requests that have not ended.
    own: u32,
    /// Requests of others at the last answer.
    others: u32,
    told_at: MonotonicTime,
    used_at: MonotonicTime,
}

/// Loads of servers, as this process knows them.
#[derive(Debug)]
pub struct ServerLoads {
    loads: SlotMap<LoadKey, LoadRecord>,
    by_name: BTreeMap<ServerName, LoadKey>,
    outliers: OutlierTable<LoadKey, ()>,
}

impl ServerLoads {
    /// A table without servers.
    pub fn new(outlier: OutlierSettings) -> Self {
        Self {
            loads: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            outliers: OutlierTable::new(outlier),
        }
    }

    /// The server to send to: the least loaded that is not ejected, or the least loaded of all where
    /// every one is.
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

    /// Requests for each slot of a server, this one included.
    fn score(&self, now: MonotonicTime, candidate: &ServerCandidate) -> f64 {
        let record = self.record(&candidate.server);
        let requests = f64::from(record.own) + others(now, &record) + 1.0;
        let mut score = requests / f64::from(candidate.slots.max(1));
        if candidate.cold {
            score *= COLD_FACTOR;
        }
        if !candidate.near {
            score += DISTANCE_PENALTY;
        }
        score
    }

    /// A request goes to `server`.
    pub fn started(&mut self, now: MonotonicTime, server: &ServerName) {
        let record = self.find(server);
        record.own = record.own.saturating_add(1);
        record.used_at = now;
    }

    /// A request to `server` ended.
    pub fn ended(&mut self, server: &ServerName) {
        let record = self.find(server);
        record.own = record.own.saturating_sub(1);
    }

    /// `server` told its load in the answer to a request that still counts as its own.
    pub fn reported(&mut self, now: MonotonicTime, server: &ServerName, load: ReportedLoad) {
        let record = self.find(server);
        let all = load.running.saturating_add(load.waiting);
        record.others = all.saturating_sub(record.own);
        record.told_at = now;
    }

    /// A request to `server` was served.
    pub fn succeeded(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.get(server) {
            self.outliers.succeeded(*key);
        }
    }

    /// A request to `server`, one of `peers` of its service, failed by its fault.
    pub fn failed(&mut self, now: MonotonicTime, server: &ServerName, peers: usize) {
        self.find(server);
        if let Some(key) = self.by_name.get(server) {
            self.outliers.failed(now, *key, (), peers);
        }
    }

    /// Ends ejections that are over.
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
            self.forget_oldest();
        }
        let key = self.loads.insert(LoadRecord::default());
        self.by_name.insert(server.clone(), key);
        key
    }

    fn forget_oldest(&mut self) {
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

/// Requests of others that are still believed to be there.
fn others(now: MonotonicTime, record: &LoadRecord) -> f64 {
    let age = now.since(record.told_at).as_secs_f64() / LOAD_MEMORY.as_secs_f64();
    f64::from(record.others) * (1.0 - age).max(0.0)
}
