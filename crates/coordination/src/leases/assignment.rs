//! Assignment of backend servers to the hosts that receive their heartbeats.
//!
//! A server announces itself to a keeper, which assigns a host of the server's data centre for the
//! following heartbeats. The keeper uses rendezvous hashing, so every keeper assigns the same host,
//! and a host that joins or leaves moves only its own servers. A server that returns to the keeper
//! with an unchanged announcement could not reach its host; the keeper assigns the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{DataCentreName, HostName, MonotonicTime, ServerName, hash_names};

/// Time between two scans for servers that can be removed.
const SCAN_PERIOD: Duration = Duration::from_secs(1);

/// Settings of an [`AssignmentTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentSettings {
    /// Time after the last return of a server during which the keeper does not assign it a host
    /// that it could not reach.
    #[serde(rename = "avoided")]
    pub avoid_duration: Duration,
    /// Maximum number of returned servers in the table.
    pub max_servers: usize,
}

impl Default for AssignmentSettings {
    fn default() -> Self {
        Self {
            avoid_duration: Duration::from_secs(30),
            max_servers: 20_000,
        }
    }
}

/// A host that receives heartbeats of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatHost {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address at which the host receives heartbeats.
    pub address: SocketAddr,
}

/// Contact of a host to the keepers, by which it decides whether to accept heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperContact {
    /// Time since the latest quorum-checked answer of a keeper; `None` before the first.
    pub confirmed_age: Option<Duration>,
    /// Number of keepers that this host knows.
    pub known_keepers: usize,
    /// Number of those that sent it anything within [`KeeperContact::MAX_AGE`].
    pub heard_keepers: usize,
}

impl KeeperContact {
    /// Age after which an answer or a frame of a keeper proves no contact any more. A server that is
    /// refused from then on still reaches another host before its lease ends.
    pub const MAX_AGE: Duration = Duration::from_millis(2_200);

    /// Whether heartbeats sent to this host may reach no other host, so that the leases of running
    /// servers would expire.
    ///
    /// An old answer alone is no sign of that. While the keepers elect a leader or are overloaded,
    /// none of them answers, and if all hosts then sent their servers back, the keepers would get
    /// the heartbeats of the whole fleet and could never recover. A host that hears a majority of
    /// the keepers is not cut off.
    pub fn is_cut_off(&self) -> bool {
        let is_confirmed = self.confirmed_age.is_some_and(|age| age < Self::MAX_AGE);
        let hears_majority = self.heard_keepers * 2 > self.known_keepers;
        !is_confirmed && !hears_majority
    }
}

/// Weight of a server and a host in rendezvous hashing; the host with the highest weight wins.
///
/// Keepers compute it for each host of a data centre with each announcement. It needs no
/// resistance against chosen names: a server may announce to any keeper as often as it likes.
fn weight(server: &ServerName, host: &HostName) -> u64 {
    hash_names(server.as_str(), host.as_str())
}

/// Assigns heartbeat hosts to servers and records the servers that returned to this keeper.
#[derive(Clone, Debug)]
pub struct AssignmentTable {
    settings: AssignmentSettings,
    /// Servers that returned, with the hosts to avoid.
    returned: BTreeMap<ServerName, ReturnedServer>,
    /// Time of the last scan for servers that can be removed.
    scanned_at: MonotonicTime,
}

/// A server that returned to this keeper instead of its assigned host.
#[derive(Clone, Debug)]
struct ReturnedServer {
    /// Hosts that the server could not reach.
    avoided: Vec<HostName>,
    /// Host assigned last; `None` if no host was available.
    assigned: Option<HostName>,
    returned_at: MonotonicTime,
}

impl AssignmentTable {
    /// Creates a table without returned servers.
    pub fn new(settings: AssignmentSettings) -> Self {
        Self {
            settings,
            returned: BTreeMap::new(),
            scanned_at: MonotonicTime::START,
        }
    }

    /// Returns the host for the heartbeats of `server`, which runs in `data_centre`. `None` means
    /// that no host is available and the server keeps sending heartbeats as before.
    ///
    /// `is_back` means that the server sent only a heartbeat, which it should have sent to its
    /// assigned host.
    pub fn assign<'hosts>(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        data_centre: &DataCentreName,
        is_back: bool,
        hosts: &'hosts [HeartbeatHost],
    ) -> Option<&'hosts HeartbeatHost> {
        self.remove_expired(now);
        let best = |avoided: &[HostName]| {
            let local = hosts.iter().filter(|host| host.data_centre == *data_centre);
            let allowed = local.filter(|host| !avoided.contains(&host.host));
            allowed.max_by_key(|host| (weight(server, &host.host), &host.host))
        };
        if is_back {
            self.record_return(now, server, best(&[]).map(|host| &host.host));
        }
        let Some(returned) = self.returned.get_mut(server) else {
            return best(&[]);
        };
        let assigned = best(&returned.avoided);
        returned.assigned = assigned.map(|host| host.host.clone());
        assigned
    }

    /// Records that a server could not reach its assigned host. If this keeper assigned none, the
    /// host is assumed to be `first`, which another keeper would have assigned.
    fn record_return(&mut self, now: MonotonicTime, server: &ServerName, first: Option<&HostName>) {
        if !self.returned.contains_key(server) && self.returned.len() >= self.settings.max_servers {
            return;
        }
        let returned = self
            .returned
            .entry(server.clone())
            .or_insert_with(|| ReturnedServer {
                avoided: Vec::new(),
                assigned: None,
                returned_at: now,
            });
        returned.returned_at = now;
        let unreachable = returned.assigned.take().or_else(|| first.cloned());
        if let Some(unreachable) =
            unreachable.filter(|unreachable| !returned.avoided.contains(unreachable))
        {
            returned.avoided.push(unreachable);
        }
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        if now.since(self.scanned_at) < SCAN_PERIOD {
            return;
        }
        self.scanned_at = now;
        let avoid_duration = self.settings.avoid_duration;
        self.returned
            .retain(|_, returned| now.since(returned.returned_at) < avoid_duration);
    }
}
