//! Rates of requests that backend servers state.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use super::rate::{RequestRate, StatedRate};
use crate::base::{MonotonicTime, ServerName};

new_key_type! {
    /// Key of a server's record.
    struct RateKey;
}

/// Maximum number of records; the one with the oldest statement is evicted first.
const MAX_SERVERS: usize = 4_096;

/// Change of the limit of a server by one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateChange {
    /// The server states a limit, and stated none or another one before.
    Limited {
        /// Rate that the server accepts now.
        rate: RequestRate,
        /// Rate that it accepted before, if it was limited.
        former: Option<RequestRate>,
    },
    /// The server no longer states a limit.
    Ended {
        /// Rate that it accepted before.
        former: RequestRate,
    },
}

/// Statement of a server.
#[derive(Clone, Copy, Debug)]
struct RateStatement {
    /// `None` if the server stated no limit.
    limit: Option<RequestRate>,
    /// Time of the answer.
    at: MonotonicTime,
}

/// Statements of one server.
#[derive(Clone, Debug)]
struct RateRecord {
    server: ServerName,
    stated: RateStatement,
}

/// Limits of the servers that state one.
#[derive(Debug, Default)]
pub struct RateTable {
    records: SlotMap<RateKey, RateRecord>,
    by_name: BTreeMap<ServerName, RateKey>,
}

impl RateTable {
    /// Applies the statement in an answer that `server` sent to this host, and returns how it
    /// changes the limit. An invalid statement changes nothing.
    pub fn apply_statement(
        &mut self,
        now: MonotonicTime,
        server: &ServerName,
        stated: StatedRate,
    ) -> Option<RateChange> {
        let former = self.limit(server);
        let limit = match stated {
            StatedRate::Unlimited => None,
            StatedRate::Limited(rate) => Some(rate),
            StatedRate::Invalid => return None,
        };
        if limit.is_some() || former.is_some() {
            self.find(now, server).stated = RateStatement { limit, at: now };
        }
        match (former, limit) {
            (former, Some(rate)) if former != Some(rate) => {
                Some(RateChange::Limited { rate, former })
            }
            (Some(former), None) => Some(RateChange::Ended { former }),
            _ => None,
        }
    }

    /// Returns the rate that `server` accepts from all hosts together; `None` if it states no
    /// limit.
    pub fn limit(&self, server: &ServerName) -> Option<RequestRate> {
        let key = self.by_name.get(server)?;
        self.records.get(*key)?.stated.limit
    }

    /// Number of servers that state a limit.
    pub fn limited_count(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.stated.limit.is_some())
            .count()
    }

    /// Removes a server that left.
    pub fn remove(&mut self, server: &ServerName) {
        if let Some(key) = self.by_name.remove(server) {
            self.records.remove(key);
        }
    }

    fn find(&mut self, now: MonotonicTime, server: &ServerName) -> &mut RateRecord {
        let key = match self.by_name.get(server).copied() {
            Some(key) => key,
            None => self.insert(now, server),
        };
        &mut self.records[key]
    }

    fn insert(&mut self, now: MonotonicTime, server: &ServerName) -> RateKey {
        if self.records.len() >= MAX_SERVERS {
            self.evict_oldest();
        }
        let key = self.records.insert(RateRecord {
            server: server.clone(),
            stated: RateStatement {
                limit: None,
                at: now,
            },
        });
        self.by_name.insert(server.clone(), key);
        key
    }

    fn evict_oldest(&mut self) {
        let records = self.records.values();
        let oldest = records.min_by_key(|record| record.stated.at);
        if let Some(server) = oldest.map(|record| record.server.clone()) {
            self.remove(&server);
        }
    }
}
