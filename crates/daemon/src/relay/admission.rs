//! Admits drafts of services whose drafts have different priorities.
//!
//! Each host admits as many drafts as its share of the engines' free KV memory allows, the most
//! urgent ones first, and refuses those that can't be in time. Engines then have room for what they
//! receive.

mod dump;
mod gauges;
mod refusals;
mod ticket;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime, ServiceName};
use pollendrift_coordination::limits::{
    AdmissionCapacity, CapacityRefusal, HostCapacity, HostCapacitySettings, LimitSettings,
    PriorityReserve, RequestPriority, RequestRefusal, ReturnRequest, ReturnSchedule,
    ReturnSettings, TimeoutSettings, UsualTimeouts,
};
use pollendrift_coordination::routes::RouteTable;
use pollendrift_coordination::routing::{PoolCapacity, PoolSettings};
use pollendrift_dialect::RefusalKind;
use tokio::time::{MissedTickBehavior, interval};

pub(crate) use gauges::ExportedAdmission;
pub(super) use ticket::{DraftTicket, SentDraft};

use super::context::RelayContext;
use super::request::{Refused, RelayRequest, refused};
use crate::admission::{AdmissionGate, GateLimits, GateOffer};
use crate::clock::TimeSource;
use crate::refusals::RefusalStore;
use crate::settings::AdmissionMode;

/// Time between two checks for waiting drafts that can no longer be in time.
const QUEUE_TICK: Duration = Duration::from_millis(50);
/// Mean time that a draft runs, until drafts have ended.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(2);
/// Time from the send of a draft to its first event, until events have come.
const INITIAL_FIRST_EVENT: Duration = Duration::from_millis(100);
/// One observation has the weight `1 / MEAN_WEIGHT` in a mean time.
const MEAN_WEIGHT: u32 = 16;

/// Capacity of a service that no longer admits by priority.
const UNLIMITED: AdmissionCapacity = AdmissionCapacity {
    max_in_flight: u32::MAX,
    kv_tokens: u64::MAX,
    max_request_tokens: u64::MAX,
    reserve: PriorityReserve {
        normal: 0,
        batch: 0,
    },
};

/// Admission of drafts, by service.
pub(super) struct DraftAdmission {
    mode: AdmissionMode,
    refusals: Arc<RefusalStore>,
    clock: Arc<dyn TimeSource>,
    seed: u64,
    timeouts: Mutex<UsualTimeouts>,
    pools: Mutex<BTreeMap<ServiceName, Arc<DraftPool>>>,
}

/// Admission to the engines of one service.
struct DraftPool {
    gate: Arc<AdmissionGate>,
    /// KV memory of the admitted drafts that are on engines, in tokens. Engines' reports do not include
    /// admitted drafts that have not been sent yet.
    sent_tokens: AtomicU64,
    state: Mutex<PoolState>,
    refusals: Arc<RefusalStore>,
}

struct PoolState {
    capacity: HostCapacity,
    returns: ReturnSchedule,
    /// Mean time from the admission of a draft to its end.
    run_time: Duration,
    /// Mean time from the admission of a draft to its first event.
    first_event: Duration,
}

impl RelayContext {
    /// Admits a draft, after a wait if there is no capacity for it. `None` if the draft is not
    /// limited: the drafts of its service all have the same priority, or its caller resumes a
    /// stream.
    ///
    /// # Errors
    /// Refuses the draft as soon as it can't be in time; it did not run.
    pub(super) async fn admit(
        &self,
        request: &RelayRequest,
    ) -> Result<Option<DraftTicket>, Refused> {
        let Some(priority) = request.priority else {
            return Ok(None);
        };
        // A host that reaches no engine forwards the draft to another host, which admits it.
        if request.resume_after.is_some() || self.is_cut_off_from(request) {
            return Ok(None);
        }
        let Some(pool) = self.admission.pool(&request.service.name) else {
            return Ok(None);
        };
        let tokens = request.kv_tokens();
        let now = self.clock.now();
        self.fleet
            .demand()
            .record(now, &request.service.name, tokens);
        let anonymous = CustomerName::from("");
        let customer = request.customer.as_ref().unwrap_or(&anonymous);
        let is_return = self.admission.is_return(now, customer, request);
        // Late first events must not make all further drafts of a route seem late.
        let first_event = pool.state().first_event.min(request.route.target / 2);
        let admitted = pool
            .gate
            .admit_offer(GateOffer {
                customer,
                limits: LimitSettings::for_drafts().default_limits,
                priority,
                tokens,
                run_time: Some(first_event),
                deadline: Some(self.latest_first_event(now, request, is_return)),
                is_return,
            })
            .await;
        let decided_at = self.clock.now();
        match admitted {
            Ok(ticket) => {
                pool.record_admitted(request, priority, decided_at);
                Ok(Some(DraftTicket {
                    pool,
                    ticket,
                    tokens,
                    is_return,
                    has_run: AtomicBool::new(false),
                    clock: Arc::clone(&self.clock),
                    admitted_at: decided_at,
                }))
            }
            Err(refusal) => Err(pool.refuse(request, priority, is_return, decided_at, &refusal)),
        }
    }

    /// Time until which the first event of a draft is in time, or, for a draft that is late already,
    /// until which its caller waits for it.
    fn latest_first_event(
        &self,
        now: MonotonicTime,
        request: &RelayRequest,
        is_return: bool,
    ) -> MonotonicTime {
        let latest = if is_return {
            self.queue_deadline(now, request.arrived)
        } else {
            request.arrived.after(request.route.target)
        };
        latest.min(request.deadline)
    }

    /// Time after which the caller of a draft that found no engine with room comes back.
    pub(super) fn return_time(
        &self,
        request: &RelayRequest,
        ticket: Option<&DraftTicket>,
    ) -> Option<Duration> {
        let pool = self.admission.pool(&request.service.name)?;
        let priority = request.priority?;
        let is_return = ticket.is_some_and(|ticket| ticket.is_return);
        let now = self.clock.now();
        let wait = pool.choose_return(request, priority, is_return, now);
        // A draft without a ticket was not subject to admission.
        if ticket.is_some() {
            pool.record_refusal(request, priority, now, CapacityRefusal::NoServer, wait);
        }
        Some(wait)
    }

    /// Updates the capacity of all services whose drafts have different priorities.
    pub(super) fn tick_admission(&self, now: MonotonicTime, table: &RouteTable) {
        if self.admission.mode == AdmissionMode::Off {
            return;
        }
        self.admission.retain(table);
        for service in table.prioritized_services() {
            let pool = self.admission.pool_or_new(service);
            let measured = self
                .chains()
                .pool_capacity(now, service, &PoolSettings::default());
            let share = self.fleet.demand().share(now, service);
            pool.update(now, measured, share);
        }
    }
}

/// Refuses waiting drafts that can no longer be in time, until the process ends.
pub(super) async fn run_admission(context: Arc<RelayContext>) {
    let mut ticks = interval(QUEUE_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for pool in context.admission.all() {
            pool.gate.tick();
        }
    }
}

impl DraftAdmission {
    pub(super) fn new(
        mode: AdmissionMode,
        refusals: Arc<RefusalStore>,
        clock: Arc<dyn TimeSource>,
        seed: u64,
    ) -> Self {
        Self {
            mode,
            refusals,
            clock,
            seed,
            timeouts: Mutex::new(UsualTimeouts::new(TimeoutSettings::default())),
            pools: Mutex::default(),
        }
    }

    /// Whether drafts are admitted by priority where priorities differ.
    pub(super) fn is_enabled(&self) -> bool {
        self.mode == AdmissionMode::ByPriority
    }

    /// Whether the caller of a draft was refused before and comes back. A host that forwarded the
    /// draft has used up some of its time.
    fn is_return(
        &self,
        now: MonotonicTime,
        customer: &CustomerName,
        request: &RelayRequest,
    ) -> bool {
        let (route, timeout) = (&request.route, request.timeout());
        let mut timeouts = self.timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        request.origin.is_none()
            && timeouts.record(now, customer, &route.name, timeout, route.timeout)
    }

    fn pool(&self, service: &ServiceName) -> Option<Arc<DraftPool>> {
        self.lock().get(service).cloned()
    }

    fn all(&self) -> Vec<Arc<DraftPool>> {
        self.lock().values().cloned().collect()
    }

    /// Drops services that no longer have different priorities, and admits their waiting drafts.
    fn retain(&self, table: &RouteTable) {
        self.lock().retain(|service, pool| {
            let is_kept = table.priority_ranks(service).is_some();
            if !is_kept {
                pool.gate.set_capacity(UNLIMITED);
            }
            is_kept
        });
    }

    fn pool_or_new(&self, service: &ServiceName) -> Arc<DraftPool> {
        let mut pools = self.lock();
        let pool = pools.entry(service.clone()).or_insert_with(|| {
            log::info!(service:% = service; "drafts are admitted by priority");
            Arc::new(DraftPool::new(
                Arc::clone(&self.refusals),
                Arc::clone(&self.clock),
                self.seed,
            ))
        });
        Arc::clone(pool)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Arc<DraftPool>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DraftPool {
    fn new(refusals: Arc<RefusalStore>, clock: Arc<dyn TimeSource>, seed: u64) -> Self {
        let limits = GateLimits {
            max_running: u32::MAX,
            max_wait: Duration::MAX,
            entries: 1,
        };
        let settings = LimitSettings::for_drafts();
        Self {
            gate: Arc::new(AdmissionGate::new(settings, limits, clock)),
            sent_tokens: AtomicU64::new(0),
            state: Mutex::new(PoolState {
                capacity: HostCapacity::new(HostCapacitySettings::default(), seed),
                returns: ReturnSchedule::new(ReturnSettings::default(), seed),
                run_time: INITIAL_RUN_TIME,
                first_event: INITIAL_FIRST_EVENT,
            }),
            refusals,
        }
    }

    fn update(&self, now: MonotonicTime, measured: Option<PoolCapacity>, share: f64) {
        let held = self.sent_tokens.load(Ordering::Relaxed);
        let capacity = {
            let mut state = self.state();
            let capacity = state.capacity.update(now, held, measured, share);
            if let Some(inputs) = state.capacity.inputs() {
                let served = share * inputs.total as f64 / state.run_time.as_secs_f64().max(0.1);
                let kept = LimitSettings::for_drafts().return_part();
                state.returns.set_rate(now, served * kept);
            }
            capacity
        };
        self.gate.set_capacity(capacity);
    }

    fn refuse(
        &self,
        request: &RelayRequest,
        priority: RequestPriority,
        is_return: bool,
        now: MonotonicTime,
        refusal: &RequestRefusal,
    ) -> Refused {
        let wait = self.choose_return(request, priority, is_return, now);
        let cause = CapacityRefusal::NotAdmitted {
            reason: refusal.reason,
            is_return,
        };
        self.record_refusal(request, priority, now, cause, wait);
        let reason = format!(
            "the engines of the service have no room: {}",
            refusal.reason
        );
        refused(RefusalKind::NotRun, reason).retry_after(wait)
    }

    /// Chooses the time after which the caller of a refused draft comes back.
    fn choose_return(
        &self,
        request: &RelayRequest,
        priority: RequestPriority,
        is_return: bool,
        now: MonotonicTime,
    ) -> Duration {
        let booking = ReturnRequest {
            priority,
            tokens: request.kv_tokens(),
            time_left: request.time_left(now),
        };
        let returns = &mut self.state().returns;
        if is_return {
            return returns.without_slot(&booking);
        }
        returns.book(now, &booking)
    }

    fn record_admitted(
        &self,
        request: &RelayRequest,
        priority: RequestPriority,
        now: MonotonicTime,
    ) {
        self.state().capacity.record_draft(request.kv_tokens());
        let waited = now.since(request.arrived);
        if waited < QUEUE_TICK {
            return;
        }
        self.log_late_admission(request, priority, now);
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn mean(mean: Duration, observed: Duration) -> Duration {
    mean - mean / MEAN_WEIGHT + observed / MEAN_WEIGHT
}
