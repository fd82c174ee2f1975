//! Parts that were answered recently, in a bounded memory.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::base::{MonotonicTime, PartName, ServiceName, hash_names};

/// Number of buckets; a power of two.
const BUCKETS: usize = 2_048;
/// Entries in one bucket; a new one replaces the oldest.
const BUCKET_ENTRIES: usize = 2;

/// Digest of a part and its service, the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartDigest(u64);

impl PartDigest {
    /// Computes the digest of a part of the prompts of `service`.
    pub fn of(service: &ServiceName, part: &PartName) -> Self {
        Self(hash_names(service.as_str(), part.as_str()))
    }

    /// Index of a choice among `count` by the digest; `None` if there is none.
    pub fn choose(self, count: usize) -> Option<usize> {
        let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
        usize::try_from(self.0 % count).ok()
    }

    fn bucket(self) -> usize {
        // The remainder is below the number of buckets.
        usize::try_from(self.0 % BUCKETS as u64).unwrap_or(0)
    }
}

/// Time of the last answer to each part. Entries of other parts may replace one early, and then the
/// part counts as not answered.
#[derive(Clone, Debug, Default)]
pub(super) struct ProofCache {
    /// Empty, or `BUCKETS` times `BUCKET_ENTRIES` entries; a bucket's entries are adjacent.
    entries: Vec<Option<(PartDigest, MonotonicTime)>>,
}

impl ProofCache {
    /// Records an answer to `part` at `now`; returns the time of the last one before.
    pub(super) fn record(&mut self, now: MonotonicTime, part: PartDigest) -> Option<MonotonicTime> {
        if self.entries.is_empty() {
            self.entries = vec![None; BUCKETS * BUCKET_ENTRIES];
        }
        let first = part.bucket() * BUCKET_ENTRIES;
        let bucket = self.entries.get_mut(first..first + BUCKET_ENTRIES)?;
        let is_of_part =
            |entry: &Option<(PartDigest, MonotonicTime)>| entry.is_some_and(|(of, _)| of == part);
        if let Some(entry) = bucket.iter_mut().find(|entry| is_of_part(entry)) {
            return entry.replace((part, now)).map(|(_, at)| at);
        }
        let oldest = bucket
            .iter_mut()
            .min_by_key(|entry| entry.map(|(_, at)| at));
        if let Some(oldest) = oldest {
            *oldest = Some((part, now));
        }
        None
    }

    /// Time of the last answer to `part`, if it is not older than `memory`.
    pub(super) fn last(
        &self,
        now: MonotonicTime,
        part: PartDigest,
        memory: Duration,
    ) -> Option<MonotonicTime> {
        let first = part.bucket() * BUCKET_ENTRIES;
        let bucket = self.entries.get(first..first + BUCKET_ENTRIES)?;
        let mut proofs = bucket.iter().flatten();
        let (_, at) = proofs.find(|(of, _)| *of == part)?;
        (now.since(*at) < memory).then_some(*at)
    }
}
