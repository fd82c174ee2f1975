//! A running daemon: its faces, tables and periodic tasks.

mod listeners;
mod overload;
mod sources;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use derive_more::{Display, Error, From};
use pollendrift_coordination::forwarding::{ForwardSettings, ForwardTable};
use pollendrift_coordination::leases::BackendLeaseSettings;
use pollendrift_coordination::limits::LimitSettings;
use pollendrift_coordination::replicated::ProcessNonce;
use pollendrift_coordination::retries::RetrySettings as CoreRetrySettings;
use pollendrift_coordination::routing::RoutingSettings;
use pollendrift_dialect::PlatformDialect;
use pollendrift_http::{
    BodyMemory, ConnectionObserver, HttpClient, HttpServer, OverflowPolicy, ServerDialer,
    ServerHooks, TcpDialer,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::access::{AccessControl, AccessError, FaceAcceptor, FaceKind};
use crate::admission::{AdmissionGate, GateLimits};
use crate::agreed::AgreedState;
use crate::announcements::AnnouncementHandler;
use crate::clock::{SystemClock, TimeSource};
use crate::entry::{DraftSettings, EntryContext, EntryHandler};
use crate::evidence::run_recorder;
use crate::faces::FaceRouter;
use crate::fleet::BackendFleet;
use crate::forwarding::ForwardingState;
use crate::gauges::{GaugeSources, run_gauges};
use crate::lifecycle::{LifecycleControl, LifecycleStep};
use crate::node::{ClusterNode, NodeError, NodeParts};
use crate::operators::{OperatorContext, OperatorHandler};
use crate::peers::ForwardHandler;
use crate::placement::{PlacementParts, run_placement};
use crate::platform::{DumpSource, PlatformHandler};
use crate::poison::PoisonState;
use crate::quarantine::QuarantineState;
use crate::relay::{RelayContext, RelayParts, accept_forwarding, relay_faces, start_relay};
use crate::resend::ResendPolicy;
use crate::resources::{ResourceShares, descriptor_limit};
use crate::settings::{DaemonSettings, DrainSettings, RetrySettings};
use crate::tasks::TaskGroup;
use crate::telemetry::{EvidenceSink, MetricError, MetricRegistry, RecorderSlot};

pub use listeners::FaceSet;

use listeners::{listen, listen_addresses, server_limits};
use overload::{ConnectionCounter, OverloadGate};
use sources::{
    AdmissionDumpSource, DaemonMetrics, DemandDumpSource, EvidenceDump, FleetDump,
    ForwardingDumpSource, NodeDump, PoisonDumpSource, QuarantineDumpSource, RateDumpSource,
    RoutingDumpSource,
};

/// Time between two ticks of the gate and the leases.
const TICK: Duration = Duration::from_millis(100);
/// Time between two checks of the key files.
const KEY_PERIOD: Duration = Duration::from_secs(10);
/// Time before the end of a planned stop in which calls that still run are answered as unknown.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Maximum size of a plain service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reason why a daemon did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address can't be bound.
    #[display("can't listen on {address}: {error}")]
    #[from(skip)]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The keys can't be used.
    #[display("{_0}")]
    Access(AccessError),
    /// The cluster node can't start.
    #[display("{_0}")]
    Node(NodeError),
    /// The settings enable the relay in a build without a platform dialect.
    #[display("`relay` is enabled, but this build speaks no platform's dialect")]
    NoDialect,
    /// The metrics exporter can't be built.
    #[display("{_0}")]
    Metrics(MetricError),
}

impl StartError {
    /// Whether the disk of this host's keeper is full.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Node(NodeError::Keeper(error)) if error.is_disk_full())
    }
}

/// Optional parts of a daemon, which most builds don't use.
#[derive(Default)]
pub struct DaemonExtras {
    /// Sink that replaces the keepers as the destination of evidence. For measurements of the cost
    /// of recording, never for production.
    pub sink: Option<Box<dyn EvidenceSink>>,
    /// Dialect of a platform, used if the settings enable the relay.
    pub dialect: Option<PlatformDialect>,
    /// Opens the relay's connections to backend servers in place of plain TCP, so that tests can
    /// cut the links of one host.
    pub dialer: Option<Arc<dyn ServerDialer>>,
}

/// A running daemon; dropping it stops it at once, like a crash.
pub struct RouterDaemon {
    servers: Vec<HttpServer>,
    context: Arc<EntryContext>,
    access: Arc<AccessControl>,
    node: Arc<ClusterNode>,
    lifecycle: LifecycleControl,
    drain: DrainSettings,
    tasks: Vec<JoinHandle<()>>,
    /// Serves requests that other hosts forward; the links to peers refer to it only weakly.
    _forward_handler: Option<Arc<dyn ForwardHandler>>,
}

impl RouterDaemon {
    /// Starts the daemon of one host; the status shows `warnings` about its settings.
    ///
    /// # Errors
    /// An address, the keys or the data folder can't be used; no task keeps running.
    pub async fn start(
        settings: &DaemonSettings,
        warnings: Vec<String>,
    ) -> Result<Self, StartError> {
        Self::start_with(settings, warnings, DaemonExtras::default()).await
    }

    /// Starts the daemon with optional parts.
    ///
    /// # Errors
    /// As [`RouterDaemon::start`].
    pub async fn start_with(
        settings: &DaemonSettings,
        warnings: Vec<String>,
        extras: DaemonExtras,
    ) -> Result<Self, StartError> {
        let DaemonExtras {
            sink,
            dialect,
            dialer,
        } = extras;
        let dialect = dialect.filter(|_| settings.relay.enabled);
        if settings.relay.enabled && dialect.is_none() {
            return Err(StartError::NoDialect);
        }
        let shares = ResourceShares::new(&settings.entry, descriptor_limit());
        let metrics = Arc::new(MetricRegistry::new()?);
        let access = AccessControl::new(settings)?.with_metrics(Arc::clone(&metrics));
        let access = Arc::new(access);
        let clock: Arc<dyn TimeSource> = Arc::new(SystemClock::default());
        let leases = BackendLeaseSettings {
            lease: settings.leases.backend_server,
            ..BackendLeaseSettings::default()
        };
        let seed = clock.wall().0;
        let fleet = Arc::new(BackendFleet::new(leases, RoutingSettings::default(), seed));
        let recorder = Arc::new(RecorderSlot::new(Arc::clone(&clock)));
        let table = ForwardTable::new(
            ForwardSettings::default(),
            settings.data_centre.clone(),
            seed,
        );
        let forwarding = Arc::new(ForwardingState::new(table, Arc::clone(&clock)));
        let quarantine = Arc::new(QuarantineState::new(
            &settings.host,
            Arc::clone(&clock),
            Arc::clone(&metrics),
        ));
        // A platform's callers are served by hosts without a keeper.
        let sends_requests = !(settings.relay.enabled && settings.is_keeper());
        let poison = PoisonState::new(sends_requests, Arc::clone(&clock), Arc::clone(&metrics));
        let poison = Arc::new(poison);
        let parts = NodeParts {
            quarantine: Arc::clone(&quarantine),
            poison: Arc::clone(&poison),
            recorder: Arc::clone(&recorder),
            forwarding: Arc::clone(&forwarding),
            access: Arc::clone(&access),
            fleet: Arc::clone(&fleet),
            clock: Arc::clone(&clock),
            nonce: ProcessNonce(rand::random()),
            max_links: to_usize(shares.peer_links),
        };
        let node = Arc::new(ClusterNode::start(settings, parts).await?);
        let agreed: Arc<dyn AgreedState> = Arc::clone(&node) as Arc<dyn AgreedState>;
        let gate = Arc::new(admission_gate(settings, Arc::clone(&clock)));
        let lifecycle = LifecycleControl::default();
        let request_bytes = to_usize(shares.request_bytes);
        let request_memory = BodyMemory::new(request_bytes, OverflowPolicy::Newest);
        let answer_bytes = to_usize(shares.answer_bytes);
        let answer_memory = BodyMemory::new(answer_bytes, OverflowPolicy::Largest);
        let context = Arc::new(EntryContext {
            host: settings.host.clone(),
            incarnation: clock.wall().0,
            default_deadline: settings.limits.default_deadline,
            max_body_bytes: to_usize(settings.entry.max_body_bytes),
            body_timeout: settings.entry.body_timeout,
            request_memory: request_memory.clone(),
            clock: Arc::clone(&clock),
            access: Arc::clone(&access),
            fleet: Arc::clone(&fleet),
            poison: Arc::clone(&poison),
            agreed: Arc::clone(&agreed),
            client: HttpClient::new(MAX_ANSWER_BYTES),
            drafts: DraftSettings::default(),
            lifecycle: lifecycle.watch(),
            gate: Arc::clone(&gate),
            streams: Arc::clone(node.streams()),
            resends: ResendPolicy::new(retry_settings(&settings.retries), Arc::clone(&clock)),
            recorder: Arc::clone(&recorder),
            metrics: Arc::clone(&metrics),
            tasks: TaskGroup::default(),
            request_counter: AtomicU64::new(0),
            settling: Arc::default(),
            ticket_counter: AtomicU64::new(0),
        });
        let relay = dialect.map(|dialect| {
            Arc::new(RelayContext::new(RelayParts {
                dialect,
                settings: settings.relay.clone(),
                data_centre: settings.data_centre.clone(),
                agreed: Arc::clone(&agreed),
                fleet: Arc::clone(&fleet),
                forwarding,
                quarantine: Arc::clone(&quarantine),
                poison: Arc::clone(&poison),
                refusals: Arc::clone(node.refusals()),
                hub: node.hub().clone(),
                clock: Arc::clone(&clock),
                lifecycle: lifecycle.watch(),
                metrics: Arc::clone(&metrics),
                dialer: dialer.unwrap_or_else(|| Arc::new(TcpDialer)),
                request_memory: request_memory.clone(),
                answer_memory: answer_memory.clone(),
                seed,
            }))
        });
        let mut dump: Vec<Arc<dyn DumpSource>> = vec![
            Arc::new(FleetDump {
                fleet: Arc::clone(&fleet),
            }),
            Arc::new(DemandDumpSource {
                fleet: Arc::clone(&fleet),
                clock: Arc::clone(&clock),
            }),
            Arc::new(RateDumpSource {
                fleet: Arc::clone(&fleet),
                clock: Arc::clone(&clock),
            }),
            Arc::new(EvidenceDump {
                recorder: Arc::clone(&recorder),
            }),
            Arc::new(NodeDump {
                node: Arc::clone(&node),
            }),
            Arc::new(RoutingDumpSource {
                fleet: Arc::clone(&fleet),
                clock: Arc::clone(&clock),
            }),
        ];
        dump.push(Arc::new(PoisonDumpSource { poison }));
        if let Some(relay) = &relay {
            dump.push(Arc::new(AdmissionDumpSource {
                relay: Arc::clone(relay),
            }));
            dump.push(Arc::new(ForwardingDumpSource {
                relay: Arc::clone(relay),
            }));
            dump.push(Arc::new(QuarantineDumpSource { quarantine }));
        }
        let operators = Arc::new(OperatorContext {
            entry: Arc::clone(&context),
            node: Arc::clone(&node),
            access: Arc::clone(&access),
            question_handler: Arc::clone(node.question_handler()),
            dump: dump.clone(),
            warnings,
        });
        let router = FaceRouter {
            entry: Arc::new(EntryHandler::new(Arc::clone(&context))),
            operators: Arc::new(OperatorHandler::new(operators)),
            announcements: Arc::new(AnnouncementHandler {
                fleet: Arc::clone(&fleet),
                access: Arc::clone(&access),
                clock: Arc::clone(&clock),
                request_memory: request_memory.clone(),
                lease: settings.leases.backend_server,
                heartbeat: settings.leases.heartbeat,
            }),
            relay: relay
                .as_ref()
                .map(|relay| relay_faces(relay, &node, &fleet, &clock)),
        };
        let platform = PlatformHandler {
            entry: Arc::clone(&context),
            relay: relay.clone(),
            sources: dump,
            metrics: Arc::new(DaemonMetrics {
                metrics: Arc::clone(&metrics),
            }),
        };
        let mut servers = Vec::new();
        let observer: Arc<dyn ConnectionObserver> =
            Arc::new(ConnectionCounter(Arc::clone(&metrics)));
        for (address, faces) in listen_addresses(settings) {
            let handler = Arc::new(router.for_faces(faces));
            let kind = if faces.operators {
                FaceKind::Operators
            } else {
                FaceKind::Callers
            };
            let acceptor = FaceAcceptor::new(Arc::clone(&access), kind);
            let limits = server_limits(&settings.entry, &shares, faces);
            // Another host serves the clients that a host turns away.
            let sheds = faces.callers && settings.relay.enabled && settings.discovery.is_on();
            let gate = sheds.then(|| OverloadGate::start(&clock, &metrics));
            let hooks = ServerHooks {
                acceptor: Some(Arc::new(acceptor)),
                gate,
                observer: Some(Arc::clone(&observer)),
            };
            servers.push(listen(address, limits, hooks, handler).await?);
        }
        let platform = Arc::new(platform);
        let faces = [Some(settings.listen.platform), settings.listen.metrics];
        for address in faces.into_iter().flatten() {
            let handler = Arc::clone(&platform) as Arc<dyn pollendrift_http::DynHandler>;
            let limits = server_limits(&settings.entry, &shares, FaceSet::default());
            let hooks = ServerHooks {
                observer: Some(Arc::clone(&observer)),
                ..ServerHooks::default()
            };
            servers.push(listen(address, limits, hooks, handler).await?);
        }
        let placement = PlacementParts {
            host: settings.host.clone(),
            settings: settings.placement.clone(),
            fleet: Arc::clone(&fleet),
            agreed: Arc::clone(&agreed),
            clock: Arc::clone(&clock),
        };
        let gauges = GaugeSources {
            fleet: Arc::clone(&fleet),
            node: Arc::clone(&node),
            relay: relay.clone(),
            recorder: Arc::clone(&recorder),
            clock: Arc::clone(&clock),
            bodies: [("request", request_memory), ("answer", answer_memory)],
        };
        let forward_handler = relay.as_ref().map(|relay| accept_forwarding(relay, &node));
        let relay_tasks = relay.map(|relay| start_relay(settings, relay, &node, &agreed));
        let mut tasks = vec![
            tokio::spawn(run_gauges(gauges, Arc::clone(&metrics))),
            tokio::spawn(run_placement(placement)),
            tokio::spawn(tick_loop(
                fleet,
                Arc::clone(&gate),
                Arc::clone(&metrics),
                Arc::clone(&clock),
            )),
            tokio::spawn(key_loop(Arc::clone(&access))),
            tokio::spawn(run_recorder(
                recorder,
                settings.host.clone(),
                settings.evidence.clone(),
                agreed,
                sink,
                clock,
            )),
        ];
        tasks.extend(relay_tasks.into_iter().flatten());
        Ok(Self {
            servers,
            context,
            access,
            node,
            lifecycle,
            drain: settings.drain.clone(),
            tasks,
            _forward_handler: forward_handler,
        })
    }

    /// Access control of this daemon; its tokens and keys can be replaced.
    pub fn access(&self) -> &AccessControl {
        &self.access
    }

    /// Returns the reason why the load balancer should send no requests; `None` if this host is
    /// ready.
    pub fn unready_reason(&self) -> Option<String> {
        self.context.unready_reason()
    }

    /// This host's part in the cluster.
    pub fn node(&self) -> &Arc<ClusterNode> {
        &self.node
    }

    /// Resolves when this host's keeper has stopped because its disk is full. The caller should
    /// restart the daemon, which then continues from the data on the disk.
    pub async fn disk_full(&self) {
        self.node.disk_full().await;
    }

    /// Runs a planned stop: reports not ready to the load balancer, then refuses new work, lets
    /// running requests finish, answers calls that still run as unknown, and closes. True if everything
    /// finished within the drain timeout.
    ///
    /// The timeout uses the clock that stops while the host is suspended: no lease depends on it,
    /// and requests are not aborted because of a suspension.
    pub async fn drain(mut self) -> bool {
        self.lifecycle.advance(LifecycleStep::Leaving);
        if let Some(recorder) = self.context.recorder.get() {
            recorder.flush_for_shutdown();
        }
        tokio::time::sleep(self.drain.notice).await;
        self.lifecycle.advance(LifecycleStep::Closed);
        let deadline = Instant::now() + self.drain.timeout;
        let servers = std::mem::take(&mut self.servers);
        let draining = async {
            for server in servers {
                server.drain().await;
            }
        };
        let connections = async {
            tokio::select! {
                () = draining => {}
                () = self.end_calls(deadline) => {}
            }
        };
        let evidence = async {
            if let Some(recorder) = self.context.recorder.get() {
                recorder.flush().await;
            }
        };
        let forwarded = self.node.hub().forwarded_finished();
        finish_by(deadline, "connections", connections).await
            && finish_by(deadline, "requests", self.context.tasks.finished()).await
            && finish_by(deadline, "forwarded requests", forwarded).await
            && finish_by(deadline, "evidence", evidence).await
    }

    /// Gives up running calls shortly before `deadline`; their connections end with their answers.
    async fn end_calls(&self, deadline: Instant) {
        sleep_until(deadline - LAST_ANSWER_TIME).await;
        self.lifecycle.advance(LifecycleStep::Ending);
        std::future::pending().await
    }
}

/// Whether a step of a planned stop ends before the deadline of all steps.
async fn finish_by<F>(deadline: Instant, step: &str, work: F) -> bool
where
    F: Future<Output = ()>,
{
    let ended = timeout_at(deadline, work).await;
    if ended.is_err() {
        log::warn!(step = step; "planned stop runs out of time");
    }
    ended.is_ok()
}

impl Drop for RouterDaemon {
    fn drop(&mut self) {
        self.node.abort();
        self.context.tasks.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn key_loop(access: Arc<AccessControl>) {
    let mut ticks = tokio::time::interval(KEY_PERIOD);
    loop {
        ticks.tick().await;
        match access.refresh_keys() {
            Ok(true) => log::info!("new keys applied"),
            Ok(false) => {}
            Err(error) => log::error!(error:% = error; "keys not applied, the old keys stay"),
        }
    }
}

async fn tick_loop(
    fleet: Arc<BackendFleet>,
    gate: Arc<AdmissionGate>,
    metrics: Arc<MetricRegistry>,
    clock: Arc<dyn TimeSource>,
) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gate.tick();
        metrics.set_requests_queued(u64::from(gate.status().queued));
        for event in fleet.tick(clock.now()) {
            log::info!(news:? = event; "backend server lease");
        }
    }
}

fn admission_gate(settings: &DaemonSettings, clock: Arc<dyn TimeSource>) -> AdmissionGate {
    let limits = &settings.limits;
    let gate_limits = GateLimits {
        max_running: to_u32(limits.max_running),
        max_wait: limits.max_queue_wait,
        entries: u32::try_from(settings.peers.len()).unwrap_or(u32::MAX),
    };
    let table = LimitSettings {
        max_queued: to_u32(limits.max_queued),
        ..LimitSettings::default()
    };
    AdmissionGate::new(table, gate_limits, clock)
}

fn retry_settings(settings: &RetrySettings) -> CoreRetrySettings {
    CoreRetrySettings {
        max_attempts: to_u32(settings.max_attempts),
        budget_ratio: settings.budget_ratio,
        budget_floor: f64::from(to_u32(settings.budget_per_second)),
        base_backoff: settings.backoff,
        ..CoreRetrySettings::default()
    }
}

fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
