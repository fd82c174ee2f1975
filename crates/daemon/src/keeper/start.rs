//! Start of a keeper: opens the data folder, finds the group and starts the task.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;

use pollendrift_coordination::agreement::{
    AgreementNode, KeeperId, LogIndex, RestoredState, StateMachine, StoredSnapshot,
};
use pollendrift_store::{
    CommitThread, DiskFiles, FileSystem, LogStore, OpenRequest, OpenedStore, PersistBatch,
    RecoveredLog, SegmentStore,
};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

use super::client::{ClientSettings, KeeperClient};
use super::error::KeeperError;
use super::formation::find_group;
use super::handle::KeeperHandle;
use super::join::keep_joining;
use super::list::KeeperList;
use super::port::{KeeperInbox, KeeperPort};
use super::replay::{LogReplay, ReplayReport};
use super::runtime::{KeeperRuntime, PendingRequests};
use super::schedule::SnapshotSchedule;
use super::settings::KeeperSettings;
use super::status::KeeperStatus;
use crate::clock::TimeSource;
use crate::peers::PeerHub;

/// Parameters of [`start_keeper`].
pub struct KeeperStart {
    /// Data folder.
    pub folder: PathBuf,
    /// Settings of the keeper.
    pub settings: KeeperSettings,
    /// Settings of the client that sends requests to the group.
    pub client: ClientSettings,
    /// All keepers, including this host.
    pub keepers: KeeperList,
    /// Links to the peers; their handler passes frames to `port` with
    /// [`super::KeeperFrameHandler`].
    pub hub: PeerHub,
    /// Sending side of `inbox`.
    pub port: KeeperPort,
    /// Receiving side of `port`.
    pub inbox: KeeperInbox,
    /// State machine that applies committed commands.
    pub machine: Box<dyn StateMachine>,
    /// Clock of this host.
    pub clock: Arc<dyn TimeSource>,
}

/// A running keeper; dropping it aborts its task at once, like a crash.
pub struct RunningKeeper {
    handle: KeeperHandle,
    task: JoinHandle<Result<(), KeeperError>>,
}

impl RunningKeeper {
    /// Handle for the other parts of the daemon.
    #[must_use]
    pub fn handle(&self) -> &KeeperHandle {
        &self.handle
    }

    /// Waits until the keeper has stopped, after [`KeeperHandle::stop`] or an error.
    ///
    /// # Errors
    /// The error that stopped the keeper; the message says how the operator can fix it.
    pub async fn finish(mut self) -> Result<(), KeeperError> {
        (&mut self.task).await.unwrap_or_else(|error| {
            Err(KeeperError::Refused {
                reason: error.to_string(),
            })
        })
    }
}

impl RunningKeeper {
    /// Aborts the task at once, like a crash, and waits until the folder is unlocked.
    pub async fn abort(mut self) {
        self.task.abort();
        // The task was cancelled or had already ended.
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningKeeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the folder and starts the keeper's task. A keeper without a group searches for one in the
/// background; until then, requests go to the other keepers.
///
/// # Errors
/// The folder can't be opened or its files can't be read. A snapshot that the state machine can't
/// restore stops the task later, see [`RunningKeeper::finish`].
pub fn start_keeper(start: KeeperStart) -> Result<RunningKeeper, KeeperError> {
    let files = Box::new(DiskFiles::new(&start.folder));
    start_keeper_on(start, files)
}

/// Starts a keeper on `files` in place of its folder, for example with injected faults.
///
/// # Errors
/// See [`start_keeper`].
pub fn start_keeper_on(
    start: KeeperStart,
    files: Box<dyn FileSystem>,
) -> Result<RunningKeeper, KeeperError> {
    let request = OpenRequest {
        host: start.hub.host().clone(),
        wall: start.clock.wall(),
        settings: start.settings.store,
    };
    let opened = SegmentStore::open(files, &request)?;
    if let Some(tail) = &opened.report.torn_tail {
        log::warn!(path:% = tail.path, offset:% = tail.offset, bytes:% = tail.bytes;
            "truncated an incomplete record left by a crash; no acknowledged entry is lost");
    }
    let client = KeeperClient::new(
        start.hub.clone(),
        start.keepers.clone(),
        Some(start.port.clone()),
        start.client.clone(),
    );
    let handle = KeeperHandle::new(start.port.clone(), client);
    let task = tokio::spawn(run_keeper(start, opened));
    Ok(RunningKeeper { handle, task })
}

async fn run_keeper(start: KeeperStart, opened: OpenedStore) -> Result<(), KeeperError> {
    let status = start.inbox.status.clone();
    let result = run_with_group(start, opened).await;
    let reason: Arc<str> = match &result {
        Ok(()) => Arc::from("planned stop"),
        Err(error) => Arc::from(error.to_string()),
    };
    if result.is_err() {
        log::error!(reason:% = reason; "keeper stopped");
    }
    let is_disk_full = result.as_ref().is_err_and(KeeperError::is_disk_full);
    status.send_modify(|status| {
        status.stopped = Some(reason);
        status.is_disk_full = is_disk_full;
    });
    result
}

async fn run_with_group(mut start: KeeperStart, opened: OpenedStore) -> Result<(), KeeperError> {
    let mut store = opened.store;
    let settings = &start.settings;
    let introduction = start.inbox.introduction.clone();
    tokio::select! {
        found = find_group(&mut store, &start.hub, &introduction, &start.keepers, settings) => found?,
        () = start.inbox.refuse_requests() => return Ok(()),
    }
    let keeper = KeeperId {
        host: store.identity().host.clone(),
        incarnation: store.identity().incarnation,
    };
    let recovered = write_founding_entry(&mut store, &keeper, opened.recovered)?;
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(keep_joining(
        start.port.clone(),
        start.hub.clone(),
        keeper.clone(),
        start.keepers.clone(),
        settings.clone(),
    ));
    let torn_tail = opened.report.torn_tail;
    let runtime = build_runtime(start, store, keeper, recovered)?;
    let runtime = KeeperRuntime {
        status: KeeperStatus {
            torn_tail,
            ..runtime.status
        },
        ..runtime
    };
    runtime.run().await
}

/// Writes the founding entry if this keeper is a founding voter and its log is empty.
fn write_founding_entry(
    store: &mut SegmentStore,
    keeper: &KeeperId,
    recovered: RecoveredLog,
) -> Result<RecoveredLog, KeeperError> {
    let empty = recovered.snapshot.is_none() && recovered.entries.is_empty();
    let founding = match &store.identity().group {
        Some(group) if empty && group.founding.voters.contains(keeper) => group.founding.clone(),
        _ => return Ok(recovered),
    };
    let founding_state = RestoredState::founding(founding);
    let batch = PersistBatch {
        hard: Some(founding_state.hard_state.clone()),
        truncate_from: None,
        entries: founding_state.entries.clone(),
    };
    store.persist(&batch)?;
    Ok(RecoveredLog {
        hard: founding_state.hard_state,
        snapshot: None,
        entries: founding_state.entries,
    })
}

fn build_runtime(
    start: KeeperStart,
    store: SegmentStore,
    keeper: KeeperId,
    recovered: RecoveredLog,
) -> Result<KeeperRuntime, KeeperError> {
    let mut machine = start.machine;
    let mut applied = LogIndex::default();
    if let Some(snapshot) = &recovered.snapshot {
        machine.restore(&snapshot.state)?;
        applied = snapshot.mark.index;
    }
    let status = KeeperStatus {
        keeper: Some(keeper.clone()),
        applied,
        usage: store.usage(),
        mark: store.mark(),
        ..KeeperStatus::default()
    };
    let restored = RestoredState {
        hard_state: recovered.hard,
        snapshot: recovered.snapshot.map(|snapshot| StoredSnapshot {
            mark: snapshot.mark,
            bytes: Arc::from(snapshot.state),
        }),
        entries: recovered.entries,
    };
    // Uses a different seed at every start: two keepers that always draw the same election timeouts
    // could split their votes repeatedly.
    let seed = start.settings.seed ^ keeper.incarnation.0 ^ store.mark().opens.rotate_left(32);
    let (report_sender, reports) = mpsc::unbounded_channel();
    let commit = CommitThread::start(Box::new(store), start.settings.commit, move |report| {
        // If the task has ended, nothing waits for the sync.
        let _ = report_sender.send(report);
    })
    .map_err(KeeperError::Thread)?;
    let last = restored.entries.last().map(|entry| entry.index);
    let replay = LogReplay::new(applied, last.unwrap_or(applied));
    let status = KeeperStatus {
        replay: replay.is_none().then(ReplayReport::default),
        ..status
    };
    let node = AgreementNode::new(
        start.settings.agreement.clone(),
        keeper,
        restored,
        start.clock.now(),
        seed,
    );
    Ok(KeeperRuntime {
        node,
        machine,
        commit,
        hub: start.hub,
        clock: start.clock,
        inbox: start.inbox,
        reports,
        pending: PendingRequests::default(),
        schedule: SnapshotSchedule::new(start.settings.snapshots, applied, status.usage.log_bytes),
        status,
        backlog: VecDeque::new(),
        answers: Vec::new(),
        replay,
        follow_up: Vec::new(),
        syncing: None,
    })
}
