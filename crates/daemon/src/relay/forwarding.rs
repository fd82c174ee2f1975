//! Forwards the events of one answer to the caller.

use std::time::Duration;

use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::quarantine::HeldRequest;
use pollendrift_coordination::routing::ChainVerdict;
use pollendrift_coordination::streams::{EventFramer, EventProgress};
use pollendrift_http::BodySender;
use tokio::time::timeout;

use super::answer::NextPart;
use super::drafts::{AnsweredDraft, DraftRun};

/// Events over which the usual gap is smoothed: half a second of a stream with 16 events a second.
const GAP_SMOOTHING: u32 = 8;

/// Longest time for the bytes of one event. Its bytes arrive together, or after they were sent again.
const MAX_EVENT_TIME: Duration = Duration::from_secs(2);

/// Reason why forwarding from one chain stopped.
pub(super) enum ChainEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The chain broke, or sent events that can't be forwarded.
    Broken(String),
    /// Engines of the chain do not answer.
    Silent(ChainVerdict),
    /// The answer was cut before its engine crashes under it.
    Held(HeldRequest),
}

/// Forwards the events of one answer and measures the gaps between them.
pub(super) struct EventForwarder {
    framer: EventFramer,
    /// Time since which the framer has an incomplete event.
    partial_since: Option<MonotonicTime>,
    /// Part that was received outside of [`EventForwarder::run`] and is forwarded first.
    pending: Option<NextPart>,
    /// Whether no event has arrived yet.
    is_first: bool,
    /// Time of the last event or, before the first, of the start.
    last_event_at: MonotonicTime,
    /// Time between two events, smoothed; zero before the second one.
    usual_gap: Duration,
    /// Whether a gap was longer than the route's `pause_target`.
    is_late: bool,
}

impl EventForwarder {
    /// Creates a forwarder that has received no event; its silence timer starts at `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            framer: EventFramer::default(),
            partial_since: None,
            pending: None,
            is_first: true,
            last_event_at: now,
            usual_gap: Duration::ZERO,
            is_late: false,
        }
    }

    /// Stores a part that was received outside of [`EventForwarder::run`], to forward it next.
    pub(super) fn put_back(&mut self, part: NextPart) {
        self.pending = Some(part);
    }

    /// Restarts the silence timer, after other engines replaced silent ones.
    pub(super) fn restart_silence_timer(&mut self, now: MonotonicTime) {
        self.last_event_at = now;
    }

    /// Forwards events until the chain ends, or until it is silent and the draft can continue
    /// elsewhere.
    pub(super) async fn run(
        &mut self,
        run: &DraftRun,
        running: &mut AnsweredDraft,
        progress: &mut EventProgress,
        sender: &BodySender,
    ) -> ChainEnd {
        loop {
            let part = match self.pending.take() {
                Some(part) => part,
                None => match self.receive(run, running).await {
                    Ok(part) => part,
                    Err(end) => return end,
                },
            };
            let data = match part {
                Some(Ok(data)) => data,
                None if self.framer.has_partial_event() => {
                    return ChainEnd::Broken(
                        "the chain ended its stream within an event".to_owned(),
                    );
                }
                None => return ChainEnd::Complete,
                Some(Err(reason)) => return ChainEnd::Broken(reason),
            };
            self.framer.push(&data);
            let batch = self.framer.next_batch(*progress);
            if !batch.bytes.is_empty() {
                let held = self.record_events(run, running);
                if !sender.send(batch.bytes).await {
                    return ChainEnd::CallerGone;
                }
                // Only now: another chain continues behind the last event that was sent.
                *progress = batch.progress;
                if let Some(held) = held {
                    return ChainEnd::Held(held);
                }
            }
            if let Some(fault) = batch.fault {
                return ChainEnd::Broken(fault.to_string());
            }
            if !self.is_event_in_time(run.context.clock.now()) {
                return ChainEnd::Broken("an event of the chain does not end".to_owned());
            }
        }
    }

    /// Whether the bytes of an incomplete event may still come.
    fn is_event_in_time(&mut self, now: MonotonicTime) -> bool {
        if !self.framer.has_partial_event() {
            self.partial_since = None;
            return true;
        }
        let since = *self.partial_since.get_or_insert(now);
        now.since(since) <= MAX_EVENT_TIME
    }

    async fn receive(
        &self,
        run: &DraftRun,
        running: &mut AnsweredDraft,
    ) -> Result<NextPart, ChainEnd> {
        let time_left = run.request.time_left(run.context.clock.now());
        let chain = running.chain.as_ref();
        let silence = async {
            match chain {
                Some(chain) => {
                    let (since, gap) = (self.last_event_at, self.usual_gap);
                    run.watch_for_silence(&chain.chain, since, gap).await
                }
                // The host that forwards the answer watches its chain.
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            part = timeout(time_left, running.answer.body.next()) => {
                part.map_err(|_| ChainEnd::Broken("the deadline of the request has passed".to_owned()))
            }
            verdict = silence => Err(ChainEnd::Silent(verdict)),
        }
    }

    /// Returns the reason why the answer must be cut, if there is one.
    fn record_events(
        &mut self,
        run: &DraftRun,
        running: &mut AnsweredDraft,
    ) -> Option<HeldRequest> {
        let now = run.context.clock.now();
        run.meter.record_events_sent(now);
        if !self.is_first {
            let gap = now.since(self.last_event_at);
            self.usual_gap = self.usual_gap - self.usual_gap / GAP_SMOOTHING + gap / GAP_SMOOTHING;
            let allowed = run.request.route.pause_target;
            if !self.is_late && allowed.is_some_and(|allowed| gap > allowed) {
                self.is_late = true;
                if let Some(chain) = &running.chain {
                    chain.record_late(now);
                }
            }
        }
        self.last_event_at = now;
        if let Some(ticket) = run.ticket.as_ref().filter(|_| self.is_first) {
            ticket.record_first_event(now);
        }
        let chain = running.chain.as_mut();
        let held = chain.and_then(|chain| chain.record_events(now, self.is_first));
        self.is_first = false;
        held
    }
}
