//! Admission at this entry: admits, queues or refuses each request.

mod customer_limits;
mod inspection;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime, RequestId};
use pollendrift_coordination::configuration::LabelSettings;
use pollendrift_coordination::limits::{
    AdmissionCapacity, AdmissionChange, AdmissionRefusal, AdmissionRequest, AdmissionTable,
    AdmissionVerdict, CustomerLimits, LimitSettings, PriorityReserve, RequestPriority,
    RequestRefusal, TicketKey,
};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::clock::TimeSource;

/// Lowest priority label of urgent requests, which are admitted first.
pub(crate) const MIN_URGENT_PRIORITY: u8 = 67;
/// Lowest priority label of normal requests; lower ones are batch requests, admitted last.
const MIN_NORMAL_PRIORITY: u8 = 34;
/// One observation has the weight `1 / 2^ESTIMATE_SHIFT` in the mean time per token.
const ESTIMATE_SHIFT: u32 = 4;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct GateRequest<'request> {
    /// Customer that sent the request.
    pub customer: &'request CustomerName,
    /// Limits and priority set by labels.
    pub settings: &'request LabelSettings,
    /// Tokens of the prompt and of the expected answer; 0 for a call of a plain service.
    pub tokens: u64,
    /// Time by which the request must have ended.
    pub deadline: Option<MonotonicTime>,
}

/// A request for admission whose limits and priority are known.
#[derive(Clone, Debug)]
pub(crate) struct GateOffer<'request> {
    /// Customer that sent the request.
    pub(crate) customer: &'request CustomerName,
    /// Limits of the customer at this entry.
    pub(crate) limits: CustomerLimits,
    pub(crate) priority: RequestPriority,
    /// KV cache of the request, in tokens.
    pub(crate) tokens: u64,
    /// Predicted time from the start to the end that `deadline` is about; `None` for the mean time
    /// of requests with as many tokens.
    pub(crate) run_time: Option<Duration>,
    pub(crate) deadline: Option<MonotonicTime>,
    /// Whether the caller was refused before and comes back.
    pub(crate) is_return: bool,
}

/// Limits of one entry's gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// Maximum number of requests that run at the same time.
    pub max_running: u32,
    /// Longest wait in the queue; a request that would wait longer is refused immediately.
    pub max_wait: Duration,
    /// Entries that share a customer's limits, this one included.
    pub entries: u32,
}

/// Number of running and queued requests, for the dump and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct GateStatus {
    /// Number of running requests.
    pub in_flight: u32,
    /// Number of queued requests.
    pub queued: u32,
}

/// Limits the running requests of one entry and queues the others.
pub struct AdmissionGate {
    state: Mutex<GateState>,
    clock: Arc<dyn TimeSource>,
    /// Entries that share a customer's limits.
    entries: u32,
    /// A request that would wait longer is refused immediately.
    max_wait: Duration,
    defaults: CustomerLimits,
    offer_count: AtomicU64,
}

struct GateState {
    table: AdmissionTable,
    /// Queued requests, by the id under which they were offered to the table.
    waiting: HashMap<RequestId, oneshot::Sender<Result<TicketKey, RequestRefusal>>>,
    /// Mean time per token; zero before the first observation.
    token_time: Duration,
}

/// A running request; dropping it frees its slot.
pub struct AdmissionTicket {
    gate: Arc<AdmissionGate>,
    ticket: TicketKey,
    tokens: u64,
    started: MonotonicTime,
    /// Whether the request ended before it ran.
    is_unused: bool,
}

/// A queued request; dropping it, as when its caller disconnects, removes it from the queue.
struct WaitingTicket<'gate> {
    gate: &'gate AdmissionGate,
    ticket: Option<TicketKey>,
    request: RequestId,
}

impl AdmissionGate {
    /// Creates a gate with an empty queue that enforces `limits`.
    pub fn new(settings: LimitSettings, limits: GateLimits, clock: Arc<dyn TimeSource>) -> Self {
        // Only requests are limited here: the planner checks KV memory engine by engine.
        let capacity = AdmissionCapacity {
            max_in_flight: limits.max_running,
            kv_tokens: u64::MAX,
            max_request_tokens: u64::MAX,
            reserve: PriorityReserve::default(),
        };
        let state = GateState {
            table: AdmissionTable::new(settings, capacity),
            waiting: HashMap::new(),
            token_time: Duration::ZERO,
        };
        Self {
            state: Mutex::new(state),
            clock,
            entries: limits.entries.max(1),
            max_wait: limits.max_wait,
            defaults: settings.default_limits,
            offer_count: AtomicU64::new(0),
        }
    }

    /// Admits a request, after a wait in the queue if no slot is free.
    ///
    /// # Errors
    /// The request is refused as soon as that is decided; it did not run.
    pub async fn admit(
        self: &Arc<Self>,
        request: GateRequest<'_>,
    ) -> Result<AdmissionTicket, RequestRefusal> {
        let limits = self.limits(request.settings);
        self.admit_offer(GateOffer {
            customer: request.customer,
            limits,
            priority: priority(request.settings.priority),
            tokens: request.tokens,
            run_time: None,
            deadline: request.deadline,
            is_return: false,
        })
        .await
    }

    /// Admits a request, after a wait in the queue if there is no capacity for it.
    ///
    /// # Errors
    /// The request is refused as soon as that is decided; it did not run.
    pub(crate) async fn admit_offer(
        self: &Arc<Self>,
        offer: GateOffer<'_>,
    ) -> Result<AdmissionTicket, RequestRefusal> {
        let tokens = offer.tokens;
        let ticket = match self.offer(offer) {
            OfferResult::Admitted(ticket) => ticket,
            OfferResult::Refused(refusal) => return Err(refusal),
            OfferResult::Queued {
                mut waiting,
                answer,
            } => match answer.await {
                Ok(Ok(ticket)) => {
                    waiting.ticket = None;
                    ticket
                }
                Ok(Err(refusal)) => {
                    waiting.ticket = None;
                    return Err(refusal);
                }
                // Unreachable: `waiting` keeps the sender in the state during this wait.
                Err(_) => return Err(queue_closed()),
            },
        };
        Ok(AdmissionTicket {
            gate: Arc::clone(self),
            ticket,
            tokens,
            started: self.clock.now(),
            is_unused: false,
        })
    }

    /// Refuses queued requests that can't meet their deadlines and admits others to free slots.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.lock().apply_changes(now);
    }

    /// Sets the capacity for later admissions, and admits queued requests that it allows.
    pub(crate) fn set_capacity(&self, capacity: AdmissionCapacity) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.table.set_capacity(capacity);
        state.apply_changes(now);
    }

    /// Returns the current numbers of running and queued requests.
    pub fn status(&self) -> GateStatus {
        let state = self.lock();
        GateStatus {
            in_flight: state.table.in_flight(),
            queued: state.table.queued(),
        }
    }

    fn offer(&self, request: GateOffer<'_>) -> OfferResult<'_> {
        let now = self.clock.now();
        let number = self.offer_count.fetch_add(1, Ordering::Relaxed);
        // The caller's request id is not unique: two requests may share it.
        let offer_id = RequestId::from(number.to_string());
        let mut state = self.lock();
        state
            .table
            .set_limits(now, request.customer, request.limits);
        let run_time = request.run_time.unwrap_or_else(|| {
            let tokens = u32::try_from(request.tokens).unwrap_or(u32::MAX);
            state.token_time.saturating_mul(tokens)
        });
        let verdict = state.table.offer(
            now,
            AdmissionRequest {
                request: offer_id.clone(),
                customer: request.customer.clone(),
                priority: request.priority,
                tokens: request.tokens,
                run_time,
                deadline: request.deadline,
                is_return: request.is_return,
            },
        );
        let result = match verdict {
            AdmissionVerdict::Admit(ticket) => OfferResult::Admitted(ticket),
            AdmissionVerdict::Refuse(refusal) => OfferResult::Refused(refusal),
            AdmissionVerdict::Queue { ticket, wait } if wait > self.max_wait => {
                state.table.finish(now, ticket);
                let reason = AdmissionRefusal::QueueFull;
                OfferResult::Refused(RequestRefusal {
                    reason,
                    retry_after: Some(wait),
                })
            }
            AdmissionVerdict::Queue { ticket, .. } => {
                let (sender, answer) = oneshot::channel();
                state.waiting.insert(offer_id.clone(), sender);
                let waiting = WaitingTicket {
                    gate: self,
                    ticket: Some(ticket),
                    request: offer_id,
                };
                OfferResult::Queued { waiting, answer }
            }
        };
        // An offer can admit requests that waited.
        state.apply_changes(now);
        result
    }

    fn finish(&self, ended: &AdmissionTicket) {
        let now = self.clock.now();
        let mut state = self.lock();
        if ended.is_unused {
            state.table.release(ended.ticket);
        } else {
            state.table.finish(now, ended.ticket);
            state.observe(ended.tokens, now.since(ended.started));
        }
        state.apply_changes(now);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum OfferResult<'gate> {
    Admitted(TicketKey),
    Refused(RequestRefusal),
    Queued {
        waiting: WaitingTicket<'gate>,
        answer: oneshot::Receiver<Result<TicketKey, RequestRefusal>>,
    },
}

impl GateState {
    /// Notifies the queued requests that the table has admitted or refused.
    fn apply_changes(&mut self, now: MonotonicTime) {
        for change in self.table.tick(now) {
            match change {
                AdmissionChange::Admitted { ticket, request } => {
                    let delivered = self
                        .waiting
                        .remove(&request)
                        .map(|waiting| waiting.send(Ok(ticket)));
                    if !matches!(delivered, Some(Ok(()))) {
                        // The caller disconnected in the meantime, so the slot is freed again.
                        self.table.finish(now, ticket);
                    }
                }
                AdmissionChange::Refused { request, refusal } => {
                    if let Some(waiting) = self.waiting.remove(&request) {
                        let _ = waiting.send(Err(refusal));
                    }
                }
            }
        }
    }

    fn observe(&mut self, tokens: u64, time: Duration) {
        let Some(tokens) = u32::try_from(tokens).ok().filter(|tokens| *tokens > 0) else {
            return;
        };
        let observed = time / tokens;
        let divisor = 1 << ESTIMATE_SHIFT;
        self.token_time = match self.token_time {
            Duration::ZERO => observed,
            mean => mean - mean / divisor + observed / divisor,
        };
    }
}

impl AdmissionTicket {
    /// Records that the request ended before it ran, so that its time tells nothing about the time
    /// that requests run.
    pub(crate) fn set_unused(&mut self) {
        self.is_unused = true;
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.gate.finish(self);
    }
}

impl Drop for WaitingTicket<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let now = self.gate.clock.now();
        let mut state = self.gate.lock();
        state.waiting.remove(&self.request);
        state.table.finish(now, ticket);
        state.apply_changes(now);
    }
}

fn priority(label: Option<u8>) -> RequestPriority {
    match label {
        Some(label) if label >= MIN_URGENT_PRIORITY => RequestPriority::Urgent,
        Some(label) if label < MIN_NORMAL_PRIORITY => RequestPriority::Batch,
        _ => RequestPriority::Normal,
    }
}

fn queue_closed() -> RequestRefusal {
    RequestRefusal {
        reason: AdmissionRefusal::QueueFull,
        retry_after: None,
    }
}

#[cfg(test)]
mod tests {
    use std::future::Future;
    use std::pin::Pin;
    use std::sync::Arc;
    use std::time::Duration;

    use pollendrift_coordination::base::CustomerName;
    use pollendrift_coordination::configuration::LabelSettings;
    use pollendrift_coordination::limits::LimitSettings;

    use super::{AdmissionGate, GateLimits, GateRequest, GateStatus};
    use crate::clock::SystemClock;

    fn gate() -> Arc<AdmissionGate> {
        let limits = GateLimits {
            max_running: 1,
            max_wait: Duration::from_secs(10),
            entries: 1,
        };
        let clock = Arc::new(SystemClock::default());
        Arc::new(AdmissionGate::new(LimitSettings::default(), limits, clock))
    }

    fn request<'request>(
        customer: &'request CustomerName,
        settings: &'request LabelSettings,
    ) -> GateRequest<'request> {
        GateRequest {
            customer,
            settings,
            tokens: 10,
            deadline: None,
        }
    }

    async fn is_pending<F>(future: Pin<&mut F>) -> bool
    where
        F: Future,
    {
        tokio::select! {
            biased;
            _ = future => false,
            () = std::future::ready(()) => true,
        }
    }

    // Guards against slots that leak when callers disconnect. One caller disconnects while queued,
    // another just after it was admitted. The gate has one slot, so a leaked one would block the
    // last request.
    #[tokio::test]
    async fn disconnected_callers_free_their_slots() {
        let gate = gate();
        let customer = CustomerName::from("federation");
        let settings = LabelSettings::default();
        let running = gate.admit(request(&customer, &settings)).await.unwrap();
        {
            let mut waiting = std::pin::pin!(gate.admit(request(&customer, &settings)));
            assert!(is_pending(waiting.as_mut()).await);
            assert_eq!(
                gate.status(),
                GateStatus {
                    in_flight: 1,
                    queued: 1
                }
            );
        }
        assert_eq!(
            gate.status(),
            GateStatus {
                in_flight: 1,
                queued: 0
            }
        );
        {
            let mut waiting = std::pin::pin!(gate.admit(request(&customer, &settings)));
            assert!(is_pending(waiting.as_mut()).await);
            drop(running);
        }
        let last = gate.admit(request(&customer, &settings)).await;
        assert!(last.is_ok());
        assert_eq!(
            gate.status(),
            GateStatus {
                in_flight: 1,
                queued: 0
            }
        );
    }
}
