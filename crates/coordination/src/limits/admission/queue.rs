//! Queues of waiting requests, and which customers are ready to start one.

use super::{AdmissionTable, AdmissionTicket, latest_start};
use crate::base::MonotonicTime;
use crate::limits::customer::CustomerKey;
use crate::limits::offer::{AdmissionRequest, TicketKey};
use crate::limits::rank::{AdmissionRank, QueuePlace};

impl AdmissionTable {
    pub(super) fn enqueue(
        &mut self,
        key: CustomerKey,
        offer: AdmissionRequest,
        place: QueuePlace,
    ) -> TicketKey {
        let (priority, tokens) = (offer.priority, offer.tokens);
        let latest = offer
            .deadline
            .map(|deadline| latest_start(deadline, offer.run_time));
        let ticket = self.tickets.insert(AdmissionTicket {
            offer,
            customer: key,
            place,
            started: None,
        });
        if let Some(latest) = latest {
            self.latest_starts.insert((latest, ticket));
        }
        self.queued += 1;
        self.queued_tokens[place.rank as usize] += tokens;
        self.counts.of_mut(priority).waiting += 1;
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            // An idle customer earns no credit for the time in which it had no waiting requests.
            if customer.queued() == 0 {
                customer.tag = customer.tag.max(self.served_tag);
            }
            customer.push(place, ticket, tokens);
        }
        self.insert_ready(key);
        ticket
    }

    /// Removes a ticket from its queue.
    pub(super) fn dequeue(&mut self, ticket: TicketKey) {
        let Some(record) = self.tickets.get(ticket) else {
            return;
        };
        let (key, priority, tokens) = (record.customer, record.offer.priority, record.offer.tokens);
        let place = record.place;
        if let Some(deadline) = record.offer.deadline {
            let latest = latest_start(deadline, record.offer.run_time);
            self.latest_starts.remove(&(latest, ticket));
        }
        self.queued = self.queued.saturating_sub(1);
        let queued_tokens = &mut self.queued_tokens[place.rank as usize];
        *queued_tokens = queued_tokens.saturating_sub(tokens);
        let counts = self.counts.of_mut(priority);
        counts.waiting = counts.waiting.saturating_sub(1);
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.remove_ticket(place, ticket, tokens);
        }
        self.insert_ready(key);
    }

    /// Moves a waiting request to the running ones.
    pub(super) fn start(&mut self, now: MonotonicTime, ticket: TicketKey) {
        self.dequeue(ticket);
        let Some(record) = self.tickets.get_mut(ticket) else {
            return;
        };
        record.started = Some(now);
        let (key, tokens) = (record.customer, record.offer.tokens);
        let (priority, rank) = (record.offer.priority, record.place.rank);
        self.in_flight += 1;
        self.in_flight_tokens += tokens;
        self.admissions = self.admissions.wrapping_add(1);
        self.floor.record_admission(rank);
        self.return_credit.record_admission();
        self.counts.of_mut(priority).admitted += 1;
        self.remove_ready(key);
        if let Some(customer) = self.customers.get_mut(key) {
            self.served_tag = self.served_tag.max(customer.tag);
            customer.charge(tokens);
            customer.in_flight += 1;
            customer.admitted += 1;
        }
        self.insert_ready(key);
    }

    /// Removes a customer from the ready sets. Required before its tag, queues or counts change.
    pub(super) fn remove_ready(&mut self, key: CustomerKey) {
        let Some(customer) = self.customers.get_mut(key).filter(|c| c.is_ready) else {
            return;
        };
        customer.is_ready = false;
        for rank in AdmissionRank::DESCENDING {
            if !customer.has_waiting(rank) {
                continue;
            }
            let index = rank as usize;
            self.ready_weight[index] -= u64::from(customer.weight());
            self.ready[index].remove(&(customer.tag, key));
            self.ready_returns[index].remove(&(customer.tag, key));
        }
    }

    /// Adds a customer to the ready sets of the ranks of which it may start a request.
    pub(super) fn insert_ready(&mut self, key: CustomerKey) {
        let Some(customer) = self.customers.get_mut(key) else {
            return;
        };
        if customer.queued() == 0 || customer.in_flight >= customer.limits.max_in_flight {
            return;
        }
        customer.is_ready = true;
        for rank in AdmissionRank::DESCENDING {
            if !customer.has_waiting(rank) {
                continue;
            }
            let index = rank as usize;
            self.ready_weight[index] += u64::from(customer.weight());
            self.ready[index].insert((customer.tag, key));
            if customer.first_return(rank).is_some() {
                self.ready_returns[index].insert((customer.tag, key));
            }
        }
    }
}
