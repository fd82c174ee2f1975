//! Which engines hold which prompt prefixes, from cache events that come late and with gaps.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::fleet::EngineKey;
use crate::base::{Incarnation, SequenceNumber, ServerName};

/// Most engines that are remembered as holders of one prefix.
const MAX_HOLDERS: usize = 16;

/// Number of the first event in an engine's life.
const FIRST_EVENT: SequenceNumber = SequenceNumber(1);

/// Digest of a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixDigest(pub u64);

/// A prefix of a request's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPrefix {
    /// Its digest.
    pub digest: PrefixDigest,
    /// Its length.
    pub tokens: u32,
}

/// What happened to an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// Prefixes were stored.
    Stored(Vec<PrefixDigest>),
    /// Prefixes were evicted.
    Evicted(Vec<PrefixDigest>),
    /// The whole content, which ends a gap.
    Snapshot(Vec<PrefixDigest>),
}

/// A cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Engine that it speaks of.
    pub server: ServerName,
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Number within that life; events follow each other by one.
    pub sequence: SequenceNumber,
    /// What happened.
    pub change: CacheChange,
}

/// What became of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOutcome {
    /// It was applied.
    Applied,
    /// It is not newer than what is known.
    Ignored,
    /// Events before it are missing; nothing counts as cached until a snapshot comes.
    ResyncNeeded,
}

#[derive(Clone, Debug, Default)]
struct EngineCache {
    incarnation: Incarnation,
    /// Last event that was applied, or that showed a gap.
    sequence: SequenceNumber,
    /// Whether `digests` follows from events without a gap.
    is_known: bool,
    /// Empty unless `is_known`.
    digests: HashSet<PrefixDigest>,
}

/// Prefixes by engine, and some holders by prefix.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    max_prefixes: usize,
    caches: SecondaryMap<EngineKey, EngineCache>,
    /// At most [`MAX_HOLDERS`] each; a hint that `caches` confirms.
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

    /// Applies an event of the engine with `key`.
    pub(crate) fn apply(&mut self, key: EngineKey, event: &CacheEvent) -> CacheOutcome {
        let Some(entry) = self.caches.entry(key) else {
            return CacheOutcome::Ignored;
        };
        let cache = entry.or_default();
        let known = (cache.incarnation, cache.sequence);
        let number = (event.incarnation, event.sequence);
        let is_first = known == (Incarnation(0), SequenceNumber(0));
        if number <= known && !is_first {
            return CacheOutcome::Ignored;
        }
        // The first event of a life has none before it: the cache was empty.
        let begins = event.incarnation > known.0 && event.sequence == FIRST_EVENT;
        let continues = event.incarnation == known.0 && event.sequence == known.1.next();
        let follows = begins || (continues && cache.is_known);
        cache.incarnation = event.incarnation;
        cache.sequence = event.sequence;
        if begins {
            self.forget(key);
            self.set_known(key, true);
        }
        match &event.change {
            CacheChange::Snapshot(digests) => {
                self.forget(key);
                self.set_known(key, true);
                self.store(key, digests);
            }
            // What was evicted meanwhile is not known. Counting on it would send prompts to engines
            // for a hit that is not there, so nothing counts until the snapshot.
            _ if !follows => {
                self.forget(key);
                self.set_known(key, false);
                return CacheOutcome::ResyncNeeded;
            }
            CacheChange::Stored(digests) => self.store(key, digests),
            CacheChange::Evicted(digests) => self.evict(key, digests),
        }
        CacheOutcome::Applied
    }

    /// Forgets an engine.
    pub(crate) fn remove(&mut self, key: EngineKey) {
        self.forget(key);
        self.caches.remove(key);
    }

    /// Tokens of the longest of `prefixes`, which rise in length, that the engine holds.
    pub(crate) fn cached_tokens(&self, key: EngineKey, prefixes: &[PromptPrefix]) -> u32 {
        let Some(cache) = self.caches.get(key).filter(|cache| cache.is_known) else {
            return 0;
        };
        prefixes
            .iter()
            .rev()
            .find(|prefix| cache.digests.contains(&prefix.digest))
            .map_or(0, |prefix| prefix.tokens)
    }

    /// Some engines that hold the longest prefix that any engine holds.
    pub(crate) fn holders(&self, prefixes: &[PromptPrefix]) -> &[EngineKey] {
        prefixes
            .iter()
            .rev()
            .find_map(|prefix| self.holders.get(&prefix.digest))
            .map_or(&[], Vec::as_slice)
    }

    fn set_known(&mut self, key: EngineKey, is_known: bool) {
        if let Some(cache) = self.caches.get_mut(key) {
            cache.is_known = is_known;
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
            self.drop_holder(key, *digest);
        }
    }

    fn forget(&mut self, key: EngineKey) {
        let Some(cache) = self.caches.get_mut(key) else {
            return;
        };
        for digest in std::mem::take(&mut cache.digests) {
            self.drop_holder(key, digest);
        }
    }

    fn drop_holder(&mut self, key: EngineKey, digest: PrefixDigest) {
        let Some(holders) = self.holders.get_mut(&digest) else {
            return;
        };
        holders.retain(|holder| *holder != key);
        if holders.is_empty() {
            self.holders.remove(&digest);
        }
    }
}
