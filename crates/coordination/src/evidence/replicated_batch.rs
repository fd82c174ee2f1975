//! Evidence through the agreement group: what a batch is to the replicated state, and back.
//!
//! The replicated state counts the records of a life from 0, a chain counts them from 1.

use std::sync::Arc;

use super::buffer::EvidenceBatch;
use crate::base::SequenceNumber;
use crate::replicated;

impl EvidenceBatch {
    /// The batch as the replicated state takes it.
    pub fn to_replicated(&self) -> replicated::EvidenceBatch {
        let bytes = |line: &Arc<str>| Arc::from(line.as_bytes());
        replicated::EvidenceBatch {
            writer: self.writer.host.clone(),
            incarnation: self.writer.incarnation,
            first: SequenceNumber(self.first.0.saturating_sub(1)),
            records: self.lines.iter().map(bytes).collect(),
        }
    }
}

/// Last record of the chain that the agreement group has, by its answer to a batch; `None` if a
/// later life of the writer has recorded already, so that this one must take no more work.
pub fn replicated_through(answer: &replicated::EvidenceAnswer) -> Option<SequenceNumber> {
    match answer {
        replicated::EvidenceAnswer::Recorded { next } => Some(*next),
        replicated::EvidenceAnswer::Gap { expected } => Some(*expected),
        replicated::EvidenceAnswer::Superseded => None,
    }
}
