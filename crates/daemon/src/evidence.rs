//! The way of evidence: from this process through the agreement group into keepers' files.

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

/// The agreement group as the one keeper of a buffer: its word is that of a majority that synced.
const GROUP: &str = "keepers";
/// Records that one append takes.
const APPEND_RECORDS: usize = 1_024;
/// Time between two looks for new records.
const COPY_PERIOD: Duration = Duration::from_millis(200);
/// Time between two looks for old records.
const RETENTION_PERIOD: Duration = Duration::from_secs(600);
/// Pause before a process without a life asks again.
const LIFE_PAUSE: Duration = Duration::from_millis(20);

/// Gives batches to the agreement group.
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
                    reason: "keepers answered another command".to_owned(),
                }),
                Err(error) => Err(SinkError::Later {
                    reason: error.to_string(),
                }),
            }
        })
    }
}

/// Waits for this process's life, then records for as long as the process lives, through the
/// agreement group unless there is another `sink`.
pub async fn run_recorder(
    recorder: Arc<RecorderSlot>,
    host: HostName,
    settings: EvidenceSettings,
    agreed: Arc<dyn AgreedState>,
    sink: Option<Box<dyn EvidenceSink>>,
    clock: Arc<dyn TimeSource>,
) {
    let life = wait_for_life(&agreed).await;
    let writer = ChainWriter {
        host,
        incarnation: life,
    };
    let buffer = EvidenceBuffer::new(writer, buffer_bounds(&settings), [HostName::from(GROUP)]);
    let running = Arc::new(EvidenceRecorder::new(buffer, clock));
    recorder.set_recorder(Arc::clone(&running));
    let sink = sink.unwrap_or_else(|| Box::new(AgreementSink { agreed }));
    running.run(sink.as_ref()).await;
}

async fn wait_for_life(agreed: &Arc<dyn AgreedState>) -> Incarnation {
    loop {
        if let Some(life) = agreed.incarnation() {
            return life;
        }
        tokio::time::sleep(LIFE_PAUSE).await;
    }
}

fn buffer_bounds(settings: &EvidenceSettings) -> BufferSettings {
    let size = |count: u64| usize::try_from(count).unwrap_or(usize::MAX);
    BufferSettings {
        max_records: size(settings.max_buffer_records),
        max_bytes: size(settings.max_buffer_bytes),
        max_batch_records: size(settings.max_batch_records),
        batch_delay: settings.batch_delay,
        note_delay: settings.note_delay,
        resend_delay: settings.resend_delay,
        copies: 1,
    }
}

/// What the settings say of old records.
pub(crate) fn retention_policy(settings: &EvidenceSettings) -> RetentionPolicy {
    RetentionPolicy {
        max_age: settings.retain_age,
        max_bytes: settings.retain_bytes,
    }
}

/// Whether all records of a drop are on their way; it is tried again later if they are not.
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

    /// Files that are open already.
    pub fn new(journal: EvidenceJournal) -> Self {
        Self {
            journal: Arc::new(Mutex::new(journal)),
        }
    }

    /// Records that match `filter`, at most `limit`; reads files, so it blocks.
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

    /// The whole evidence of this keeper as JSON lines; reads files, so it blocks.
    ///
    /// # Errors
    /// The files can't be read.
    pub fn export(&self, now: WallTime) -> Result<Vec<u8>, JournalError> {
        let mut lines = Vec::new();
        self.lock().export(now, &mut lines)?;
        Ok(lines)
    }

    /// Copies agreed records into the files for as long as the process lives, or until the disk
    /// fails: the log holds the records until then, and a restart copies what is missing.
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
                    log::error!(error:% = error; "evidence files stopped");
                    return;
                }
                Err(_) => return,
            }
        }
    }

    /// Drops old records for as long as the process lives.
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
                log::error!(error:% = error; "old evidence is not dropped");
            }
        }
    }

    /// Drops what is old at `now`, once the records of the drop are stored; true if anything was.
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

    /// Copies every agreed record that this host's state holds into the files; blocks on the disk.
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
