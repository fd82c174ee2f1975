//! The writer's side: a bounded buffer that holds records until enough keepers have stored them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::chain::{ChainHead, ChainWriter, EvidenceDigest, EvidenceError, SealedRecord};
use super::record::{EvidenceEvent, RefusalsOmitted};
use crate::base::{HostName, MonotonicTime, SequenceNumber, WallTime};

/// Slots beyond the bound for records that no caller causes, such as a revision put in force.
const SPARE_RECORDS: usize = 64;

/// Bounds and delays of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferSettings {
    /// Most records, reservations included.
    pub max_records: usize,
    /// Bytes above which no new work is accepted. Records of work that is already running still
    /// fit, so the true bound is this plus one record for each running request.
    pub max_bytes: usize,
    /// Most records of one batch.
    pub max_batch_records: usize,
    /// Longest time that a record of a request waits for others.
    pub batch_delay: Duration,
    /// Longest time that a record waits which no caller waits for.
    pub note_delay: Duration,
    /// Time without an acknowledgement after which a batch is sent again.
    pub resend_delay: Duration,
    /// Keepers that must have stored a record before it counts as durable; all keepers where
    /// there are fewer, so that a deployment with one keeper works, with the loss that it risks.
    pub copies: usize,
}

impl Default for BufferSettings {
    fn default() -> Self {
        Self {
            max_records: 16_384,
            max_bytes: 8 << 20,
            max_batch_records: 256,
            batch_delay: Duration::from_millis(5),
            note_delay: Duration::from_secs(1),
            resend_delay: Duration::from_millis(500),
            copies: 2,
        }
    }
}

/// Why a record was not taken.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum BufferError {
    /// Keepers have not acknowledged enough of what is waiting: new work must be refused, and the
    /// refusal is true, since nothing has run.
    #[display("{records} records in {bytes} bytes wait for the keepers")]
    #[from(ignore)]
    Full {
        /// Records waiting, reservations included.
        records: usize,
        /// Bytes waiting.
        bytes: usize,
    },
    /// The record can't be written.
    Unwritable(EvidenceError),
}

/// Records of one chain on their way to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceBatch {
    /// The chain.
    pub writer: ChainWriter,
    /// Number of the first line.
    pub first: SequenceNumber,
    /// Lines as they are stored and exported, in order without a gap.
    pub lines: Vec<Arc<str>>,
}

/// A batch and the keeper that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperBatch {
    /// The keeper.
    pub keeper: HostName,
    /// The batch.
    pub batch: EvidenceBatch,
}

/// State of a buffer, for the dump and the metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BufferStatus {
    /// Last record that was written.
    pub head: ChainHead,
    /// Last record that enough keepers have stored.
    pub durable: SequenceNumber,
    /// Records waiting.
    pub records: usize,
    /// Bytes waiting.
    pub bytes: usize,
    /// Requests that have begun and whose end is not yet recorded.
    pub reserved: usize,
    /// Whether new work is accepted.
    pub may_accept: bool,
}

#[derive(Clone, Debug)]
struct WaitingLine {
    line: Arc<str>,
    /// When it is sent at the latest, with all before it.
    due: MonotonicTime,
}

/// What is known of one keeper.
#[derive(Clone, Copy, Debug, Default)]
struct KeeperProgress {
    /// Last record that it has stored.
    stored: SequenceNumber,
    /// Last record of the batch in flight, and when it left.
    in_flight: Option<SentBatch>,
}

#[derive(Clone, Copy, Debug)]
struct SentBatch {
    through: SequenceNumber,
    at: MonotonicTime,
}

/// Writer of one chain.
///
/// Invariants: `lines` holds exactly the records `durable + 1 ..= head`, in order; the sum of
/// waiting records and reservations that callers caused never passes `max_records`.
#[derive(Clone, Debug)]
pub struct EvidenceBuffer {
    bounds: BufferSettings,
    head: ChainHead,
    durable: SequenceNumber,
    lines: VecDeque<WaitingLine>,
    bytes: usize,
    reserved: usize,
    omitted: Option<RefusalsOmitted>,
    keepers: BTreeMap<HostName, KeeperProgress>,
}

impl EvidenceBuffer {
    /// An empty chain of `writer`, whose records go to `keepers`.
    pub fn new<I>(writer: ChainWriter, bounds: BufferSettings, keepers: I) -> Self
    where
        I: IntoIterator<Item = HostName>,
    {
        let head = ChainHead {
            writer,
            sequence: SequenceNumber(0),
            digest: EvidenceDigest::ZERO,
        };
        let mut buffer = Self {
            bounds,
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

    /// Replaces the keepers. A new one starts with what is still waiting; older records reach it
    /// from the other keepers.
    pub fn set_keepers<I>(&mut self, keepers: I)
    where
        I: IntoIterator<Item = HostName>,
    {
        let mut known = std::mem::take(&mut self.keepers);
        for keeper in keepers {
            let progress = known.remove(&keeper).unwrap_or_default();
            self.keepers.insert(keeper, progress);
        }
        self.drop_durable();
    }

    /// Whether new work may begin: room for its first and its last record.
    pub fn may_accept(&self) -> bool {
        self.used() + 2 <= self.bounds.max_records && self.bytes < self.bounds.max_bytes
    }

    /// Records that a request begins, and reserves room for the record of its end.
    ///
    /// # Errors
    ///
    /// [`BufferError`] if there is no room for both: the request must be refused.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        if !self.may_accept() {
            return Err(self.full());
        }
        let sequence = self.push(now.after(self.bounds.batch_delay), time, event)?;
        self.reserved += 1;
        Ok(sequence)
    }

    /// Records the end of a request that began; there is always room for it.
    ///
    /// # Errors
    ///
    /// [`BufferError::Unwritable`] if the event can't be written as JSON.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        let sequence = self.push(now.after(self.bounds.batch_delay), time, event)?;
        self.reserved = self.reserved.saturating_sub(1);
        Ok(sequence)
    }

    /// Records a refusal. While there is no room, refusals are counted, and one record with their
    /// number follows as soon as there is: a stranger who sends requests faster than keepers store
    /// them fills no memory, and the evidence still says how many were refused.
    ///
    /// # Errors
    ///
    /// [`BufferError::Unwritable`] if the event can't be written as JSON.
    pub fn refuse(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<Option<SequenceNumber>, BufferError> {
        if !self.may_accept() {
            self.omit(time);
            return Ok(None);
        }
        self.record_omitted(now, time)?;
        let due = now.after(self.bounds.batch_delay);
        self.push(due, time, event).map(Some)
    }

    /// Records something that no caller causes, and that waits for others for longer.
    ///
    /// Failure: each host records each revision that it puts in force, and each record was a command of
    /// its own to the keepers. Symptom: a change cost them as many commands as there are hosts, each of
    /// them synced, applied, and applied again at a start. Nobody waits for these records, so the ones of a
    /// second share a command, whatever the number of changes in it.
    ///
    /// # Errors
    ///
    /// [`BufferError`] if even the spare room is used.
    pub fn note(
        &mut self,
        now: MonotonicTime,
        time: WallTime,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        if self.used() >= self.bounds.max_records.saturating_add(SPARE_RECORDS) {
            return Err(self.full());
        }
        self.push(now.after(self.bounds.note_delay), time, event)
    }

    /// Makes all that waits due at `now`, for someone who waits for it to be stored.
    pub fn make_all_due(&mut self, now: MonotonicTime) {
        for line in &mut self.lines {
            line.due = line.due.min(now);
        }
    }

    /// Lets no record wait for others any more, for a host that leaves.
    ///
    /// Failure: a planned stop began to send what waited only once all requests had ended. Symptom: it
    /// ran out of its time where the keepers were slow to answer just then, and the records were lost.
    pub fn flush_for_shutdown(&mut self, now: MonotonicTime) {
        self.bounds.note_delay = self.bounds.batch_delay;
        self.make_all_due(now);
    }

    /// Last record that enough keepers have stored. The first byte of an answer waits for the
    /// request's first record, the last event of an answer for its last one; nothing between.
    pub fn durable(&self) -> SequenceNumber {
        self.durable
    }

    /// Batches that are due at `now`, at most one for each keeper, and marks them as sent.
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
            .filter_map(|keeper| self.due_for(now, keeper))
            .collect())
    }

    /// Time at which [`EvidenceBuffer::due_batches`] next has something to send, if nothing else happens.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let next = |progress: &KeeperProgress| match progress.in_flight {
            Some(sent) => Some(sent.at.after(self.bounds.resend_delay)),
            None => {
                let waiting = self.waiting_after(progress.stored);
                let batch = waiting.take(self.bounds.max_batch_records);
                batch.map(|line| line.due).min()
            }
        };
        self.keepers.values().filter_map(next).min()
    }

    /// Takes a keeper's word that it has stored every record of a batch through `through`.
    ///
    /// A word about another life of this process, or about records that were never written, is
    /// ignored: it would drop records that nobody holds.
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

    /// State for the dump and the metrics.
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

    fn full(&self) -> BufferError {
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

    fn omit(&mut self, time: WallTime) {
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
        let due = now.after(self.bounds.batch_delay);
        self.push(due, time, EvidenceEvent::RefusalsOmitted(omitted))?;
        Ok(())
    }

    fn waiting_after(&self, stored: SequenceNumber) -> impl Iterator<Item = &WaitingLine> {
        let skipped = stored.0.saturating_sub(self.durable.0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.lines.iter().skip(skipped)
    }

    fn due_for(&mut self, now: MonotonicTime, keeper: HostName) -> Option<KeeperBatch> {
        let progress = *self.keepers.get(&keeper)?;
        let from = progress.stored.max(self.durable);
        if let Some(sent) = progress.in_flight
            && now.since(sent.at) < self.bounds.resend_delay
        {
            return None;
        }
        let waiting: Vec<_> = self
            .waiting_after(from)
            .take(self.bounds.max_batch_records)
            .collect();
        let due = waiting.iter().map(|line| line.due).min()?;
        let full = waiting.len() == self.bounds.max_batch_records;
        if !full && now < due {
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
        let copies = self.bounds.copies.min(stored.len()).max(1);
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
        // A batch whose records are durable without this keeper is not sent again; a stale
        // resend time would wake the writer for nothing, again and again.
        for keeper in self.keepers.values_mut() {
            let settled = |sent: &SentBatch| sent.through <= self.durable;
            keeper.in_flight = keeper.in_flight.filter(|sent| !settled(sent));
        }
    }
}
