//! Forwards a draft to another host, for the first time or after its last event.

use std::sync::Arc;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::streams::EventId;

use super::answer::OpenAnswer;
use super::drafts::DraftRun;
use super::peer_forward::FailedForward;

impl DraftRun {
    /// Whether the draft may be forwarded to another host now. Engines that it was sent to from here
    /// can't be reached any more, so they only limit the attempts of the other host.
    pub(super) fn may_forward(&self, now: MonotonicTime) -> bool {
        let may_send = self.forwards.runs() < self.request.max_attempts();
        let context = &self.context;
        may_send && context.may_forward(now, &self.request, &self.forwards)
    }

    /// Forwards the draft, if that is allowed, and waits for the head of the answer.
    pub(super) async fn forward(
        &mut self,
        now: MonotonicTime,
        resume_after: Option<EventId>,
    ) -> Option<OpenAnswer> {
        if !self.may_forward(now) {
            return None;
        }
        let service = &self.request.service.name;
        let (tried, is_repeat) = (self.tried_count(), self.is_repeat());
        let context = Arc::clone(&self.context);
        let history = context.forwarded_history(now, service, tried, is_repeat);
        let forwarding = context.forward(&self.request, &mut self.forwards, history, resume_after);
        match forwarding.await {
            Ok(answer) => {
                self.sends += 1;
                self.may_have_run = true;
                Some(answer)
            }
            Err(FailedForward::NotRun { has_arrived }) => {
                self.has_arrived |= has_arrived;
                None
            }
            Err(FailedForward::Unknown(failed)) => {
                self.record_failure(failed);
                None
            }
        }
    }

    /// Whether a stream that this host can't continue waits until `wait_until` for the return of its
    /// links. A draft that has not run is refused at once, since its caller can turn to another host.
    pub(super) fn waits_for_return(&self, wait_until: MonotonicTime) -> bool {
        self.may_have_run && self.context.clock.now() < wait_until
    }

    /// Servers that may have run the draft, those of other hosts included.
    fn tried_count(&self) -> u32 {
        self.tried_servers.count() + self.forwards.runs()
    }

    /// Whether the next send is a repeat: a server may have received the draft before.
    fn is_repeat(&self) -> bool {
        self.may_have_run || self.has_arrived
    }
}
