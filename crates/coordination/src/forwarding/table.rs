//! Hosts that requests may be forwarded to, and the requests under way to each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, HostName, MonotonicTime, ServiceName};

/// Settings of a [`ForwardTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardSettings {
    /// Hosts of each distance that are compared for a request: two random choices spread requests
    /// almost as evenly as a comparison of all hosts.
    pub compared_hosts: usize,
    /// Running requests that a host in another data centre must have less than one in the own. A
    /// few hosts left in a data centre must not get the requests of all others there.
    pub distance_penalty: u32,
    /// Time for which a host that could not be reached gets no request.
    pub failed_time: Duration,
    /// Time for which a host that refused a request gets none for the same service.
    pub refused_time: Duration,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            compared_hosts: 2,
            distance_penalty: 4,
            failed_time: Duration::from_secs(2),
            refused_time: Duration::from_millis(500),
        }
    }
}

/// A host that may send requests for others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHost {
    /// Name of the host.
    pub host: HostName,
    /// Address that accepts connections of peers.
    pub address: SocketAddr,
    /// Data centre of the host, if known.
    pub data_centre: Option<DataCentreName>,
}

/// State of a host in a [`ForwardTable`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ForwardHostDump {
    /// Address and data centre of the host.
    pub host: ForwardHost,
    /// Requests under way to the host.
    pub running: u32,
}

#[derive(Clone, Debug)]
struct HostRecord {
    host: ForwardHost,
    /// Requests under way to the host.
    running: u32,
    /// Whether the host is in the last list.
    is_listed: bool,
    failed_until: Option<MonotonicTime>,
    refused_until: BTreeMap<ServiceName, MonotonicTime>,
}

/// Hosts that requests may be forwarded to.
#[derive(Clone, Debug)]
pub struct ForwardTable {
    settings: ForwardSettings,
    data_centre: DataCentreName,
    hosts: BTreeMap<HostName, HostRecord>,
    /// Whether the hosts were listed since they were last needed.
    has_list: bool,
    rng: ChaCha8Rng,
}

impl ForwardTable {
    /// Creates a table without hosts for a host in `data_centre`; `seed` seeds the choices.
    pub fn new(settings: ForwardSettings, data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            settings,
            data_centre,
            hosts: BTreeMap::new(),
            has_list: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Hosts of the table with their running requests, sorted by name.
    pub fn dump(&self) -> Vec<ForwardHostDump> {
        let records = self.hosts.values();
        records
            .map(|record| ForwardHostDump {
                host: record.host.clone(),
                running: record.running,
            })
            .collect()
    }

    /// Whether the hosts were listed since the last [`ForwardTable::clear`].
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Removes all hosts without a request under way, once none is needed any more. When some are
    /// needed again, an old list would name hosts that have left.
    pub fn clear(&mut self) {
        self.set_hosts(Vec::new());
        self.has_list = false;
    }

    /// Replaces the list of hosts. What is known of a listed host stays.
    pub fn set_hosts(&mut self, hosts: Vec<ForwardHost>) {
        self.has_list = true;
        self.hosts
            .values_mut()
            .for_each(|record| record.is_listed = false);
        for host in hosts {
            let known = self.hosts.remove(&host.host);
            let known = known.filter(|record| record.host == host);
            let record = known.unwrap_or_else(|| HostRecord {
                host: host.clone(),
                running: 0,
                is_listed: false,
                failed_until: None,
                refused_until: BTreeMap::new(),
            });
            let listed = HostRecord {
                is_listed: true,
                ..record
            };
            self.hosts.insert(host.host, listed);
        }
        self.hosts
            .retain(|_, record| record.is_listed || record.running > 0);
    }

    /// Whether a request for `service` can be forwarded to a host other than `excluded`.
    pub fn has_host_for(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        excluded: &[HostName],
    ) -> bool {
        let mut records = self.hosts.values();
        records.any(|record| record.may_take(now, service, excluded))
    }

    /// Chooses a host for a request for `service`, and counts the request as under way to it.
    pub fn start(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        excluded: &[HostName],
    ) -> Option<ForwardHost> {
        let eligible = self
            .hosts
            .values()
            .filter(|record| record.may_take(now, service, excluded));
        let (mut near, mut far): (Vec<&HostRecord>, Vec<&HostRecord>) = eligible
            .partition(|record| record.host.data_centre.as_ref() == Some(&self.data_centre));
        near.shuffle(&mut self.rng);
        far.shuffle(&mut self.rng);
        let compared = self.settings.compared_hosts;
        let penalty = self.settings.distance_penalty;
        let near = near.into_iter().take(compared);
        let far = far.into_iter().take(compared);
        let scored = near
            .map(|record| (record.running, record))
            .chain(far.map(|record| (record.running.saturating_add(penalty), record)));
        let (_, chosen) = scored.min_by_key(|(score, _)| *score)?;
        let chosen = chosen.host.clone();
        if let Some(record) = self.hosts.get_mut(&chosen.host) {
            record.running = record.running.saturating_add(1);
        }
        Some(chosen)
    }

    /// Records that a request to `host` is no longer under way.
    pub fn ended(&mut self, host: &HostName) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.running = record.running.saturating_sub(1);
            if record.running == 0 && !record.is_listed {
                self.hosts.remove(host);
            }
        }
    }

    /// Records that `host` could not be reached, or did not answer.
    pub fn record_failed(&mut self, now: MonotonicTime, host: &HostName) {
        let until = now.after(self.settings.failed_time);
        if let Some(record) = self.hosts.get_mut(host) {
            record.failed_until = Some(until);
        }
    }

    /// Records that `host` refused a request for `service` as not run.
    pub fn record_refused(&mut self, now: MonotonicTime, host: &HostName, service: &ServiceName) {
        let until = now.after(self.settings.refused_time);
        if let Some(record) = self.hosts.get_mut(host) {
            record.refused_until.retain(|_, until| *until > now);
            record.refused_until.insert(service.clone(), until);
        }
    }
}

impl HostRecord {
    fn may_take(&self, now: MonotonicTime, service: &ServiceName, excluded: &[HostName]) -> bool {
        let has_failed = self.failed_until.is_some_and(|until| until > now);
        let refused_until = self.refused_until.get(service);
        let has_refused = refused_until.is_some_and(|until| *until > now);
        self.is_listed && !has_failed && !has_refused && !excluded.contains(&self.host.host)
    }
}
