//! Queues, limits and fair-queueing tag of one customer.

use std::collections::VecDeque;

use slotmap::new_key_type;

use super::bucket::TokenBucket;
use super::counts::CustomerCounts;
use super::offer::TicketKey;
use super::rank::{AdmissionRank, QueuePlace, RANKS};
use super::settings::CustomerLimits;
use super::usual_demand::CustomerDemand;
use crate::base::{CustomerName, MonotonicTime};

new_key_type! {
    /// Key of a customer in its admission table.
    pub(crate) struct CustomerKey;
}

/// Tags count thousandths, so that a small cost divided by a large weight does not round to zero.
const TAG_SCALE: u128 = 1_000;

/// Served tokens divided by the customer's weight; the customer with the lowest tag runs next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceTag(u128);

/// Waiting requests of one rank; those of returning callers run first.
#[derive(Clone, Debug, Default)]
struct RankQueue {
    /// Requests of returning callers, in order of arrival.
    returns: VecDeque<TicketKey>,
    /// Other requests, in order of arrival.
    first_time: VecDeque<TicketKey>,
    /// Tokens of `returns`.
    return_tokens: u64,
    /// Tokens of `first_time`.
    first_time_tokens: u64,
}

impl RankQueue {
    fn len(&self) -> usize {
        self.returns.len() + self.first_time.len()
    }

    fn part(&mut self, is_return: bool) -> (&mut VecDeque<TicketKey>, &mut u64) {
        if is_return {
            return (&mut self.returns, &mut self.return_tokens);
        }
        (&mut self.first_time, &mut self.first_time_tokens)
    }
}

/// A customer with current or recent requests.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    pub(crate) name: CustomerName,
    pub(crate) limits: CustomerLimits,
    /// Never decreases.
    pub(crate) tag: ServiceTag,
    pub(crate) in_flight: u32,
    /// Requests admitted since the customer is remembered.
    pub(crate) admitted: u64,
    /// Requests refused since then.
    pub(crate) refused: u64,
    /// Whether the admission table lists the customer as ready and counts its weight.
    pub(crate) is_ready: bool,
    pub(super) demand: CustomerDemand,
    bucket: Option<TokenBucket>,
    /// Waiting requests by rank.
    queues: [RankQueue; RANKS],
}

impl CustomerRecord {
    pub(crate) fn new(now: MonotonicTime, name: CustomerName, limits: CustomerLimits) -> Self {
        Self {
            name,
            limits,
            tag: ServiceTag::default(),
            in_flight: 0,
            admitted: 0,
            refused: 0,
            is_ready: false,
            demand: CustomerDemand::default(),
            bucket: make_bucket(now, &limits),
            queues: Default::default(),
        }
    }

    pub(crate) fn set_limits(&mut self, now: MonotonicTime, limits: CustomerLimits) {
        self.limits = limits;
        let rate = f64::from(limits.requests_per_second);
        match &mut self.bucket {
            Some(bucket) if limits.requests_per_second > 0 => {
                bucket.configure(now, rate, f64::from(limits.burst.max(1)));
            }
            bucket => *bucket = make_bucket(now, &limits),
        }
    }

    /// Takes one request from the rate limit, or returns the time until one is allowed.
    pub(crate) fn take_rate(&mut self, now: MonotonicTime) -> Result<(), std::time::Duration> {
        self.bucket
            .as_mut()
            .map_or(Ok(()), |bucket| bucket.take(now))
    }

    pub(crate) fn weight(&self) -> u32 {
        self.limits.weight.max(1)
    }

    pub(crate) fn queued(&self) -> usize {
        self.queues.iter().map(RankQueue::len).sum()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.queued() == 0
    }

    pub(crate) fn counts(&self) -> CustomerCounts {
        CustomerCounts {
            customer: self.name.clone(),
            in_flight: self.in_flight,
            waiting: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            admitted: self.admitted,
            refused: self.refused,
        }
    }

    pub(crate) fn has_waiting(&self, rank: AdmissionRank) -> bool {
        self.queues[rank as usize].len() > 0
    }

    /// Returns the request of `rank` that runs next.
    pub(crate) fn first(&self, rank: AdmissionRank) -> Option<TicketKey> {
        let first_time = self.queues[rank as usize].first_time.front();
        self.first_return(rank).or(first_time.copied())
    }

    /// Returns the request of `rank` that runs next among those of returning callers.
    pub(crate) fn first_return(&self, rank: AdmissionRank) -> Option<TicketKey> {
        self.queues[rank as usize].returns.front().copied()
    }

    /// Tokens of the requests that run before a further one at `place`.
    pub(crate) fn tokens_ahead(&self, place: QueuePlace) -> u64 {
        let queue = &self.queues[place.rank as usize];
        let first_time = if place.is_return {
            0
        } else {
            queue.first_time_tokens
        };
        queue.return_tokens + first_time
    }

    pub(crate) fn push(&mut self, place: QueuePlace, ticket: TicketKey, tokens: u64) {
        let (queue, queued_tokens) = self.queues[place.rank as usize].part(place.is_return);
        queue.push_back(ticket);
        *queued_tokens += tokens;
    }

    pub(crate) fn remove_ticket(&mut self, place: QueuePlace, ticket: TicketKey, tokens: u64) {
        let (queue, queued_tokens) = self.queues[place.rank as usize].part(place.is_return);
        queue.retain(|queued| *queued != ticket);
        *queued_tokens = queued_tokens.saturating_sub(tokens);
    }

    /// Advances the tag by the cost of a request that starts.
    pub(crate) fn charge(&mut self, tokens: u64) {
        let cost = u128::from(tokens.max(1)) * TAG_SCALE / u128::from(self.weight());
        self.tag = ServiceTag(self.tag.0.saturating_add(cost.max(1)));
    }
}

fn make_bucket(now: MonotonicTime, limits: &CustomerLimits) -> Option<TokenBucket> {
    let rate = f64::from(limits.requests_per_second);
    let burst = f64::from(limits.burst.max(1));
    (limits.requests_per_second > 0).then(|| TokenBucket::new(now, rate, burst))
}
