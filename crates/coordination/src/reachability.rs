//! Detects that a host can't reach any server of a service, although the servers may be sound.
//!
//! A host whose links to the servers are cut sees the same as after the loss of every server: sends
//! and probes get no answer. Each request would find that out anew, server by server, and be refused
//! late. A failed send or probe therefore makes the host open a connection to a few servers of the
//! service. If none of them opens, the service is unreachable from this host until one does in two
//! rounds of checks in a row: a single server that is reached, such as one that has just started
//! elsewhere, could not serve the host's requests.
//!
//! Only new connections count. The connections that a host has may live on while no further one
//! opens, and then it can't send more requests than it has connections. The failure of one server, or
//! a server that is silent for a moment, leaves the service reachable, since others are checked too.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::base::{MonotonicTime, ServerName, ServiceName};

/// Settings of a [`ReachabilityTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilitySettings {
    /// Servers whose connections must all fail before the service counts as unreachable; all of its
    /// servers if it has fewer.
    pub failed_servers: usize,
    /// Time within which a connection must open. Within a region a round trip takes a few
    /// milliseconds.
    pub open_timeout: Duration,
    /// Servers that are checked in one round.
    pub round_checks: usize,
    /// Time after a round in which a connection opened before the next round may begin, so that
    /// servers that fail all the time cause few checks.
    pub calm_period: Duration,
    /// Time between two rounds while the service is unreachable; bounds the time until a host uses
    /// its restored links.
    pub return_period: Duration,
}

impl Default for ReachabilitySettings {
    fn default() -> Self {
        Self {
            failed_servers: 4,
            open_timeout: Duration::from_millis(100),
            round_checks: 2,
            calm_period: Duration::from_millis(500),
            return_period: Duration::from_millis(250),
        }
    }
}

/// A change of whether this host reaches a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No checked server of the service can be reached.
    Lost {
        /// Name of the service.
        service: ServiceName,
        /// Servers to which no connection opened.
        servers: Vec<ServerName>,
    },
    /// A connection to a server of the service has opened again.
    Restored {
        /// Name of the service.
        service: ServiceName,
        /// Server that the connection goes to.
        server: ServerName,
        /// Time for which the service was unreachable.
        after: Duration,
    },
}

/// State of one service.
#[derive(Clone, Debug, Default)]
struct ServiceRecord {
    /// Whether a send or a probe failed after the last connection that opened.
    is_suspected: bool,
    /// Server that failed first since then.
    first_suspect: Option<ServerName>,
    /// Servers to which no connection has opened since the last one that did. Invariant: empty if
    /// the service is not suspected.
    failed: Vec<ServerName>,
    /// Checks of the running round without a result.
    pending: usize,
    /// Servers that the service had at the last round.
    known: usize,
    next_round_at: Option<MonotonicTime>,
    lost_at: Option<MonotonicTime>,
    /// Whether a connection has opened in the running round, or in the one before.
    has_opened: RoundResults,
}

/// Whether connections opened in the last rounds of checks of an unreachable service.
#[derive(Clone, Copy, Debug, Default)]
struct RoundResults {
    current: bool,
    previous: bool,
}

/// Services that this host can or can't reach.
#[derive(Clone, Debug)]
pub struct ReachabilityTable {
    settings: ReachabilitySettings,
    services: BTreeMap<ServiceName, ServiceRecord>,
    rng: ChaCha8Rng,
}

impl ReachabilityTable {
    /// Creates a table in which every service is reachable; `seed` seeds the choice of servers.
    pub fn new(settings: ReachabilitySettings, seed: u64) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Settings of the table.
    pub fn settings(&self) -> &ReachabilitySettings {
        &self.settings
    }

    /// Records that `server` of `service` did not answer a send or a probe, or could not be connected
    /// to. The failure of a second server makes a check due at once. Returns whether the service was
    /// not suspected before, or a check has become due.
    pub fn suspect(&mut self, service: &ServiceName, server: &ServerName) -> bool {
        let record = self.services.entry(service.clone()).or_default();
        if !std::mem::replace(&mut record.is_suspected, true) {
            record.first_suspect = Some(server.clone());
            return true;
        }
        let is_second = record
            .first_suspect
            .as_ref()
            .is_some_and(|first| first != server);
        if record.lost_at.is_some() || !is_second {
            return false;
        }
        record.next_round_at.take().is_some()
    }

    /// Suspects `services` without a failure of their own, because another service is unreachable:
    /// all links of this host may be cut.
    pub fn suspect_all<S>(&mut self, services: S)
    where
        S: IntoIterator<Item = ServiceName>,
    {
        for service in services {
            self.services.entry(service).or_default().is_suspected = true;
        }
    }

    /// Whether the checks that decide about a suspected service are due or under way.
    pub fn is_undecided(&self, now: MonotonicTime, service: &ServiceName) -> bool {
        let Some(record) = self.services.get(service) else {
            return false;
        };
        let is_due = record.next_round_at.is_none_or(|at| at <= now) || record.pending > 0;
        record.is_suspected && record.lost_at.is_none() && is_due
    }

    /// Whether no server of `service` can be reached from this host.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        let record = self.services.get(service);
        record.is_some_and(|record| record.lost_at.is_some())
    }

    /// Time for which no server of `service` has been reachable; `None` if one is.
    pub fn unreachable_for(&self, now: MonotonicTime, service: &ServiceName) -> Option<Duration> {
        let lost_at = self.services.get(service)?.lost_at?;
        Some(now.since(lost_at))
    }

    /// Services that can't be reached, sorted by name.
    pub fn unreachable(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.services.iter();
        lost.filter(|(_, record)| record.lost_at.is_some())
            .map(|(service, _)| service)
    }

    /// Suspected services, which have to be checked; sorted by name.
    pub fn suspected(&self) -> Vec<ServiceName> {
        let suspected = self.services.iter();
        suspected
            .filter(|(_, record)| record.is_suspected)
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Time until the next round of checks of any service; `None` if no service is suspected.
    pub fn next_round(&self, now: MonotonicTime) -> Option<Duration> {
        let suspected = self.services.values().filter(|record| record.is_suspected);
        let waits = suspected.map(|record| {
            let at = record.next_round_at;
            at.map_or(Duration::ZERO, |at| at.since(now))
        });
        waits.min()
    }

    /// Begins a round of checks of `service`, if one is due, and returns the servers to connect to.
    /// `servers` are all servers of the service; without any, the service is forgotten.
    pub fn begin_round(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        servers: &[ServerName],
    ) -> Vec<ServerName> {
        if servers.is_empty() {
            self.services.remove(service);
            return Vec::new();
        }
        let Some(record) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let is_due = record.next_round_at.is_none_or(|at| at <= now);
        if !record.is_suspected || !is_due || record.pending > 0 {
            return Vec::new();
        }
        let is_lost = record.lost_at.is_some();
        record.failed.retain(|server| servers.contains(server));
        if record.failed.len() == servers.len() {
            record.failed.clear();
        }
        let is_eligible = |server: &&ServerName| is_lost || !record.failed.contains(server);
        let mut chosen: Vec<&ServerName> = servers.iter().filter(is_eligible).collect();
        chosen.shuffle(&mut self.rng);
        chosen.truncate(self.settings.round_checks);
        record.has_opened = RoundResults {
            current: false,
            previous: record.has_opened.current,
        };
        record.pending = chosen.len();
        record.known = servers.len();
        record.next_round_at = is_lost.then(|| now.after(self.settings.return_period));
        chosen.into_iter().cloned().collect()
    }

    /// Records whether the check of a server opened a connection.
    pub fn record_check(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        server: &ServerName,
        has_opened: bool,
    ) -> Option<ReachabilityChange> {
        let record = self.services.get_mut(service)?;
        record.pending = record.pending.saturating_sub(1);
        if has_opened && record.lost_at.is_some() && !record.has_opened.previous {
            // The next round decides, and need not wait.
            record.has_opened.current = true;
            record.next_round_at = None;
            return None;
        }
        if has_opened {
            record.has_opened = RoundResults::default();
            record.is_suspected = false;
            record.first_suspect = None;
            record.failed.clear();
            record.next_round_at = Some(now.after(self.settings.calm_period));
            let lost_at = record.lost_at.take()?;
            return Some(ReachabilityChange::Restored {
                service: service.clone(),
                server: server.clone(),
                after: now.since(lost_at),
            });
        }
        // A check of the same round may have opened a connection.
        if !record.is_suspected || record.lost_at.is_some() {
            return None;
        }
        if !record.failed.contains(server) {
            record.failed.push(server.clone());
        }
        let needed = self.settings.failed_servers.min(record.known);
        if record.pending > 0 || record.failed.len() < needed {
            return None;
        }
        record.lost_at = Some(now);
        Some(ReachabilityChange::Lost {
            service: service.clone(),
            servers: record.failed.clone(),
        })
    }
}
