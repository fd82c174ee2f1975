//! The place of a process's recorder, and what happened before there was one.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use pollendrift_coordination::base::SequenceNumber;
use pollendrift_coordination::evidence::{EvidenceEvent, RefusalsOmitted, RequestRefused};
use tokio::sync::watch;

use super::recorder::EvidenceRecorder;
use crate::clock::TimeSource;

/// Events that are kept until there is a recorder; further refusals are counted.
const MAX_EARLY_EVENTS: usize = 1_024;

/// The recorder of a process, once the keepers gave the process its life.
///
/// Failure: a host that restarts refuses callers as not ready before it has a life, and there is
/// no chain yet that could hold these refusals; evidence would miss them. They are kept here and
/// are the first records of the chain. A process that dies before that loses them with itself; no
/// request of theirs has run.
pub struct RecorderSlot {
    recorder: OnceLock<Arc<EvidenceRecorder>>,
    /// Empty once `recorder` is set, which happens under this lock.
    early: Mutex<EarlyEvents>,
    opened: watch::Sender<bool>,
    clock: Arc<dyn TimeSource>,
}

#[derive(Debug, Default)]
struct EarlyEvents {
    events: Vec<EvidenceEvent>,
    omitted: Option<RefusalsOmitted>,
}

impl RecorderSlot {
    /// A slot without a recorder.
    pub fn new(clock: Arc<dyn TimeSource>) -> Self {
        Self {
            recorder: OnceLock::new(),
            early: Mutex::default(),
            opened: watch::Sender::new(false),
            clock,
        }
    }

    /// The recorder, if the process has its life.
    pub fn get(&self) -> Option<&Arc<EvidenceRecorder>> {
        self.recorder.get()
    }

    /// Sets the recorder and gives it what happened before; a second recorder is passed over.
    pub fn set_recorder(&self, recorder: Arc<EvidenceRecorder>) {
        let mut early = self.early();
        if self.recorder.set(Arc::clone(&recorder)).is_err() {
            return;
        }
        let early = std::mem::take(&mut *early);
        let omitted = early.omitted.map(EvidenceEvent::RefusalsOmitted);
        for event in early.events.into_iter().chain(omitted) {
            record_in_background(&recorder, event);
        }
        self.opened.send_replace(true);
    }

    /// Records something that no caller causes.
    pub fn record_in_background(&self, event: EvidenceEvent) {
        let mut early = self.early();
        if let Some(recorder) = self.recorder.get() {
            record_in_background(recorder, event);
        } else if early.events.len() < MAX_EARLY_EVENTS {
            early.events.push(event);
        } else {
            log::error!("an event before this process's life is not on record");
        }
    }

    /// Records a refusal, and waits until it is stored.
    pub async fn refuse(&self, event: RequestRefused) {
        let sequence = self.take_refusal(event);
        let mut opened = self.opened.subscribe();
        // The sender lives as long as this slot, so the wait can't fail.
        let _ = opened.wait_for(|opened| *opened).await;
        let Some(recorder) = self.recorder.get() else {
            return;
        };
        match sequence {
            Some(sequence) => recorder.wait_until_stored(sequence).await,
            None => recorder.flush().await,
        }
    }

    /// Number of the refusal's record; `None` if it has none yet.
    fn take_refusal(&self, event: RequestRefused) -> Option<SequenceNumber> {
        let mut early = self.early();
        if let Some(recorder) = self.recorder.get() {
            return recorder.refuse(event);
        }
        if early.events.len() < MAX_EARLY_EVENTS {
            early.events.push(EvidenceEvent::RequestRefused(event));
            return None;
        }
        let now = self.clock.wall();
        let omitted = early.omitted.get_or_insert(RefusalsOmitted {
            count: 0,
            first: now,
            last: now,
        });
        omitted.count += 1;
        omitted.last = now;
        None
    }

    fn early(&self) -> MutexGuard<'_, EarlyEvents> {
        self.early.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record_in_background(recorder: &EvidenceRecorder, event: EvidenceEvent) {
    if let Err(error) = recorder.record_in_background(event) {
        log::error!("an event is not on record: {error}");
    }
}

impl fmt::Debug for RecorderSlot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RecorderSlot")
            .field("recorder", &self.recorder.get())
            .finish_non_exhaustive()
    }
}
