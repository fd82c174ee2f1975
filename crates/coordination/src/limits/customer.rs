//! Queues, limits and fair-queueing tag of one customer.

use std::collections::VecDeque;

use slotmap::new_key_type;

use super::bucket::TokenBucket;
use super::offer::{RequestPriority, TicketKey};
use super::settings::CustomerLimits;
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

/// A customer with current or recent requests.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    pub(crate) name: CustomerName,
    pub(crate) limits: CustomerLimits,
    /// Never decreases.
    pub(crate) tag: ServiceTag,
    pub(crate) in_flight: u32,
    pub(crate) queued_tokens: u64,
    /// Whether the admission table lists the customer as ready and counts its weight.
    pub(crate) is_ready: bool,
    bucket: Option<TokenBucket>,
    /// Waiting requests by priority, in order of arrival.
    queues: [VecDeque<TicketKey>; 3],
}

impl CustomerRecord {
    pub(crate) fn new(now: MonotonicTime, name: CustomerName, limits: CustomerLimits) -> Self {
        Self {
            name,
            limits,
            tag: ServiceTag::default(),
            in_flight: 0,
            queued_tokens: 0,
            is_ready: false,
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
        self.queues.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.queued() == 0
    }

    pub(crate) fn queue(&self, priority: RequestPriority) -> &VecDeque<TicketKey> {
        &self.queues[priority as usize]
    }

    pub(crate) fn push(&mut self, priority: RequestPriority, ticket: TicketKey, tokens: u64) {
        self.queues[priority as usize].push_back(ticket);
        self.queued_tokens += tokens;
    }

    pub(crate) fn remove_ticket(
        &mut self,
        priority: RequestPriority,
        ticket: TicketKey,
        tokens: u64,
    ) {
        self.queues[priority as usize].retain(|queued| *queued != ticket);
        self.queued_tokens = self.queued_tokens.saturating_sub(tokens);
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
