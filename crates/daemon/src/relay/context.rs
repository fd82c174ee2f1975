//! State that all relayed requests share, passed in rather than global.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{DataCentreName, MonotonicTime, ServiceName};
use pollendrift_coordination::limits::{RequestPriority, WaitSettings};
use pollendrift_coordination::reachability::{ReachabilitySettings, ReachabilityTable};
use pollendrift_coordination::retries::{BudgetTable, OutlierSettings, RetrySettings};
use pollendrift_coordination::routes::{CustomerKeys, Route, RouteTable, ServiceSpec};
use pollendrift_coordination::routing::{ChainHealth, HealthSettings, ServerLoads};
use pollendrift_dialect::PlatformDialect;
use pollendrift_http::{BodyMemory, ConnectionPool, PoolSettings, ServerDialer};
use tokio::sync::Notify;

use super::admission::DraftAdmission;
use super::chains::ChainTable;
use super::channels::ChannelPool;
use super::crashes::EngineChecks;
use super::routes::RouteTableBuilder;
use crate::agreed::AgreedState;
use crate::clock::{TimeSource, since_boot};
use crate::fleet::BackendFleet;
use crate::forwarding::ForwardingState;
use crate::lifecycle::{LifecycleStep, LifecycleWatch};
use crate::peers::PeerHub;
use crate::poison::PoisonState;
use crate::quarantine::QuarantineState;
use crate::refusals::RefusalStore;
use crate::settings::RelaySettings;
use crate::telemetry::MetricRegistry;

/// Number of hosts that share the retry budget until a keeper reports the actual number.
const DEFAULT_BUDGET_HOSTS: u32 = 64;
/// Fraction of the earned budget that is spent. The limit on retries applies to sliding windows,
/// and a sliding window can span two of the windows counted here.
const BUDGET_FRACTION: f64 = 0.8;

/// Parts from which a [`RelayContext`] is built.
pub(crate) struct RelayParts {
    pub(crate) dialect: PlatformDialect,
    pub(crate) settings: RelaySettings,
    pub(crate) data_centre: DataCentreName,
    pub(crate) agreed: Arc<dyn AgreedState>,
    pub(crate) fleet: Arc<BackendFleet>,
    pub(crate) forwarding: Arc<ForwardingState>,
    pub(crate) quarantine: Arc<QuarantineState>,
    pub(crate) poison: Arc<PoisonState>,
    pub(crate) refusals: Arc<RefusalStore>,
    pub(crate) hub: PeerHub,
    pub(crate) clock: Arc<dyn TimeSource>,
    pub(crate) lifecycle: LifecycleWatch,
    pub(crate) metrics: Arc<MetricRegistry>,
    /// Opens the connections to backend servers.
    pub(crate) dialer: Arc<dyn ServerDialer>,
    pub(crate) request_memory: BodyMemory,
    pub(crate) answer_memory: BodyMemory,
    pub(crate) seed: u64,
}

/// State that the handlers of relayed requests share.
pub(crate) struct RelayContext {
    pub(super) dialect: PlatformDialect,
    pub(super) data_centre: DataCentreName,
    pub(super) routes: RouteTableBuilder,
    pub(super) fleet: Arc<BackendFleet>,
    pub(super) forwarding: Arc<ForwardingState>,
    pub(super) quarantine: Arc<QuarantineState>,
    pub(super) poison: Arc<PoisonState>,
    /// Latest checks of engines whose chains broke.
    pub(super) engine_checks: Mutex<EngineChecks>,
    /// Channels to hosts that requests are forwarded to.
    pub(super) channels: ChannelPool,
    pub(super) pool: ConnectionPool,
    /// Memory for the bodies of requests.
    pub(super) request_memory: BodyMemory,
    /// Memory for answers that are read in whole.
    pub(super) answer_memory: BodyMemory,
    pub(super) clock: Arc<dyn TimeSource>,
    pub(super) lifecycle: LifecycleWatch,
    pub(super) metrics: Arc<MetricRegistry>,
    loads: Mutex<ServerLoads>,
    chains: Mutex<ChainTable>,
    /// Admission of drafts of services whose drafts have different priorities.
    pub(super) admission: DraftAdmission,
    health: Mutex<ChainHealth>,
    budgets: Mutex<BudgetTable<ServiceName>>,
    reachability: Mutex<ReachabilityTable>,
    /// Wakes the task that checks suspected services.
    pub(super) service_suspected: Notify,
    /// Wakes requests that wait for the checks of their service.
    pub(super) service_checked: Notify,
    settings: RelaySettings,
    wait_settings: WaitSettings,
    /// Number of hosts that the retry budget is divided by.
    budget_hosts: AtomicU32,
}

impl std::fmt::Debug for RelayContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RelayContext")
            .field("data_centre", &self.data_centre)
            .finish_non_exhaustive()
    }
}

impl RelayContext {
    /// Creates a context without chains, recorded calls or known routes.
    pub(crate) fn new(parts: RelayParts) -> Self {
        let operators = Arc::clone(&parts.dialect.operators);
        let change_within = parts.settings.change_within;
        Self {
            routes: RouteTableBuilder::new(Arc::clone(&parts.agreed), operators, change_within),
            dialect: parts.dialect,
            fleet: parts.fleet,
            forwarding: parts.forwarding,
            quarantine: parts.quarantine,
            poison: parts.poison,
            engine_checks: Mutex::default(),
            channels: ChannelPool::new(parts.hub),
            pool: ConnectionPool::with_dialer(PoolSettings::default(), since_boot, parts.dialer),
            request_memory: parts.request_memory,
            answer_memory: parts.answer_memory,
            admission: DraftAdmission::new(
                parts.settings.admission,
                parts.refusals,
                Arc::clone(&parts.clock),
                parts.seed,
            ),
            clock: parts.clock,
            lifecycle: parts.lifecycle,
            metrics: parts.metrics,
            loads: Mutex::new(ServerLoads::new(outlier_settings())),
            chains: Mutex::new(ChainTable::new(parts.data_centre.clone(), parts.seed)),
            health: Mutex::new(ChainHealth::new(HealthSettings::default())),
            budgets: Mutex::new(BudgetTable::new(budget_settings(
                &parts.settings,
                DEFAULT_BUDGET_HOSTS,
            ))),
            reachability: Mutex::new(ReachabilityTable::new(
                ReachabilitySettings::default(),
                parts.seed,
            )),
            service_suspected: Notify::new(),
            service_checked: Notify::new(),
            data_centre: parts.data_centre,
            settings: parts.settings,
            wait_settings: WaitSettings::default(),
            budget_hosts: AtomicU32::new(DEFAULT_BUDGET_HOSTS),
        }
    }

    /// State of the admission of drafts, for the dump.
    pub(crate) fn dump_admission(&self) -> serde_json::Value {
        serde_json::to_value(self.admission.dump()).unwrap_or_default()
    }

    /// Returns the adapter of the platform's dialect.
    pub(crate) fn dialect(&self) -> &PlatformDialect {
        &self.dialect
    }

    /// Returns the reason why the load balancer should send no requests here; `None` if it should.
    pub(crate) fn unready_reason(&self) -> Option<String> {
        if self.lifecycle.step() != LifecycleStep::Serving {
            return Some("it is leaving for a planned stop".to_owned());
        }
        self.routes.unavailable_reason(self.clock.now())
    }

    /// Locks the loads of the servers of plain services.
    pub(super) fn loads(&self) -> MutexGuard<'_, ServerLoads> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of engine chains.
    pub(super) fn chains(&self) -> MutexGuard<'_, ChainTable> {
        self.chains.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the health of engines as observed by the streams of this host.
    pub(super) fn health(&self) -> MutexGuard<'_, ChainHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of services that this host reaches.
    pub(super) fn reachability(&self) -> MutexGuard<'_, ReachabilityTable> {
        self.reachability
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Priority of a request among those of its service; `None` if all of them have the same, or if
    /// priorities are switched off.
    pub(super) fn priority_of(
        &self,
        table: &RouteTable,
        route: &Route,
        service: &ServiceSpec,
        customer: Option<&Arc<CustomerKeys>>,
    ) -> Option<RequestPriority> {
        let ranks = table.priority_ranks(&service.name)?;
        let rank = ranks.rank(customer.map(Arc::as_ref), route);
        self.admission.is_enabled().then_some(rank)
    }

    /// Returns the time until which a request that arrived at `arrived` waits for a server, as
    /// known at `now`.
    pub(super) fn queue_deadline(
        &self,
        now: MonotonicTime,
        arrived: MonotonicTime,
    ) -> MonotonicTime {
        self.wait_settings
            .wait_until(now, MonotonicTime::START, arrived)
    }

    /// Whether this host started too recently to know all servers.
    pub(super) fn is_learning(&self, now: MonotonicTime) -> bool {
        self.wait_settings.is_discovering(now, MonotonicTime::START)
    }

    /// Records the first send of a call to a service, which earns a fraction of a retry.
    pub(super) fn earn_retry_budget(&self, now: MonotonicTime, service: &ServiceName) {
        self.budgets().record_call(now, service);
    }

    /// Takes one retry at a service from the budget; returns false if the budget is exhausted.
    pub(super) fn spend_retry(&self, now: MonotonicTime, service: &ServiceName) -> bool {
        self.budgets().take(now, service)
    }

    /// Whether the budget allows a retry at a service; leaves the budget unchanged.
    pub(super) fn has_retry_budget(&self, now: MonotonicTime, service: &ServiceName) -> bool {
        self.budgets().has_budget(now, service)
    }

    /// Divides the retry budget by the number of hosts that serve callers.
    pub(super) fn set_budget_share(&self, now: MonotonicTime, hosts: u32) {
        if self.budget_hosts.swap(hosts, Ordering::Relaxed) != hosts {
            let settings = budget_settings(&self.settings, hosts);
            self.budgets().configure(now, settings);
            log::info!(hosts = hosts; "retry budget divided among hosts");
        }
    }

    fn budgets(&self) -> MutexGuard<'_, BudgetTable<ServiceName>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn outlier_settings() -> OutlierSettings {
    OutlierSettings {
        base_ejection: Duration::from_secs(2),
        max_ejection: Duration::from_secs(10),
        ..OutlierSettings::default()
    }
}

fn budget_settings(settings: &RelaySettings, hosts: u32) -> RetrySettings {
    let slack = settings.retry_slack as f64 * BUDGET_FRACTION / f64::from(hosts.max(1));
    // Half of the slack is the burst, and the other half refills within one window, so a window of
    // the bound that contains both contains no more retries than the slack.
    RetrySettings {
        budget_ratio: settings.retry_ratio * BUDGET_FRACTION,
        budget_floor: slack / 2.0 / settings.retry_window.as_secs_f64(),
        budget_burst: slack / 2.0,
        ..RetrySettings::default()
    }
}
