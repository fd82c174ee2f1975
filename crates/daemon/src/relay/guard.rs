//! A chain in use: counted while it runs, and its end told to those who choose the next.

use std::sync::Arc;

use pollendrift_coordination::base::{MonotonicTime, ServerName};

use super::chains::ReservedChain;
use super::context::RelayContext;
use super::request::RelayRequest;
use crate::clock::millis;

/// A chain that counts as running until this is ended or dropped.
pub(super) struct ChainGuard {
    context: Arc<RelayContext>,
    pub(super) chain: ReservedChain,
    ended: bool,
}

impl ChainGuard {
    pub(super) fn new(context: &Arc<RelayContext>, chain: ReservedChain) -> Self {
        context.health().started(chain.servers());
        Self {
            context: Arc::clone(context),
            chain,
            ended: false,
        }
    }

    /// Notes that the draft goes to it.
    pub(super) fn log_sent(&self, request: &RelayRequest, now: MonotonicTime, attempt: u32) {
        let plan = &self.chain.plan;
        let stages: Vec<String> = plan
            .stages
            .iter()
            .map(|stage| format!("{}:{}", stage.server, stage.layers))
            .collect();
        log::info!(request = request.attempt.as_str(), route = &*request.route.name,
            try = attempt, chain = stages.join(" ").as_str(),
            predicted_ms = millis(plan.first_token), left_ms = millis(request.time_left(now)); "sent");
    }

    /// Events came; `is_first` if none had before.
    pub(super) fn record_events(&self, now: MonotonicTime, is_first: bool) {
        self.context.health().mark_alive(now, self.chain.servers());
        if is_first {
            self.context
                .chains()
                .record_first_event(now, self.chain.flight);
        }
    }

    /// Its stream broke the pauses that its route allows, for the first time.
    pub(super) fn record_late(&self, now: MonotonicTime) {
        if let Some(centre) = &self.chain.remote_data_centre {
            self.context.chains().record_late(now, centre);
        }
    }

    /// It failed, by the fault of `culprit` where that is known.
    pub(super) fn failed(mut self, culprit: Option<&ServerName>) {
        self.ended = true;
        let now = self.context.clock.now();
        self.context
            .chains()
            .record_failed(now, self.chain.flight, culprit);
    }
}

impl Drop for ChainGuard {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        self.context.health().ended(now, self.chain.servers());
        if self.ended {
            return;
        }
        self.context
            .chains()
            .record_finished(now, self.chain.flight);
    }
}
