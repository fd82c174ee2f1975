//! Servers by the plain service that they offer, so that a call looks only at its own service's.

use std::collections::{BTreeMap, BTreeSet};

use pollendrift_coordination::base::{ServerName, ServiceName};

/// Servers by service.
///
/// Invariants: each server of `by_server` stands in just the one set of `by_service` that it names;
/// no set is empty.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    by_service: BTreeMap<ServiceName, BTreeSet<ServerName>>,
    by_server: BTreeMap<ServerName, ServiceName>,
}

impl ServiceIndex {
    /// Notes what `server` offers now; `None` if it is gone or offers no plain service.
    pub(super) fn place(&mut self, server: &ServerName, service: Option<&ServiceName>) {
        if self.by_server.get(server) == service {
            return;
        }
        self.take_out(server);
        let Some(service) = service else {
            return;
        };
        self.by_server.insert(server.clone(), service.clone());
        let servers = self.by_service.entry(service.clone()).or_default();
        servers.insert(server.clone());
    }

    /// Servers of `service`, by name.
    pub(super) fn servers(&self, service: &ServiceName) -> impl Iterator<Item = &ServerName> {
        self.by_service.get(service).into_iter().flatten()
    }

    fn take_out(&mut self, server: &ServerName) {
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

    #[test]
    fn a_server_stands_under_the_service_that_it_offers_last() {
        let mut index = ServiceIndex::default();
        let (permits, register) = ("permits".into(), "register".into());
        index.place(&"s1".into(), Some(&permits));
        index.place(&"s2".into(), Some(&permits));
        index.place(&"s1".into(), Some(&register));
        index.place(&"s3".into(), None);
        let names = |service: &ServiceName| {
            let names: Vec<_> = index.servers(service).map(|s| s.to_string()).collect();
            names.join(" ")
        };
        assert_eq!(
            (names(&permits), names(&register)),
            ("s2".into(), "s1".into())
        );
        index.place(&"s2".into(), None);
        assert_eq!(index.servers(&permits).count(), 0);
        assert_eq!(index.by_service.len(), 1);
    }
}
