//! Applies what servers state about their capacity in their answers, and holds requests back
//! accordingly.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use pollendrift_coordination::backpressure::{RateChange, StatedRate, UsedUpRate};
use pollendrift_coordination::base::{Incarnation, MonotonicTime, ServerName};
use pollendrift_dialect::{AnswerHead, RefusalKind};

use super::context::RelayContext;
use super::request::{Refused, refused};
use crate::clock::millis;

/// Least retry delay of a request that was held back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Greatest retry delay of a request that a limit held back. The limit may end at any time.
const MAX_RATE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Reason why a server gets no request from this host for a while.
#[derive(Clone, Debug, Display)]
pub(super) enum HeldBack {
    /// This host's share of the server's limit is used up.
    #[display("{_0}")]
    Rate(UsedUpRate),
    /// The server turned a request of this host away and asked it to back off.
    #[display("{server} asked this host to back off, for {} ms more", remaining.as_millis())]
    BackOff {
        /// Name of the server.
        server: ServerName,
        /// Time until the end of the back-off.
        remaining: Duration,
    },
}

impl HeldBack {
    /// Time until the server may get a request of this host.
    pub(super) fn wait(&self) -> Duration {
        match self {
            Self::Rate(used_up) => used_up.wait,
            Self::BackOff { remaining, .. } => *remaining,
        }
    }

    /// Refusal of a request that no server may get before the end of this wait.
    pub(super) fn refusal(&self) -> Refused {
        let wait = match self {
            Self::Rate(used_up) => used_up.wait.min(MAX_RATE_RETRY_AFTER),
            Self::BackOff { remaining, .. } => *remaining,
        };
        let wait = wait.max(MIN_RETRY_AFTER);
        refused(RefusalKind::NotRun, self.to_string()).retry_after(wait)
    }
}

/// Receiver of a request: the incarnation of a server that its answer is about.
#[derive(Clone, Debug)]
pub(super) struct SendReceiver {
    pub(super) server: ServerName,
    /// `None` if this host does not know the server any more.
    incarnation: Option<Incarnation>,
}

impl RelayContext {
    /// Returns the receiver of a request that is sent to `server` now.
    pub(super) fn receiver(&self, server: &ServerName) -> SendReceiver {
        SendReceiver {
            server: server.clone(),
            incarnation: self.fleet.worker_incarnation(server),
        }
    }

    /// Applies the statements of a server in the head of its answer to a request.
    pub(super) fn apply_statements(&self, receiver: &SendReceiver, head: &AnswerHead) {
        let server = &receiver.server;
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
        self.apply_unavailability(now, receiver, head);
    }

    /// Applies the statements of a server in the head of its answer to a probe or an order. Servers
    /// may omit them there, so that a missing limit does not end one.
    pub(super) fn apply_probe_statements(&self, receiver: &SendReceiver, head: &AnswerHead) {
        if matches!(head.accepted_rate, StatedRate::Limited(_)) {
            self.apply_statements(receiver, head);
        } else {
            self.apply_unavailability(self.clock.now(), receiver, head);
        }
    }

    fn apply_unavailability(&self, now: MonotonicTime, receiver: &SendReceiver, head: &AnswerHead) {
        let server = &receiver.server;
        if let Some(time) = head.back_off {
            self.fleet.back_offs().start(now, server, time);
            log::info!(server:% = server, back_off_ms = millis(time); "server asks this host to back off");
        }
        let Some(incarnation) = receiver.incarnation.filter(|_| head.leaving) else {
            return;
        };
        if self.fleet.record_leaving(now, server, incarnation) {
            log::info!(server:% = server, incarnation:% = incarnation; "server states that it leaves");
        }
    }

    /// Whether `server` may get new work of this host: its lease holds, and it has not asked this
    /// host to back off.
    pub(super) fn may_take_work(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.fleet.worker_may_take_work(now, server) && !self.has_back_off(now, server)
    }

    /// Whether `server` wants neither requests nor probes nor orders of this host now.
    pub(super) fn has_back_off(&self, now: MonotonicTime, server: &ServerName) -> bool {
        self.fleet.back_offs().is_active(now, server)
    }

    /// Whether any server may be held back. It spares a host without limits and back-offs the search
    /// for them, which each waiting draft repeats many times a second.
    pub(super) fn may_hold_back(&self) -> bool {
        !self.fleet.back_offs().is_empty() || self.fleet.rates().limited_count() > 0
    }

    /// Returns the shortest wait for one of `servers`; `None` if one of them is not held back, or if
    /// there are none.
    pub(super) fn shortest_hold<'a, S>(&self, now: MonotonicTime, servers: S) -> Option<HeldBack>
    where
        S: IntoIterator<Item = &'a ServerName>,
    {
        let holds = servers.into_iter().map(|server| self.hold_of(now, server));
        let holds: Option<Vec<HeldBack>> = holds.collect();
        holds?.into_iter().min_by_key(HeldBack::wait)
    }

    fn hold_of(&self, now: MonotonicTime, server: &ServerName) -> Option<HeldBack> {
        let remaining = self.fleet.back_offs().remaining(now, server);
        if let Some(remaining) = remaining {
            let server = server.clone();
            return Some(HeldBack::BackOff { server, remaining });
        }
        let mut rates = self.fleet.rates();
        if rates.may_send(now, server) {
            return None;
        }
        rates.used_up(now, server).map(HeldBack::Rate)
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

    /// Counts the request as waiting for `servers`, whose shares are used up.
    pub(super) fn join(&mut self, now: MonotonicTime, servers: &[ServerName]) {
        for server in servers {
            self.record_demand(now, server);
            if !self.waiting.contains(server) {
                self.waiting.push(server.clone());
                self.context.fleet.rates().add_waiting(server);
            }
        }
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
