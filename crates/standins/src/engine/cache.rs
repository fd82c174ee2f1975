//! KV state of the sequences in an engine.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use pollendrift_border::LayerSpan;

use crate::token::{SpanCache, StandInWeights};

/// State of one sequence in this engine.
///
/// `downstream_have` is the number of positions whose KV the next stage (`downstream`) has.
/// Invariant: it is at most the number of positions in `span`.
#[derive(Debug)]
pub(crate) struct SequenceState {
    pub(crate) attempt: u32,
    pub(crate) span: SpanCache,
    pub(crate) downstream_have: usize,
    pub(crate) downstream: String,
}

/// A sequence that only one step at a time changes.
#[derive(Debug)]
pub(crate) struct SharedSequence {
    newest_attempt: AtomicU32,
    state: tokio::sync::Mutex<SequenceState>,
}

impl SharedSequence {
    /// Waits for the previous step to end.
    pub(crate) async fn lock(&self) -> tokio::sync::MutexGuard<'_, SequenceState> {
        self.state.lock().await
    }

    fn newest_attempt(&self) -> u32 {
        self.newest_attempt.load(Ordering::Relaxed)
    }
}

/// Sequences by request id.
#[derive(Debug, Default)]
pub(crate) struct SequenceTable {
    sequences: Mutex<BTreeMap<String, Arc<SharedSequence>>>,
}

impl SequenceTable {
    /// Returns the sequence of `request`; creates it with an empty cache if absent.
    pub(crate) fn open(
        &self,
        request: &str,
        attempt: u32,
        weights: &StandInWeights,
        span: LayerSpan,
    ) -> Arc<SharedSequence> {
        let mut sequences = self.lock();
        let sequence = sequences.entry(request.to_owned()).or_insert_with(|| {
            let state = SequenceState {
                attempt,
                span: SpanCache::new(weights.clone(), span.first, span.end),
                downstream_have: 0,
                downstream: String::new(),
            };
            Arc::new(SharedSequence {
                newest_attempt: AtomicU32::new(attempt),
                state: tokio::sync::Mutex::new(state),
            })
        });
        sequence
            .newest_attempt
            .fetch_max(attempt, Ordering::Relaxed);
        Arc::clone(sequence)
    }

    /// Removes the sequence of `request`, unless a newer attempt uses it.
    ///
    /// The release of a replaced attempt can arrive when the next attempt already runs over the
    /// same stages. Without the check of the attempt number it would delete that attempt's KV
    /// state.
    pub(crate) fn release(&self, request: &str, attempt: u32) {
        let mut sequences = self.lock();
        let replaced = sequences
            .get(request)
            .is_some_and(|sequence| sequence.newest_attempt() > attempt);
        if !replaced {
            sequences.remove(request);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// KV tokens in use, without sequences that are running a step.
    pub(crate) fn used_tokens(&self) -> u64 {
        let sequences = self.lock();
        let used = sequences
            .values()
            .filter_map(|sequence| Some(sequence.state.try_lock().ok()?.span.len()));
        u64::try_from(used.sum::<usize>()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Arc<SharedSequence>>> {
        self.sequences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
