//! Applies what servers state about their capacity in their answers, and lets requests wait for
//! this host's share of a limit.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_coordination::backpressure::{RateChange, StatedRate, UsedUpRate};
use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_dialect::{AnswerHead, RefusalKind};

use super::context::RelayContext;
use super::request::{Refused, refused};
use crate::clock::millis;

/// Least retry delay of a request that a limit held back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Greatest retry delay of a request that a limit held back. The limit may end at any time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl RelayContext {
    /// Applies the statements of `server` in the head of its answer to a request.
    pub(super) fn apply_statements(&self, server: &ServerName, head: &AnswerHead) {
        if head.accepted_rate == StatedRate::Invalid {
            log::warn!(server:% = server; "server states a request rate that can't be decoded; its last valid statement holds");
        }
        let now = self.clock.now();
        let change = self
            .fleet
            .rates()
            .apply_statement(now, server, head.accepted_rate);
        if let Some(change) = change {
            log_rate_change(server, change);
        }
        if let Some(time) = head.back_off {
            self.fleet.back_offs().start(now, server, time);
            log::info!(server:% = server, back_off_ms = millis(time); "server asks this host to back off");
        }
    }

    /// Applies the statements of `server` in the head of its answer to a probe or an order. Servers
    /// may omit them there, so that a missing limit does not end one.
    pub(super) fn apply_probe_statements(&self, server: &ServerName, head: &AnswerHead) {
        if matches!(head.accepted_rate, StatedRate::Limited(_)) {
            self.apply_statements(server, head);
        }
    }

    /// Whether the limit of `server` allows this host to send a request to it now.
    pub(super) fn has_rate(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.fleet.rates().may_send(now, server)
    }

    /// Takes a request to `server` out of this host's share of its limit. False if the share is
    /// used up.
    pub(super) fn take_rate(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.fleet.rates().take(now, server)
    }
}

/// Limits that one request met: the servers that it would be sent to count it in their demand, and
/// those whose share is used up count it as waiting until it leaves.
pub(super) struct RateQueue {
    context: Arc<RelayContext>,
    /// Servers whose demand contains the request.
    demanded: Vec<ServerName>,
    /// Servers that count the request as waiting.
    waiting: Vec<ServerName>,
}

impl RateQueue {
    pub(super) fn new(context: &Arc<RelayContext>) -> Self {
        Self {
            context: Arc::clone(context),
            demanded: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Counts the request in the demand for `server`, once.
    pub(super) fn record_demand(&mut self, now: MonotonicTime, server: &ServerName) {
        if !self.demanded.contains(server) {
            self.demanded.push(server.clone());
            self.context.fleet.rates().record_demand(now, server);
        }
    }

    /// Counts the request as waiting for `servers`, whose shares are used up, and returns the limit
    /// with the shortest wait. `None` if none of them is limited any more.
    pub(super) fn join(
        &mut self,
        now: MonotonicTime,
        servers: &[ServerName],
    ) -> Option<UsedUpRate> {
        let mut used_up = Vec::new();
        for server in servers {
            self.record_demand(now, server);
            let mut rates = self.context.fleet.rates();
            used_up.extend(rates.used_up(now, server));
            if !self.waiting.contains(server) {
                self.waiting.push(server.clone());
                rates.add_waiting(server);
            }
        }
        used_up.into_iter().min_by_key(|used_up| used_up.wait)
    }

    /// Whether the request has waited for any server.
    pub(super) fn has_joined(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Servers whose shares were used up when the request met them, and still are.
    pub(super) fn used_up_servers(&self, now: MonotonicTime) -> Vec<ServerName> {
        let waiting = self.waiting.iter();
        let used_up = waiting.filter(|server| !self.context.has_rate(now, server));
        used_up.cloned().collect()
    }

    /// Ends the wait: the request was sent, or gives up.
    pub(super) fn leave(&mut self) {
        for server in self.waiting.drain(..) {
            self.context.fleet.rates().remove_waiting(&server);
        }
    }
}

impl Drop for RateQueue {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Refusal of a request that no server may get because of `used_up`.
pub(super) fn rate_refusal(used_up: &UsedUpRate) -> Refused {
    let wait = used_up.wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    refused(RefusalKind::NotRun, used_up.to_string()).retry_after(wait)
}

fn log_rate_change(server: &ServerName, change: RateChange) {
    match change {
        RateChange::Limited { rate, former } => {
            let former = former.map_or_else(|| "none".to_owned(), |former| former.to_string());
            log::info!(server:% = server, rate:% = rate, former = former.as_str(); "server states a request rate");
        }
        RateChange::Ended { former } => {
            log::info!(server:% = server, former:% = former; "server no longer states a request rate");
        }
    }
}
