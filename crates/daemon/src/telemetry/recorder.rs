//! The evidence of one process: taken from handlers, sent to keepers, waited for where it must be.

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

/// Longest sleep of the sending loop; it wakes earlier for anything new.
const IDLE: Duration = Duration::from_secs(1);

/// Why keepers did not take a batch.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SinkError {
    /// They may take it later.
    #[display("{reason}")]
    Later {
        /// Why not now.
        reason: String,
    },
    /// A later life of this host has recorded already: this process is a leftover.
    #[display("a later life of this host records already")]
    Superseded,
}

/// Last record of the chain that the keeper has stored and synced.
pub type StoreFuture = Pin<Box<dyn Future<Output = Result<SequenceNumber, SinkError>> + Send>>;

/// The way to the keepers.
pub trait EvidenceSink: Send + Sync {
    /// Gives a batch to a keeper. The same batch may come again.
    fn store(&self, batch: KeeperBatch) -> StoreFuture;
}

/// Evidence of one process.
///
/// Handlers call it for every request; [`EvidenceRecorder::run`] sends what they recorded.
pub struct EvidenceRecorder {
    buffer: Mutex<EvidenceBuffer>,
    clock: Arc<dyn TimeSource>,
    durable: watch::Sender<SequenceNumber>,
    recorded: Notify,
    superseded: OnceLock<()>,
}

/// A request that has begun. It always gets an end in the evidence: one that is dropped without
/// [`OpenRequest::finish`] ends as `caller-gone`, since a handler is dropped when its connection is.
pub struct OpenRequest {
    recorder: Arc<EvidenceRecorder>,
    begun: SequenceNumber,
    end: Option<RequestFinished>,
}

impl EvidenceRecorder {
    /// A recorder that fills `buffer`.
    pub fn new(buffer: EvidenceBuffer, clock: Arc<dyn TimeSource>) -> Self {
        Self {
            durable: watch::Sender::new(buffer.durable()),
            buffer: Mutex::new(buffer),
            clock,
            recorded: Notify::new(),
            superseded: OnceLock::new(),
        }
    }

    /// Whether new work may begin; otherwise it must be refused as not run.
    pub fn may_accept(&self) -> bool {
        self.superseded.get().is_none() && self.buffer().may_accept()
    }

    /// Records that a request begins.
    ///
    /// # Errors
    ///
    /// [`BufferError`]: the request must be refused.
    pub fn begin(self: &Arc<Self>, event: RequestBegun) -> Result<OpenRequest, BufferError> {
        let end = unfinished(&event);
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

    /// Records a refusal; `None` if it was only counted.
    pub fn refuse(&self, event: RequestRefused) -> Option<SequenceNumber> {
        let event = EvidenceEvent::RequestRefused(event);
        let refused = self
            .buffer()
            .refuse(self.clock.now(), self.clock.wall(), event);
        self.recorded.notify_one();
        refused.unwrap_or_else(|error| {
            log::error!("a refusal is not on record: {error}");
            None
        })
    }

    /// Records something that no caller causes.
    ///
    /// # Errors
    ///
    /// [`BufferError`] if even the spare room is used.
    pub fn record_in_background(
        &self,
        event: EvidenceEvent,
    ) -> Result<SequenceNumber, BufferError> {
        let noted = self
            .buffer()
            .note(self.clock.now(), self.clock.wall(), event);
        self.recorded.notify_one();
        noted
    }

    /// Waits until enough keepers have stored record `sequence`.
    pub async fn wait_until_stored(&self, sequence: SequenceNumber) {
        let mut durable = self.durable.subscribe();
        // The sender lives as long as this recorder, so the wait can't fail.
        let _ = durable.wait_for(|durable| *durable >= sequence).await;
    }

    /// Waits until everything that is recorded now is stored; for a planned stop.
    pub async fn flush(&self) {
        self.buffer().make_all_due(self.clock.now());
        self.recorded.notify_one();
        let last = self.status().head.sequence;
        self.wait_until_stored(last).await;
    }

    /// Sends records as they come from now on, for a host that leaves.
    pub fn flush_for_shutdown(&self) {
        self.buffer().flush_for_shutdown(self.clock.now());
        self.recorded.notify_one();
    }

    /// State for the dump and the metrics.
    pub fn status(&self) -> BufferStatus {
        self.buffer().status()
    }

    /// Sends records through `sink` for as long as the process lives.
    pub async fn run(&self, sink: &dyn EvidenceSink) {
        let mut sending = FuturesUnordered::new();
        loop {
            for batch in self.due_batches() {
                let keeper = batch.keeper.clone();
                let storing = sink.store(batch);
                sending.push(async move { (keeper, storing.await) });
            }
            let pause = self.pause();
            tokio::select! {
                Some((keeper, result)) = sending.next() => self.handle_answer(&keeper, result),
                () = self.recorded.notified() => {}
                () = sleep(pause) => {}
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
                log::error!("evidence can't be written: {error}");
                Vec::new()
            }
        }
    }

    fn pause(&self) -> Duration {
        let due = self.buffer().next_due();
        due.map_or(IDLE, |due| due.since(self.clock.now()).min(IDLE))
    }

    fn handle_answer(&self, keeper: &HostName, result: Result<SequenceNumber, SinkError>) {
        match result {
            Ok(through) => self.acknowledge(keeper, through),
            Err(SinkError::Superseded) => {
                // Two lives of one host would write two histories. The older one is the one that
                // was cut off without knowing it; from here on it refuses.
                if self.superseded.set(()).is_ok() {
                    log::error!("a later life of this host records: no more work is taken");
                }
            }
            Err(error) => log::warn!(host = keeper.as_str(); "evidence is not stored: {error}"),
        }
    }

    fn acknowledge(&self, keeper: &HostName, through: SequenceNumber) {
        let mut buffer = self.buffer();
        let writer = buffer.status().head.writer;
        buffer.acknowledge(keeper, &writer, through);
        let durable = buffer.durable();
        drop(buffer);
        self.durable.send_if_modified(|known| {
            let rises = durable > *known;
            *known = durable.max(*known);
            rises
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
    /// Waits until the beginning is stored. The first byte of the answer waits for this: a caller
    /// never holds a part of an answer of which nothing is on record.
    pub async fn wait_for_start_record(&self) {
        self.recorder.wait_until_stored(self.begun).await;
    }

    /// Changes what the end will say, such as one more attempt.
    pub fn update<F>(&mut self, change: F)
    where
        F: FnOnce(&mut RequestFinished),
    {
        if let Some(end) = &mut self.end {
            change(end);
        }
    }

    /// Records the end and waits until it is stored. The last event of the answer waits for this:
    /// the caller never sees an end that could vanish. An entry that dies between the two leaves
    /// `complete` on record for a caller that has every token and misses the last event; the other
    /// order would leave a caller whose answer ended and evidence that does not know it.
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
                log::error!("an end is not on record: {error}");
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

/// The end of a request whose handler is dropped.
fn unfinished(begun: &RequestBegun) -> RequestFinished {
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
