//! Forwards the events of a draft complete and in order, over several chains if necessary.

use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::streams::{EventId, EventProgress};
use pollendrift_http::BodySender;

use super::drafts::{AnsweredChain, DraftRun};
use super::forwarding::{ChainEnd, EventForwarder, NextFrame, next_frame};

/// A draft whose events are being forwarded to the caller.
pub(super) struct StreamRun {
    run: DraftRun,
    running: AnsweredChain,
    progress: EventProgress,
}

impl StreamRun {
    pub(super) fn new(
        run: DraftRun,
        running: AnsweredChain,
        resume_after: Option<EventId>,
    ) -> Self {
        Self {
            run,
            running,
            progress: EventProgress::after(resume_after),
        }
    }
}

/// Forwards a stream to its end. If it can't be completed, closes the connection without an end
/// marker, so that the caller never mistakes a partial answer for a complete one.
pub(super) async fn run_stream(stream: StreamRun, sender: BodySender) {
    let StreamRun {
        mut run,
        mut running,
        mut progress,
    } = stream;
    let mut forwarder = EventForwarder::new(run.context.clock.now());
    loop {
        let end = tokio::select! {
            end = forwarder.run(&run, &mut running, &mut progress, &sender) => end,
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
                    .return_to_pool(&running.answer.parts.headers);
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
                    std::mem::replace(&mut running.chain, rerouted).record_failed(None);
                    forwarder.restart_silence_timer(run.context.clock.now());
                }
            }
            ChainEnd::Silent(verdict) if !verdict.is_dead => {
                let outcome = tokio::select! {
                    outcome = move_draft(&mut run, &mut running, verdict.suspects, after) => outcome,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                match outcome {
                    MoveResult::Accepted(next) => {
                        std::mem::replace(&mut running, *next)
                            .chain
                            .record_failed(None);
                        forwarder = EventForwarder::new(run.context.clock.now());
                    }
                    MoveResult::Resumed(frame) => forwarder.put_back(frame),
                    MoveResult::NoAlternative => {}
                }
            }
            ChainEnd::Broken(_) | ChainEnd::Silent(_) => {
                let reason = release_chain(&mut run, running, end, after);
                let next = tokio::select! {
                    next = continue_elsewhere(&mut run, after) => next,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                let Some(next) = next else {
                    log::warn!(request = run.request.attempt.as_str(), reason = reason.as_str(); "stream to the caller aborted: no chain can continue the draft");
                    run.log_end(OutcomeKind::Incomplete, after);
                    return;
                };
                running = next;
                forwarder = EventForwarder::new(run.context.clock.now());
            }
        }
    }
}

/// Result of an attempt to move a draft from a silent chain to another.
enum MoveResult {
    /// Another chain accepted the draft.
    Accepted(Box<AnsweredChain>),
    /// The silent chain sent a frame first.
    Resumed(NextFrame),
    /// No other chain accepted the draft.
    NoAlternative,
}

/// Tries to move a draft from a silent chain to another. The silent chain is kept until another
/// accepts the draft, or until the silent one sends a frame.
///
/// Engines that seem to have capacity may decline, and silent ones are often only late. Releasing
/// the silent chain first would lose drafts that it would still have finished.
async fn move_draft(
    run: &mut DraftRun,
    running: &mut AnsweredChain,
    suspects: Vec<ServerName>,
    after: Option<EventId>,
) -> MoveResult {
    log::info!(request = run.request.attempt.as_str(), after = after.map(|id| id.0),
        engines = suspects.len(); "chain is silent; trying another chain");
    let now = run.context.clock.now();
    run.exclude_suspects(suspects);
    let next = tokio::select! {
        next = run.open(after, now) => next,
        frame = next_frame(&mut running.answer.body) => {
            run.count_kept_chain();
            return MoveResult::Resumed(frame);
        }
    };
    match next.filter(|next| next.answer.parts.status.is_success()) {
        Some(next) => MoveResult::Accepted(Box::new(next)),
        None => {
            run.count_kept_chain();
            MoveResult::NoAlternative
        }
    }
}

/// Releases a chain that can send no more events, and returns the reason.
///
/// The connection is closed at once, because the memory that the chain occupies on its remaining
/// engines may be needed for the draft to continue.
fn release_chain(
    run: &mut DraftRun,
    running: AnsweredChain,
    end: ChainEnd,
    after: Option<EventId>,
) -> String {
    let AnsweredChain { answer, chain } = running;
    drop(answer);
    let reason = match end {
        ChainEnd::Broken(reason) => {
            run.abandon(chain);
            reason
        }
        ChainEnd::Silent(verdict) => {
            run.abandon_unreachable(chain, verdict.suspects);
            "engines of the chain are unreachable".to_owned()
        }
        ChainEnd::Complete | ChainEnd::CallerGone => String::new(),
    };
    log::info!(request = run.request.attempt.as_str(), reason = reason.as_str(),
        after = after.map(|id| id.0); "chain of the draft broke");
    reason
}

/// Continues the draft on another chain after event `after`; `None` if that is not allowed or
/// fails.
///
/// Waits for capacity until the request's deadline: a caller that doesn't want to wait that long
/// disconnects by itself, and closing its connection earlier has no benefit.
async fn continue_elsewhere(run: &mut DraftRun, after: Option<EventId>) -> Option<AnsweredChain> {
    let now = run.context.clock.now();
    let wait_until = now.after(run.request.time_left(now));
    let next = run.open(after, wait_until).await?;
    next.answer.parts.status.is_success().then_some(next)
}
