//! The events of a draft, passed on whole and in order, over as many chains as it takes.

use bytes::Bytes;
use http_body_util::BodyExt;
use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::streams::{EventFramer, EventId, EventProgress, EventVerdict};
use pollendrift_http::BodySender;
use tokio::time::timeout;

use super::drafts::{DraftRun, RESUME_PATIENCE, RunningDraft};

/// A stream that runs.
pub(super) struct StreamRun {
    run: DraftRun,
    running: RunningDraft,
    progress: EventProgress,
}

/// How the events of one chain ended.
enum ChainEnd {
    /// The whole stream came.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The chain broke off, or sent what can't be passed on.
    Broken(String),
    /// These engines fell silent.
    Silent(Vec<ServerName>),
}

impl StreamRun {
    pub(super) fn new(run: DraftRun, running: RunningDraft, resume_after: Option<EventId>) -> Self {
        Self {
            run,
            running,
            progress: EventProgress::after(resume_after),
        }
    }
}

/// Passes a stream on to its end. Where it can't be ended, the connection is cut, so that the caller
/// never takes a part for the whole.
pub(super) async fn run_stream(stream: StreamRun, sender: BodySender) {
    let StreamRun {
        mut run,
        mut running,
        mut progress,
    } = stream;
    loop {
        let end = tokio::select! {
            end = pass_on(&run, &mut running, &mut progress, &sender) => end,
            () = sender.closed() => ChainEnd::CallerGone,
        };
        match end {
            ChainEnd::Whole => {
                running
                    .answer
                    .connection
                    .keep(&running.answer.parts.headers);
                sender.finish().await;
                run.log_end(OutcomeKind::Complete, progress.last());
                return;
            }
            ChainEnd::CallerGone => {
                run.log_end(OutcomeKind::CallerGone, progress.last());
                return;
            }
            ChainEnd::Broken(_) | ChainEnd::Silent(_) => {
                let (reason, suspects) = explain(end);
                let after = progress.last();
                log::info!(request = run.request.attempt.as_str(), reason = reason.as_str(),
                    after = after.map(|id| id.0); "chain broke");
                let next = tokio::select! {
                    next = go_on(&mut run, running, suspects, after) => next,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                let Some(next) = next else {
                    log::warn!(request = run.request.attempt.as_str(), reason = reason.as_str(); "stream cut");
                    run.log_end(OutcomeKind::Incomplete, after);
                    return;
                };
                running = next;
            }
        }
    }
}

/// Has another chain go on after the last event; `None` if none may or can.
async fn go_on(
    run: &mut DraftRun,
    running: RunningDraft,
    suspects: Vec<ServerName>,
    after: Option<EventId>,
) -> Option<RunningDraft> {
    let RunningDraft { answer, chain } = running;
    // The connection is closed first: the engine must not work on beside its successor.
    drop(answer);
    run.abandon(chain, suspects);
    let wait_until = run.context.clock.now().after(RESUME_PATIENCE);
    let next = run.open(after, wait_until).await?;
    next.answer.parts.status.is_success().then_some(next)
}

fn explain(end: ChainEnd) -> (String, Vec<ServerName>) {
    match end {
        ChainEnd::Silent(suspects) => ("engines fell silent".to_owned(), suspects),
        ChainEnd::Broken(reason) => (reason, Vec::new()),
        ChainEnd::Whole | ChainEnd::CallerGone => (String::new(), Vec::new()),
    }
}

async fn pass_on(
    run: &DraftRun,
    running: &mut RunningDraft,
    progress: &mut EventProgress,
    sender: &BodySender,
) -> ChainEnd {
    let mut framer = EventFramer::default();
    let mut is_first = true;
    let mut heard_at = run.context.clock.now();
    loop {
        let left = run.request.left(run.context.clock.now());
        let frame = tokio::select! {
            frame = timeout(left, running.answer.body.frame()) => frame,
            suspects = run.watch_for_other(&running.chain.chain, heard_at) => {
                return ChainEnd::Silent(suspects);
            }
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if framer.has_rest() => {
                return ChainEnd::Broken("it ended within an event".to_owned());
            }
            Ok(None) => return ChainEnd::Whole,
            Ok(Some(Err(error))) => return ChainEnd::Broken(error.to_string()),
            Err(_) => return ChainEnd::Broken("its time is over".to_owned()),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        framer.push(&data);
        let had_begun = progress.has_begun();
        match deliver(&mut framer, progress) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => {
                let now = run.context.clock.now();
                let since_last = had_begun.then(|| now.since(heard_at));
                run.meter.events_sent(now, since_last);
                heard_at = now;
                running.chain.heard(heard_at, is_first);
                is_first = false;
                if !sender.send(events).await {
                    return ChainEnd::CallerGone;
                }
            }
            Err(reason) => return ChainEnd::Broken(reason),
        }
    }
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
