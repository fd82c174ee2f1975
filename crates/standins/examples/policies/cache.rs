//! Prefix caches of the simulated engines and their delayed cache events.

use pollendrift_coordination::base::{Incarnation, SequenceNumber};
use pollendrift_coordination::routing::{
    CacheChange, CacheEvent, PrefixDigest, PromptPrefix, RoutePlanner,
};

use crate::experiment::{Event, Experiment, Job, REPORT_AGE, Sequence, SequenceKey};

/// Number of generated tokens after which engines publish a longer prefix.
pub(crate) const BLOCK: u32 = 64;

/// Maximum prefixes of one request: its prompt, and one per block.
const MAX_PREFIXES: u64 = 16;

/// A cache event that has not arrived yet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DelayedCacheEvent {
    engine: usize,
    job: u64,
    /// Stored block; `None` if all blocks of the request are evicted.
    stored: Option<u32>,
}

impl Experiment {
    /// Prefixes of a request that resumes after the loss of an engine; a new request shares none.
    pub(crate) fn find_prefixes(&self, job: &Job) -> Vec<PromptPrefix> {
        if job.lost.is_none() {
            return Vec::new();
        }
        let blocks = 0..=job.generated / BLOCK;
        let prefix = |block| PromptPrefix {
            digest: digest(job.number, block),
            tokens: job.prompt + block * BLOCK,
        };
        blocks.map(prefix).collect()
    }

    pub(crate) fn schedule_stored(&mut self, key: SequenceKey) {
        let Some(sequence) = self.sequences.get(key) else {
            return;
        };
        let (job, block) = (sequence.job.number, sequence.job.generated / BLOCK);
        for engine in sequence.engines.clone() {
            let stored = Some(block);
            let event = DelayedCacheEvent {
                engine,
                job,
                stored,
            };
            self.schedule(REPORT_AGE, Event::Cache(event));
        }
    }

    pub(crate) fn schedule_evicted(&mut self, sequence: &Sequence) {
        let job = sequence.job.number;
        for engine in sequence.engines.clone() {
            let stored = None;
            let event = DelayedCacheEvent {
                engine,
                job,
                stored,
            };
            self.schedule(REPORT_AGE, Event::Cache(event));
        }
    }

    pub(crate) fn deliver_cache_event(&mut self, delayed: DelayedCacheEvent) {
        self.cache_events[delayed.engine] += 1;
        let change = match delayed.stored {
            Some(block) => CacheChange::Stored(vec![digest(delayed.job, block)]),
            None => CacheChange::Evicted((0..8).map(|block| digest(delayed.job, block)).collect()),
        };
        let event = CacheEvent {
            server: self.announced[delayed.engine].server.clone(),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(self.cache_events[delayed.engine]),
            change,
        };
        for planner in &mut self.planners {
            planner.cache_event(&event);
        }
    }
}

fn digest(job: u64, block: u32) -> PrefixDigest {
    PrefixDigest(job * MAX_PREFIXES + u64::from(block))
}
