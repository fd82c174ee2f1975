//! The events of a draft, passed on whole and in order, over as many chains as it takes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use pollendrift_coordination::streams::{EventFramer, EventId, EventProgress, EventVerdict};
use pollendrift_http::BodySender;
use tokio::time::timeout;

use super::drafts::{ChainGuard, DraftRun, RunningDraft};

/// Silence of a stream after which its chain is taken for broken, where its route names no longest
/// pause.
const DEFAULT_SILENCE: Duration = Duration::from_millis(1_000);

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
    /// The chain broke off, was silent, or sent what can't be passed on.
    Broken(String),
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
                return;
            }
            ChainEnd::CallerGone => return,
            ChainEnd::Broken(reason) => {
                let after = progress.last();
                log::info!(request = run.request.attempt.as_str(), reason = reason.as_str(),
                    after = after.map(|id| id.0); "chain broke");
                let next = tokio::select! {
                    next = go_on(&mut run, running, after) => next,
                    () = sender.closed() => return,
                };
                let Some(next) = next else {
                    log::warn!(request = run.request.attempt.as_str(), reason = reason.as_str(); "stream cut");
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
    after: Option<EventId>,
) -> Option<RunningDraft> {
    let RunningDraft { answer, chain } = running;
    // The connection is closed first: the engine must not work on beside its successor.
    drop(answer);
    exclude_all(run, &chain);
    chain.failed(None);
    let next = run.open(after).await?;
    next.answer.parts.status.is_success().then_some(next)
}

/// Nothing tells which stage of a chain is silent, so all of its engines are left out of the next.
fn exclude_all(run: &mut DraftRun, chain: &ChainGuard) {
    let stages = chain.chain.plan.stages.iter();
    run.excluded
        .extend(stages.map(|stage| stage.server.clone()));
}

async fn pass_on(
    run: &DraftRun,
    running: &mut RunningDraft,
    progress: &mut EventProgress,
    sender: &BodySender,
) -> ChainEnd {
    let mut framer = EventFramer::default();
    let mut is_first = true;
    loop {
        let left = run.request.left(run.context.clock.now());
        let silence = if is_first {
            left
        } else {
            silence(run).min(left)
        };
        let frame = match timeout(silence, running.answer.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if framer.has_rest() => {
                return ChainEnd::Broken("it ended within an event".to_owned());
            }
            Ok(None) => return ChainEnd::Whole,
            Ok(Some(Err(error))) => return ChainEnd::Broken(error.to_string()),
            Err(_) => return ChainEnd::Broken("it was silent for too long".to_owned()),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        framer.push(&data);
        match deliver(&mut framer, progress) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => {
                if is_first {
                    running.chain.first_event();
                    is_first = false;
                }
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

/// Silence after which the chain is taken for broken.
fn silence(run: &DraftRun) -> Duration {
    run.request
        .route
        .pause_target
        .map_or(DEFAULT_SILENCE, |pause| pause * 2)
}
