//! Tracks a chain in use: counts it as running, and reports its end to the planner and to the
//! health state of its engines.

use std::sync::Arc;

use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::poison::SendEnd;
use pollendrift_coordination::quarantine::{HeldRequest, SendKey};

use super::admission::SentDraft;
use super::chains::ReservedChain;
use super::context::RelayContext;
use super::request::RelayRequest;

use crate::clock::millis;
use crate::poison::TrackedSend;

/// A chain that counts as running until the guard is dropped or consumed by [`ChainGuard::failed`].
pub(super) struct ChainGuard {
    context: Arc<RelayContext>,
    pub(super) chain: ReservedChain,
    has_failed: bool,
    /// The draft in the quarantine, until its answer is complete.
    send: Option<SendKey>,
    /// The draft among the requests on servers, until its answer is complete.
    tracked: Option<TrackedSend>,
    /// The draft among those that admission counts as on engines.
    sent: Option<SentDraft>,
    /// Whether its answer has proven its parts, so that later events need not be recorded.
    is_proven: bool,
}

impl ChainGuard {
    pub(super) fn new(context: &Arc<RelayContext>, chain: ReservedChain) -> Self {
        context.health().started(chain.servers());
        Self {
            context: Arc::clone(context),
            chain,
            has_failed: false,
            send: None,
            tracked: None,
            sent: None,
            is_proven: false,
        }
    }

    /// Sets the draft that runs on the chain.
    pub(super) fn track(&mut self, send: SendKey) {
        self.send = Some(send);
    }

    /// Sets the request that is sent to the chain.
    pub(super) fn hold_tracked(&mut self, tracked: TrackedSend) {
        self.tracked = Some(tracked);
    }

    /// Waits for the sends of the same request by other hosts; returns false if they come first.
    pub(super) async fn await_turn(&self) -> bool {
        match &self.tracked {
            Some(tracked) => tracked.await_turn().await,
            None => true,
        }
    }

    /// Records that no engine of the chain took the request.
    pub(super) fn record_not_taken(&mut self) {
        if let Some(tracked) = self.tracked.take() {
            tracked.end(SendEnd::NotTaken);
        }
    }

    /// Sets the admitted draft that runs on the chain.
    pub(super) fn hold_sent(&mut self, sent: SentDraft) {
        self.sent = Some(sent);
    }

    /// Takes the draft out of the guard if its answer has proven its parts.
    pub(super) fn take_proven(&mut self) -> Option<SendKey> {
        if !self.is_proven {
            return None;
        }
        self.send.take()
    }

    /// Whether a draft with shared parts runs on the chain, no engine of which is known to have crashed.
    pub(super) fn may_have_crashed(&self) -> bool {
        let quarantine = &self.context.quarantine;
        self.send.is_some_and(|send| !quarantine.is_blamed(send))
    }

    /// Logs that the draft is sent to the chain.
    pub(super) fn log_sent(&self, request: &RelayRequest, now: MonotonicTime, attempt: u32) {
        let plan = &self.chain.plan;
        let stages: Vec<String> = plan
            .stages
            .iter()
            .map(|stage| format!("{}:{}", stage.server, stage.layers))
            .collect();
        log::info!(request = request.attempt.as_str(), route = &*request.route.name,
            content:% = request.content, try = attempt, parts = request.part_names().as_str(), chain = stages.join(" ").as_str(),
            predicted_ms = millis(plan.first_token), left_ms = millis(request.time_left(now)); "sent");
    }

    /// Records received events; `is_first` if they are the first of the chain. Returns the reason why
    /// the answer must be cut, if there is one.
    pub(super) fn record_events(
        &mut self,
        now: MonotonicTime,
        is_first: bool,
    ) -> Option<HeldRequest> {
        let quarantine = &self.context.quarantine;
        if let Some(send) = self.send.filter(|_| !self.is_proven) {
            self.is_proven = quarantine.record_event(send);
        }
        let held = self.send.and_then(|send| quarantine.cut(send));
        self.context.health().mark_alive(now, self.chain.servers());
        if is_first {
            self.context
                .chains()
                .record_first_event(now, self.chain.flight);
        }
        held
    }

    /// Records that the stream's first gap beyond the route's pause target occurred. Counts only
    /// for chains in another data centre.
    pub(super) fn record_late(&self, now: MonotonicTime) {
        if let Some(centre) = &self.chain.remote_data_centre {
            self.context.chains().record_late(now, centre);
        }
    }

    /// Records that the whole answer came.
    pub(super) fn record_complete(&mut self) {
        if let Some(send) = self.send.take() {
            self.context.quarantine.record_ended(send, true);
        }
        if let Some(tracked) = self.tracked.take() {
            tracked.end(SendEnd::Answered);
        }
    }

    /// Ends the chain as failed; `culprit` is the engine at fault, if known.
    pub(super) fn record_failed(mut self, culprit: Option<&ServerName>) {
        self.has_failed = true;
        let now = self.context.clock.now();
        self.context
            .chains()
            .record_failed(now, self.chain.flight, culprit);
    }
}

impl Drop for ChainGuard {
    fn drop(&mut self) {
        if let Some(send) = self.send {
            self.context.quarantine.record_ended(send, false);
        }
        let now = self.context.clock.now();
        self.context.health().ended(now, self.chain.servers());
        if self.has_failed {
            return;
        }
        self.context
            .chains()
            .record_finished(now, self.chain.flight);
    }
}
