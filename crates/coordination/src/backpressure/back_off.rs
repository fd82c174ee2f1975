//! Servers that asked this host to send nothing for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::base::{MonotonicTime, ServerName};

/// Longest back-off that a server may ask for. A longer time is a mistake of the server, which would
/// leave it out for good.
const MAX_BACK_OFF: Duration = Duration::from_secs(24 * 3_600);

/// Back-offs that servers asked this host for.
///
/// A back-off is between one server and one host: other hosts may have found the server with
/// capacity.
#[derive(Clone, Debug, Default)]
pub struct BackOffTable {
    /// End of the back-off of each server.
    ends: BTreeMap<ServerName, MonotonicTime>,
}

impl BackOffTable {
    /// Records that `server` asked for no requests for `time`. Each request holds to its end: a
    /// later one for a shorter time does not shorten it.
    pub fn start(&mut self, now: MonotonicTime, server: &ServerName, time: Duration) {
        let end = now.after(time.min(MAX_BACK_OFF));
        let stored = self.ends.entry(server.clone()).or_insert(end);
        *stored = (*stored).max(end);
    }

    /// Returns the remaining time of the back-off of `server`; `None` if it has none.
    pub fn remaining(&self, now: MonotonicTime, server: &ServerName) -> Option<Duration> {
        let end = self.ends.get(server)?;
        Some(end.since(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Whether `server` wants no requests from this host now.
    pub fn is_active(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.remaining(now, server).is_some()
    }

    /// Whether no back-off is stored; ended ones are stored until the next tick.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Number of servers with a back-off.
    pub fn count(&self, now: MonotonicTime) -> usize {
        self.ends.values().filter(|end| **end > now).count()
    }

    /// Removes back-offs that have ended.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.ends.retain(|_, end| *end > now);
    }

    /// Removes a server that left or restarted.
    pub fn remove(&mut self, server: &ServerName) {
        self.ends.remove(server);
    }
}
