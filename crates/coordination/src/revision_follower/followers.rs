//! Which hosts follow a keeper.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::base::{HostName, MonotonicTime};

/// Time after its last question for which a host follows: two questions, and time for a late one.
const FOLLOWING_TIME: Duration = Duration::from_millis(2_500);

/// Hosts that ask this keeper for the configuration.
///
/// A host asks one keeper at a time, a near one where it can. What every host is to hear crosses to
/// each keeper once, and each of them passes it on to those that follow it; sent to each host from one
/// place, it filled that keeper's time and the links between data centres.
#[derive(Clone, Debug, Default)]
pub struct FollowerTable {
    asked_at: BTreeMap<HostName, MonotonicTime>,
}

impl FollowerTable {
    /// A host asked.
    pub fn record_question(&mut self, now: MonotonicTime, host: &HostName) {
        self.asked_at.insert(host.clone(), now);
    }

    /// Hosts that follow at `now`, by name.
    pub fn hosts(&mut self, now: MonotonicTime) -> Vec<HostName> {
        self.asked_at
            .retain(|_, asked_at| now.since(*asked_at) < FOLLOWING_TIME);
        self.asked_at.keys().cloned().collect()
    }
}
