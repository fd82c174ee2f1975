//! The keeper's side: which records of each chain are stored, and which batches fit.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::buffer::EvidenceBatch;
use super::chain::{
    ChainAnchor, ChainHead, ChainWriter, EvidenceDigest, EvidenceError, SealedRecord,
};
use crate::base::SequenceNumber;

/// Records of a chain that this keeper lacks and another one may hold.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{writer}: {first}..={last}")]
pub struct MissingRange {
    /// The chain.
    pub writer: ChainWriter,
    /// First missing record.
    pub first: SequenceNumber,
    /// Last missing record.
    pub last: SequenceNumber,
}

/// A batch that fits. The keeper stores and syncs `records`, then calls
/// [`HeadTable::commit`] and only then acknowledges `through`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedBatch {
    /// Records that are not stored yet, in order; empty for a batch that came again.
    pub records: Vec<SealedRecord>,
    /// Last record of the batch.
    pub through: SequenceNumber,
}

/// Why a batch is not stored.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BatchRefusal {
    /// The batch has no lines.
    #[display("the batch is empty")]
    Empty,
    /// A line is no record.
    #[display("line {index} of the batch: {error}")]
    Line {
        /// Position within the batch, from 0.
        index: usize,
        /// What is wrong.
        #[error(source)]
        error: EvidenceError,
    },
    /// A line is a record of another place in the chain than the batch says.
    #[display("line {index} of the batch is another record than {expected}")]
    Misplaced {
        /// Position within the batch, from 0.
        index: usize,
        /// Number that was expected.
        expected: SequenceNumber,
    },
    /// The batch contradicts records that are stored: two histories of one chain.
    #[display("record {sequence} contradicts the stored chain")]
    Fork {
        /// Where they part.
        sequence: SequenceNumber,
    },
}

/// A stretch of one chain without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChainSpan {
    /// Last record before the stretch; 0 at the start of the chain.
    before: SequenceNumber,
    /// Digest of the record before the stretch.
    previous: EvidenceDigest,
    /// Last record of the stretch.
    last: SequenceNumber,
    /// Digest of the last record.
    digest: EvidenceDigest,
}

/// What this keeper has stored of each chain.
///
/// Invariant: the spans of a chain are in order, do not touch and do not overlap.
#[derive(Clone, Debug, Default)]
pub struct HeadTable {
    chains: BTreeMap<ChainWriter, StoredChain>,
}

/// What is stored of one chain.
///
/// Invariant: no span reaches back to the anchor or before it.
#[derive(Clone, Debug, Default)]
struct StoredChain {
    /// Last record that retention dropped.
    anchor: Option<ChainAnchor>,
    spans: Vec<ChainSpan>,
}

impl HeadTable {
    /// Compares `batch` with what is stored; changes nothing.
    ///
    /// A batch that came again is accepted with nothing left to store. A batch after a gap is
    /// stored too: refusing it would make one late keeper stop the entry, and the gap is filled
    /// from the other keepers, see [`HeadTable::missing`].
    ///
    /// # Errors
    ///
    /// [`BatchRefusal`], with nothing of the batch accepted.
    pub fn check(&self, batch: &EvidenceBatch) -> Result<AcceptedBatch, BatchRefusal> {
        let mut records = parse(batch)?;
        let through = match records.last() {
            Some(last) => last.record.sequence,
            None => return Err(BatchRefusal::Empty),
        };
        if let Some(chain) = self.chains.get(&batch.writer) {
            for span in &chain.spans {
                report_fork(span, &records)?;
            }
            records.retain(|sealed| !chain.holds(sealed.record.sequence));
        }
        Ok(AcceptedBatch { records, through })
    }

    /// Notes that `records`, which [`HeadTable::check`] accepted or the disk gave back, are
    /// stored and synced.
    pub fn commit(&mut self, records: &[SealedRecord]) {
        for sealed in records {
            let chain = self.chains.entry(sealed.record.writer.clone()).or_default();
            insert(&mut chain.spans, ChainSpan::of(sealed));
        }
    }

    /// Notes that the chain starts after `anchor`, its older records having been dropped.
    pub fn truncate(&mut self, anchor: &ChainAnchor) {
        let chain = self.chains.entry(anchor.writer.clone()).or_default();
        chain.spans.retain(|span| span.last > anchor.through);
        if let Some(first) = chain.spans.first_mut()
            && first.before <= anchor.through
        {
            first.before = anchor.through;
            first.previous = anchor.digest;
        }
        chain.anchor = Some(anchor.clone());
    }

    /// Forgets a chain whose records were all dropped and whose writer is gone, so that the table
    /// does not grow with every restart of a host.
    pub fn forget(&mut self, writer: &ChainWriter) {
        let empty = |chain: &StoredChain| chain.spans.is_empty();
        if self.chains.get(writer).is_some_and(empty) {
            self.chains.remove(writer);
        }
    }

    /// Where the chains start whose older records were dropped.
    pub fn anchors(&self) -> impl Iterator<Item = &ChainAnchor> {
        self.chains
            .values()
            .filter_map(|chain| chain.anchor.as_ref())
    }

    /// Last stored record of each chain.
    pub fn heads(&self) -> impl Iterator<Item = ChainHead> {
        self.chains.iter().filter_map(|(writer, chain)| {
            let stored = chain.spans.last().map(|span| (span.last, span.digest));
            let dropped = chain.anchor.as_ref();
            let (sequence, digest) =
                stored.or(dropped.map(|anchor| (anchor.through, anchor.digest)))?;
            Some(ChainHead {
                writer: writer.clone(),
                sequence,
                digest,
            })
        })
    }

    /// Gaps between stored stretches, to be asked of the other keepers.
    pub fn missing(&self) -> Vec<MissingRange> {
        let mut ranges = Vec::new();
        for (writer, chain) in &self.chains {
            for pair in chain.spans.windows(2) {
                let [earlier, later] = pair else { continue };
                ranges.push(MissingRange {
                    writer: writer.clone(),
                    first: earlier.last.next(),
                    last: later.before,
                });
            }
        }
        ranges
    }
}

impl StoredChain {
    /// Whether the record is stored, or was stored and dropped.
    fn holds(&self, sequence: SequenceNumber) -> bool {
        let dropped = |anchor: &ChainAnchor| sequence <= anchor.through;
        self.anchor.as_ref().is_some_and(dropped)
            || self.spans.iter().any(|span| span.holds(sequence))
    }
}

impl ChainSpan {
    fn of(sealed: &SealedRecord) -> Self {
        Self {
            before: SequenceNumber(sealed.record.sequence.0.saturating_sub(1)),
            previous: sealed.record.previous,
            last: sealed.record.sequence,
            digest: sealed.digest,
        }
    }

    fn holds(&self, sequence: SequenceNumber) -> bool {
        self.before < sequence && sequence <= self.last
    }
}

fn parse(batch: &EvidenceBatch) -> Result<Vec<SealedRecord>, BatchRefusal> {
    let mut records: Vec<SealedRecord> = Vec::with_capacity(batch.lines.len());
    let mut expected = batch.first;
    for (index, line) in batch.lines.iter().enumerate() {
        let sealed =
            SealedRecord::parse(line).map_err(|error| BatchRefusal::Line { index, error })?;
        let follows = records
            .last()
            .is_none_or(|before| sealed.record.previous == before.digest);
        let placed = sealed.record.writer == batch.writer && sealed.record.sequence == expected;
        if !follows || !placed {
            return Err(BatchRefusal::Misplaced { index, expected });
        }
        expected = expected.next();
        records.push(sealed);
    }
    Ok(records)
}

/// Compares digests where batch and span meet. One equal digest is enough: it covers every record
/// before it.
fn report_fork(span: &ChainSpan, records: &[SealedRecord]) -> Result<(), BatchRefusal> {
    for sealed in records {
        let sequence = sealed.record.sequence;
        let differs = (sequence == span.last && sealed.digest != span.digest)
            || (sequence == span.before && sealed.digest != span.previous)
            || (sequence == span.last.next() && sealed.record.previous != span.digest)
            || (sequence == span.before.next() && sealed.record.previous != span.previous);
        if differs {
            return Err(BatchRefusal::Fork { sequence });
        }
    }
    Ok(())
}

fn insert(spans: &mut Vec<ChainSpan>, new: ChainSpan) {
    let index = spans.partition_point(|span| span.last < new.last);
    if spans.get(index).is_some_and(|span| span.holds(new.last)) {
        return;
    }
    spans.insert(index, new);
    join(spans, index);
    if let Some(earlier) = index.checked_sub(1) {
        join(spans, earlier);
    }
}

/// Joins the span at `index` with the next one if they touch.
fn join(spans: &mut Vec<ChainSpan>, index: usize) {
    let (Some(left), Some(right)) = (spans.get(index), spans.get(index + 1)) else {
        return;
    };
    if left.last != right.before {
        return;
    }
    let joined = ChainSpan {
        last: right.last,
        digest: right.digest,
        ..*left
    };
    spans.remove(index + 1);
    if let Some(span) = spans.get_mut(index) {
        *span = joined;
    }
}
