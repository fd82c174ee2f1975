//! Conversion between batches of a chain and batches of the replicated state.
//!
//! The replicated state numbers the records of an incarnation from 0, a chain numbers them from 1.

use std::sync::Arc;

use super::buffer::EvidenceBatch;
use crate::base::SequenceNumber;
use crate::replicated;

impl EvidenceBatch {
    /// Converts the batch for the replicated state.
    pub fn to_replicated(&self) -> replicated::ReplicatedEvidenceBatch {
        let bytes = |line: &Arc<str>| Arc::from(line.as_bytes());
        replicated::ReplicatedEvidenceBatch {
            writer: self.writer.host.clone(),
            incarnation: self.writer.incarnation,
            first: SequenceNumber(self.first.0.saturating_sub(1)),
            records: self.lines.iter().map(bytes).collect(),
        }
    }
}

/// Returns the last record of the chain in the replicated state, according to the answer to a
/// batch; `None` if a later incarnation of the writer has records, so this one must accept no more
/// requests.
pub fn replicated_through(answer: &replicated::EvidenceAnswer) -> Option<SequenceNumber> {
    match answer {
        replicated::EvidenceAnswer::Recorded { next } => Some(*next),
        replicated::EvidenceAnswer::Gap { expected } => Some(*expected),
        replicated::EvidenceAnswer::Superseded => None,
    }
}
