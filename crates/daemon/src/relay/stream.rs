//! Forwards the events of a draft complete and in order, over several chains if necessary.

use pollendrift_coordination::base::ServerName;
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::streams::{EventId, EventProgress};
use pollendrift_http::BodySender;

use super::answer::NextPart;
use super::drafts::{AnsweredDraft, DraftRun};
use super::forwarding::{ChainEnd, EventForwarder};

/// A draft whose events are being forwarded to the caller.
pub(super) struct StreamRun {
    run: DraftRun,
    running: AnsweredDraft,
    progress: EventProgress,
}

impl StreamRun {
    pub(super) fn new(
        run: DraftRun,
        running: AnsweredDraft,
        resume_after: Option<EventId>,
    ) -> Self {
        let is_resumable = run.request.route.kind.may_repeat();
        let progress = if is_resumable {
            EventProgress::resumable_after(resume_after)
        } else {
            EventProgress::after(resume_after)
        };
        Self {
            run,
            running,
            progress,
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
                if let Some(chain) = &mut running.chain {
                    chain.record_complete();
                }
                running.answer.finish();
                sender.finish().await;
                run.log_end(OutcomeKind::Complete, after);
                return;
            }
            ChainEnd::CallerGone => {
                run.log_end(OutcomeKind::CallerGone, after);
                return;
            }
            ChainEnd::Silent(ref verdict)
                if let Some(chain) = running.chain.as_mut()
                    && run.can_reroute(&chain.chain, &verdict.suspects) =>
            {
                let rerouting = run.reroute(&chain.chain, &verdict.suspects);
                let rerouted = tokio::select! {
                    rerouted = rerouting => rerouted,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                if let Some(rerouted) = rerouted {
                    std::mem::replace(chain, rerouted).record_failed(None);
                    forwarder.restart_silence_timer(run.context.clock.now());
                }
            }
            ChainEnd::Silent(verdict) if !verdict.is_dead && !run.gate.is_stopped() => {
                let outcome = tokio::select! {
                    outcome = move_draft(&mut run, &mut running, verdict.suspects, after) => outcome,
                    () = sender.closed() => {
                        run.log_end(OutcomeKind::CallerGone, after);
                        return;
                    }
                };
                match outcome {
                    MoveResult::Accepted(next) => {
                        std::mem::replace(&mut running, *next).record_failed();
                        forwarder = EventForwarder::new(run.context.clock.now());
                    }
                    MoveResult::Resumed(part) => forwarder.put_back(part),
                    MoveResult::NoAlternative => {}
                }
            }
            ChainEnd::Broken(_) | ChainEnd::Silent(_) | ChainEnd::Held(_) => {
                let is_cut = matches!(end, ChainEnd::Held(_));
                if let Some(chain) = running.chain.as_mut().filter(|_| !is_cut) {
                    run.check_broken_engine(chain).await;
                }
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
    Accepted(Box<AnsweredDraft>),
    /// The silent chain sent a part of its answer first.
    Resumed(NextPart),
    /// No other chain accepted the draft.
    NoAlternative,
}

/// Tries to move a draft from a silent chain to another. The silent chain is kept until another
/// accepts the draft, or until the silent one sends a part of its answer.
///
/// Engines that seem to have capacity may decline, and silent ones are often only late. Releasing
/// the silent chain first would lose drafts that it would still have finished.
async fn move_draft(
    run: &mut DraftRun,
    running: &mut AnsweredDraft,
    suspects: Vec<ServerName>,
    after: Option<EventId>,
) -> MoveResult {
    log::info!(request = run.request.attempt.as_str(), after = after.map(|id| id.0),
        engines = suspects.len(); "chain is silent; trying another chain");
    let now = run.context.clock.now();
    run.exclude_suspects(suspects);
    let next = tokio::select! {
        next = run.open(after, now) => next,
        part = running.answer.body.next() => {
            run.count_kept_chain();
            return MoveResult::Resumed(part);
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
    running: AnsweredDraft,
    end: ChainEnd,
    after: Option<EventId>,
) -> String {
    let AnsweredDraft { answer, chain } = running;
    drop(answer);
    let reason = match (end, chain) {
        (ChainEnd::Broken(reason), chain) => {
            if let Some(chain) = chain {
                run.abandon(chain);
            }
            reason
        }
        (ChainEnd::Held(held), chain) => {
            if let Some(chain) = chain {
                chain.record_failed(None);
            }
            held.to_string()
        }
        (ChainEnd::Silent(verdict), Some(chain)) => {
            run.abandon_unreachable(chain, verdict.suspects);
            "engines of the chain are unreachable".to_owned()
        }
        _ => String::new(),
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
async fn continue_elsewhere(run: &mut DraftRun, after: Option<EventId>) -> Option<AnsweredDraft> {
    let now = run.context.clock.now();
    let wait_until = now.after(run.request.time_left(now));
    let next = run.open(after, wait_until).await?;
    next.answer.parts.status.is_success().then_some(next)
}
