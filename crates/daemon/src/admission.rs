//! Admission at this entry: which request runs now, waits, or is refused at once.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollendrift_coordination::base::{CustomerName, MonotonicTime, RequestId};
use pollendrift_coordination::configuration::LabelSettings;
use pollendrift_coordination::limits::{
    AdmissionCapacity, AdmissionChange, AdmissionRefusal, AdmissionRequest, AdmissionTable,
    AdmissionVerdict, CustomerLimits, LimitSettings, RequestPriority, RequestRefusal, TicketKey,
};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::clock::TimeSource;

/// Priorities from here on go first.
pub(crate) const MIN_URGENT_LABEL: u8 = 67;
/// Priorities below go last.
const NORMAL_FROM: u8 = 34;
/// Weight of one observation in the mean time per token, as a power of two.
const ESTIMATE_SHIFT: u32 = 4;

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct GateRequest<'request> {
    /// Whose request it is.
    pub customer: &'request CustomerName,
    /// Limits and priority that labels set.
    pub settings: &'request LabelSettings,
    /// Tokens of the prompt and of the expected answer; 0 for a call of a plain service.
    pub tokens: u64,
    /// Time by which it must have ended.
    pub deadline: Option<MonotonicTime>,
}

/// Bounds of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// Requests that run at once.
    pub max_running: u32,
    /// Longest wait in the queue; a request that would wait for longer is refused at once.
    pub max_wait: Duration,
    /// Entries that share a customer's limits, this one included.
    pub entries: u32,
}

/// State of the gate, for the dump and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct GateStatus {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Admits requests at one entry.
pub struct AdmissionGate {
    table: Mutex<GateState>,
    clock: Arc<dyn TimeSource>,
    /// Entries that share a customer's limits.
    entries: u32,
    /// A request that would wait for longer is refused at once.
    max_wait: Duration,
    defaults: CustomerLimits,
    offered: AtomicU64,
}

struct GateState {
    table: AdmissionTable,
    /// Requests that wait, by the identity that they were offered under.
    waiting: HashMap<RequestId, oneshot::Sender<Result<TicketKey, RequestRefusal>>>,
    /// Mean time of one token; zero before the first observation.
    token_time: Duration,
}

/// A request that runs; dropping it makes room.
pub struct AdmissionTicket {
    gate: Arc<AdmissionGate>,
    ticket: TicketKey,
    tokens: u64,
    started: MonotonicTime,
}

/// A request that waits; dropped with its caller, it leaves the queue.
struct WaitingTicket<'gate> {
    gate: &'gate AdmissionGate,
    ticket: Option<TicketKey>,
    request: RequestId,
}

impl AdmissionGate {
    /// A gate that runs and holds what `bounds` allow.
    pub fn new(settings: LimitSettings, bounds: GateLimits, clock: Arc<dyn TimeSource>) -> Self {
        // KV memory is the planner's to judge, engine by engine; here only requests are counted.
        let capacity = AdmissionCapacity {
            max_in_flight: bounds.max_running,
            kv_tokens: u64::MAX,
        };
        let state = GateState {
            table: AdmissionTable::new(settings, capacity),
            waiting: HashMap::new(),
            token_time: Duration::ZERO,
        };
        Self {
            table: Mutex::new(state),
            clock,
            entries: bounds.entries.max(1),
            max_wait: bounds.max_wait,
            defaults: settings.default_limits,
            offered: AtomicU64::new(0),
        }
    }

    /// Admits a request, after a wait where it must.
    ///
    /// # Errors
    /// It did not run, and never will; told as soon as it is known.
    pub async fn admit(
        self: &Arc<Self>,
        request: GateRequest<'_>,
    ) -> Result<AdmissionTicket, RequestRefusal> {
        let tokens = request.tokens;
        let ticket = match self.offer(request) {
            Offered::Admitted(ticket) => ticket,
            Offered::Refused(refusal) => return Err(refusal),
            Offered::Queued {
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
                // The sender stands in the table for as long as this wait lasts.
                Err(_) => return Err(gone()),
            },
        };
        Ok(AdmissionTicket {
            gate: Arc::clone(self),
            ticket,
            tokens,
            started: self.clock.now(),
        })
    }

    /// Refuses what can no longer meet its deadline, and admits what there is room for.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.lock().settle(now);
    }

    /// State for the dump and the metrics.
    pub fn status(&self) -> GateStatus {
        let state = self.lock();
        GateStatus {
            in_flight: state.table.in_flight(),
            queued: state.table.queued(),
        }
    }

    fn offer(&self, request: GateRequest<'_>) -> Offered<'_> {
        let now = self.clock.now();
        let number = self.offered.fetch_add(1, Ordering::Relaxed);
        // Not the caller's id, which two requests may share.
        let identity = RequestId::from(number.to_string());
        let limits = self.limits(request.settings);
        let mut state = self.lock();
        state.table.set_limits(now, request.customer, limits);
        let run_time = state
            .token_time
            .saturating_mul(u32::try_from(request.tokens).unwrap_or(u32::MAX));
        let verdict = state.table.offer(
            now,
            AdmissionRequest {
                request: identity.clone(),
                customer: request.customer.clone(),
                priority: priority(request.settings.priority),
                tokens: request.tokens,
                run_time,
                deadline: request.deadline,
            },
        );
        match verdict {
            AdmissionVerdict::Admit(ticket) => Offered::Admitted(ticket),
            AdmissionVerdict::Refuse(refusal) => Offered::Refused(refusal),
            AdmissionVerdict::Queue { ticket, wait } if wait > self.max_wait => {
                state.table.finish(now, ticket);
                let reason = AdmissionRefusal::QueueFull;
                Offered::Refused(RequestRefusal {
                    reason,
                    retry_after: Some(wait),
                })
            }
            AdmissionVerdict::Queue { ticket, .. } => {
                let (sender, answer) = oneshot::channel();
                state.waiting.insert(identity.clone(), sender);
                let waiting = WaitingTicket {
                    gate: self,
                    ticket: Some(ticket),
                    request: identity,
                };
                Offered::Queued { waiting, answer }
            }
        }
    }

    /// Labels limit a customer at all entries together; each entry takes its part.
    fn limits(&self, settings: &LabelSettings) -> CustomerLimits {
        let part = |total: Option<u64>, default: u32| match total {
            Some(total) => u32::try_from(total)
                .unwrap_or(u32::MAX)
                .div_ceil(self.entries),
            None => default,
        };
        CustomerLimits {
            weight: settings.weight.unwrap_or(self.defaults.weight).max(1),
            max_in_flight: part(settings.in_flight, self.defaults.max_in_flight),
            max_queued: part(settings.queue, self.defaults.max_queued),
            requests_per_second: part(
                settings.requests_per_second,
                self.defaults.requests_per_second,
            ),
            burst: self.defaults.burst,
        }
    }

    fn finish(&self, ticket: TicketKey, tokens: u64, started: MonotonicTime) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.table.finish(now, ticket);
        state.observe(tokens, now.since(started));
        state.settle(now);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Offered<'gate> {
    Admitted(TicketKey),
    Refused(RequestRefusal),
    Queued {
        waiting: WaitingTicket<'gate>,
        answer: oneshot::Receiver<Result<TicketKey, RequestRefusal>>,
    },
}

impl GateState {
    /// Tells those who wait what became of them.
    fn settle(&mut self, now: MonotonicTime) {
        for change in self.table.tick(now) {
            match change {
                AdmissionChange::Admitted { ticket, request } => {
                    let told = self
                        .waiting
                        .remove(&request)
                        .map(|waiting| waiting.send(Ok(ticket)));
                    if !matches!(told, Some(Ok(()))) {
                        // Its caller went away in this very moment: the room is free again.
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
        let seen = time / tokens;
        let part = 1 << ESTIMATE_SHIFT;
        self.token_time = match self.token_time {
            Duration::ZERO => seen,
            mean => mean - mean / part + seen / part,
        };
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.gate.finish(self.ticket, self.tokens, self.started);
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
    }
}

fn priority(label: Option<u8>) -> RequestPriority {
    match label {
        Some(label) if label >= MIN_URGENT_LABEL => RequestPriority::Urgent,
        Some(label) if label < NORMAL_FROM => RequestPriority::Batch,
        _ => RequestPriority::Normal,
    }
}

fn gone() -> RequestRefusal {
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
        let bounds = GateLimits {
            max_running: 1,
            max_wait: Duration::from_secs(10),
            entries: 1,
        };
        let clock = Arc::new(SystemClock::default());
        Arc::new(AdmissionGate::new(LimitSettings::default(), bounds, clock))
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

    // A caller that waits goes away, and another is admitted in the same moment in which the next
    // goes away. Neither may keep its room: with one place in all, the last one must still run.
    #[tokio::test]
    async fn callers_that_go_away_leave_their_room() {
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
