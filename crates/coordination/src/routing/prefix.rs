//! Index of the prompt prefixes that engines cache, built from cache events that may arrive late or
//! get lost.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::fleet::EngineKey;
use crate::base::{Incarnation, SequenceNumber, ServerName};

/// Limit on the number of engines that the index stores as caching one prefix.
const MAX_HOLDERS: usize = 16;

/// Sequence number of the first event of an incarnation.
const FIRST_EVENT: SequenceNumber = SequenceNumber(1);

/// Digest of a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixDigest(pub u64);

/// A prefix of a request's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPrefix {
    /// Digest of the prefix.
    pub digest: PrefixDigest,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The engine stored these prefixes.
    Stored(Vec<PrefixDigest>),
    /// The engine evicted these prefixes.
    Evicted(Vec<PrefixDigest>),
    /// The complete content of the cache; resynchronises the index after a gap.
    Snapshot(Vec<PrefixDigest>),
}

/// A numbered change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Engine whose cache changed.
    pub server: ServerName,
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation; starts at 1 and increases by 1.
    pub sequence: SequenceNumber,
    /// Change of the cache.
    pub change: CacheChange,
}

/// Result of applying a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOutcome {
    /// The index applied the event.
    Applied,
    /// The event is not newer than the last one, or the engine is unknown.
    Ignored,
    /// Earlier events are missing. No prefix of the engine counts as cached until a snapshot
    /// arrives.
    ResyncNeeded,
}

#[derive(Clone, Debug, Default)]
struct EngineCache {
    incarnation: Incarnation,
    /// Sequence number of the last event that was applied or that revealed a gap.
    sequence: SequenceNumber,
    /// Whether `digests` is derived from events without a gap.
    is_synced: bool,
    /// Empty unless `is_synced`.
    digests: HashSet<PrefixDigest>,
}

/// Cached prefixes by engine, and some of the engines by prefix.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    max_prefixes: usize,
    caches: SecondaryMap<EngineKey, EngineCache>,
    /// At most [`MAX_HOLDERS`] engines per prefix. A hint that `caches` must confirm.
    holders: HashMap<PrefixDigest, Vec<EngineKey>>,
}

impl PrefixIndex {
    pub(crate) fn new(max_prefixes: u32) -> Self {
        Self {
            max_prefixes: max_prefixes as usize,
            caches: SecondaryMap::new(),
            holders: HashMap::new(),
        }
    }

    /// Applies an event of the engine `key`.
    pub(crate) fn apply(&mut self, key: EngineKey, event: &CacheEvent) -> CacheOutcome {
        let Some(entry) = self.caches.entry(key) else {
            return CacheOutcome::Ignored;
        };
        let cache = entry.or_default();
        let last = (cache.incarnation, cache.sequence);
        let number = (event.incarnation, event.sequence);
        let has_no_events = last == (Incarnation(0), SequenceNumber(0));
        if number <= last && !has_no_events {
            return CacheOutcome::Ignored;
        }
        // Before the first event of an incarnation, the cache is empty.
        let starts_incarnation = event.incarnation > last.0 && event.sequence == FIRST_EVENT;
        let is_next = event.incarnation == last.0 && event.sequence == last.1.next();
        let is_contiguous = starts_incarnation || (is_next && cache.is_synced);
        cache.incarnation = event.incarnation;
        cache.sequence = event.sequence;
        if starts_incarnation {
            self.clear_digests(key);
            self.set_synced(key, true);
        }
        match &event.change {
            CacheChange::Snapshot(digests) => {
                self.clear_digests(key);
                self.set_synced(key, true);
                self.store(key, digests);
            }
            // A lost event may have evicted any prefix. Trusting the old content would route
            // prompts to engines that no longer cache them, so no prefix counts until the next
            // snapshot.
            _ if !is_contiguous => {
                self.clear_digests(key);
                self.set_synced(key, false);
                return CacheOutcome::ResyncNeeded;
            }
            CacheChange::Stored(digests) => self.store(key, digests),
            CacheChange::Evicted(digests) => self.evict(key, digests),
        }
        CacheOutcome::Applied
    }

    /// Removes an engine and its prefixes.
    pub(crate) fn remove(&mut self, key: EngineKey) {
        self.clear_digests(key);
        self.caches.remove(key);
    }

    /// Returns the length in tokens of the longest of `prefixes` that the engine caches, or 0.
    ///
    /// `prefixes` must be in order of increasing length.
    pub(crate) fn cached_tokens(&self, key: EngineKey, prefixes: &[PromptPrefix]) -> u32 {
        let Some(cache) = self.caches.get(key).filter(|cache| cache.is_synced) else {
            return 0;
        };
        prefixes
            .iter()
            .rev()
            .find(|prefix| cache.digests.contains(&prefix.digest))
            .map_or(0, |prefix| prefix.tokens)
    }

    /// Returns some engines that cache the longest of `prefixes` that any engine caches.
    pub(crate) fn holders(&self, prefixes: &[PromptPrefix]) -> &[EngineKey] {
        prefixes
            .iter()
            .rev()
            .find_map(|prefix| self.holders.get(&prefix.digest))
            .map_or(&[], Vec::as_slice)
    }

    fn set_synced(&mut self, key: EngineKey, is_synced: bool) {
        if let Some(cache) = self.caches.get_mut(key) {
            cache.is_synced = is_synced;
        }
    }

    fn store(&mut self, key: EngineKey, digests: &[PrefixDigest]) {
        let Some(cache) = self.caches.get_mut(key) else {
            return;
        };
        for digest in digests {
            if cache.digests.len() >= self.max_prefixes {
                return;
            }
            let holders = self.holders.entry(*digest).or_default();
            if cache.digests.insert(*digest) && holders.len() < MAX_HOLDERS {
                holders.push(key);
            }
        }
    }

    fn evict(&mut self, key: EngineKey, digests: &[PrefixDigest]) {
        for digest in digests {
            if let Some(cache) = self.caches.get_mut(key) {
                cache.digests.remove(digest);
            }
            self.remove_holder(key, *digest);
        }
    }

    fn clear_digests(&mut self, key: EngineKey) {
        let Some(cache) = self.caches.get_mut(key) else {
            return;
        };
        for digest in std::mem::take(&mut cache.digests) {
            self.remove_holder(key, digest);
        }
    }

    fn remove_holder(&mut self, key: EngineKey, digest: PrefixDigest) {
        let Some(holders) = self.holders.get_mut(&digest) else {
            return;
        };
        holders.retain(|holder| *holder != key);
        if holders.is_empty() {
            self.holders.remove(&digest);
        }
    }
}
