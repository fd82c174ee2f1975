//! Chooses the request that starts next.

use super::AdmissionTable;
use crate::base::MonotonicTime;
use crate::limits::offer::TicketKey;
use crate::limits::rank::{AdmissionRank, QueuePlace};

/// Reserve of surplus requests, in reserves of batch requests. With a smaller reserve, returning
/// callers are admitted in place of new requests after an overload.
const SURPLUS_RESERVES: u64 = 4;

impl AdmissionTable {
    /// Starts waiting requests as far as the capacity allows.
    pub(super) fn admit_ready(&mut self, now: MonotonicTime) {
        while let Some(ticket) = self.find_next() {
            self.start(now, ticket);
            self.admitted.push(ticket);
        }
    }

    /// Memory that a request leaves free, in tokens.
    pub(super) fn reserve_of(&self, place: QueuePlace) -> u64 {
        if place.is_return {
            return 0;
        }
        match place.rank {
            AdmissionRank::Urgent => 0,
            AdmissionRank::Normal => self.capacity.reserve.normal,
            AdmissionRank::Batch => self.capacity.reserve.batch,
            AdmissionRank::Surplus => self.capacity.reserve.batch.saturating_mul(SURPLUS_RESERVES),
        }
    }

    /// Returns the request that runs next, if the capacity allows it.
    fn find_next(&self) -> Option<TicketKey> {
        if self.in_flight >= self.capacity.max_in_flight {
            return None;
        }
        self.find_by_floor()
            .or_else(|| self.find_low_turn())
            .or_else(|| self.find_by_priority())
    }

    /// Returns the first request of a rank that saved up a whole admission.
    fn find_by_floor(&self) -> Option<TicketKey> {
        let mut due = AdmissionRank::DESCENDING
            .into_iter()
            .filter(|rank| self.floor.is_due(*rank));
        due.find_map(|rank| {
            let ticket = self.first(rank)?;
            self.fits(ticket, 0).then_some(ticket)
        })
    }

    /// Returns the first request of the lowest rank if every n-th admission is its turn.
    fn find_low_turn(&self) -> Option<TicketKey> {
        let every = self.settings.low_priority_every.max(2);
        if self.floor.is_active() || self.admissions % every != every - 1 {
            return None;
        }
        let ascending = AdmissionRank::DESCENDING.into_iter().rev();
        let ticket = ascending.filter_map(|rank| self.first(rank)).next()?;
        self.fits_with_reserve(ticket).then_some(ticket)
    }

    /// Returns the first request of the highest rank.
    ///
    /// A request that does not fit in the KV cache blocks the requests behind it: skipping it would
    /// starve large requests. One that is blocked only by its reserve lets returning requests pass.
    fn find_by_priority(&self) -> Option<TicketKey> {
        let mut is_reserved = false;
        for rank in AdmissionRank::DESCENDING {
            let Some(ticket) = self.first(rank) else {
                continue;
            };
            if !is_reserved && self.fits_with_reserve(ticket) {
                return Some(ticket);
            }
            if !is_reserved && !self.fits(ticket, 0) {
                return None;
            }
            is_reserved = true;
            let returning = self.first_return(rank);
            if let Some(ticket) = returning.filter(|ticket| self.fits(*ticket, 0)) {
                return Some(ticket);
            }
        }
        None
    }

    fn first(&self, rank: AdmissionRank) -> Option<TicketKey> {
        let (_, key) = self.ready[rank as usize].first()?;
        self.customers.get(*key)?.first(rank)
    }

    fn first_return(&self, rank: AdmissionRank) -> Option<TicketKey> {
        let (_, key) = self.ready_returns[rank as usize].first()?;
        self.customers.get(*key)?.first_return(rank)
    }

    fn fits_with_reserve(&self, ticket: TicketKey) -> bool {
        let reserve = self.tickets.get(ticket).map(|t| self.reserve_of(t.place));
        reserve.is_some_and(|reserve| self.fits(ticket, reserve))
    }

    fn fits(&self, ticket: TicketKey, reserve: u64) -> bool {
        let Some(record) = self.tickets.get(ticket) else {
            return false;
        };
        let needed = self.in_flight_tokens.saturating_add(record.offer.tokens);
        needed.saturating_add(reserve) <= self.capacity.kv_tokens
    }
}
