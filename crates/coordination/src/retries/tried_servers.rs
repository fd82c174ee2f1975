//! On which backend servers one request has run, of those that count.

use crate::base::ServerName;

/// Servers that a request was sent to and that may have run it, each once.
///
/// Failure: of a draft over many engines a later one went silent, and its next chain began with another
/// first engine; that was not counted, as an engine had been lost. Symptom: where several were lost
/// within seconds, a draft ran on three first engines though its route allows two. The first engine of
/// a broken chain is well and has run the draft, so it counts as long as it answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TriedServers {
    servers: Vec<ServerName>,
}

impl TriedServers {
    /// The request may run at `server` from now on.
    pub fn record(&mut self, server: &ServerName) {
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    /// Whether it has run at `most`, those counted that were lost since.
    pub fn has_reached(&self, most: u32) -> bool {
        usize::try_from(most).is_ok_and(|most| self.servers.len() >= most)
    }

    /// Servers that the request may be sent to, once it has run at `most`; `None` while it may be sent
    /// to any. Those for which `is_lost` holds have ended or are cut off, and do not count.
    pub fn allowed<L>(&self, most: u32, is_lost: L) -> Option<Vec<&ServerName>>
    where
        L: Fn(&ServerName) -> bool,
    {
        let counted = self.servers.iter().filter(|server| !is_lost(server));
        let counted: Vec<&ServerName> = counted.collect();
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        (counted.len() >= most).then_some(counted)
    }
}
