//! Admission table: admits, queues or refuses requests by priority and weighted fair queueing.

mod order;
mod prediction;
mod queue;
mod rate;
mod refused_customers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;

use self::rate::ServedRate;
use super::counts::{AdmissionCounts, CustomerCounts};
use super::credit::{PriorityFloor, ReturnCredit};
use super::customer::{CustomerKey, CustomerRecord, ServiceTag};
use super::decaying_sum::DecayingSum;
use super::offer::{
    AdmissionCapacity, AdmissionChange, AdmissionRefusal, AdmissionRequest, AdmissionVerdict,
    RequestPriority, RequestRefusal, TicketKey,
};
use super::rank::{AdmissionRank, QueuePlace, RANKS};
use super::settings::{CustomerLimits, LimitSettings};
use super::usual_demand::UsualDemand;
use crate::base::{CustomerName, MonotonicTime};

/// Time over which the demand of each rank is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Customers that [`AdmissionTable::by_customer`] lists at most.
const MAX_LISTED_CUSTOMERS: usize = 64;

#[derive(Clone, Debug)]
struct AdmissionTicket {
    offer: AdmissionRequest,
    customer: CustomerKey,
    place: QueuePlace,
    /// Start of a running request; `None` while it waits.
    started: Option<MonotonicTime>,
}

/// Waiting and running requests of each customer, and the capacity of the entry.
///
/// Invariants: running requests and their tokens never exceed the current capacity at the last
/// admission; every waiting ticket is in exactly one queue; `ready` holds, for each rank, exactly
/// the customers that have a waiting request of that rank and are below their limit of
/// running requests, and `ready_returns` those of them whose request is one of a returning caller.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    settings: LimitSettings,
    capacity: AdmissionCapacity,
    customers: SlotMap<CustomerKey, CustomerRecord>,
    by_name: BTreeMap<CustomerName, CustomerKey>,
    tickets: SlotMap<TicketKey, AdmissionTicket>,
    ready: [BTreeSet<(ServiceTag, CustomerKey)>; RANKS],
    ready_returns: [BTreeSet<(ServiceTag, CustomerKey)>; RANKS],
    /// Waiting requests with a deadline, by the latest start that still meets the deadline.
    latest_starts: BTreeSet<(MonotonicTime, TicketKey)>,
    /// Sums of the weights of the customers in `ready`, by rank.
    ready_weight: [u64; RANKS],
    /// Admitted requests that no verdict or tick has reported yet.
    admitted: Vec<TicketKey>,
    in_flight: u32,
    in_flight_tokens: u64,
    queued: u32,
    /// Tokens of waiting requests, by rank.
    queued_tokens: [u64; RANKS],
    /// Highest tag of a served customer; a customer that was idle starts from this tag.
    served_tag: ServiceTag,
    admissions: u32,
    rate: ServedRate,
    /// Tokens of offered requests by rank, over [`DEMAND_WINDOW`].
    offered: [DecayingSum; RANKS],
    floor: PriorityFloor,
    return_credit: ReturnCredit,
    usual_demand: UsualDemand,
    counts: AdmissionCounts,
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
            ready_returns: Default::default(),
            latest_starts: BTreeSet::new(),
            ready_weight: [0; RANKS],
            admitted: Vec::new(),
            in_flight: 0,
            in_flight_tokens: 0,
            queued: 0,
            queued_tokens: [0; RANKS],
            served_tag: ServiceTag::default(),
            admissions: 0,
            rate: ServedRate::default(),
            offered: [DecayingSum::default(); RANKS],
            floor: PriorityFloor::new(settings.floor_percent),
            return_credit: ReturnCredit::new(settings.return_percent),
            usual_demand: UsualDemand::new(settings.usual_demand_percent),
            counts: AdmissionCounts::default(),
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
        let priority = offer.priority;
        let Some(key) = self.find_customer(now, &offer.customer) else {
            self.counts.of_mut(priority).refused += 1;
            let wait = self.settings.max_retry_after;
            return refuse(AdmissionRefusal::TooManyCustomers, Some(wait));
        };
        let verdict = self.decide(now, key, offer);
        if matches!(verdict, AdmissionVerdict::Refuse(_)) {
            self.count_refusal(key, priority);
        }
        verdict
    }

    /// Refuses waiting requests that can no longer meet their deadline, then admits requests as
    /// far as the capacity allows.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<AdmissionChange> {
        let mut changes = self.refuse_overdue(now);
        self.admit_ready(now);
        for ticket in std::mem::take(&mut self.admitted) {
            if let Some(record) = self.tickets.get(ticket) {
                let request = record.offer.request.clone();
                self.counts
                    .of_mut(record.offer.priority)
                    .admitted_after_wait += 1;
                changes.push(AdmissionChange::Admitted { ticket, request });
            }
        }
        changes
    }

    /// Removes a running or waiting request that ended or whose caller disconnected.
    pub fn finish(&mut self, now: MonotonicTime, ticket: TicketKey) {
        if let Some((started, tokens)) = self.release(ticket) {
            self.rate.count(now, tokens, now.since(started));
        }
    }

    /// Removes a request that was admitted and did not run, so that its time tells nothing about the
    /// capacity. Returns the start and the tokens of a running request.
    pub fn release(&mut self, ticket: TicketKey) -> Option<(MonotonicTime, u64)> {
        let record = self.tickets.get(ticket)?;
        let Some(started) = record.started else {
            self.dequeue(ticket);
            self.tickets.remove(ticket);
            return None;
        };
        let (key, tokens) = (record.customer, record.offer.tokens);
        self.tickets.remove(ticket);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_tokens = self.in_flight_tokens.saturating_sub(tokens);
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
        self.insert_ready(key);
        Some((started, tokens))
    }

    /// Capacity as last set.
    pub fn capacity(&self) -> AdmissionCapacity {
        self.capacity
    }

    /// Number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Tokens of running requests.
    pub fn in_flight_tokens(&self) -> u64 {
        self.in_flight_tokens
    }

    /// Counts of admitted, waiting and refused requests, by priority.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Counts of the customers with the most running and waiting requests, at most 64 of them.
    pub fn by_customer(&self) -> Vec<CustomerCounts> {
        let mut counts: Vec<CustomerCounts> = self
            .customers
            .values()
            .filter(|customer| !customer.is_idle() || customer.refused > 0)
            .map(CustomerRecord::counts)
            .collect();
        counts.sort_by(|one, other| {
            let rank = |c: &CustomerCounts| (c.in_flight + c.waiting, c.refused);
            let by_rank = rank(other).cmp(&rank(one));
            by_rank.then_with(|| one.customer.cmp(&other.customer))
        });
        counts.truncate(MAX_LISTED_CUSTOMERS);
        counts
    }

    fn decide(
        &mut self,
        now: MonotonicTime,
        key: CustomerKey,
        offer: AdmissionRequest,
    ) -> AdmissionVerdict {
        if offer.tokens > self.capacity.max_request_tokens {
            return refuse(AdmissionRefusal::TooLarge, None);
        }
        let place = self.find_place(now, key, &offer);
        self.floor.record_offer(place.rank);
        self.offered[place.rank as usize].record(now, DEMAND_WINDOW, offer.tokens);
        let wait = self.predict_wait(now, key, offer.tokens, place);
        if let Some(refusal) = self.find_refusal(now, key, &offer, place, wait) {
            if place.is_return {
                self.return_credit.give_back();
            }
            return AdmissionVerdict::Refuse(refusal);
        }
        if let Err(wait) = self.take_rate(now, key) {
            return refuse(
                AdmissionRefusal::RateLimited,
                Some(self.clamp_retry_after(wait)),
            );
        }
        let ticket = self.enqueue(key, offer, place);
        self.admit_ready(now);
        if let Some(position) = self.admitted.iter().position(|other| *other == ticket) {
            self.admitted.remove(position);
            return AdmissionVerdict::Admit(ticket);
        }
        AdmissionVerdict::Queue { ticket, wait }
    }

    /// Ranks an offer by its priority, or after all others if it is surplus.
    fn find_place(
        &mut self,
        now: MonotonicTime,
        key: CustomerKey,
        offer: &AdmissionRequest,
    ) -> QueuePlace {
        let customers = self.customers.len();
        let mut is_surplus = self.customers.get_mut(key).is_some_and(|customer| {
            let demand = &mut customer.demand;
            self.usual_demand
                .record(now, customers, demand, offer.tokens)
        });
        // A request in excess of its customer's usual demand does not use up credit.
        is_surplus = is_surplus || (offer.is_return && !self.return_credit.take());
        if is_surplus {
            return QueuePlace {
                rank: AdmissionRank::Surplus,
                is_return: false,
            };
        }
        QueuePlace {
            rank: offer.priority.into(),
            is_return: offer.is_return,
        }
    }

    fn count_refusal(&mut self, key: CustomerKey, priority: RequestPriority) {
        self.counts.of_mut(priority).refused += 1;
        if let Some(customer) = self.customers.get_mut(key) {
            customer.refused += 1;
        }
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
        place: QueuePlace,
        wait: Duration,
    ) -> Option<RequestRefusal> {
        let customer = self.customers.get(key)?;
        let is_full = self.queued >= self.settings.max_queued
            || customer.queued() >= customer.limits.max_queued as usize;
        let must_wait = !self.has_capacity(customer, offer.tokens, place);
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

    fn clamp_retry_after(&self, wait: Duration) -> Duration {
        wait.clamp(Duration::from_secs(1), self.settings.max_retry_after)
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
                self.count_refusal(record.customer, record.offer.priority);
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
