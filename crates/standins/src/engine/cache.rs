//! KV state of the sequences that an engine holds.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use pollendrift_border::LayerSpan;

use crate::token::{SpanCache, StandInWeights};

/// One sequence's state in this engine.
///
/// Invariant: `downstream_have` never passes the positions of `span`.
#[derive(Debug)]
pub(crate) struct SequenceState {
    pub(crate) attempt: u32,
    pub(crate) span: SpanCache,
    pub(crate) downstream_have: usize,
    pub(crate) downstream: String,
}

/// A sequence that one step at a time may change.
#[derive(Debug)]
pub(crate) struct SharedSequence {
    newest: AtomicU32,
    state: tokio::sync::Mutex<SequenceState>,
}

impl SharedSequence {
    /// Waits for the step before to end.
    pub(crate) async fn lock(&self) -> tokio::sync::MutexGuard<'_, SequenceState> {
        self.state.lock().await
    }

    fn newest_attempt(&self) -> u32 {
        self.newest.load(Ordering::Relaxed)
    }
}

/// Sequences by request id.
#[derive(Debug, Default)]
pub(crate) struct SequenceTable {
    sequences: Mutex<BTreeMap<String, Arc<SharedSequence>>>,
}

impl SequenceTable {
    /// The sequence of `request`, made with an empty cache if it is not held.
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
                newest: AtomicU32::new(attempt),
                state: tokio::sync::Mutex::new(state),
            })
        });
        sequence.newest.fetch_max(attempt, Ordering::Relaxed);
        Arc::clone(sequence)
    }

    /// Forgets the sequence of `request`, unless a newer attempt holds it.
    ///
    /// A replaced attempt releases late, when the next one already runs over the same stages;
    /// without the attempt's number it would take the KV from under its successor.
    pub(crate) fn release(&self, request: &str, attempt: u32) {
        let mut sequences = self.lock();
        let replaced = sequences
            .get(request)
            .is_some_and(|held| held.newest_attempt() > attempt);
        if !replaced {
            sequences.remove(request);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Tokens of KV in use; sequences in the middle of a step are left out.
    pub(crate) fn used_tokens(&self) -> u64 {
        let sequences = self.lock();
        let held = sequences
            .values()
            .filter_map(|sequence| Some(sequence.state.try_lock().ok()?.span.len()));
        u64::try_from(held.sum::<usize>()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Arc<SharedSequence>>> {
        self.sequences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
