//! One running daemon: faces, tables and the systems that tick over them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use derive_more::{Display, Error, From};
use pollendrift_coordination::leases::BackendLeaseSettings;
use pollendrift_coordination::routing::RoutingSettings;
use pollendrift_http::{HttpClient, HttpServer, ServerBounds, StreamAcceptor};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::access::{AccessControl, AccessError, FaceAcceptor, FaceKind};
use crate::agreed::AgreedState;
use crate::announcements::AnnouncementHandler;
use crate::clock::{SystemClock, TimeSource};
use crate::entry::{DraftSettings, EntryContext, EntryHandler, ReadyState};
use crate::faces::FaceRouter;
use crate::fleet::BackendFleet;
use crate::platform::{DumpSource, MetricSource, PlatformHandler};
use crate::settings::{DaemonSettings, EntrySettings};

/// Time between two ticks of the systems.
const TICK: Duration = Duration::from_millis(100);
/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a daemon did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address can't be bound.
    #[display("can't listen on {address}: {error}")]
    #[from(skip)]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// The system's words.
        #[error(source)]
        error: io::Error,
    },
    /// The keys can't be used.
    #[display("{_0}")]
    Access(AccessError),
}

/// A running daemon; dropping it stops at once, as a crash does.
#[derive(Debug)]
pub struct RouterDaemon {
    servers: Vec<HttpServer>,
    ready: watch::Sender<ReadyState>,
    tasks: Vec<JoinHandle<()>>,
}

impl RouterDaemon {
    /// Starts a daemon over `agreed`.
    ///
    /// # Errors
    /// An address can't be bound; nothing is left running.
    pub async fn start(
        settings: &DaemonSettings,
        agreed: Arc<dyn AgreedState>,
    ) -> Result<Self, StartError> {
        let access = Arc::new(AccessControl::new(settings)?);
        let clock: Arc<dyn TimeSource> = Arc::new(SystemClock::default());
        let leases = BackendLeaseSettings {
            lease: settings.leases.backend_server,
            ..BackendLeaseSettings::default()
        };
        let seed = clock.wall().0;
        let fleet = Arc::new(BackendFleet::new(leases, RoutingSettings::default(), seed));
        let (ready, readiness) = watch::channel(ReadyState::Ready);
        let context = Arc::new(EntryContext {
            host: settings.host.clone(),
            incarnation: clock.wall().0,
            max_body_bytes: to_usize(settings.entry.max_body_bytes),
            clock: Arc::clone(&clock),
            access: Arc::clone(&access),
            fleet: Arc::clone(&fleet),
            agreed,
            client: HttpClient::new(MAX_ANSWER_BYTES),
            drafts: DraftSettings::default(),
            ready: readiness.clone(),
            named: AtomicU64::new(0),
        });
        let router = FaceRouter {
            entry: Arc::new(EntryHandler::new(context)),
            announcements: Arc::new(AnnouncementHandler {
                fleet: Arc::clone(&fleet),
                access: Arc::clone(&access),
                clock: Arc::clone(&clock),
                lease: settings.leases.backend_server,
                heartbeat: settings.leases.heartbeat,
            }),
        };
        let platform = PlatformHandler {
            ready: readiness,
            sources: vec![
                Arc::new(FleetDump {
                    fleet: Arc::clone(&fleet),
                }),
                Arc::new(RoutingDumpSource {
                    fleet: Arc::clone(&fleet),
                    clock: Arc::clone(&clock),
                }),
            ],
            metrics: Arc::new(NoMetrics),
        };
        let mut servers = Vec::new();
        for (address, faces) in listen_addresses(settings) {
            let handler = Arc::new(router.for_faces(faces));
            let kind = if faces.operators {
                FaceKind::Operators
            } else {
                FaceKind::Callers
            };
            let acceptor = FaceAcceptor::new(Arc::clone(&access), kind);
            servers
                .push(listen(address, &settings.entry, Some(Arc::new(acceptor)), handler).await?);
        }
        servers.push(
            listen(
                settings.listen.platform,
                &settings.entry,
                None,
                Arc::new(platform),
            )
            .await?,
        );
        let tasks = vec![tokio::spawn(tick_loop(fleet, clock))];
        Ok(Self {
            servers,
            ready,
            tasks,
        })
    }

    /// Stops in order: refuses new work, lets running requests finish, then closes.
    pub async fn drain(mut self) {
        let _ = self.ready.send(ReadyState::NotReady(
            "it is draining for a planned stop".to_owned(),
        ));
        for server in self.servers.drain(..) {
            server.drain().await;
        }
    }
}

impl Drop for RouterDaemon {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Faces that one address serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaceSet {
    /// Callers' requests.
    pub callers: bool,
    /// Operators' changes and questions.
    pub operators: bool,
    /// Announcements of backend servers.
    pub backend_servers: bool,
}

fn listen_addresses(settings: &DaemonSettings) -> BTreeMap<SocketAddr, FaceSet> {
    let mut addresses: BTreeMap<SocketAddr, FaceSet> = BTreeMap::new();
    let listen = &settings.listen;
    addresses.entry(listen.callers).or_default().callers = true;
    addresses.entry(listen.operators).or_default().operators = true;
    addresses
        .entry(listen.backend_servers)
        .or_default()
        .backend_servers = true;
    addresses
}

async fn listen(
    address: SocketAddr,
    settings: &EntrySettings,
    acceptor: Option<Arc<dyn StreamAcceptor>>,
    handler: Arc<dyn pollendrift_http::DynHandler>,
) -> Result<HttpServer, StartError> {
    let bounds = ServerBounds {
        max_headers: to_usize(settings.max_header_count),
        max_head_bytes: to_usize(settings.max_header_bytes),
        head_timeout: settings.head_timeout,
        max_connections_per_address: to_usize(settings.max_connections_per_address),
    };
    HttpServer::start(address, bounds, acceptor, handler)
        .await
        .map_err(|error| StartError::Listen { address, error })
}

async fn tick_loop(fleet: Arc<BackendFleet>, clock: Arc<dyn TimeSource>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for news in fleet.tick(clock.now()) {
            log::info!(news:? = news; "backend server lease");
        }
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

struct FleetDump {
    fleet: Arc<BackendFleet>,
}

impl DumpSource for FleetDump {
    fn name(&self) -> &'static str {
        "backend_servers"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.fleet.dump()).unwrap_or_default()
    }
}

struct RoutingDumpSource {
    fleet: Arc<BackendFleet>,
    clock: Arc<dyn TimeSource>,
}

impl DumpSource for RoutingDumpSource {
    fn name(&self) -> &'static str {
        "routing"
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.fleet.dump_routing(self.clock.now())).unwrap_or_default()
    }
}

struct NoMetrics;

impl MetricSource for NoMetrics {
    fn metrics_text(&self) -> String {
        String::new()
    }
}
