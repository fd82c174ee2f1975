//! Path of the evidence: from this process through the agreement group to the keepers' files.

use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{HostName, Incarnation, WallTime};
use pollendrift_coordination::evidence::{
    BufferSettings, ChainWriter, EvidenceBuffer, EvidenceEvent, EvidenceFilter, EvidenceRecord,
    KeeperBatch, RetentionPolicy, replicated_through,
};
use pollendrift_coordination::replicated::{CommandAnswer, IndexedRecord, ReplicatedCommand};

use crate::agreed::AgreedState;
use crate::clock::TimeSource;
use crate::settings::EvidenceSettings;
use crate::state::SharedState;
use crate::telemetry::{
    EvidenceJournal, EvidenceRecorder, EvidenceSink, JournalError, RecorderSlot, RetentionPlan,
    SinkError, StoreFuture,
};

/// Name of the agreement group as the only keeper of a buffer. Its acknowledgement means that a
/// majority of the keepers has synced the records.
const GROUP: &str = "keepers";
/// Maximum number of records in one append.
const APPEND_RECORDS: usize = 1_024;
/// Time between two checks for new records.
const COPY_PERIOD: Duration = Duration::from_millis(200);
/// Time between two checks for records to drop.
const RETENTION_PERIOD: Duration = Duration::from_secs(600);
/// Time between two checks whether this process has an incarnation.
const INCARNATION_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Submits evidence batches to the agreement group.
pub struct AgreementSink {
    agreed: Arc<dyn AgreedState>,
}

impl EvidenceSink for AgreementSink {
    fn store(&self, batch: KeeperBatch) -> StoreFuture {
        let agreed = Arc::clone(&self.agreed);
        Box::pin(async move {
            let command = ReplicatedCommand::RecordEvidence(batch.batch.to_replicated());
            match agreed.submit(command).await {
                Ok(CommandAnswer::Evidence(answer)) => {
                    replicated_through(&answer).ok_or(SinkError::Superseded)
                }
                Ok(_) => Err(SinkError::Later {
                    reason: "unexpected answer of the keepers to an evidence batch".to_owned(),
                }),
                Err(error) => Err(SinkError::Later {
                    reason: error.to_string(),
                }),
            }
        })
    }
}

/// Waits for the incarnation of this process, then sends evidence for as long as the process runs:
/// to `sink` if there is one, otherwise to the agreement group.
pub async fn run_recorder(
    recorder: Arc<RecorderSlot>,
    host: HostName,
    settings: EvidenceSettings,
    agreed: Arc<dyn AgreedState>,
    sink: Option<Box<dyn EvidenceSink>>,
    clock: Arc<dyn TimeSource>,
) {
    let incarnation = wait_for_incarnation(&agreed).await;
    let writer = ChainWriter { host, incarnation };
    let buffer = EvidenceBuffer::new(writer, buffer_settings(&settings), [HostName::from(GROUP)]);
    let running = Arc::new(EvidenceRecorder::new(buffer, clock));
    recorder.set_recorder(Arc::clone(&running));
    let sink = sink.unwrap_or_else(|| Box::new(AgreementSink { agreed }));
    running.run(sink.as_ref()).await;
}

async fn wait_for_incarnation(agreed: &Arc<dyn AgreedState>) -> Incarnation {
    loop {
        if let Some(incarnation) = agreed.incarnation() {
            return incarnation;
        }
        tokio::time::sleep(INCARNATION_POLL_PERIOD).await;
    }
}

fn buffer_settings(settings: &EvidenceSettings) -> BufferSettings {
    let size = |count: u64| usize::try_from(count).unwrap_or(usize::MAX);
    BufferSettings {
        max_records: size(settings.max_buffer_records),
        max_bytes: size(settings.max_buffer_bytes),
        max_batch_records: size(settings.max_batch_records),
        batch_delay: settings.batch_delay,
        background_delay: settings.note_delay,
        resend_delay: settings.resend_delay,
        copies: 1,
    }
}

/// Converts the retention settings.
pub(crate) fn retention_policy(settings: &EvidenceSettings) -> RetentionPolicy {
    RetentionPolicy {
        max_age: settings.retain_age,
        max_bytes: settings.retain_bytes,
    }
}

/// Records a planned drop; false if the buffer refuses a record, and the drop is then retried
/// later.
fn record_plan(recorder: &EvidenceRecorder, plan: &RetentionPlan) -> bool {
    plan.records.iter().all(|record| {
        let event = EvidenceEvent::RetentionApplied(record.clone());
        recorder.record_in_background(event).is_ok()
    })
}

/// Evidence files of this host's keeper.
#[derive(Clone, Debug)]
pub struct EvidenceFiles {
    journal: Arc<Mutex<EvidenceJournal>>,
}

impl EvidenceFiles {
    /// Opens the files in the keeper's data folder.
    ///
    /// # Errors
    /// The files can't be read.
    pub fn open(host: HostName, folder: &Path) -> Result<Self, JournalError> {
        EvidenceJournal::open(host, folder).map(Self::new)
    }

    /// Wraps an open journal.
    pub fn new(journal: EvidenceJournal) -> Self {
        Self {
            journal: Arc::new(Mutex::new(journal)),
        }
    }

    /// Returns up to `limit` records that match `filter`; blocks on the disk.
    ///
    /// # Errors
    /// The files can't be read.
    pub fn find(
        &self,
        filter: &EvidenceFilter,
        limit: usize,
    ) -> Result<Vec<EvidenceRecord>, JournalError> {
        self.lock().find(filter, limit)
    }

    /// Returns all evidence of this keeper as JSON lines; blocks on the disk.
    ///
    /// # Errors
    /// The files can't be read.
    pub fn export(&self, now: WallTime) -> Result<Vec<u8>, JournalError> {
        let mut lines = Vec::new();
        self.lock().export(now, &mut lines)?;
        Ok(lines)
    }

    /// Copies replicated records to the files until the process ends or the disk fails. After a
    /// disk failure the log still contains the records, and a restart copies the missing ones.
    pub async fn run(self, shared: SharedState) {
        let mut ticks = tokio::time::interval(COPY_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let files = self.clone();
            let state = shared.clone();
            let copied = tokio::task::spawn_blocking(move || files.copy_records(&state)).await;
            match copied {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    log::error!(error:% = error; "evidence can't be copied to files; copying stopped");
                    return;
                }
                Err(_) => return,
            }
        }
    }

    /// Drops records beyond the retention limits for as long as the process runs.
    pub async fn run_retention(
        self,
        policy: RetentionPolicy,
        recorder: Arc<RecorderSlot>,
        clock: Arc<dyn TimeSource>,
    ) {
        let mut ticks = tokio::time::interval(RETENTION_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Err(error) = self.apply_retention(clock.wall(), policy, &recorder).await {
                log::error!(error:% = error; "dropping old evidence files failed");
            }
        }
    }

    /// Drops segments beyond the retention limits at `now`, after the records of the drop are
    /// stored; true if a segment was dropped.
    ///
    /// # Errors
    /// The files can't be read or changed.
    pub async fn apply_retention(
        &self,
        now: WallTime,
        policy: RetentionPolicy,
        recorder: &RecorderSlot,
    ) -> Result<bool, JournalError> {
        let Some(recorder) = recorder.get() else {
            return Ok(false);
        };
        let Some(plan) = self
            .on_disk(move |journal| journal.plan_retention(now, &policy))
            .await?
        else {
            return Ok(false);
        };
        if !record_plan(recorder, &plan) {
            return Ok(false);
        }
        recorder.flush().await;
        self.on_disk(move |journal| journal.apply(plan)).await?;
        Ok(true)
    }

    async fn on_disk<F, R>(&self, work: F) -> Result<R, JournalError>
    where
        F: FnOnce(&mut EvidenceJournal) -> Result<R, JournalError> + Send + 'static,
        R: Send + 'static,
    {
        let files = self.clone();
        tokio::task::spawn_blocking(move || work(&mut files.lock()))
            .await
            .unwrap_or(Err(JournalError::Failed))
    }

    /// Copies all new records of this host's replicated state to the files; blocks on the disk.
    ///
    /// # Errors
    /// The files can't be written.
    pub fn copy_records(&self, shared: &SharedState) -> Result<(), JournalError> {
        loop {
            let next = self.lock().next();
            let records: Vec<IndexedRecord> = shared.read(|state| {
                state
                    .evidence()
                    .since(next)
                    .take(APPEND_RECORDS)
                    .cloned()
                    .collect()
            });
            if records.is_empty() {
                return Ok(());
            }
            self.lock().append(&records)?;
        }
    }

    fn lock(&self) -> MutexGuard<'_, EvidenceJournal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
