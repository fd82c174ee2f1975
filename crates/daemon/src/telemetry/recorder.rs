//! Evidence recorder of one process: buffers events of handlers, sends them to the keepers, and
//! lets handlers wait until their records are stored.

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pollendrift_coordination::base::{HostName, SequenceNumber};
use pollendrift_coordination::evidence::{
    BodyDigest, BufferError, BufferStatus, EvidenceBuffer, EvidenceEvent, KeeperBatch, OutcomeKind,
    RequestBegun, RequestFinished, RequestRefused, RequestTimings,
};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::clock::TimeSource;

/// Maximum sleep of the sending loop; a new record wakes it earlier.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Reason why the keepers did not store a batch.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SinkError {
    /// A later attempt may succeed.
    #[display("{reason}")]
    Later {
        /// Reason of this failure.
        reason: String,
    },
    /// A later incarnation of this host has already recorded evidence, so this process is outdated.
    #[display("a later incarnation of this host already records evidence")]
    Superseded,
}

/// Resolves to the last record of the chain that the keeper has stored and synced.
pub type StoreFuture = Pin<Box<dyn Future<Output = Result<SequenceNumber, SinkError>> + Send>>;

/// Sends evidence to keepers.
pub trait EvidenceSink: Send + Sync {
    /// Sends a batch to a keeper. The same batch may be sent more than once.
    fn store(&self, batch: KeeperBatch) -> StoreFuture;
}

/// Evidence recorder of one process.
///
/// Handlers record every request; [`EvidenceRecorder::run`] sends the records to the keepers.
pub struct EvidenceRecorder {
    buffer: Mutex<EvidenceBuffer>,
    clock: Arc<dyn TimeSource>,
    durable: watch::Sender<SequenceNumber>,
    recorded: Notify,
    superseded: OnceLock<()>,
}

/// A request with a start record. It always gets an end record: dropping it without
/// [`OpenRequest::finish`] records the outcome `caller-gone`, since a handler is dropped when its
/// connection closes.
pub struct OpenRequest {
    recorder: Arc<EvidenceRecorder>,
    begun: SequenceNumber,
    end: Option<RequestFinished>,
}

impl EvidenceRecorder {
    /// Creates a recorder that adds records to `buffer`.
    pub fn new(buffer: EvidenceBuffer, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            durable: watch::Sender::new(buffer.durable()),
            buffer: Mutex::new(buffer),
            clock,
            recorded: Notify::new(),
            superseded: OnceLock::new(),
        }
    }

    /// Whether new work may start; otherwise it must be refused as not run.
    pub fn may_accept(&self) -> bool {
        self.superseded.get().is_none() && self.buffer().may_accept()
    }

    /// Writes the start record of a request.
    ///
    /// # Errors
    ///
    /// [`BufferError`]: the request must be refused.
    pub fn begin(self: &Arc<Self>, event: RequestBegun) -> Result<OpenRequest, BufferError> {
        let end = caller_gone_record(&event);
        let event = EvidenceEvent::RequestBegun(event);
        let mut buffer = self.buffer();
        if self.superseded.get().is_some() {
            let status = buffer.status();
            return Err(BufferError::Full {
                records: status.records,
                bytes: status.bytes,
            });
        }
        let begun = buffer.begin(self.clock.now(), self.clock.wall(), event)?;
        drop(buffer);
        self.recorded.notify_one();
        Ok(OpenRequest {
            recorder: Arc::clone(self),
            begun,
            end: Some(end),
        })
    }

    /// Records a refusal and returns its sequence number; `None` if it was only counted.
    pub fn refuse(&self, event: RequestRefused) -> Option<SequenceNumber> {
        let event = EvidenceEvent::RequestRefused(event);
        let refused = self
            .buffer()
            .refuse(self.clock.now(), self.clock.wall(), event);
        self.recorded.notify_one();
        refused.unwrap_or_else(|error| {
            log::error!("refusal not recorded: {error}");
            None
        })
    }

    /// Records an event that no caller causes, without waiting until it is stored.
    ///
    /// # Errors
    ///
    /// [`BufferError`] if the reserve for such events is used up as well.
    pub fn record_in_background(
        &self,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        let recorded =
            self.buffer()
                .record_in_background(self.clock.now(), self.clock.wall(), event);
        self.recorded.notify_one();
        recorded
    }

    /// Waits until enough keepers have stored record `sequence`.
    pub async fn wait_until_stored(&self, sequence: SequenceNumber) {
        let mut durable = self.durable.subscribe();
        // The recorder owns the sender, so the wait can't fail.
        let _ = durable.wait_for(|durable| *durable >= sequence).await;
    }

    /// Makes all buffered records due and waits until they are stored.
    pub async fn flush(&self) {
        self.buffer().make_all_due(self.clock.now());
        self.recorded.notify_one();
        let last = self.status().head.sequence;
        self.wait_until_stored(last).await;
    }

    /// Sends all later records without batch delay, for a planned stop.
    pub fn flush_for_shutdown(&self) {
        self.buffer().flush_for_shutdown(self.clock.now());
        self.recorded.notify_one();
    }

    /// Returns the state of the buffer for the dump and the metrics.
    pub fn status(&self) -> BufferStatus {
        self.buffer().status()
    }

    /// Sends records through `sink` for as long as the process runs.
    pub async fn run(&self, sink: &dyn EvidenceSink) {
        let mut sending = FuturesUnordered::new();
        loop {
            for batch in self.due_batches() {
                let keeper = batch.keeper.clone();
                let storing = sink.store(batch);
                sending.push(async move { (keeper, storing.await) });
            }
            let delay = self.send_delay();
            tokio::select! {
                Some((keeper, result)) = sending.next() => self.handle_answer(&keeper, result),
                () = self.recorded.notified() => {}
                () = sleep(delay) => {}
            }
        }
    }

    fn due_batches(&self) -> Vec<KeeperBatch> {
        match self
            .buffer()
            .due_batches(self.clock.now(), self.clock.wall())
        {
            Ok(batches) => batches,
            Err(error) => {
                log::error!("evidence batch can't be encoded: {error}");
                Vec::new()
            }
        }
    }

    fn send_delay(&self) -> Duration {
        let due = self.buffer().next_due();
        due.map_or(MAX_SLEEP, |due| due.since(self.clock.now()).min(MAX_SLEEP))
    }

    fn handle_answer(&self, keeper: &HostName, result: Result<SequenceNumber, SinkError>) {
        match result {
            Ok(through) => self.acknowledge(keeper, through),
            Err(SinkError::Superseded) => {
                // Two incarnations of one host would write two chains. The older one was
                // disconnected without detecting it; from now on it refuses work.
                if self.superseded.set(()).is_ok() {
                    log::error!(
                        "a later incarnation of this host records evidence; this process refuses new work"
                    );
                }
            }
            Err(error) => log::warn!(host = keeper.as_str(); "evidence batch not stored: {error}"),
        }
    }

    fn acknowledge(&self, keeper: &HostName, through: SequenceNumber) {
        let mut buffer = self.buffer();
        let writer = buffer.status().head.writer;
        buffer.acknowledge(keeper, &writer, through);
        let durable = buffer.durable();
        drop(buffer);
        self.durable.send_if_modified(|known| {
            let has_advanced = durable > *known;
            *known = durable.max(*known);
            has_advanced
        });
    }

    fn buffer(&self) -> MutexGuard<'_, EvidenceBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for EvidenceRecorder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("EvidenceRecorder")
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

impl OpenRequest {
    /// Waits until the start record is stored. The first byte of the answer is sent only after
    /// that, so a caller never receives part of an answer that has no record.
    pub async fn wait_for_start_record(&self) {
        self.recorder.wait_until_stored(self.begun).await;
    }

    /// Changes the pending end record, for example adds an attempt.
    pub fn update<F>(&mut self, change: F)
    where
        F: FnOnce(&mut RequestFinished),
    {
        if let Some(end) = &mut self.end {
            change(end);
        }
    }

    /// Writes the end record and waits until it is stored. The last event of the answer must be sent
    /// only after that: if the entry crashes in between, `complete` is recorded for a caller that
    /// has every token but not the last event. In the other order, a caller could have a complete
    /// answer without a record of its end.
    pub async fn finish(mut self) {
        let recorder = Arc::clone(&self.recorder);
        if let Some(sequence) = self.record_end() {
            recorder.wait_until_stored(sequence).await;
        }
    }

    fn record_end(&mut self) -> Option<SequenceNumber> {
        let event = EvidenceEvent::RequestFinished(self.end.take()?);
        let recorder = &self.recorder;
        let (now, wall) = (recorder.clock.now(), recorder.clock.wall());
        let finished = recorder.buffer().finish(now, wall, event);
        recorder.recorded.notify_one();
        match finished {
            Ok(sequence) => Some(sequence),
            Err(error) => {
                log::error!("end of request not recorded: {error}");
                None
            }
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.record_end();
    }
}

impl fmt::Debug for OpenRequest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OpenRequest")
            .field("begun", &self.begun)
            .finish_non_exhaustive()
    }
}

/// Returns the end record of a request whose handler is dropped.
fn caller_gone_record(begun: &RequestBegun) -> RequestFinished {
    RequestFinished {
        request: begun.request.clone(),
        customer: begun.customer.clone(),
        revision: begun.revision,
        selector: begun.decision.selector.clone(),
        attempts: Vec::new(),
        outcome: OutcomeKind::CallerGone,
        reason: "the connection was closed before the end".into(),
        status: 0,
        answer: BodyDigest::of(b""),
        timings: RequestTimings::default(),
    }
}
