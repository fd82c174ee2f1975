//! Predicts how long a request waits until it starts.

use std::time::Duration;

use super::{AdmissionTable, DEMAND_WINDOW};
use crate::base::MonotonicTime;
use crate::limits::customer::{CustomerKey, CustomerRecord};
use crate::limits::rank::{AdmissionRank, QueuePlace};

/// Least part of the freed tokens that a rank is expected to get.
const MIN_RATE_PART: f64 = 1.0 / 16.0;

impl AdmissionTable {
    /// Predicts the time until a request starts: the time in which running requests free the tokens
    /// that it lacks and those of the requests that start before it.
    ///
    /// All waiting requests of higher ranks start before it, and those that arrive in the meantime.
    /// Of its own rank, these are the customer's own requests at its share, or those of all
    /// customers, whichever is less.
    pub(super) fn predict_wait(
        &self,
        now: MonotonicTime,
        key: CustomerKey,
        tokens: u64,
        place: QueuePlace,
    ) -> Duration {
        let Some(customer) = self.customers.get(key) else {
            return Duration::ZERO;
        };
        let Some(rate) = self
            .rate
            .estimate(self.in_flight_tokens)
            .filter(|_| !self.has_capacity(customer, tokens, place))
        else {
            return Duration::ZERO;
        };
        let left = (rate - self.demand_above(now, place.rank)).max(rate * MIN_RATE_PART);
        let ahead = self.tokens_ahead(customer, place);
        let needed = ahead + self.missing_tokens(tokens, place) as f64;
        Duration::try_from_secs_f64(needed / left).unwrap_or(Duration::MAX)
    }

    /// Whether the request would run at once.
    pub(super) fn has_capacity(
        &self,
        customer: &CustomerRecord,
        tokens: u64,
        place: QueuePlace,
    ) -> bool {
        self.in_flight < self.capacity.max_in_flight
            && self.missing_tokens(tokens, place) == 0
            && !self.has_waiting_above(place.rank)
            && self.is_first(place)
            && customer.in_flight < customer.limits.max_in_flight
    }

    /// Whether no request of the same rank of any customer starts before the request.
    fn is_first(&self, place: QueuePlace) -> bool {
        let index = place.rank as usize;
        if place.is_return {
            return self.ready_returns[index].is_empty();
        }
        self.ready[index].is_empty()
    }

    fn has_waiting_above(&self, rank: AdmissionRank) -> bool {
        let is_waiting = |other: AdmissionRank| !self.ready[other as usize].is_empty();
        !self.is_floor_due(rank) && rank.above().any(is_waiting)
    }

    /// Whether a request of `rank` that is offered now would be admitted by the floor.
    fn is_floor_due(&self, rank: AdmissionRank) -> bool {
        self.floor.is_due(rank) && self.ready[rank as usize].is_empty()
    }

    /// Tokens that must be freed until the request fits with its reserve.
    fn missing_tokens(&self, tokens: u64, place: QueuePlace) -> u64 {
        let is_due = self.is_floor_due(place.rank);
        let reserve = if is_due { 0 } else { self.reserve_of(place) };
        let needed = self.in_flight_tokens.saturating_add(tokens);
        let needed = needed.saturating_add(reserve);
        needed.saturating_sub(self.capacity.kv_tokens)
    }

    /// Tokens per second of the requests of higher ranks that arrive.
    fn demand_above(&self, now: MonotonicTime, rank: AdmissionRank) -> f64 {
        if self.is_floor_due(rank) {
            return 0.0;
        }
        let demand = |other: AdmissionRank| self.offered[other as usize].value(now, DEMAND_WINDOW);
        rank.above().map(demand).sum::<f64>() / DEMAND_WINDOW.as_secs_f64()
    }

    /// Tokens of waiting requests that start before the request.
    fn tokens_ahead(&self, customer: &CustomerRecord, place: QueuePlace) -> f64 {
        let rank = place.rank;
        if self.is_floor_due(rank) {
            return 0.0;
        }
        let index = rank as usize;
        let queued = |other: AdmissionRank| self.queued_tokens[other as usize];
        let higher: u64 = rank.above().map(queued).sum();
        let own_weight = u64::from(customer.weight());
        let is_listed = customer.is_ready && customer.has_waiting(rank);
        let weights = self.ready_weight[index] + if is_listed { 0 } else { own_weight };
        let share = own_weight as f64 / weights.max(1) as f64;
        let own = customer.tokens_ahead(place) as f64 / share;
        higher as f64 + own.min(queued(rank) as f64)
    }
}
