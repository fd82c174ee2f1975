//! Backend servers that one request has run on, which limits where it may run next.

use crate::base::ServerName;

/// Backend servers that a request was sent to and that may have run it, without duplicates.
///
/// The first engine of a failed pipeline counts as long as it answers, even if another engine of
/// the pipeline failed. Otherwise each retry could start at a new first engine: if several engines
/// are lost within seconds, a draft would run on three first engines although its route allows two.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TriedServers {
    servers: Vec<ServerName>,
}

impl TriedServers {
    /// Records that the request may run at `server`.
    pub fn record(&mut self, server: &ServerName) {
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    /// Number of servers that the request was sent to, including those lost since.
    pub fn count(&self) -> u32 {
        u32::try_from(self.servers.len()).unwrap_or(u32::MAX)
    }

    /// Whether the request was sent to at least `limit` servers, including those lost since.
    pub fn has_reached(&self, limit: u32) -> bool {
        usize::try_from(limit).is_ok_and(|limit| self.servers.len() >= limit)
    }

    /// Returns the servers that the request may be sent to, if `limit` or more of its servers are
    /// not lost; `None` if it may be sent to any server. A server is lost if `is_lost` holds: it
    /// ended or is unreachable.
    pub fn allowed<L>(&self, limit: u32, is_lost: L) -> Option<Vec<&ServerName>>
    where
        L: Fn(&ServerName) -> bool,
    {
        let counted = self.servers.iter().filter(|server| !is_lost(server));
        let counted: Vec<&ServerName> = counted.collect();
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        (counted.len() >= limit).then_some(counted)
    }
}
