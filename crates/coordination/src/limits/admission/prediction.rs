//! Predicts how long a request waits until it starts.

use std::time::Duration;

use super::AdmissionTable;
use crate::limits::customer::{CustomerKey, CustomerRecord};
use crate::limits::offer::{AdmissionRequest, RequestPriority};

impl AdmissionTable {
    /// Predicts the time until the offer starts: the time in which running requests free the tokens
    /// that it lacks and those of the requests that start before it.
    ///
    /// All requests of higher priorities start before it. Of its own priority, these are the
    /// customer's own requests at its share, or those of all customers, whichever is less.
    pub(super) fn predict_wait(&self, key: CustomerKey, offer: &AdmissionRequest) -> Duration {
        let Some(customer) = self.customers.get(key) else {
            return Duration::ZERO;
        };
        let Some(rate) = self
            .rate
            .estimate(self.in_flight_tokens)
            .filter(|_| !self.has_capacity(customer, offer))
        else {
            return Duration::ZERO;
        };
        let tokens = self.tokens_ahead(customer, offer) + self.missing_tokens(offer) as f64;
        Duration::try_from_secs_f64(tokens / rate).unwrap_or(Duration::MAX)
    }

    /// Whether the offer would run at once.
    pub(super) fn has_capacity(&self, customer: &CustomerRecord, offer: &AdmissionRequest) -> bool {
        let priority = offer.priority;
        self.in_flight < self.capacity.max_in_flight
            && self.missing_tokens(offer) == 0
            && !self.has_waiting_above(priority)
            && self.is_first(offer)
            && customer.in_flight < customer.limits.max_in_flight
    }

    /// Whether no request of the same priority of any customer starts before the offer.
    fn is_first(&self, offer: &AdmissionRequest) -> bool {
        let index = offer.priority as usize;
        if offer.is_return {
            return self.ready_returns[index].is_empty();
        }
        self.ready[index].is_empty()
    }

    fn has_waiting_above(&self, priority: RequestPriority) -> bool {
        if self.is_floor_due(priority) {
            return false;
        }
        let above = |other: &RequestPriority| *other > priority;
        let mut queues = RequestPriority::DESCENDING.into_iter().filter(above);
        queues.any(|other| !self.ready[other as usize].is_empty())
    }

    /// Whether a request of `priority` that is offered now would be admitted by the floor.
    fn is_floor_due(&self, priority: RequestPriority) -> bool {
        self.floor.is_due(priority) && self.ready[priority as usize].is_empty()
    }

    /// Tokens that must be freed until the offer fits with its reserve.
    fn missing_tokens(&self, offer: &AdmissionRequest) -> u64 {
        let reserve = if self.is_floor_due(offer.priority) {
            0
        } else {
            self.reserve_of(offer)
        };
        let needed = self.in_flight_tokens.saturating_add(offer.tokens);
        let needed = needed.saturating_add(reserve);
        needed.saturating_sub(self.capacity.kv_tokens)
    }

    /// Tokens of waiting requests that start before the offer.
    fn tokens_ahead(&self, customer: &CustomerRecord, offer: &AdmissionRequest) -> f64 {
        let priority = offer.priority;
        if self.is_floor_due(priority) {
            return 0.0;
        }
        let index = priority as usize;
        let above = |other: &RequestPriority| *other > priority;
        let higher = RequestPriority::DESCENDING.into_iter().filter(above);
        let higher: u64 = higher.map(|p| self.queued_tokens[p as usize]).sum();
        let own_weight = u64::from(customer.weight());
        let is_listed = customer.is_ready && customer.has_waiting(priority);
        let weights = self.ready_weight[index] + if is_listed { 0 } else { own_weight };
        let share = own_weight as f64 / weights.max(1) as f64;
        let own = customer.tokens_ahead(priority, offer.is_return) as f64 / share;
        higher as f64 + own.min(self.queued_tokens[index] as f64)
    }
}
