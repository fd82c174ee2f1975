//! Slot for the recorder of a process, and a buffer for events before the recorder exists.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use pollendrift_coordination::base::SequenceNumber;
use pollendrift_coordination::evidence::{EvidenceEvent, RefusalsOmitted, RequestRefused};
use tokio::sync::watch;

use super::recorder::EvidenceRecorder;
use crate::clock::TimeSource;

/// Events buffered until there is a recorder; further refusals are only counted.
const MAX_EARLY_EVENTS: usize = 1_024;

/// Holds the recorder of a process once the keepers have assigned an incarnation to the process.
///
/// A host that restarts refuses callers as not ready before it has an incarnation, and no evidence
/// chain exists yet for these refusals. Without this buffer the evidence would miss them. They
/// become the first records of the chain. A process that crashes before that loses them; none of
/// the refused requests has run.
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
    /// Creates a slot without a recorder.
    pub fn new(clock: Arc<dyn TimeSource>) -> Self {
        Self {
            recorder: OnceLock::new(),
            early: Mutex::default(),
            opened: watch::Sender::new(false),
            clock,
        }
    }

    /// Returns the recorder, or `None` before the process has an incarnation.
    pub fn get(&self) -> Option<&Arc<EvidenceRecorder>> {
        self.recorder.get()
    }

    /// Sets the recorder and passes the buffered events to it; ignores a second recorder.
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

    /// Records an event that no caller causes, without waiting until it is stored.
    pub fn record_in_background(&self, event: EvidenceEvent) {
        let mut early = self.early();
        if let Some(recorder) = self.recorder.get() {
            record_in_background(recorder, event);
        } else if early.events.len() < MAX_EARLY_EVENTS {
            early.events.push(event);
        } else {
            log::error!("event not recorded: the buffer for early events is full");
        }
    }

    /// Records a refusal and waits until it is stored.
    pub async fn refuse(&self, event: RequestRefused) {
        let sequence = self.record_refusal(event);
        let mut opened = self.opened.subscribe();
        // The slot owns the sender, so the wait can't fail.
        let _ = opened.wait_for(|opened| *opened).await;
        let Some(recorder) = self.recorder.get() else {
            return;
        };
        match sequence {
            Some(sequence) => recorder.wait_until_stored(sequence).await,
            None => recorder.flush().await,
        }
    }

    /// Records or buffers a refusal; returns its sequence number, `None` if it has none yet.
    fn record_refusal(&self, event: RequestRefused) -> Option<SequenceNumber> {
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
        log::error!("event not recorded: {error}");
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
