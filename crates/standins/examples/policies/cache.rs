//! Prefix caches of the fake engines, and the late events that tell of them.

use pollendrift_coordination::base::{Incarnation, SequenceNumber};
use pollendrift_coordination::routing::{
    CacheChange, CacheEvent, PrefixDigest, PromptPrefix, RoutePlanner,
};

use crate::experiment::{Event, Experiment, Job, REPORT_AGE, Sequence, SequenceKey};

/// Generated tokens after which engines publish a longer prefix.
pub(crate) const BLOCK: u32 = 64;

/// Prefixes that one request can have: its prompt and its blocks.
const MAX_PREFIXES: u64 = 16;

/// A cache event on its way.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CacheNews {
    engine: usize,
    job: u64,
    /// Block that was stored; none where all of the request is evicted.
    stored: Option<u32>,
}

impl Experiment {
    /// Prefixes of a request that goes on after a loss; a new one shares none.
    pub(crate) fn find_prefixes(&self, job: &Job) -> Vec<PromptPrefix> {
        if job.lost.is_none() {
            return Vec::new();
        }
        let blocks = 0..=job.made / BLOCK;
        let prefix = |block| PromptPrefix {
            digest: digest(job.number, block),
            tokens: job.prompt + block * BLOCK,
        };
        blocks.map(prefix).collect()
    }

    pub(crate) fn note_stored(&mut self, key: SequenceKey) {
        let Some(sequence) = self.sequences.get(key) else {
            return;
        };
        let (job, block) = (sequence.job.number, sequence.job.made / BLOCK);
        for engine in sequence.engines.clone() {
            let stored = Some(block);
            let news = CacheNews {
                engine,
                job,
                stored,
            };
            self.schedule(REPORT_AGE, Event::Cache(news));
        }
    }

    pub(crate) fn note_evicted(&mut self, sequence: &Sequence) {
        let job = sequence.job.number;
        for engine in sequence.engines.clone() {
            let stored = None;
            let news = CacheNews {
                engine,
                job,
                stored,
            };
            self.schedule(REPORT_AGE, Event::Cache(news));
        }
    }

    pub(crate) fn tell_cache(&mut self, news: CacheNews) {
        self.cache_events[news.engine] += 1;
        let change = match news.stored {
            Some(block) => CacheChange::Stored(vec![digest(news.job, block)]),
            None => CacheChange::Evicted((0..8).map(|block| digest(news.job, block)).collect()),
        };
        let event = CacheEvent {
            server: self.announced[news.engine].server.clone(),
            incarnation: Incarnation(1),
            sequence: SequenceNumber(self.cache_events[news.engine]),
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
