//! Bounded buffer of a chain's writer: holds records until enough keepers have stored them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::chain::{ChainHead, ChainWriter, EvidenceDigest, EvidenceError, SealedRecord};
use super::record::{EvidenceEvent, RefusalsOmitted};
use crate::base::{HostName, MonotonicTime, SequenceNumber, WallTime};

/// Slots in excess of the limit for records that no caller causes, such as a revision put in force.
const SPARE_RECORDS: usize = 64;

/// Limits and delays of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferSettings {
    /// Limit of records, including reservations.
    pub max_records: usize,
    /// Bytes above which new requests are refused. Records of running requests are still accepted,
    /// so the effective limit is this value plus one record per running request.
    pub max_bytes: usize,
    /// Limit of records per batch.
    pub max_batch_records: usize,
    /// Maximum time that a record of a request waits for a batch to fill.
    pub batch_delay: Duration,
    /// Maximum time that a record without a waiting caller waits for a batch to fill.
    pub background_delay: Duration,
    /// Time after which an unacknowledged batch is sent again.
    pub resend_delay: Duration,
    /// Number of keepers that must store a record before it is durable. With fewer keepers, all of
    /// them must store it: a deployment with one keeper works, but loses records with that keeper.
    pub copies: usize,
}

impl Default for BufferSettings {
    fn default() -> Self {
        Self {
            max_records: 16_384,
            max_bytes: 8 << 20,
            max_batch_records: 256,
            batch_delay: Duration::from_millis(5),
            background_delay: Duration::from_secs(1),
            resend_delay: Duration::from_millis(500),
            copies: 2,
        }
    }
}

/// Reason why a record was not added.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum BufferError {
    /// Too many records wait for acknowledgement by the keepers. The request must be refused as not
    /// run, which is correct because nothing has run.
    #[display("{records} records in {bytes} bytes wait for the keepers")]
    #[from(ignore)]
    Full {
        /// Records that are not durable, and reservations.
        records: usize,
        /// Bytes of the records that are not durable.
        bytes: usize,
    },
    /// The record cannot be encoded as JSON.
    Unwritable(EvidenceError),
}

/// Consecutive records of one chain, as sent to keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceBatch {
    /// Writer of the chain.
    pub writer: ChainWriter,
    /// Sequence number of the first line.
    pub first: SequenceNumber,
    /// Lines as stored and exported, in order without gaps.
    pub lines: Vec<Arc<str>>,
}

/// A batch and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperBatch {
    /// Receiving keeper.
    pub keeper: HostName,
    /// Records to send.
    pub batch: EvidenceBatch,
}

/// State of a buffer, for the dump and the metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BufferStatus {
    /// Last written record.
    pub head: ChainHead,
    /// Last record that enough keepers have stored.
    pub durable: SequenceNumber,
    /// Records that are not durable.
    pub records: usize,
    /// Bytes of these records.
    pub bytes: usize,
    /// Requests whose start is recorded and whose end is not.
    pub reserved: usize,
    /// Whether new requests are accepted.
    pub may_accept: bool,
}

#[derive(Clone, Debug)]
struct WaitingLine {
    line: Arc<str>,
    /// Time by which the line and all lines before it must be sent.
    due: MonotonicTime,
}

/// Acknowledged and sent records of one keeper.
#[derive(Clone, Copy, Debug, Default)]
struct KeeperProgress {
    /// Last record that the keeper acknowledged.
    stored: SequenceNumber,
    /// Batch that was sent and is not acknowledged.
    in_flight: Option<SentBatch>,
}

#[derive(Clone, Copy, Debug)]
struct SentBatch {
    /// Last record of the batch.
    through: SequenceNumber,
    at: MonotonicTime,
}

/// Writer of one chain, with the records that are not durable.
///
/// Invariants: `lines` holds exactly the records `durable + 1 ..= head`, in order; the records that
/// callers caused, together with their reservations, never exceed `max_records`.
#[derive(Clone, Debug)]
pub struct EvidenceBuffer {
    settings: BufferSettings,
    head: ChainHead,
    durable: SequenceNumber,
    lines: VecDeque<WaitingLine>,
    bytes: usize,
    reserved: usize,
    omitted: Option<RefusalsOmitted>,
    keepers: BTreeMap<HostName, KeeperProgress>,
}

impl EvidenceBuffer {
    /// Starts an empty chain of `writer` whose records are sent to `keepers`.
    pub fn new<I>(writer: ChainWriter, settings: BufferSettings, keepers: I) -> Self
    where
        I: IntoIterator<Item = HostName>,
    {
        let head = ChainHead {
            writer,
            sequence: SequenceNumber(0),
            digest: EvidenceDigest::ZERO,
        };
        let mut buffer = Self {
            settings,
            head,
            durable: SequenceNumber(0),
            lines: VecDeque::new(),
            bytes: 0,
            reserved: 0,
            omitted: None,
            keepers: BTreeMap::new(),
        };
        buffer.set_keepers(keepers);
        buffer
    }

    /// Replaces the keepers. A new keeper receives the records that are not durable; it gets older
    /// records from the other keepers.
    pub fn set_keepers<I>(&mut self, keepers: I)
    where
        I: IntoIterator<Item = HostName>,
    {
        let mut previous = std::mem::take(&mut self.keepers);
        for keeper in keepers {
            let progress = previous.remove(&keeper).unwrap_or_default();
            self.keepers.insert(keeper, progress);
        }
        self.drop_durable();
    }

    /// Whether a new request may begin: the buffer has free capacity for its first and last record.
    pub fn may_accept(&self) -> bool {
        self.used() + 2 <= self.settings.max_records && self.bytes < self.settings.max_bytes
    }

    /// Records the start of a request and reserves capacity for the record of its end.
    ///
    /// # Errors
    ///
    /// [`BufferError`] if the buffer has no capacity for both; the request must be refused.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        if !self.may_accept() {
            return Err(self.full_error());
        }
        let sequence = self.push(now.after(self.settings.batch_delay), time, event)?;
        self.reserved += 1;
        Ok(sequence)
    }

    /// Records the end of a request that began, in its reserved capacity.
    ///
    /// # Errors
    ///
    /// [`BufferError::Unwritable`] if the event cannot be encoded as JSON.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        let sequence = self.push(now.after(self.settings.batch_delay), time, event)?;
        self.reserved = self.reserved.saturating_sub(1);
        Ok(sequence)
    }

    /// Records a refusal. While the buffer is full, refusals are only counted, and one record with
    /// their number follows when the buffer has free capacity. So a client that sends requests
    /// faster than keepers store records does not exhaust memory, and the number of refusals is
    /// recorded.
    ///
    /// # Errors
    ///
    /// [`BufferError::Unwritable`] if the event cannot be encoded as JSON.
    pub fn refuse(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<Option<SequenceNumber>, BufferError> {
        if !self.may_accept() {
            self.count_omitted(time);
            return Ok(None);
        }
        self.record_omitted(now, time)?;
        let due = now.after(self.settings.batch_delay);
        self.push(due, time, event).map(Some)
    }

    /// Records an event that no caller causes; its record waits up to `background_delay` for a batch.
    ///
    /// Each host records each revision that it puts in force. If each record were a command of its
    /// own, one change would cost one command per host, and keepers sync and apply each command, and
    /// apply it again at a restart. No caller waits for these records, so the records of one
    /// `background_delay` (1 s by default) share a command, regardless of the number of changes.
    ///
    /// # Errors
    ///
    /// [`BufferError`] if the spare capacity is used up too, or if the event cannot be encoded as
    /// JSON.
    pub fn record_in_background(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        if self.used() >= self.settings.max_records.saturating_add(SPARE_RECORDS) {
            return Err(self.full_error());
        }
        self.push(now.after(self.settings.background_delay), time, event)
    }

    /// Makes all waiting records due at `now`, for a caller that waits until they are stored.
    pub fn make_all_due(&mut self, now: MonotonicTime) {
        for line in &mut self.lines {
            line.due = line.due.min(now);
        }
    }

    /// Makes all waiting records due at `now` and shortens the delay of later ones, for a host that
    /// shuts down.
    ///
    /// Otherwise a planned shutdown would send waiting records only after all requests have ended; if
    /// keepers are slow to answer, it would reach its time limit and the records would be lost.
    pub fn flush_for_shutdown(&mut self, now: MonotonicTime) {
        self.settings.background_delay = self.settings.batch_delay;
        self.make_all_due(now);
    }

    /// Last record that enough keepers have stored. The first byte of an answer waits until the
    /// request's first record is durable, the last event until its last record is; other bytes do
    /// not wait.
    pub fn durable(&self) -> SequenceNumber {
        self.durable
    }

    /// Returns the batches that are due at `now`, at most one per keeper, and marks them as sent.
    ///
    /// # Errors
    ///
    /// [`BufferError::Unwritable`] if the record of omitted refusals cannot be encoded as JSON.
    pub fn due_batches(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
    ) -> Result<Vec<KeeperBatch>, BufferError> {
        if self.may_accept() {
            self.record_omitted(now, time)?;
        }
        let names: Vec<_> = self.keepers.keys().cloned().collect();
        let batches = names.into_iter();
        Ok(batches
            .filter_map(|keeper| self.due_batch_for(now, keeper))
            .collect())
    }

    /// Time at which [`EvidenceBuffer::due_batches`] next returns a batch, unless new records or
    /// acknowledgements arrive before.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let next = |progress: &KeeperProgress| match progress.in_flight {
            Some(sent) => Some(sent.at.after(self.settings.resend_delay)),
            None => {
                let waiting = self.waiting_after(progress.stored);
                let batch = waiting.take(self.settings.max_batch_records);
                batch.map(|line| line.due).min()
            }
        };
        self.keepers.values().filter_map(next).min()
    }

    /// Handles a keeper's acknowledgement that it has stored every record up to `through`.
    ///
    /// An acknowledgement for another incarnation of this process, or for records that were never
    /// written, is ignored: it would drop records that no keeper has stored.
    pub fn acknowledge(
        &mut self,
        keeper: &HostName,
        writer: &ChainWriter,
        through: SequenceNumber,
    ) {
        if *writer != self.head.writer || through > self.head.sequence {
            return;
        }
        let Some(progress) = self.keepers.get_mut(keeper) else {
            return;
        };
        if progress
            .in_flight
            .is_some_and(|sent| sent.through <= through)
        {
            progress.in_flight = None;
        }
        progress.stored = progress.stored.max(through);
        self.drop_durable();
    }

    /// Returns the state for the dump and the metrics.
    pub fn status(&self) -> BufferStatus {
        BufferStatus {
            head: self.head.clone(),
            durable: self.durable,
            records: self.lines.len(),
            bytes: self.bytes,
            reserved: self.reserved,
            may_accept: self.may_accept(),
        }
    }

    fn used(&self) -> usize {
        self.lines.len() + self.reserved
    }

    fn full_error(&self) -> BufferError {
        BufferError::Full {
            records: self.used(),
            bytes: self.bytes,
        }
    }

    fn push(
        &mut self,
        due: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        let sealed = SealedRecord::seal(&self.head, time, event)?;
        self.head = sealed.head();
        self.bytes += sealed.line.len();
        self.lines.push_back(WaitingLine {
            line: sealed.line,
            due,
        });
        Ok(self.head.sequence)
    }

    fn count_omitted(&mut self, time: WallTime) {
        let omitted = self.omitted.get_or_insert(RefusalsOmitted {
            count: 0,
            first: time,
            last: time,
        });
        omitted.count += 1;
        omitted.last = time;
    }

    fn record_omitted(&mut self, now: MonotonicTime, time: WallTime) -> Result<(), BufferError> {
        let Some(omitted) = self.omitted.take() else {
            return Ok(());
        };
        let due = now.after(self.settings.batch_delay);
        self.push(due, time, EvidenceEvent::RefusalsOmitted(omitted))?;
        Ok(())
    }

    fn waiting_after(&self, stored: SequenceNumber) -> impl Iterator<Item = &WaitingLine> {
        let skipped = stored.0.saturating_sub(self.durable.0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.lines.iter().skip(skipped)
    }

    fn due_batch_for(&mut self, now: MonotonicTime, keeper: HostName) -> Option<KeeperBatch> {
        let progress = *self.keepers.get(&keeper)?;
        let from = progress.stored.max(self.durable);
        if let Some(sent) = progress.in_flight
            && now.since(sent.at) < self.settings.resend_delay
        {
            return None;
        }
        let waiting: Vec<_> = self
            .waiting_after(from)
            .take(self.settings.max_batch_records)
            .collect();
        let due = waiting.iter().map(|line| line.due).min()?;
        let is_full = waiting.len() == self.settings.max_batch_records;
        if !is_full && now < due {
            return None;
        }
        let lines: Vec<_> = waiting.iter().map(|line| Arc::clone(&line.line)).collect();
        let count = u64::try_from(lines.len()).ok()?;
        let through = SequenceNumber(from.0.saturating_add(count));
        self.keepers.get_mut(&keeper)?.in_flight = Some(SentBatch { through, at: now });
        let batch = EvidenceBatch {
            writer: self.head.writer.clone(),
            first: from.next(),
            lines,
        };
        Some(KeeperBatch { keeper, batch })
    }

    /// Drops every record that enough keepers have stored.
    fn drop_durable(&mut self) {
        let mut stored: Vec<_> = self.keepers.values().map(|keeper| keeper.stored).collect();
        stored.sort_unstable_by(|left, right| right.cmp(left));
        let copies = self.settings.copies.min(stored.len()).max(1);
        let Some(durable) = stored.get(copies - 1) else {
            return;
        };
        while self.durable < *durable {
            let Some(line) = self.lines.pop_front() else {
                break;
            };
            self.bytes -= line.line.len();
            self.durable = self.durable.next();
        }
        // A batch whose records became durable without this keeper is not sent again. Its resend
        // time would wake the writer repeatedly with nothing to send.
        for keeper in self.keepers.values_mut() {
            let is_durable = |sent: &SentBatch| sent.through <= self.durable;
            keeper.in_flight = keeper.in_flight.filter(|sent| !is_durable(sent));
        }
    }
}
