//! One customer's share, queues and limits.

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

/// Thousandths, so that small costs over large weights do not round to nothing.
const TAG_SCALE: u128 = 1_000;

/// Tokens served, divided by the weight; the customer with the lowest tag is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceTag(u128);

/// A customer that has requests here, or had some lately.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    pub(crate) name: CustomerName,
    pub(crate) limits: CustomerLimits,
    /// Never falls.
    pub(crate) tag: ServiceTag,
    pub(crate) in_flight: u32,
    pub(crate) queued_tokens: u64,
    /// Whether the table lists it as ready, with the weight that its limits give.
    pub(crate) is_ready: bool,
    bucket: Option<TokenBucket>,
    /// Waiting requests by priority, first come first.
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

    /// Takes one request from the rate, or says how long until there is one.
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

    pub(crate) fn drop_ticket(
        &mut self,
        priority: RequestPriority,
        ticket: TicketKey,
        tokens: u64,
    ) {
        self.queues[priority as usize].retain(|queued| *queued != ticket);
        self.queued_tokens = self.queued_tokens.saturating_sub(tokens);
    }

    /// Charges for a request that starts.
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
