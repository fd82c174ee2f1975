//! Outlier ejection: excludes backend servers that keep failing, but never all servers of a class.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use slotmap::{Key, SecondaryMap};

use super::settings::OutlierSettings;
use crate::base::MonotonicTime;

/// A current ejection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Ejection<C> {
    /// Class of servers among which the share of ejected servers is limited.
    pub class: C,
    /// End of the ejection.
    pub until: MonotonicTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct FailureCount {
    /// Failures since the last success.
    consecutive: u32,
    /// Ejections since the last period of `max_ejection` without one; each doubles the next.
    ejections: u32,
    /// End of the last ejection.
    last_until: MonotonicTime,
}

/// Failures and ejections of backend servers with keys `K`, grouped in classes `C`.
///
/// Invariant: when an ejection begins, the current ejections within its class do not exceed the
/// share of the class that the settings allow, so at least one class member always remains.
#[derive(Clone, Debug)]
pub struct OutlierTable<K, C>
where
    K: Key,
{
    settings: OutlierSettings,
    counts: SecondaryMap<K, FailureCount>,
    ejected: BTreeMap<K, Ejection<C>>,
}

impl<K, C> OutlierTable<K, C>
where
    K: Key,
    C: Eq + Clone,
{
    /// Starts without failures and ejections.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            counts: SecondaryMap::new(),
            ejected: BTreeMap::new(),
        }
    }

    /// Whether `key` is ejected at `now`.
    pub fn is_ejected(&self, now: MonotonicTime, key: K) -> bool {
        self.ejected
            .get(&key)
            .is_some_and(|ejection| ejection.until > now)
    }

    /// Records a success, which resets the count of consecutive failures.
    pub fn succeeded(&mut self, key: K) {
        if let Some(count) = self.counts.get_mut(key) {
            count.consecutive = 0;
        }
    }

    /// Records a failure of `key`, one of `peers` servers of `class`; returns the ejection that it
    /// causes, if any.
    pub fn failed(
        &mut self,
        now: MonotonicTime,
        key: K,
        class: C,
        peers: usize,
    ) -> Option<Ejection<C>> {
        // Requests that were running when the ejection began still fail. If these failures counted,
        // the first failure after the ejection would eject the server again.
        if self.is_ejected(now, key) {
            return None;
        }
        let count = *self.count_failure(key)?;
        if count.consecutive < self.settings.consecutive_failures {
            return None;
        }
        if self.ejected_peers(now, &class) >= self.allowed_ejections(peers) {
            return None;
        }
        let until = now.after(self.ejection_length(now, count));
        let ejection = Ejection { class, until };
        self.ejected.insert(key, ejection.clone());
        self.counts.insert(
            key,
            FailureCount {
                consecutive: 0,
                ejections: count.ejections.saturating_add(1),
                last_until: until,
            },
        );
        Some(ejection)
    }

    /// Removes expired ejections; returns the servers that are no longer ejected.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<K> {
        let expired: Vec<K> = self
            .ejected
            .iter()
            .filter(|(_, ejection)| ejection.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in &expired {
            self.ejected.remove(key);
        }
        expired
    }

    /// Removes the failures and the ejection of a server.
    pub fn remove(&mut self, key: K) {
        self.counts.remove(key);
        self.ejected.remove(&key);
    }

    /// Removes the failures and ejections of all servers.
    pub fn clear(&mut self) {
        self.counts.clear();
        self.ejected.clear();
    }

    /// Ejections that are current, or expired and not yet removed by a tick.
    pub fn ejections(&self) -> impl Iterator<Item = (K, &Ejection<C>)> {
        self.ejected.iter().map(|(key, ejection)| (*key, ejection))
    }

    fn count_failure(&mut self, key: K) -> Option<&FailureCount> {
        let count = self.counts.entry(key)?.or_default();
        count.consecutive = count.consecutive.saturating_add(1);
        Some(count)
    }

    fn ejected_peers(&self, now: MonotonicTime, class: &C) -> usize {
        self.ejected
            .values()
            .filter(|ejection| ejection.class == *class && ejection.until > now)
            .count()
    }

    fn allowed_ejections(&self, peers: usize) -> usize {
        if peers < 2 {
            return 0;
        }
        let percent = self.settings.max_ejected_percent.min(100) as usize;
        (peers * percent / 100).clamp(1, peers - 1)
    }

    fn ejection_length(&self, now: MonotonicTime, count: FailureCount) -> Duration {
        let quiet = now.since(count.last_until) > self.settings.max_ejection;
        let doublings = if quiet { 0 } else { count.ejections.min(16) };
        self.settings
            .base_ejection
            .saturating_mul(1 << doublings)
            .min(self.settings.max_ejection)
    }
}
