//! Events of one chain on their way to the caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use pollendrift_coordination::base::MonotonicTime;
use pollendrift_coordination::routing::ChainVerdict;
use pollendrift_coordination::streams::{EventFramer, EventProgress, EventVerdict};
use pollendrift_http::BodySender;
use tokio::time::timeout;

use super::drafts::{DraftRun, RunningDraft};

/// Events over which the usual gap is smoothed: half a second of a stream of 16 events a second.
const GAP_SMOOTHING: u32 = 8;

/// What a chain sent next; `None` at its end.
pub(super) type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// How the events of one chain ended, or paused.
pub(super) enum ChainEnd {
    /// The whole stream came.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The chain broke off, or sent what can't be passed on.
    Broken(String),
    /// Engines of it do not answer.
    Silent(ChainVerdict),
}

/// State of the passing on of one chain's events.
pub(super) struct EventForwarder {
    framer: EventFramer,
    /// What came while somebody else listened.
    pending: Option<NextFrame>,
    is_first: bool,
    heard_at: MonotonicTime,
    /// Time between two events, smoothed; zero before the second one.
    usual_gap: Duration,
    /// Whether a pause was longer than the route allows.
    is_late: bool,
}

impl EventForwarder {
    /// A pass before the first event.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            framer: EventFramer::default(),
            pending: None,
            is_first: true,
            heard_at: now,
            usual_gap: Duration::ZERO,
            is_late: false,
        }
    }

    /// Takes what came while somebody else listened; it is passed on next.
    pub(super) fn put_back(&mut self, frame: NextFrame) {
        self.pending = Some(frame);
    }

    /// Other engines have taken the place of silent ones: the silence counts from now on.
    pub(super) fn restart_silence(&mut self, now: MonotonicTime) {
        self.heard_at = now;
    }

    /// Passes events on until the chain ends, or falls silent while another could go on.
    pub(super) async fn run(
        &mut self,
        run: &DraftRun,
        running: &mut RunningDraft,
        progress: &mut EventProgress,
        sender: &BodySender,
    ) -> ChainEnd {
        loop {
            let frame = match self.pending.take() {
                Some(frame) => frame,
                None => match self.next(run, running).await {
                    Ok(frame) => frame,
                    Err(end) => return end,
                },
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                None if self.framer.has_partial_event() => {
                    return ChainEnd::Broken("it ended within an event".to_owned());
                }
                None => return ChainEnd::Complete,
                Some(Err(error)) => return ChainEnd::Broken(error.to_string()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.framer.push(&data);
            match deliver(&mut self.framer, progress) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    self.note(run, running);
                    if !sender.send(events).await {
                        return ChainEnd::CallerGone;
                    }
                }
                Err(reason) => return ChainEnd::Broken(reason),
            }
        }
    }

    async fn next(
        &self,
        run: &DraftRun,
        running: &mut RunningDraft,
    ) -> Result<NextFrame, ChainEnd> {
        let left = run.request.time_left(run.context.clock.now());
        tokio::select! {
            frame = timeout(left, next_frame(&mut running.answer.body)) => {
                frame.map_err(|_| ChainEnd::Broken("its time is over".to_owned()))
            }
            verdict = run.watch_for_silence(&running.chain.chain, self.heard_at, self.usual_gap) => {
                Err(ChainEnd::Silent(verdict))
            }
        }
    }

    fn note(&mut self, run: &DraftRun, running: &RunningDraft) {
        let now = run.context.clock.now();
        run.meter.events_sent(now);
        if !self.is_first {
            let gap = now.since(self.heard_at);
            self.usual_gap = self.usual_gap - self.usual_gap / GAP_SMOOTHING + gap / GAP_SMOOTHING;
            let allowed = run.request.route.pause_target;
            if !self.is_late && allowed.is_some_and(|allowed| gap > allowed) {
                self.is_late = true;
                running.chain.record_late(now);
            }
        }
        self.heard_at = now;
        running.chain.record_events(now, self.is_first);
        self.is_first = false;
    }
}

/// What a chain sends next. Nothing is lost if this is dropped before it is ready.
pub(super) async fn next_frame(body: &mut Incoming) -> NextFrame {
    body.frame().await
}

/// Whole events that the caller lacks, in order.
fn deliver(framer: &mut EventFramer, progress: &mut EventProgress) -> Result<Bytes, String> {
    let mut events: Vec<Bytes> = Vec::new();
    while let Some(event) = framer.next_event().map_err(|error| error.to_string())? {
        match progress.take(event.id) {
            EventVerdict::Deliver => events.push(event.bytes),
            EventVerdict::Seen => {}
            EventVerdict::Gap => return Err("events are missing".to_owned()),
        }
    }
    if events.len() == 1 {
        return Ok(events.swap_remove(0));
    }
    Ok(events.concat().into())
}
