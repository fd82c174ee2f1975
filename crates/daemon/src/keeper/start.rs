//! Opens the data folder, finds the group and starts the task.

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

/// What a keeper needs to start.
pub struct KeeperStart {
    /// Data folder.
    pub folder: PathBuf,
    /// Settings.
    pub settings: KeeperSettings,
    /// Settings of requests to the group.
    pub client: ClientSettings,
    /// The keepers, this host included.
    pub keepers: KeeperList,
    /// Links to the peers; their handler feeds `port` by [`super::KeeperFrameHandler`].
    pub hub: PeerHub,
    /// Sending side of `inbox`.
    pub port: KeeperPort,
    /// Queues that the peers' handler fills.
    pub inbox: KeeperInbox,
    /// The replicated state.
    pub machine: Box<dyn StateMachine>,
    /// Clock.
    pub clock: Arc<dyn TimeSource>,
}

/// A keeper that runs; dropping it ends its task at once, as a crash would.
pub struct RunningKeeper {
    handle: KeeperHandle,
    task: JoinHandle<Result<(), KeeperError>>,
}

impl RunningKeeper {
    /// Handle for the rest of the daemon.
    #[must_use]
    pub fn handle(&self) -> &KeeperHandle {
        &self.handle
    }

    /// Waits for the end of the keeper, after [`KeeperHandle::stop`] or a fault.
    ///
    /// # Errors
    /// The fault that stopped it; the message says what the operator does.
    pub async fn finish(mut self) -> Result<(), KeeperError> {
        (&mut self.task).await.unwrap_or_else(|error| {
            Err(KeeperError::Refused {
                reason: error.to_string(),
            })
        })
    }
}

impl RunningKeeper {
    /// Ends the task at once, as a crash would, and waits until the folder is free again.
    pub async fn abort(mut self) {
        self.task.abort();
        // The task was cancelled, or had ended already.
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningKeeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the folder and starts the keeper's task. A keeper without a group looks for it in the
/// background; requests go to the other keepers meanwhile.
///
/// # Errors
/// The folder can't be opened, or its snapshot can't be read.
pub fn start_keeper(start: KeeperStart) -> Result<RunningKeeper, KeeperError> {
    let files = Box::new(DiskFiles::new(&start.folder));
    start_keeper_on(start, files)
}

/// Starts a keeper on other files than those of its folder, such as ones that fail.
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
            "cut a record that a crash left unfinished; nothing that was answered is lost");
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
    let recovered = write_founding(&mut store, &keeper, opened.recovered)?;
    let mut helpers = JoinSet::new();
    helpers.spawn(keep_joining(
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

/// Writes the first entry of a first voter, unless an earlier start has.
fn write_founding(
    store: &mut SegmentStore,
    keeper: &KeeperId,
    recovered: RecoveredLog,
) -> Result<RecoveredLog, KeeperError> {
    let empty = recovered.snapshot.is_none() && recovered.entries.is_empty();
    let founding = match &store.identity().group {
        Some(group) if empty && group.founding.voters.contains(keeper) => group.founding.clone(),
        _ => return Ok(recovered),
    };
    let founded = RestoredState::founding(founding);
    let batch = PersistBatch {
        hard: Some(founded.hard_state.clone()),
        truncate_from: None,
        entries: founded.entries.clone(),
    };
    store.persist(&batch)?;
    Ok(RecoveredLog {
        hard: founded.hard_state,
        snapshot: None,
        entries: founded.entries,
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
    // Another seed at every start: two keepers that always drew the same timeouts could split
    // their votes again and again.
    let seed = start.settings.seed ^ keeper.incarnation.0 ^ store.mark().opens.rotate_left(32);
    let (report_sender, reports) = mpsc::unbounded_channel();
    let commit = CommitThread::start(Box::new(store), start.settings.commit, move |report| {
        // The task may have ended; then nobody waits for the sync.
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
