//! KV state of the sequences that an engine holds.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

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
pub(crate) type SharedSequence = Arc<tokio::sync::Mutex<SequenceState>>;

/// Sequences by request id.
#[derive(Debug, Default)]
pub(crate) struct SequenceTable {
    sequences: Mutex<BTreeMap<String, SharedSequence>>,
}

impl SequenceTable {
    /// The sequence of `request`, made with an empty cache if it is not held.
    pub(crate) fn open(
        &self,
        request: &str,
        attempt: u32,
        weights: &StandInWeights,
        first: u32,
        end: u32,
    ) -> SharedSequence {
        let mut sequences = self.lock();
        let sequence = sequences.entry(request.to_owned()).or_insert_with(|| {
            Arc::new(tokio::sync::Mutex::new(SequenceState {
                attempt,
                span: SpanCache::new(weights.clone(), first, end),
                downstream_have: 0,
                downstream: String::new(),
            }))
        });
        Arc::clone(sequence)
    }

    /// Forgets the sequence of `request`.
    pub(crate) fn release(&self, request: &str) {
        self.lock().remove(request);
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Tokens of KV in use; sequences in the middle of a step are left out.
    pub(crate) fn used_tokens(&self) -> u64 {
        let sequences = self.lock();
        let held = sequences
            .values()
            .filter_map(|sequence| Some(sequence.try_lock().ok()?.span.len()));
        u64::try_from(held.sum::<usize>()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, SharedSequence>> {
        self.sequences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
