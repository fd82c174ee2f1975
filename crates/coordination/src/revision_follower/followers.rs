//! Table of the hosts that follow a keeper.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::base::{HostName, MonotonicTime};

/// Time after its last question during which a host counts as a follower: two questions, with some
/// margin for a late one.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Hosts that ask this keeper for the configuration.
///
/// A host asks one keeper at a time, a near one if possible. A message for all hosts goes to each
/// keeper once, and each keeper forwards it to its followers. If one keeper sent it to every
/// host, that keeper and the links between data centres would be saturated.
#[derive(Clone, Debug, Default)]
pub struct FollowerTable {
    asked_at: BTreeMap<HostName, MonotonicTime>,
}

impl FollowerTable {
    /// Records a question of `host` at `now`.
    pub fn record_question(&mut self, now: MonotonicTime, host: &HostName) {
        self.asked_at.insert(host.clone(), now);
    }

    /// Returns the followers at `now`, sorted by name, and removes all other hosts.
    pub fn hosts(&mut self, now: MonotonicTime) -> Vec<HostName> {
        self.asked_at
            .retain(|_, asked_at| now.since(*asked_at) < FOLLOWER_TIMEOUT);
        self.asked_at.keys().cloned().collect()
    }
}
