//! Finds requests that a customer sends in excess of its usual demand.
//!
//! While memory is short, requests are mostly refused at once, so that queues share little between
//! customers: without this, the others lose as much as a customer that sends ten times its usual
//! requests.

use std::time::Duration;

use super::decaying_sum::DecayingSum;
use crate::base::MonotonicTime;

/// Time over which the usual demand is averaged. A flood of a quarter of a minute hardly raises it.
const USUAL_WINDOW: Duration = Duration::from_secs(300);
/// Time over which the present demand is averaged.
const PRESENT_WINDOW: Duration = Duration::from_secs(4);
/// History without which no request is in excess: no customer has a usual demand yet.
const MIN_HISTORY: Duration = Duration::from_secs(15);
/// Requests that a customer may send at once. A host gets one request of a customer in 5 s, so that
/// three together are ordinary.
const BURST_REQUESTS: f64 = 4.0;
/// Least usual demand, relative to the mean of all customers; new customers have it.
const MIN_USUAL_PART: f64 = 0.5;

/// Demand of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CustomerDemand {
    usual: DecayingSum,
    /// Tokens that the customer may still request without excess.
    allowance: Option<f64>,
    updated: MonotonicTime,
}

/// Demand of all customers of a table.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualDemand {
    /// Multiple of its usual demand that is no excess; `None` if nothing is.
    factor: Option<f64>,
    usual: DecayingSum,
    present: DecayingSum,
    started: Option<MonotonicTime>,
}

impl UsualDemand {
    /// Creates a state without history; 0 percent is no limit.
    pub(super) fn new(percent: u32) -> Self {
        Self {
            factor: (percent > 0).then(|| f64::from(percent) / 100.0),
            usual: DecayingSum::default(),
            present: DecayingSum::default(),
            started: None,
        }
    }

    /// Records an offered request, and returns whether it is in excess of the customer's usual
    /// demand. Demand that rises for all customers alike is not.
    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        customers: usize,
        customer: &mut CustomerDemand,
        tokens: u64,
    ) -> bool {
        let Some(factor) = self.factor else {
            return false;
        };
        let history = now.since(*self.started.get_or_insert(now));
        let rise = self.rise(now, history);
        let mean = self.usual.value(now, USUAL_WINDOW) / customers.max(1) as f64;
        let usual = customer.usual.value(now, USUAL_WINDOW);
        let usual = usual.max(mean * MIN_USUAL_PART) / weighted_seconds(history, USUAL_WINDOW);
        let cost = tokens as f64;
        let burst = BURST_REQUESTS * cost;
        let earned = usual * factor * rise * now.since(customer.updated).as_secs_f64();
        let allowance = customer.allowance.map_or(burst, |left| left + earned);
        let allowance = allowance.min(burst);
        customer.updated = now;
        let is_excess = history >= MIN_HISTORY && allowance < cost;
        if is_excess {
            customer.allowance = Some(allowance);
            return true;
        }
        customer.allowance = Some((allowance - cost).max(0.0));
        // Requests in excess would soon make a flood usual while the history is short, and would
        // raise what all customers may send.
        customer.usual.record(now, USUAL_WINDOW, tokens);
        self.usual.record(now, USUAL_WINDOW, tokens);
        self.present.record(now, PRESENT_WINDOW, tokens);
        false
    }

    /// Present demand of all customers relative to their usual demand, at least 1.
    fn rise(&self, now: MonotonicTime, history: Duration) -> f64 {
        let usual = self.usual.value(now, USUAL_WINDOW) / weighted_seconds(history, USUAL_WINDOW);
        let present = self.present.value(now, PRESENT_WINDOW);
        let present = present / weighted_seconds(history, PRESENT_WINDOW);
        (present / usual.max(f64::MIN_POSITIVE)).clamp(1.0, 100.0)
    }
}

/// Sum of the weights of all times since the start, in seconds; at least one second.
fn weighted_seconds(history: Duration, window: Duration) -> f64 {
    let windows = history.as_secs_f64() / window.as_secs_f64();
    (window.as_secs_f64() * -(-windows).exp_m1()).max(1.0)
}
