//! The events of a draft, passed on whole and in order, over as many chains as it takes.

use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::streams::{EventId, EventProgress};
use pollendrift_http::BodySender;

use super::drafts::{DraftRun, RunningDraft};
use super::forwarding::{ChainEnd, EventForwarder, NextFrame, next_frame};

/// A stream that runs.
pub(super) struct StreamRun {
    run: DraftRun,
    running: RunningDraft,
    progress: EventProgress,
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
    let mut pass = EventForwarder::new(run.context.clock.now());
    loop {
        let end = tokio::select! {
            end = pass.run(&run, &mut running, &mut progress, &sender) => end,
            () = sender.closed() => ChainEnd::CallerGone,
        };
        let after = progress.last();
        run.reroutes.events_written =
            after.map_or(0, |last| u32::try_from(last.0).unwrap_or(u32::MAX));
        match end {
            ChainEnd::Complete => {
                running
                    .answer
                    .connection
                    .keep(&running.answer.parts.headers);
                sender.finish().await;
                run.log_end(OutcomeKind::Complete, after);
                return;
            }
            ChainEnd::CallerGone => {
                run.log_end(OutcomeKind::CallerGone, after);
                return;
            }
            ChainEnd::Silent(ref verdict)
                if run.can_reroute(&running.chain.chain, &verdict.suspects) =>
            {
                let rerouting = run.reroute(&running.chain.chain, &verdict.suspects);
                let rerouted = tokio::select! {
                    rerouted = rerouting => rerouted,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                if let Some(rerouted) = rerouted {
                    std::mem::replace(&mut running.chain, rerouted).failed(None);
                    pass.restart_silence(run.context.clock.now());
                }
            }
            ChainEnd::Silent(verdict) if !verdict.is_dead => {
                let handed = tokio::select! {
                    handed = hand_over(&mut run, &mut running, verdict.suspects, after) => handed,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                match handed {
                    HandOver::Taken(next) => {
                        std::mem::replace(&mut running, *next).chain.failed(None);
                        pass = EventForwarder::new(run.context.clock.now());
                    }
                    HandOver::Heard(frame) => pass.put_back(frame),
                    HandOver::Nobody => {}
                }
            }
            ChainEnd::Broken(_) | ChainEnd::Silent(_) => {
                let reason = leave(&mut run, running, end, after);
                let next = tokio::select! {
                    next = go_on(&mut run, after) => next,
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
                pass = EventForwarder::new(run.context.clock.now());
            }
        }
    }
}

/// What came of the try to have another chain go on for a silent one.
enum HandOver {
    /// Another has taken the draft.
    Taken(Box<RunningDraft>),
    /// The silent one spoke first.
    Heard(NextFrame),
    /// None took it.
    Nobody,
}

/// Has another chain go on for one that fell silent, which is kept until the other has taken the
/// draft, or speaks first.
///
/// Engines that look free may decline, and silent ones are often only late. Left before another had
/// taken its draft, a chain that would have ended it was given up for nothing.
async fn hand_over(
    run: &mut DraftRun,
    running: &mut RunningDraft,
    suspects: Vec<ServerName>,
    after: Option<EventId>,
) -> HandOver {
    log::info!(request = run.request.attempt.as_str(), after = after.map(|id| id.0),
        engines = suspects.len(); "chain fell silent");
    let now = run.context.clock.now();
    run.exclude_suspects(suspects);
    let next = tokio::select! {
        next = run.open(after, now) => next,
        frame = next_frame(&mut running.answer.body) => {
            run.count_kept_chain();
            return HandOver::Heard(frame);
        }
    };
    match next.filter(|next| next.answer.parts.status.is_success()) {
        Some(next) => HandOver::Taken(Box::new(next)),
        None => {
            run.count_kept_chain();
            HandOver::Nobody
        }
    }
}

/// Leaves a chain that can send nothing more; says why.
///
/// Its connection is closed at once: what it holds of the other engines' memory is what the draft
/// needs to go on.
fn leave(
    run: &mut DraftRun,
    running: RunningDraft,
    end: ChainEnd,
    after: Option<EventId>,
) -> String {
    let RunningDraft { answer, chain } = running;
    drop(answer);
    let reason = match end {
        ChainEnd::Broken(reason) => {
            run.abandon(chain);
            reason
        }
        ChainEnd::Silent(verdict) => {
            run.abandon_unreachable(chain, verdict.suspects);
            "engines are gone".to_owned()
        }
        ChainEnd::Complete | ChainEnd::CallerGone => String::new(),
    };
    log::info!(request = run.request.attempt.as_str(), reason = reason.as_str(),
        after = after.map(|id| id.0); "chain broke");
    reason
}

/// Has another chain go on after the last event; `None` if none may or can.
///
/// Waits for room for as long as the draft has time: its caller leaves when it will wait no longer,
/// and a connection that is cut before helps nobody.
async fn go_on(run: &mut DraftRun, after: Option<EventId>) -> Option<RunningDraft> {
    let now = run.context.clock.now();
    let wait_until = now.after(run.request.time_left(now));
    let next = run.open(after, wait_until).await?;
    next.answer.parts.status.is_success().then_some(next)
}
