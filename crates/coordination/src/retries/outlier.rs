//! Outlier ejection with a floor: servers that keep failing are left out, but never all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use slotmap::{Key, SecondaryMap};

use super::settings::OutlierSettings;
use crate::base::MonotonicTime;

/// One ejection in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Ejection<C> {
    /// Peers that the floor is counted over.
    pub class: C,
    /// End of the ejection.
    pub until: MonotonicTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct FailureCount {
    /// Failures since the last success.
    in_a_row: u32,
    /// Ejections since the last long quiet; doubles the next one.
    ejections: u32,
    /// End of the last ejection.
    last_until: MonotonicTime,
}

/// Failures of backend servers with keys `K`, and who is ejected among peers of class `C`.
///
/// Invariant: within a class, ejections in force never exceed the share that the settings allow of
/// the peers counted when the last one began, so at least one peer always stays.
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
    /// A table without failures.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            counts: SecondaryMap::new(),
            ejected: BTreeMap::new(),
        }
    }

    /// Whether `key` is left out at `now`.
    pub fn is_ejected(&self, now: MonotonicTime, key: K) -> bool {
        self.ejected
            .get(&key)
            .is_some_and(|ejection| ejection.until > now)
    }

    /// Notes a success; the count in a row starts anew.
    pub fn succeeded(&mut self, key: K) {
        if let Some(count) = self.counts.get_mut(key) {
            count.in_a_row = 0;
        }
    }

    /// Notes a failure of `key`, one of `peers` servers of `class`; says if it is ejected for it.
    pub fn failed(
        &mut self,
        now: MonotonicTime,
        key: K,
        class: C,
        peers: usize,
    ) -> Option<Ejection<C>> {
        // Work that was under way when the ejection began still fails; counted, it would eject the
        // server again with its first failure after it is back.
        if self.is_ejected(now, key) {
            return None;
        }
        let count = *self.count_failure(key)?;
        if count.in_a_row < self.settings.consecutive_failures {
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
                in_a_row: 0,
                ejections: count.ejections.saturating_add(1),
                last_until: until,
            },
        );
        Some(ejection)
    }

    /// Ends ejections that are over; returns the servers that are back.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<K> {
        let back: Vec<K> = self
            .ejected
            .iter()
            .filter(|(_, ejection)| ejection.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in &back {
            self.ejected.remove(key);
        }
        back
    }

    /// Forgets a server.
    pub fn remove(&mut self, key: K) {
        self.counts.remove(key);
        self.ejected.remove(&key);
    }

    /// Ejections in force or not yet ended by a tick.
    pub fn ejections(&self) -> impl Iterator<Item = (K, &Ejection<C>)> {
        self.ejected.iter().map(|(key, ejection)| (*key, ejection))
    }

    fn count_failure(&mut self, key: K) -> Option<&FailureCount> {
        let count = self.counts.entry(key)?.or_default();
        count.in_a_row = count.in_a_row.saturating_add(1);
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
