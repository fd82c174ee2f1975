//! Tells callers that come back after a refusal from callers whose timeouts are always short.
//!
//! A caller that comes back has used up part of its time, so that its timeout is shorter than usual.
//! Requests do not state what is usual, so it is learned for each customer and route.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{CustomerName, MonotonicTime};

/// Settings of [`UsualTimeouts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TimeoutSettings {
    /// Least time between the refusal of a request and its return.
    pub min_wait: Duration,
    /// Requests whose longest timeout is the usual one. Each caller comes back at most once, so that
    /// this many returns in a row are rare even if every request is refused at first.
    pub samples: usize,
    /// Maximum number of pairs of customer and route.
    pub max_pairs: usize,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            min_wait: Duration::from_millis(600),
            samples: 16,
            max_pairs: 1_024,
        }
    }
}

/// Usual timeouts of requests, by customer and route.
#[derive(Clone, Debug)]
pub struct UsualTimeouts {
    settings: TimeoutSettings,
    /// At most `max_pairs`.
    pairs: BTreeMap<(CustomerName, Arc<str>), RecentTimeouts>,
}

#[derive(Clone, Debug)]
struct RecentTimeouts {
    /// Oldest first; at most `samples`.
    timeouts: VecDeque<Duration>,
    last_at: MonotonicTime,
}

impl UsualTimeouts {
    /// Starts without requests: until there are `samples` of a pair, its usual timeout is the
    /// route's.
    pub fn new(settings: TimeoutSettings) -> Self {
        Self {
            settings,
            pairs: BTreeMap::new(),
        }
    }

    /// Records the timeout of a request that arrived, and returns whether its caller was refused
    /// before and comes back.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        customer: &CustomerName,
        route: &Arc<str>,
        timeout: Duration,
        route_timeout: Duration,
    ) -> bool {
        let key = (customer.clone(), Arc::clone(route));
        if !self.pairs.contains_key(&key) {
            self.make_room();
        }
        let recent = self.pairs.entry(key).or_insert_with(|| RecentTimeouts {
            timeouts: VecDeque::new(),
            last_at: now,
        });
        recent.last_at = now;
        if recent.timeouts.len() >= self.settings.samples {
            recent.timeouts.pop_front();
        }
        recent.timeouts.push_back(timeout);
        let is_known = recent.timeouts.len() >= self.settings.samples;
        let longest = recent.timeouts.iter().max().copied();
        let usual = longest.filter(|_| is_known).unwrap_or(route_timeout);
        timeout.saturating_add(self.settings.min_wait) <= usual.min(route_timeout)
    }

    /// Drops the pair without requests for the longest time if there is no room for another.
    fn make_room(&mut self) {
        if self.pairs.len() < self.settings.max_pairs {
            return;
        }
        let oldest = self.pairs.iter().min_by_key(|(_, recent)| recent.last_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.pairs.remove(&key);
        }
    }
}
