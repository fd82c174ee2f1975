//! Index of servers by plain service, so that a call checks only the servers of its service.

use std::collections::{BTreeMap, BTreeSet};

use pollendrift_coordination::base::{ServerName, ServiceName};

/// Index of servers by service.
///
/// Invariants: each server of `by_server` is in exactly one set of `by_service`, that of its
/// service; no set is empty.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    by_service: BTreeMap<ServiceName, BTreeSet<ServerName>>,
    by_server: BTreeMap<ServerName, ServiceName>,
}

impl ServiceIndex {
    /// Sets the plain service that `server` offers; `None` removes the server from the index.
    pub(super) fn set_service(&mut self, server: &ServerName, service: Option<&ServiceName>) {
        if self.by_server.get(server) == service {
            return;
        }
        self.remove(server);
        let Some(service) = service else {
            return;
        };
        self.by_server.insert(server.clone(), service.clone());
        let servers = self.by_service.entry(service.clone()).or_default();
        servers.insert(server.clone());
    }

    /// Iterates over the servers of `service`, sorted by name.
    pub(super) fn servers(&self, service: &ServiceName) -> impl Iterator<Item = &ServerName> {
        self.by_service.get(service).into_iter().flatten()
    }

    fn remove(&mut self, server: &ServerName) {
        let Some(service) = self.by_server.remove(server) else {
            return;
        };
        if let Some(servers) = self.by_service.get_mut(&service) {
            servers.remove(server);
            if servers.is_empty() {
                self.by_service.remove(&service);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against calls sent to a server that has changed or ended its service.
    #[test]
    fn a_server_is_indexed_only_under_its_last_service() {
        let mut index = ServiceIndex::default();
        let (permits, register) = ("permits".into(), "register".into());
        index.set_service(&"s1".into(), Some(&permits));
        index.set_service(&"s2".into(), Some(&permits));
        index.set_service(&"s1".into(), Some(&register));
        index.set_service(&"s3".into(), None);
        let names = |service: &ServiceName| {
            let names: Vec<_> = index.servers(service).map(|s| s.to_string()).collect();
            names.join(" ")
        };
        assert_eq!(
            (names(&permits), names(&register)),
            ("s2".into(), "s1".into())
        );
        index.set_service(&"s2".into(), None);
        assert_eq!(index.servers(&permits).count(), 0);
        assert_eq!(index.by_service.len(), 1);
    }
}
