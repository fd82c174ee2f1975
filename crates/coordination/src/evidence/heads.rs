//! Table of a keeper's stored records by chain, which checks incoming batches.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::buffer::EvidenceBatch;
use super::chain::{
    ChainAnchor, ChainHead, ChainWriter, EvidenceDigest, EvidenceError, SealedRecord,
};
use crate::base::SequenceNumber;

/// Records of a chain that are missing on this keeper and may be stored on another.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{writer}: {first}..={last}")]
pub struct MissingRange {
    /// Writer of the chain.
    pub writer: ChainWriter,
    /// First missing record.
    pub first: SequenceNumber,
    /// Last missing record.
    pub last: SequenceNumber,
}

/// A batch that passed the check. The keeper stores and syncs `records`, then calls
/// [`HeadTable::commit`], and only then acknowledges `through`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedBatch {
    /// Records that are not stored yet, in order; empty for a batch received before.
    pub records: Vec<SealedRecord>,
    /// Last record of the batch.
    pub through: SequenceNumber,
}

/// Reason why a batch is refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BatchRefusal {
    /// The batch has no lines.
    #[display("the batch is empty")]
    Empty,
    /// A line is not a valid record.
    #[display("line {index} of the batch: {error}")]
    Line {
        /// Position within the batch, from 0.
        index: usize,
        /// Error of the line.
        #[error(source)]
        error: EvidenceError,
    },
    /// A line is a record of another chain or with another sequence number or previous digest than
    /// expected.
    #[display("line {index} of the batch is another record than {expected}")]
    Misplaced {
        /// Position within the batch, from 0.
        index: usize,
        /// Expected sequence number.
        expected: SequenceNumber,
    },
    /// The batch conflicts with stored records: the chain has two histories.
    #[display("record {sequence} contradicts the stored chain")]
    Fork {
        /// First conflicting record.
        sequence: SequenceNumber,
    },
}

/// Consecutive stored records of one chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChainSpan {
    /// Record before the span; 0 at the start of the chain.
    before: SequenceNumber,
    /// Digest of the record before the span.
    previous: EvidenceDigest,
    /// Last record of the span.
    last: SequenceNumber,
    /// Digest of the last record.
    digest: EvidenceDigest,
}

/// Spans of stored records of each chain on this keeper.
///
/// Invariant: the spans of a chain are in order, and are neither adjacent nor overlapping.
#[derive(Clone, Debug, Default)]
pub struct HeadTable {
    chains: BTreeMap<ChainWriter, StoredChain>,
}

/// Stored records of one chain.
///
/// Invariant: every span starts after the anchor.
#[derive(Clone, Debug, Default)]
struct StoredChain {
    /// Last record that retention dropped.
    anchor: Option<ChainAnchor>,
    spans: Vec<ChainSpan>,
}

impl HeadTable {
    /// Checks `batch` against the stored records, without changing the table.
    ///
    /// A batch received before is accepted with no records to store. A batch after a gap is
    /// accepted too: if it were refused, one keeper that lacks records would block the entry's new
    /// requests. The gap is filled from the other keepers, see [`HeadTable::missing`].
    ///
    /// # Errors
    ///
    /// [`BatchRefusal`] if a line or the order is invalid, or the batch conflicts with stored
    /// records; no record of it is accepted.
    pub fn check(&self, batch: &EvidenceBatch) -> Result<AcceptedBatch, BatchRefusal> {
        let mut records = parse(batch)?;
        let through = match records.last() {
            Some(last) => last.record.sequence,
            None => return Err(BatchRefusal::Empty),
        };
        if let Some(chain) = self.chains.get(&batch.writer) {
            for span in &chain.spans {
                check_fork(span, &records)?;
            }
            records.retain(|sealed| !chain.contains(sealed.record.sequence));
        }
        Ok(AcceptedBatch { records, through })
    }

    /// Adds `records`, which [`HeadTable::check`] accepted or which were read from the disk, as
    /// stored and synced.
    pub fn commit(&mut self, records: &[SealedRecord]) {
        for sealed in records {
            let chain = self.chains.entry(sealed.record.writer.clone()).or_default();
            insert(&mut chain.spans, ChainSpan::of(sealed));
        }
    }

    /// Sets the start of a chain to `anchor`, after its older records were dropped.
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

    /// Removes a chain whose records were all dropped and whose writer has ended, so that the table
    /// does not grow with every restart of a host. A chain with stored records is kept.
    pub fn remove_empty(&mut self, writer: &ChainWriter) {
        let is_empty = |chain: &StoredChain| chain.spans.is_empty();
        if self.chains.get(writer).is_some_and(is_empty) {
            self.chains.remove(writer);
        }
    }

    /// Anchors of the chains whose older records were dropped.
    pub fn anchors(&self) -> impl Iterator<Item = &ChainAnchor> {
        self.chains
            .values()
            .filter_map(|chain| chain.anchor.as_ref())
    }

    /// Last stored record of each chain; the last dropped record if none is stored.
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

    /// Gaps between stored spans, to be requested from the other keepers.
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
    /// Whether the record is stored, or was dropped by retention.
    fn contains(&self, sequence: SequenceNumber) -> bool {
        let dropped = |anchor: &ChainAnchor| sequence <= anchor.through;
        self.anchor.as_ref().is_some_and(dropped)
            || self.spans.iter().any(|span| span.contains(sequence))
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

    fn contains(&self, sequence: SequenceNumber) -> bool {
        self.before < sequence && sequence <= self.last
    }
}

fn parse(batch: &EvidenceBatch) -> Result<Vec<SealedRecord>, BatchRefusal> {
    let mut records: Vec<SealedRecord> = Vec::with_capacity(batch.lines.len());
    let mut expected = batch.first;
    for (index, line) in batch.lines.iter().enumerate() {
        let sealed =
            SealedRecord::parse(line).map_err(|error| BatchRefusal::Line { index, error })?;
        let is_linked = records
            .last()
            .is_none_or(|previous| sealed.record.previous == previous.digest);
        let is_in_place =
            sealed.record.writer == batch.writer && sealed.record.sequence == expected;
        if !is_linked || !is_in_place {
            return Err(BatchRefusal::Misplaced { index, expected });
        }
        expected = expected.next();
        records.push(sealed);
    }
    Ok(records)
}

/// Compares digests where the records meet the ends of the span. One equal digest is sufficient,
/// because it covers all records before it.
fn check_fork(span: &ChainSpan, records: &[SealedRecord]) -> Result<(), BatchRefusal> {
    for sealed in records {
        let sequence = sealed.record.sequence;
        let is_fork = (sequence == span.last && sealed.digest != span.digest)
            || (sequence == span.before && sealed.digest != span.previous)
            || (sequence == span.last.next() && sealed.record.previous != span.digest)
            || (sequence == span.before.next() && sealed.record.previous != span.previous);
        if is_fork {
            return Err(BatchRefusal::Fork { sequence });
        }
    }
    Ok(())
}

fn insert(spans: &mut Vec<ChainSpan>, new: ChainSpan) {
    let index = spans.partition_point(|span| span.last < new.last);
    if spans.get(index).is_some_and(|span| span.contains(new.last)) {
        return;
    }
    spans.insert(index, new);
    merge_adjacent(spans, index);
    if let Some(earlier) = index.checked_sub(1) {
        merge_adjacent(spans, earlier);
    }
}

/// Merges the span at `index` with the next one if they are adjacent.
fn merge_adjacent(spans: &mut Vec<ChainSpan>, index: usize) {
    let (Some(left), Some(right)) = (spans.get(index), spans.get(index + 1)) else {
        return;
    };
    if left.last != right.before {
        return;
    }
    let merged = ChainSpan {
        last: right.last,
        digest: right.digest,
        ..*left
    };
    spans.remove(index + 1);
    if let Some(span) = spans.get_mut(index) {
        *span = merged;
    }
}
