//! This host's part in the cluster: links to peers, keeper, configuration feed and keeper client.

mod parts;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error, From};
use pollendrift_coordination::base::{Incarnation, MonotonicTime};
use pollendrift_coordination::claims::{ClaimScope, KnownClaim};
use pollendrift_coordination::configuration::Configuration;
use pollendrift_coordination::replicated::{
    CommandAnswer, ProcessNonce, ReplicatedCommand, StartHost,
};
use pollendrift_coordination::revision_follower::FollowSettings;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use self::parts::{
    client_settings, configuration_lease, connect_peers, initial_keepers, keeper_settings,
    question_period, shared_state, start_discovery, transport,
};
use crate::access::AccessControl;
use crate::agreed::{AgreedState, StaleConfiguration, SubmitFuture};
use crate::clock::TimeSource;
use crate::evidence::{EvidenceFiles, retention_policy};
use crate::feed::{ConfigurationFeed, follow_own_keeper};
use crate::fleet::BackendFleet;
use crate::forwarding::ForwardingState;
use crate::frames::{DaemonFrameHandler, FrameTargets};
use crate::keeper::{
    KeeperClient, KeeperError, KeeperFrameHandler, KeeperHandle, KeeperList, KeeperSettings,
    KeeperStart, KeeperStatus, RetryPermission, RunningKeeper, SubmitError, keeper_queue,
    start_keeper,
};
use crate::lease_broadcast::LeaseBroadcaster;
use crate::operators::KeeperQuestionHandler;
use crate::peers::{PeerHandler, PeerHub, PeerTasks};
use crate::poison::PoisonState;
use crate::quarantine::QuarantineState;
use crate::refusals::RefusalStore;
use crate::settings::DaemonSettings;
use crate::state::SharedState;
use crate::streams::StreamStore;
use crate::telemetry::{JournalError, RecorderSlot};

/// Pause between two attempts to register this process with the keepers.
const REGISTER_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time to transfer leadership at a planned stop.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason why the node did not start.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// The address of the peers' face can't be bound.
    #[display("can't listen for peers on {address}: {error}")]
    #[from(skip)]
    Listen {
        /// Address for peers.
        address: SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The keeper can't start.
    #[display("{_0}")]
    Keeper(KeeperError),
    /// The evidence files can't be read.
    #[display("{_0}")]
    Evidence(JournalError),
}

/// This host's part in the cluster; dropping it stops it at once, like a crash.
pub struct ClusterNode {
    feed: Arc<ConfigurationFeed>,
    client: KeeperClient,
    /// `None` without a keeper and after a planned stop.
    keeper: Mutex<Option<RunningKeeper>>,
    shared: Option<SharedState>,
    question_handler: Arc<KeeperQuestionHandler>,
    streams: Arc<StreamStore>,
    broadcaster: Arc<LeaseBroadcaster>,
    hub: PeerHub,
    /// `None` after [`ClusterNode::abort`].
    peers: Mutex<Option<PeerTasks>>,
    tasks: Vec<JoinHandle<()>>,
    incarnation: tokio::sync::watch::Receiver<Option<Incarnation>>,
}

/// Parts of the daemon that the node uses.
pub struct NodeParts {
    /// Checks the credentials of peers.
    pub access: Arc<AccessControl>,
    /// Backend servers known to this host.
    pub fleet: Arc<BackendFleet>,
    /// Hosts that requests may be forwarded to.
    pub(crate) forwarding: Arc<ForwardingState>,
    /// Prompt parts that crash engines.
    pub(crate) quarantine: Arc<QuarantineState>,
    /// Requests under which servers end.
    pub(crate) poison: Arc<PoisonState>,
    /// Evidence of this process.
    pub recorder: Arc<RecorderSlot>,
    /// Source of the current time.
    pub clock: Arc<dyn TimeSource>,
    /// Random number of this process, drawn at its start.
    pub nonce: ProcessNonce,
    /// Maximum number of accepted connections of peers.
    pub max_links: usize,
}

impl ClusterNode {
    /// Starts the links, the keeper if the settings contain one, and the configuration feed.
    ///
    /// # Errors
    /// The peers' address can't be bound or the data folder can't be used.
    pub async fn start(settings: &DaemonSettings, parts: NodeParts) -> Result<Self, NodeError> {
        let address = settings.listen.peers;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| NodeError::Listen { address, error })?;
        let discovery = start_discovery(settings, &parts);
        let keepers = match &discovery {
            Some(discovery) => KeeperList::Discovered(Arc::clone(discovery)),
            None => initial_keepers(settings).into(),
        };
        let is_keeper = settings.is_keeper();
        let frames = Arc::new(DaemonFrameHandler::default());
        let queue = is_keeper.then(|| keeper_queue(KeeperSettings::default().queue));
        let handler: Arc<dyn PeerHandler> = match &queue {
            Some((port, _)) => Arc::new(KeeperFrameHandler::new(port.clone(), frames.clone())),
            None => frames.clone(),
        };
        let mut peers = connect_peers(settings, &parts, discovery, handler);
        peers.accept(listener, Arc::new(transport(settings, &parts)));
        peers.discover();
        let hub = peers.hub().clone();
        let shared = is_keeper.then(|| shared_state(settings, parts.nonce));
        let keeper = match (queue, &shared, &settings.data_folder) {
            (Some((port, inbox)), Some(shared), Some(folder)) => Some(start_keeper(KeeperStart {
                folder: folder.clone(),
                settings: keeper_settings(settings, parts.nonce),
                client: client_settings(settings),
                keepers: keepers.clone(),
                hub: hub.clone(),
                port,
                inbox,
                machine: Box::new(shared.clone()),
                clock: Arc::clone(&parts.clock),
            })?),
            _ => None,
        };
        let client = match &keeper {
            Some(keeper) => keeper.handle().client().clone(),
            None => KeeperClient::new(
                hub.clone(),
                keepers.clone(),
                None,
                client_settings(settings),
            ),
        };
        let lease = configuration_lease(settings);
        let period = question_period(settings, lease);
        let follow = FollowSettings {
            lease,
            period,
            answer_timeout: period / 2,
            fetch_timeout: lease / 2,
            ..FollowSettings::default()
        };
        let feed = Arc::new(ConfigurationFeed::new(
            follow,
            keepers.clone(),
            hub.clone(),
            client.clone(),
            shared.clone(),
            Arc::clone(&parts.clock),
            Arc::clone(&parts.recorder),
        ));
        let broadcaster = Arc::new(LeaseBroadcaster::new(
            Arc::clone(&parts.fleet),
            Arc::clone(&parts.quarantine),
            Arc::clone(&parts.poison),
            Arc::clone(&parts.clock),
            keepers.clone(),
            Arc::clone(&feed),
        ));
        let files = match (&shared, &settings.data_folder) {
            (Some(_), Some(folder)) => Some(EvidenceFiles::open(settings.host.clone(), folder)?),
            _ => None,
        };
        let question_handler = Arc::new(KeeperQuestionHandler::new(
            hub.clone(),
            keepers,
            client.clone(),
            shared.clone(),
            files.clone(),
            Arc::default(),
            Arc::clone(&parts.clock),
        ));
        let streams = Arc::new(StreamStore::new(hub.clone(), Arc::clone(&parts.clock)));
        frames.connect(FrameTargets {
            streams: Arc::clone(&streams),
            question_handler: Arc::clone(&question_handler),
            feed: Arc::clone(&feed),
            broadcaster: Arc::clone(&broadcaster),
            forwarding: Arc::clone(&parts.forwarding),
        });
        let mut tasks = vec![
            tokio::spawn(Arc::clone(&feed).run()),
            tokio::spawn(Arc::clone(&broadcaster).run(hub.clone())),
        ];
        if let Some(shared) = &shared {
            if let Some(files) = files {
                tasks.push(tokio::spawn(files.clone().run(shared.clone())));
                tasks.push(tokio::spawn(files.run_retention(
                    retention_policy(&settings.evidence),
                    Arc::clone(&parts.recorder),
                    Arc::clone(&parts.clock),
                )));
            }
            tasks.push(tokio::spawn(follow_own_keeper(
                Arc::clone(&feed),
                shared.clone(),
            )));
        }
        let (assigned, incarnation) = tokio::sync::watch::channel(None);
        let start = StartHost {
            host: settings.host.clone(),
            nonce: parts.nonce,
        };
        tasks.push(tokio::spawn(register_start(
            client.clone(),
            start,
            assigned,
        )));
        Ok(Self {
            feed,
            client,
            keeper: Mutex::new(keeper),
            shared,
            question_handler,
            streams,
            broadcaster,
            hub,
            peers: Mutex::new(Some(peers)),
            tasks,
            incarnation,
        })
    }

    /// Feed of the configuration revision in force.
    pub fn feed(&self) -> &Arc<ConfigurationFeed> {
        &self.feed
    }

    /// Returns the state of this host's keeper; `None` without a keeper.
    pub fn keeper_status(&self) -> Option<KeeperStatus> {
        self.keeper_handle().map(|handle| handle.status())
    }

    /// Resolves when this host's keeper has stopped because its disk is full.
    pub(crate) async fn disk_full(&self) {
        let Some(handle) = self.keeper_handle() else {
            return std::future::pending().await;
        };
        let mut status = handle.watch_status();
        if status.wait_for(|status| status.is_disk_full).await.is_err() {
            std::future::pending().await
        }
    }

    /// Replicated state of this host's keeper; `None` without a keeper.
    pub fn shared(&self) -> Option<&SharedState> {
        self.shared.as_ref()
    }

    /// Streams that can be resumed at another entry.
    pub fn streams(&self) -> &Arc<StreamStore> {
        &self.streams
    }

    /// Sends leases of backend servers to other hosts.
    pub(crate) fn broadcaster(&self) -> &Arc<LeaseBroadcaster> {
        &self.broadcaster
    }

    /// Answers operators' queries that need a keeper.
    pub fn question_handler(&self) -> &Arc<KeeperQuestionHandler> {
        &self.question_handler
    }

    /// Last refusals of drafts for lack of capacity at this host.
    pub fn refusals(&self) -> &Arc<RefusalStore> {
        self.question_handler.refusals()
    }

    /// Links to the peers.
    pub fn hub(&self) -> &PeerHub {
        &self.hub
    }

    /// Client of the keepers.
    pub fn client(&self) -> &KeeperClient {
        &self.client
    }

    /// Transfers leadership, before a planned stop closes the links; true if it succeeds or there
    /// is no keeper.
    pub async fn hand_over(&self) -> bool {
        match self.keeper_handle() {
            Some(handle) => handle.hand_over(LEADERSHIP_TRANSFER_TIMEOUT).await,
            None => true,
        }
    }

    /// Stops the keeper after it has synced all its decisions.
    ///
    /// # Errors
    /// The store failed at the last sync.
    pub async fn stop(&self) -> Result<(), KeeperError> {
        let Some(keeper) = lock(&self.keeper).take() else {
            return Ok(());
        };
        keeper.handle().stop();
        keeper.finish().await
    }

    /// Stops the keeper, the links and all tasks at once, like a crash. Running requests may still
    /// refer to this node and would otherwise keep its keeper voting until they end.
    pub(crate) fn abort(&self) {
        for task in &self.tasks {
            task.abort();
        }
        drop(lock(&self.keeper).take());
        drop(lock(&self.peers).take());
    }

    fn keeper_handle(&self) -> Option<KeeperHandle> {
        let keeper = lock(&self.keeper);
        keeper.as_ref().map(|keeper| keeper.handle().clone())
    }
}

impl Drop for ClusterNode {
    fn drop(&mut self) {
        self.abort();
    }
}

impl AgreedState for ClusterNode {
    fn configuration(&self) -> Result<Arc<Configuration>, StaleConfiguration> {
        self.feed.current()
    }

    fn is_behind(&self) -> bool {
        self.feed.is_behind()
    }

    fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.feed.confirmed_at()
    }

    fn incarnation(&self) -> Option<Incarnation> {
        *self.incarnation.borrow()
    }

    fn known_claim(&self, scope: &ClaimScope) -> Option<KnownClaim> {
        let shared = self.shared.as_ref()?;
        shared.read(|state| state.claims().known(scope))
    }

    fn submit(&self, command: ReplicatedCommand) -> SubmitFuture<'_> {
        Box::pin(submit(&self.client, command))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn submit(
    client: &KeeperClient,
    command: ReplicatedCommand,
) -> Result<CommandAnswer, SubmitError> {
    let bytes = command.encode().map_err(|error| SubmitError::NotRun {
        reason: error.to_string(),
    })?;
    let answer = client.submit(bytes, RetryPermission::Idempotent).await?;
    CommandAnswer::decode(&answer).map_err(|error| SubmitError::Unknown {
        reason: error.to_string(),
    })
}

/// Gets the incarnation of this process from the keepers. This ends the claims and rights of former
/// incarnations of the host.
async fn register_start(
    client: KeeperClient,
    start: StartHost,
    assigned: tokio::sync::watch::Sender<Option<Incarnation>>,
) {
    loop {
        if let Ok(CommandAnswer::Started(incarnation)) =
            submit(&client, ReplicatedCommand::StartHost(start.clone())).await
        {
            assigned.send_replace(Some(incarnation));
            return;
        }
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
}
