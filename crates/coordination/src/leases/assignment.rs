//! Which host takes the heartbeats of a backend server.
//!
//! A server announces itself to a keeper, which names another host for its later heartbeats: one of
//! the server's data centre, by rendezvous hashing, so that every keeper names the same and a host that
//! comes or goes moves its own share only. A server that is back with nothing new could not reach that
//! host, and is named the next one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::subset::weight;
use crate::base::{DataCentreName, HostName, MonotonicTime, ServerName};

/// Time between two looks for servers that can be forgotten.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// How heartbeats are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentSettings {
    /// Time for which a host that a server could not reach is not named to it again.
    pub avoided: Duration,
    /// Servers that came back and are remembered, at most.
    pub max_servers: usize,
}

impl Default for AssignmentSettings {
    fn default() -> Self {
        Self {
            avoided: Duration::from_secs(30),
            max_servers: 20_000,
        }
    }
}

/// A host that takes heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatHost {
    /// The host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it takes them.
    pub address: SocketAddr,
}

/// What one keeper named to servers.
#[derive(Clone, Debug)]
pub struct AssignmentTable {
    settings: AssignmentSettings,
    /// Servers that came back.
    returned: BTreeMap<ServerName, ReturnedServer>,
    /// When those that are long settled were forgotten last.
    forgot_at: MonotonicTime,
}

/// A server that came back to a keeper.
#[derive(Clone, Debug)]
struct ReturnedServer {
    /// Hosts that it could not reach.
    avoided: Vec<HostName>,
    named: Option<HostName>,
    returned_at: MonotonicTime,
}

impl AssignmentTable {
    /// A table that remembers no server.
    pub fn new(settings: AssignmentSettings) -> Self {
        Self {
            settings,
            returned: BTreeMap::new(),
            forgot_at: MonotonicTime::START,
        }
    }

    /// The host to name to `server` of `data_centre`; `None` where it is to go on as it does.
    ///
    /// `is_back` says that it brings nothing but a heartbeat, which the host that was named to it would
    /// have taken.
    pub fn assign<'hosts>(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        data_centre: &DataCentreName,
        is_back: bool,
        hosts: &'hosts [HeartbeatHost],
    ) -> Option<&'hosts HeartbeatHost> {
        self.forget(now);
        let near = hosts.iter().filter(|host| host.data_centre == *data_centre);
        let mut ranked: Vec<&HeartbeatHost> = near.collect();
        ranked.sort_by_cached_key(|host| Reverse((weight(server, &host.host), host.host.clone())));
        if is_back {
            self.note_return(now, server, ranked.first().map(|host| &host.host));
        }
        let returned = self.returned.get_mut(server);
        let avoided = returned.as_ref().map(|returned| returned.avoided.clone());
        let avoided = avoided.unwrap_or_default();
        let named = ranked
            .into_iter()
            .find(|host| !avoided.contains(&host.host));
        if let Some(returned) = returned {
            returned.named = named.map(|host| host.host.clone());
        }
        named
    }

    /// A server is back: it did not reach the host that was named to it, by this keeper or, as far as it
    /// can tell, by another one.
    fn note_return(&mut self, now: MonotonicTime, server: &ServerName, first: Option<&HostName>) {
        if !self.returned.contains_key(server) && self.returned.len() >= self.settings.max_servers {
            return;
        }
        let returned = self
            .returned
            .entry(server.clone())
            .or_insert_with(|| ReturnedServer {
                avoided: Vec::new(),
                named: None,
                returned_at: now,
            });
        returned.returned_at = now;
        let missed = returned.named.take().or_else(|| first.cloned());
        if let Some(missed) = missed.filter(|missed| !returned.avoided.contains(missed)) {
            returned.avoided.push(missed);
        }
    }

    fn forget(&mut self, now: MonotonicTime) {
        if now.since(self.forgot_at) < FORGET_PERIOD {
            return;
        }
        self.forgot_at = now;
        let avoided = self.settings.avoided;
        self.returned
            .retain(|_, returned| now.since(returned.returned_at) < avoided);
    }
}
