//! Choice of the host that stores the copy of a stream.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rank_hosts;
use crate::base::{HostName, MonotonicTime, RequestId};

/// Settings of a [`HolderTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// Time for which a host that did not confirm a copy gets no new streams. It limits how often
    /// callers wait for a host that is frozen or of a version that confirms nothing.
    pub avoid_duration: Duration,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            avoid_duration: Duration::from_secs(30),
        }
    }
}

/// Chooses the hosts that store copies of streams, and avoids those that recently confirmed none.
///
/// Invariant: contains only hosts that failed to confirm a copy, so the number of hosts limits its
/// size.
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    settings: HolderSettings,
    /// Last time at which each host failed to confirm a copy.
    unconfirmed: BTreeMap<HostName, MonotonicTime>,
}

impl HolderTable {
    /// Creates a table that avoids no host.
    pub fn new(settings: HolderSettings) -> Self {
        Self {
            settings,
            unconfirmed: BTreeMap::new(),
        }
    }

    /// Returns the host that stores the copy of `request`: the first in rank of the reachable
    /// `hosts` that is not avoided. `None` if there is none.
    pub fn choose<'hosts>(
        &mut self,
        now: MonotonicTime,
        request: &RequestId,
        hosts: &'hosts [HostName],
    ) -> Option<&'hosts HostName> {
        let avoid_duration = self.settings.avoid_duration;
        self.unconfirmed
            .retain(|_, failed_at| now.since(*failed_at) < avoid_duration);
        let ranked = rank_hosts(request, hosts).into_iter();
        let mut confirming = ranked.filter(|host| !self.unconfirmed.contains_key(*host));
        confirming.next()
    }

    /// Records that `host` confirmed a copy, so it is no longer avoided.
    pub fn record_confirmed(&mut self, host: &HostName) {
        self.unconfirmed.remove(host);
    }

    /// Records that `host` did not confirm a copy in time.
    pub fn record_unconfirmed(&mut self, now: MonotonicTime, host: &HostName) {
        self.unconfirmed.insert(host.clone(), now);
    }
}
