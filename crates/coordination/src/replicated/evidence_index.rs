//! Replicated evidence records: each exactly once, in the same order on all keepers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::clock::ReplicatedTime;
use crate::base::{HostName, Incarnation, SequenceNumber, shared_bytes};

/// Successive records of one writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedEvidenceBatch {
    /// Host whose process wrote the records.
    pub writer: HostName,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// Number of the first record; the others follow it. Each incarnation's numbers begin at 0.
    pub first: SequenceNumber,
    /// The records in the writer's encoding.
    pub records: Vec<Arc<[u8]>>,
}

/// Answer to an [`ReplicatedEvidenceBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvidenceAnswer {
    /// All records before `next` are recorded: those of the batch and all earlier ones.
    Recorded {
        /// Number of the record to send next.
        next: SequenceNumber,
    },
    /// Records before the batch are missing; no record of the batch is recorded.
    Gap {
        /// Number of the first missing record.
        expected: SequenceNumber,
    },
    /// A later incarnation of the writer has recorded already; no record of the batch is recorded.
    Superseded,
}

/// Position of a record in the replicated order, from 0.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EvidencePosition(pub u64);

/// A record in the replicated order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexedRecord {
    /// Position of the record.
    pub position: EvidencePosition,
    /// Host that wrote it.
    pub writer: HostName,
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// Number within that incarnation.
    pub sequence: SequenceNumber,
    /// The record in the writer's encoding.
    #[serde(with = "shared_bytes")]
    pub record: Arc<[u8]>,
}

/// Limits of the kept records; keepers copy records to their evidence files well before these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRetention {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total bytes of records.
    pub bytes: usize,
    /// Maximum time for which a record is kept.
    #[serde(default = "longest_age")]
    pub age: Duration,
}

/// Keepers copy records to their files within a fraction of a second, and a disk that stalls for
/// longer than this time counts as lost.
fn longest_age() -> Duration {
    Duration::from_secs(30)
}

impl Default for EvidenceRetention {
    fn default() -> Self {
        Self {
            records: 20_000,
            bytes: 8 * 1024 * 1024,
            age: longest_age(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WriterState {
    incarnation: Incarnation,
    next: SequenceNumber,
}

/// Arrival time of a group of kept records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ArrivalMark {
    /// Position after the last record of the group.
    before: EvidencePosition,
    at: ReplicatedTime,
}

/// The latest records, and the next expected number of each writer.
///
/// Records older than the maximum age are dropped even below the other limits: every keeper has had
/// time to copy them to its files. If records were kept by number and bytes alone, a group with
/// little evidence would keep all of it, each snapshot would grow with each change, and so would
/// the time in which a restarting keeper answers no request.
///
/// Invariants: positions increase by one; `bytes` is the sum of the kept records; `arrivals`
/// increase, and are no more than the records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceIndex {
    retention: EvidenceRetention,
    writers: BTreeMap<HostName, WriterState>,
    recent: VecDeque<IndexedRecord>,
    next: EvidencePosition,
    bytes: usize,
    #[serde(default)]
    arrivals: VecDeque<ArrivalMark>,
}

impl EvidenceIndex {
    /// Creates an index without records that keeps records within `retention`.
    pub fn new(retention: EvidenceRetention) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Adds the new records of a batch, and drops records older than the retention time.
    pub fn record(
        &mut self,
        batch: &ReplicatedEvidenceBatch,
        now: ReplicatedTime,
    ) -> EvidenceAnswer {
        self.expire(now);
        let known = self.writers.get(&batch.writer);
        let expected = match known {
            Some(writer) if writer.incarnation > batch.incarnation => {
                return EvidenceAnswer::Superseded;
            }
            Some(writer) if writer.incarnation == batch.incarnation => writer.next,
            _ => SequenceNumber(0),
        };
        if batch.first > expected {
            return EvidenceAnswer::Gap { expected };
        }
        let mut sequence = batch.first;
        for record in &batch.records {
            if sequence >= expected {
                self.push(batch, sequence, record.clone());
            }
            sequence = sequence.next();
        }
        self.mark_arrival(now);
        let next = sequence.max(expected);
        let writer = WriterState {
            incarnation: batch.incarnation,
            next,
        };
        self.writers.insert(batch.writer.clone(), writer);
        EvidenceAnswer::Recorded { next }
    }

    /// Returns the position of the next record.
    pub fn next_position(&self) -> EvidencePosition {
        self.next
    }

    /// Returns the position of the oldest kept record, or of the next record if none is kept.
    pub fn oldest_position(&self) -> EvidencePosition {
        self.recent
            .front()
            .map_or(self.next, |record| record.position)
    }

    /// Iterates over the kept records from `position` on.
    pub fn since(&self, position: EvidencePosition) -> impl Iterator<Item = &IndexedRecord> {
        let skipped = position.0.saturating_sub(self.oldest_position().0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.recent.iter().skip(skipped)
    }

    /// Records the arrival time of the new records. Removes marks of dropped records and adds none
    /// for a batch without new records: otherwise a writer that sends faster than records expire
    /// would fill the state with marks.
    fn mark_arrival(&mut self, now: ReplicatedTime) {
        let oldest = self.oldest_position();
        while self
            .arrivals
            .front()
            .is_some_and(|mark| mark.before <= oldest)
        {
            self.arrivals.pop_front();
        }
        let marked = self.arrivals.back().map_or(oldest, |mark| mark.before);
        if self.next > marked {
            self.arrivals.push_back(ArrivalMark {
                before: self.next,
                at: now,
            });
        }
    }

    fn expire(&mut self, now: ReplicatedTime) {
        while let Some(oldest) = self.arrivals.front().copied() {
            if now.since(oldest.at) <= self.retention.age {
                return;
            }
            self.arrivals.pop_front();
            while self.oldest_position() < oldest.before {
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.recent.pop_front() {
            self.bytes -= oldest.record.len();
        }
    }

    fn push(
        &mut self,
        batch: &ReplicatedEvidenceBatch,
        sequence: SequenceNumber,
        record: Arc<[u8]>,
    ) {
        self.bytes += record.len();
        self.recent.push_back(IndexedRecord {
            position: self.next,
            writer: batch.writer.clone(),
            incarnation: batch.incarnation,
            sequence,
            record,
        });
        self.next = EvidencePosition(self.next.0 + 1);
        let exceeds_limits = |index: &Self| {
            index.recent.len() > index.retention.records || index.bytes > index.retention.bytes
        };
        while exceeds_limits(self) && !self.recent.is_empty() {
            self.drop_oldest();
        }
    }
}
