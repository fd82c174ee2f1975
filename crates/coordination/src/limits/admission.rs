//! Admission table: admits, queues or refuses requests by weighted fair queueing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;

use super::customer::{CustomerKey, CustomerRecord, ServiceTag};
use super::offer::{
    AdmissionCapacity, AdmissionChange, AdmissionRefusal, AdmissionRequest, AdmissionVerdict,
    RequestPriority, RequestRefusal, TicketKey,
};
use super::settings::{CustomerLimits, LimitSettings};
use crate::base::{CustomerName, MonotonicTime};

/// Smoothing factor of the served rate: the weight of a new measurement.
const RATE_GAIN: f64 = 0.3;

/// Minimum time over which the served rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct AdmissionTicket {
    offer: AdmissionRequest,
    customer: CustomerKey,
    is_running: bool,
}

/// Smoothed rate of tokens of finished requests, per second; unknown until the first measurement.
#[derive(Clone, Copy, Debug, Default)]
struct ServedRate {
    per_second: Option<f64>,
    tokens: u64,
    since: MonotonicTime,
}

impl ServedRate {
    fn count(&mut self, now: MonotonicTime, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens);
        let elapsed = now.since(self.since);
        if elapsed < RATE_WINDOW {
            return;
        }
        let measured = self.tokens as f64 / elapsed.as_secs_f64();
        let smoothed = self
            .per_second
            .map_or(measured, |old| old + RATE_GAIN * (measured - old));
        self.per_second = Some(smoothed);
        self.tokens = 0;
        self.since = now;
    }
}

/// Waiting and running requests of each customer, and the capacity of the entry.
///
/// Invariants: running requests and their tokens never exceed the current capacity at the last
/// admission; every waiting ticket is in exactly one queue; `ready` holds, for each priority,
/// exactly the customers that have a waiting request of that priority and are below their limit of
/// running requests.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    settings: LimitSettings,
    capacity: AdmissionCapacity,
    customers: SlotMap<CustomerKey, CustomerRecord>,
    by_name: BTreeMap<CustomerName, CustomerKey>,
    tickets: SlotMap<TicketKey, AdmissionTicket>,
    ready: [BTreeSet<(ServiceTag, CustomerKey)>; 3],
    /// Waiting requests with a deadline, by the latest start that still meets the deadline.
    latest_starts: BTreeSet<(MonotonicTime, TicketKey)>,
    /// Sum of the weights of the customers in `ready`, each counted once.
    ready_weight: u64,
    /// Admitted requests that no verdict or tick has reported yet.
    admitted: Vec<TicketKey>,
    in_flight: u32,
    in_flight_tokens: u64,
    queued: u32,
    queued_tokens: u64,
    /// Highest tag of a served customer; a customer that was idle starts from this tag.
    served_tag: ServiceTag,
    admissions: u32,
    rate: ServedRate,
}

impl AdmissionTable {
    /// Starts without customers and requests.
    pub fn new(settings: LimitSettings, capacity: AdmissionCapacity) -> Self {
        Self {
            settings,
            capacity,
            customers: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            tickets: SlotMap::with_key(),
            ready: Default::default(),
            latest_starts: BTreeSet::new(),
            ready_weight: 0,
            admitted: Vec::new(),
            in_flight: 0,
            in_flight_tokens: 0,
            queued: 0,
            queued_tokens: 0,
            served_tag: ServiceTag::default(),
            admissions: 0,
            rate: ServedRate::default(),
        }
    }

    /// Sets the capacity of the entry; running requests are not affected.
    pub fn set_capacity(&mut self, capacity: AdmissionCapacity) {
        self.capacity = capacity;
    }

    /// Sets a customer's limits, which apply to later offers and admissions.
    pub fn set_limits(&mut self, now: MonotonicTime, name: &CustomerName, limits: CustomerLimits) {
        let Some(key) = self.find_customer(now, name) else {
            return;
        };
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.set_limits(now, limits);
        }
        self.insert_ready(key);
    }

    /// Admits, queues or refuses a request. A request refused here or in a tick has not run.
    pub fn offer(&mut self, now: MonotonicTime, offer: AdmissionRequest) -> AdmissionVerdict {
        let Some(key) = self.find_customer(now, &offer.customer) else {
            let wait = self.settings.max_retry_after;
            return refuse(AdmissionRefusal::TooManyCustomers, Some(wait));
        };
        if offer.tokens > self.capacity.max_request_tokens {
            return refuse(AdmissionRefusal::TooLarge, None);
        }
        let wait = self.predict_wait(key, &offer);
        if let Some(refusal) = self.find_refusal(now, key, &offer, wait) {
            return AdmissionVerdict::Refuse(refusal);
        }
        if let Err(wait) = self.take_rate(now, key) {
            return refuse(
                AdmissionRefusal::RateLimited,
                Some(self.clamp_retry_after(wait)),
            );
        }
        let ticket = self.enqueue(key, offer);
        self.admit_ready();
        if let Some(position) = self.admitted.iter().position(|other| *other == ticket) {
            self.admitted.remove(position);
            return AdmissionVerdict::Admit(ticket);
        }
        AdmissionVerdict::Queue { ticket, wait }
    }

    /// Refuses waiting requests that can no longer meet their deadline, then admits requests as
    /// far as the capacity allows.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<AdmissionChange> {
        let mut changes = self.refuse_overdue(now);
        self.admit_ready();
        for ticket in std::mem::take(&mut self.admitted) {
            if let Some(record) = self.tickets.get(ticket) {
                let request = record.offer.request.clone();
                changes.push(AdmissionChange::Admitted { ticket, request });
            }
        }
        changes
    }

    /// Removes a running or waiting request that ended or whose caller disconnected.
    pub fn finish(&mut self, now: MonotonicTime, ticket: TicketKey) {
        let Some(record) = self.tickets.get(ticket) else {
            return;
        };
        if !record.is_running {
            self.dequeue(ticket);
            self.tickets.remove(ticket);
            return;
        }
        let (key, tokens) = (record.customer, record.offer.tokens);
        self.tickets.remove(ticket);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_tokens = self.in_flight_tokens.saturating_sub(tokens);
        self.rate.count(now, tokens);
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
        self.insert_ready(key);
    }

    /// Number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    fn find_customer(&mut self, now: MonotonicTime, name: &CustomerName) -> Option<CustomerKey> {
        if let Some(key) = self.by_name.get(name) {
            return Some(*key);
        }
        if self.customers.len() >= self.settings.max_customers as usize {
            self.remove_idle()?;
        }
        let mut customer = CustomerRecord::new(now, name.clone(), self.settings.default_limits);
        customer.tag = self.served_tag;
        let key = self.customers.insert(customer);
        self.by_name.insert(name.clone(), key);
        Some(key)
    }

    /// Removes one idle customer that has the default limits; `None` if there is none.
    fn remove_idle(&mut self) -> Option<()> {
        let default = self.settings.default_limits;
        let idle = |c: &CustomerRecord| c.is_idle() && c.limits == default;
        let (key, _) = self.customers.iter().find(|(_, customer)| idle(customer))?;
        let customer = self.customers.remove(key)?;
        self.by_name.remove(&customer.name);
        Some(())
    }

    fn take_rate(&mut self, now: MonotonicTime, key: CustomerKey) -> Result<(), Duration> {
        let customer = self.customers.get_mut(key);
        customer.map_or(Ok(()), |customer| customer.take_rate(now))
    }

    /// Checks the offer against queue limits and its deadline. The rate limit is checked last and
    /// elsewhere, so that an offer refused for another reason does not consume the rate.
    fn find_refusal(
        &self,
        now: MonotonicTime,
        key: CustomerKey,
        offer: &AdmissionRequest,
        wait: Duration,
    ) -> Option<RequestRefusal> {
        let customer = self.customers.get(key)?;
        let is_full = self.queued >= self.settings.max_queued
            || customer.queued() >= customer.limits.max_queued as usize;
        let must_wait = !self.has_capacity(customer, offer);
        let retry_after = Some(self.clamp_retry_after(wait));
        if is_full && must_wait {
            let reason = AdmissionRefusal::QueueFull;
            return Some(RequestRefusal {
                reason,
                retry_after,
            });
        }
        let end = now.after(wait).after(offer.run_time);
        if offer.deadline.is_some_and(|deadline| end > deadline) {
            let reason = AdmissionRefusal::DeadlineUnreachable;
            return Some(RequestRefusal {
                reason,
                retry_after,
            });
        }
        None
    }

    /// Predicts the time until the offer starts: the shorter of the time to serve the customer's
    /// own queue at its share of the served rate and the time to serve all queues at the full rate.
    fn predict_wait(&self, key: CustomerKey, offer: &AdmissionRequest) -> Duration {
        let Some(customer) = self.customers.get(key) else {
            return Duration::ZERO;
        };
        let Some(rate) = self
            .rate
            .per_second
            .filter(|_| !self.has_capacity(customer, offer))
        else {
            return Duration::ZERO;
        };
        let own = u64::from(customer.weight());
        let weights = self.ready_weight + if customer.is_ready { 0 } else { own };
        let share = own as f64 / weights.max(1) as f64;
        let ahead = self.tokens_ahead(customer, offer.priority);
        let seconds = (ahead / share).min(self.queued_tokens as f64) / rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Whether the offer would run at once.
    fn has_capacity(&self, customer: &CustomerRecord, offer: &AdmissionRequest) -> bool {
        self.in_flight < self.capacity.max_in_flight
            && self.in_flight_tokens + offer.tokens <= self.capacity.kv_tokens
            && self.ready_weight == 0
            && customer.queued() == 0
            && customer.in_flight < customer.limits.max_in_flight
    }

    /// Tokens of the customer's own waiting requests that run before one of `priority`.
    fn tokens_ahead(&self, customer: &CustomerRecord, priority: RequestPriority) -> f64 {
        if priority == RequestPriority::Batch {
            return customer.queued_tokens as f64;
        }
        let is_ahead = |other: &RequestPriority| *other >= priority;
        let queues = RequestPriority::DESCENDING.into_iter().filter(is_ahead);
        let ahead: usize = queues.map(|p| customer.queue(p).len()).sum();
        let mean = customer.queued_tokens as f64 / (customer.queued().max(1)) as f64;
        ahead as f64 * mean
    }

    fn clamp_retry_after(&self, wait: Duration) -> Duration {
        wait.clamp(Duration::from_secs(1), self.settings.max_retry_after)
    }

    fn enqueue(&mut self, key: CustomerKey, offer: AdmissionRequest) -> TicketKey {
        let (priority, tokens) = (offer.priority, offer.tokens);
        let latest = offer
            .deadline
            .map(|deadline| latest_start(deadline, offer.run_time));
        let ticket = self.tickets.insert(AdmissionTicket {
            offer,
            customer: key,
            is_running: false,
        });
        if let Some(latest) = latest {
            self.latest_starts.insert((latest, ticket));
        }
        self.queued += 1;
        self.queued_tokens += tokens;
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            // An idle customer earns no credit for the time in which it had no waiting requests.
            if customer.queued() == 0 {
                customer.tag = customer.tag.max(self.served_tag);
            }
            customer.push(priority, ticket, tokens);
        }
        self.insert_ready(key);
        ticket
    }

    /// Removes a ticket from its queue.
    fn dequeue(&mut self, ticket: TicketKey) {
        let Some(record) = self.tickets.get(ticket) else {
            return;
        };
        let (key, priority, tokens) = (record.customer, record.offer.priority, record.offer.tokens);
        if let Some(deadline) = record.offer.deadline {
            let latest = latest_start(deadline, record.offer.run_time);
            self.latest_starts.remove(&(latest, ticket));
        }
        self.queued = self.queued.saturating_sub(1);
        self.queued_tokens = self.queued_tokens.saturating_sub(tokens);
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.remove_ticket(priority, ticket, tokens);
        }
        self.insert_ready(key);
    }

    fn admit_ready(&mut self) {
        while let Some(ticket) = self.find_next() {
            self.start(ticket);
            self.admitted.push(ticket);
        }
    }

    /// Returns the request that runs next, if the capacity allows it. A request that does not fit
    /// in the KV cache blocks the requests behind it: skipping it would starve large requests.
    fn find_next(&self) -> Option<TicketKey> {
        if self.in_flight >= self.capacity.max_in_flight {
            return None;
        }
        let every = self.settings.low_priority_every.max(2);
        let is_low_turn = self.admissions % every == every - 1;
        let mut order = RequestPriority::DESCENDING;
        if is_low_turn {
            order.reverse();
        }
        let priority = order
            .into_iter()
            .find(|p| !self.ready[*p as usize].is_empty())?;
        let (_, key) = self.ready[priority as usize].first()?;
        let ticket = *self.customers.get(*key)?.queue(priority).front()?;
        let tokens = self.tickets.get(ticket)?.offer.tokens;
        let fits = self.in_flight_tokens + tokens <= self.capacity.kv_tokens;
        fits.then_some(ticket)
    }

    fn start(&mut self, ticket: TicketKey) {
        self.dequeue(ticket);
        let Some(record) = self.tickets.get_mut(ticket) else {
            return;
        };
        record.is_running = true;
        let (key, tokens) = (record.customer, record.offer.tokens);
        self.in_flight += 1;
        self.in_flight_tokens += tokens;
        self.admissions = self.admissions.wrapping_add(1);
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            self.served_tag = self.served_tag.max(customer.tag);
            customer.charge(tokens);
            customer.in_flight += 1;
        }
        self.insert_ready(key);
    }

    fn refuse_overdue(&mut self, now: MonotonicTime) -> Vec<AdmissionChange> {
        let mut changes = Vec::new();
        while let Some((latest, ticket)) = self.latest_starts.first().copied() {
            if latest >= now {
                break;
            }
            self.dequeue(ticket);
            self.latest_starts.remove(&(latest, ticket));
            if let Some(record) = self.tickets.remove(ticket) {
                changes.push(AdmissionChange::Refused {
                    request: record.offer.request,
                    refusal: RequestRefusal {
                        reason: AdmissionRefusal::DeadlineUnreachable,
                        retry_after: Some(self.clamp_retry_after(Duration::ZERO)),
                    },
                });
            }
        }
        changes
    }

    /// Removes a customer from `ready`. Required before its tag, queues or counts change.
    fn remove_ready(&mut self, key: CustomerKey) {
        let Some(customer) = self.customers.get_mut(key).filter(|c| c.is_ready) else {
            return;
        };
        customer.is_ready = false;
        self.ready_weight -= u64::from(customer.weight());
        for ready in &mut self.ready {
            ready.remove(&(customer.tag, key));
        }
    }

    fn insert_ready(&mut self, key: CustomerKey) {
        let Some(customer) = self.customers.get_mut(key) else {
            return;
        };
        if customer.queued() == 0 || customer.in_flight >= customer.limits.max_in_flight {
            return;
        }
        customer.is_ready = true;
        self.ready_weight += u64::from(customer.weight());
        for priority in RequestPriority::DESCENDING {
            if !customer.queue(priority).is_empty() {
                self.ready[priority as usize].insert((customer.tag, key));
            }
        }
    }
}

fn latest_start(deadline: MonotonicTime, run_time: Duration) -> MonotonicTime {
    let run_time = u64::try_from(run_time.as_micros()).unwrap_or(u64::MAX);
    MonotonicTime::from_micros(deadline.as_micros().saturating_sub(run_time))
}

fn refuse(reason: AdmissionRefusal, retry_after: Option<Duration>) -> AdmissionVerdict {
    AdmissionVerdict::Refuse(RequestRefusal {
        reason,
        retry_after,
    })
}
