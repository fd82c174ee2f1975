//! Serves drafts: sends each to a chain of engines and streams its events to the caller.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::retries::{RunProof, SendOutcome, TriedServers};
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::RefusalKind;
use pollendrift_http::{ResponseBody, channel_body};
use tokio::time::sleep;

use super::admission::DraftTicket;
use super::answer::{FailedSend, OpenAnswer, end_to_end_headers};
use super::backpressure::{HeldBack, RateQueue};
use super::chains::ReservedChain;
use super::context::RelayContext;
use super::crashes::{NOTICE_WAIT, QuarantineHold};
use super::guard::ChainGuard;
use super::meter::RequestMeter;
use super::peer_forward::ForwardAttempts;
use super::request::{Refused, RelayRequest, refused, withheld};
use super::reroute::RerouteState;
use super::stream::{StreamRun, run_stream};
use crate::clock::millis;
use crate::poison::SendGate;

/// Least time before the request's deadline for which a draft is still sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);
/// Retry-after value of a refusal because no chain has capacity: about the time in which all
/// currently running drafts end.
const RETRY_AFTER_NO_CAPACITY: Duration = Duration::from_millis(2_500);
/// Time between two attempts to find a chain with capacity.
pub(super) const CAPACITY_POLL_PERIOD: Duration = Duration::from_millis(40);
/// Capacity, in chunks of events, of the queue to a caller that reads slowly.
const EVENT_QUEUE_LENGTH: usize = 32;
/// Time for which an engine that declined a draft is excluded from the draft's next chains.
const DECLINED_EXCLUSION: Duration = Duration::from_millis(200);
/// Time for which the engines of a chain that broke without a known culprit are excluded. With a
/// longer time there may be no other complete chain to continue on.
const BROKEN_EXCLUSION: Duration = Duration::from_millis(700);
/// Exclusion for the rest of a draft: longer than any draft takes.
const DRAFT_EXCLUSION: Duration = Duration::from_secs(3_600);
/// Time after which a draft that an engine declined may have been on the other engines of its chain.
const MIN_DECLINED_RUN: Duration = Duration::from_millis(150);
/// Longest time for which a draft under which an engine has ended spares engines that alone hold some
/// layers. Callers of streams leave after two seconds without an event.
const SPARE_TIME: Duration = Duration::from_millis(1_500);
/// Time of a send within which the end of its engine is more likely to be due to the draft.
const EARLY_END: Duration = Duration::from_millis(250);
/// The same as [`SPARE_TIME`] after an early end, until other engines have loaded the lost layers. The
/// caller has received little or nothing by then.
const EARLY_SPARE_TIME: Duration = Duration::from_secs(3);
/// Declined sends after which a request fails. Each of them excludes another engine: the one that
/// the answer names, else the first of the chain.
const MAX_DECLINED: u32 = 6;
/// Declined sends after which a draft that may already have run fails. Its caller waits two seconds
/// for the next event before it disconnects, and an engine that declined is tried again after 200
/// ms.
const MAX_DECLINED_RESUMED: u32 = 12;

/// A draft in progress, with its sends so far and their results. [`AnsweredDraft`] is the
/// answer to the last of them.
pub(super) struct DraftRun {
    pub(super) context: Arc<RelayContext>,
    pub(super) request: RelayRequest,
    pub(super) meter: RequestMeter,
    /// Engines that are excluded from the next chains.
    pub(super) excluded: Vec<ExcludedEngine>,
    /// First engines of the chains that may have run the draft.
    pub(super) tried_servers: TriedServers,
    /// Sends whose request an engine may have started.
    pub(super) sends: u32,
    pub(super) declined: u32,
    /// Whether a server may have received the draft, run or not.
    pub(super) has_arrived: bool,
    pub(super) may_have_run: bool,
    last_failure: Option<FailedSend>,
    pub(super) reroutes: RerouteState,
    pub(super) rate_queue: RateQueue,
    /// Reason why no engine could get the draft in the last search for a chain.
    pub(super) held_back: Option<HeldBack>,
    /// Hosts that the draft was forwarded to.
    pub(super) forwards: ForwardAttempts,
    pub(super) quarantine: QuarantineHold,
    /// Time until which the draft waits for a chain of engines none of which alone holds some layers.
    pub(super) spare_until: Option<MonotonicTime>,
    /// Time of the last send to a chain.
    sent_at: Option<MonotonicTime>,
    /// Decides whether the request may be sent, by the servers that ended under it.
    pub(super) gate: SendGate,
    /// Part of the capacity that the draft holds, if its service admits drafts by priority.
    pub(super) ticket: Option<DraftTicket>,
}

/// An engine that is excluded from a draft's next chains.
pub(super) struct ExcludedEngine {
    pub(super) server: ServerName,
    pub(super) until: MonotonicTime,
}

/// An answer to a draft.
pub(super) struct AnsweredDraft {
    pub(super) answer: OpenAnswer,
    /// Chain that runs the draft; `None` if another host sent it to a chain.
    pub(super) chain: Option<ChainGuard>,
}

impl AnsweredDraft {
    /// Ends the chain as failed, without a known culprit.
    pub(super) fn record_failed(self) {
        if let Some(chain) = self.chain {
            chain.record_failed(None);
        }
    }
}

/// Sends a draft to a chain and returns the response to the caller. Events of a successful answer
/// are streamed by a task that is spawned for them.
///
/// Fails if no chain answers before the sends, the declined sends or the time are used up.
pub(super) async fn serve(
    context: &Arc<RelayContext>,
    request: RelayRequest,
    meter: &RequestMeter,
) -> Result<Response<ResponseBody>, Refused> {
    let ticket = context.admit(&request).await?;
    context.earn_retry_budget(request.arrived, &request.service.name);
    let resume_after = request.resume_after;
    let mut run = DraftRun {
        gate: SendGate::new(&context.poison, request.content),
        spare_until: None,
        sent_at: None,
        context: Arc::clone(context),
        request,
        meter: meter.clone(),
        excluded: Vec::new(),
        tried_servers: TriedServers::default(),
        sends: 0,
        declined: 0,
        has_arrived: false,
        may_have_run: false,
        last_failure: None,
        reroutes: RerouteState::default(),
        rate_queue: RateQueue::new(context),
        held_back: None,
        forwards: ForwardAttempts::default(),
        quarantine: QuarantineHold::default(),
        ticket,
    };
    let wait_until = context.queue_deadline(context.clock.now(), run.request.arrived);
    let running = match run.open(resume_after, wait_until).await {
        Some(running) => running,
        None => return Err(run.refusal().arrived(run.has_arrived)),
    };
    if !running.answer.parts.status.is_success() {
        let time_left = run.request.time_left(context.clock.now());
        let caller = run.request.caller();
        let reading = running
            .answer
            .read(&context.answer_memory, caller, time_left);
        let read = reading.await;
        meter.record_end(OutcomeKind::Complete);
        return read.map_err(|failed| refused(RefusalKind::UnknownOutcome, failed.reason));
    }
    let (sender, body) = channel_body(EVENT_QUEUE_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = running.answer.parts.status;
    *response.headers_mut() = end_to_end_headers(&running.answer.parts.headers);
    let stream = StreamRun::new(run, running, resume_after);
    tokio::spawn(run_stream(stream, sender));
    Ok(response)
}

impl DraftRun {
    /// Sends the draft until a chain answers; returns `None` once no further send is allowed.
    ///
    /// If no chain has capacity, waits for one until `wait_until`: drafts end many times a second,
    /// and a refusal costs the caller its only retry.
    pub(super) async fn open(
        &mut self,
        resume_after: Option<EventId>,
        wait_until: MonotonicTime,
    ) -> Option<AnsweredDraft> {
        let answered = self.open_admitted(resume_after, wait_until).await;
        if answered.is_none() {
            self.cancel_test();
            self.gate.flush().await;
        }
        answered
    }

    async fn open_admitted(
        &mut self,
        resume_after: Option<EventId>,
        wait_until: MonotonicTime,
    ) -> Option<AnsweredDraft> {
        let is_resume = self.may_have_run;
        self.spare_sole_holders();
        loop {
            let now = self.context.clock.now();
            if self.request.time_left(now) < MIN_TIME_LEFT || self.is_final() {
                return None;
            }
            if !self.gate.admit().await || !self.is_admitted() {
                self.rate_queue.leave();
                return None;
            }
            if self.context.is_cut_off_from(&self.request) {
                self.context.await_hosts(&self.request).await;
                if let Some(answer) = self.forward(now, resume_after).await {
                    return Some(AnsweredDraft {
                        answer,
                        chain: None,
                    });
                }
                if self.may_forward(self.context.clock.now()) {
                    continue;
                }
                if self.waits_for_return(wait_until) {
                    sleep(CAPACITY_POLL_PERIOD).await;
                    continue;
                }
                return None;
            }
            let search = self.reserve_chain_in_budget(now, is_resume);
            let Some(mut chain) = search.chain else {
                let may_wait = self.may_wait(now, &search.rate_limited, wait_until);
                if now >= wait_until || !may_wait {
                    self.rate_queue.leave();
                    return None;
                }
                sleep(CAPACITY_POLL_PERIOD).await;
                continue;
            };
            self.rate_queue.record_demand(now, &chain.chain.first);
            self.rate_queue.leave();
            chain.hold_tracked(self.begin_send(&chain.chain));
            if !chain.await_turn().await {
                chain.record_not_taken();
                continue;
            }
            chain.log_sent(&self.request, now, self.sends + self.declined + 1);
            self.context.metrics.record_attempt();
            self.track(&mut chain);
            self.record_sent(&mut chain);
            self.sent_at = Some(self.context.clock.now());
            match self.send(&mut chain, resume_after).await {
                Ok(answer) => {
                    self.tried_servers.record(&chain.chain.first);
                    self.sends += 1;
                    self.may_have_run = true;
                    let is_error = answer.parts.status.is_server_error();
                    if !is_error || !self.may_repeat() {
                        let chain = Some(chain);
                        return Some(AnsweredDraft { answer, chain });
                    }
                    let culprit = chain.chain.first.clone();
                    self.exclude([culprit.clone()], DRAFT_EXCLUSION);
                    chain.record_failed(Some(&culprit));
                }
                Err(failed) => {
                    if !failed.outcome.proof().is_not_run() {
                        self.tried_servers.record(&chain.chain.first);
                    }
                    let culprits = culprits_of(&chain.chain, &failed);
                    let took = self.context.clock.now().since(now);
                    if failed.outcome.proof().is_not_run() && took < MIN_DECLINED_RUN {
                        chain.record_not_taken();
                    }
                    log_failed_send(&self.request, &failed, &culprits);
                    match failed.outcome {
                        SendOutcome::ResetAfterSend => self.check_broken_engine(&mut chain).await,
                        SendOutcome::NotConnected if self.has_unproven_part() => {
                            sleep(NOTICE_WAIT).await;
                        }
                        _ => {}
                    }
                    // An engine that declined is full, or was a moment ago. It is excluded only for a
                    // short time, since there may be no other engine with its layers.
                    let time = match failed.outcome {
                        SendOutcome::Declined => DECLINED_EXCLUSION,
                        _ => DRAFT_EXCLUSION,
                    };
                    chain.record_failed(culprits.first());
                    if failed.outcome == SendOutcome::Declined {
                        self.record_declined(&culprits);
                    }
                    self.exclude(culprits, time);
                    let is_unreached = failed.outcome != SendOutcome::Declined;
                    let sends = self.sends;
                    self.record_failure(failed);
                    self.spare_sole_holders();
                    if is_unreached {
                        let service = &self.request.service.name;
                        self.context.await_checks(service).await;
                    }
                    // A connection that breaks with all links of this host tells nothing about its
                    // engine, so the send does not count against `max_attempts`.
                    if self.context.is_cut_off_from(&self.request) && self.sends > sends {
                        self.sends = sends;
                        self.declined += 1;
                    }
                }
            }
        }
    }

    /// Spares engines that alone hold some layers from now on, after a send that ended.
    fn spare_sole_holders(&mut self) {
        let now = self.context.clock.now();
        let is_early = self.sent_at.is_some_and(|at| now.since(at) < EARLY_END);
        let time = if is_early {
            EARLY_SPARE_TIME
        } else {
            SPARE_TIME
        };
        self.spare_until = Some(now.after(time));
    }

    /// Counts an admitted draft as on the engines of `chain`.
    pub(super) fn record_sent(&self, chain: &mut ChainGuard) {
        if let Some(ticket) = &self.ticket {
            chain.hold_sent(ticket.record_sent());
        }
    }

    fn record_declined(&self, engines: &[ServerName]) {
        let now = self.context.clock.now();
        let mut chains = self.context.chains();
        engines
            .iter()
            .for_each(|engine| chains.record_declined(now, engine));
    }

    pub(super) fn record_failure(&mut self, failed: FailedSend) {
        let proof = failed.outcome.proof();
        // A send to an engine that is unreachable or silent does not count against `max_attempts`.
        if proof.is_not_run() || !failed.suspects.is_empty() {
            self.declined += 1;
        } else {
            self.sends += 1;
        }
        self.has_arrived |= proof != RunProof::NotSent;
        self.may_have_run |= !proof.is_not_run();
        self.last_failure = Some(failed);
    }

    /// Records and logs how the draft ended; `last` is the last event that the caller received.
    pub(super) fn log_end(&self, outcome: OutcomeKind, last: Option<EventId>) {
        self.meter.record_end(outcome);
        let request = &self.request;
        let elapsed = self.context.clock.now().since(request.arrived);
        let times = self.meter.event_times();
        log::info!(request = request.attempt.as_str(), route = &*request.route.name,
            customer = request.customer.as_ref().map_or("", |customer| customer.as_str()),
            outcome:% = outcome, last_event = last.map_or(0, |last| last.0),
            sends = self.sends, declined = self.declined, first_ms = times.first.map(millis),
            pause_ms = millis(times.longest_pause), took_ms = millis(elapsed); "ended");
    }

    /// Whether no further send is allowed: the draft must not run twice, or a limit is reached.
    pub(super) fn is_final(&self) -> bool {
        let may_send = !self.may_have_run || self.request.route.kind.may_repeat();
        !may_send
            || self.sends >= self.request.max_attempts()
            || self.declined >= self.max_declined()
    }

    pub(super) fn max_declined(&self) -> u32 {
        if self.may_have_run {
            return MAX_DECLINED_RESUMED;
        }
        MAX_DECLINED
    }

    /// Releases a chain that broke after it started. The break does not show which engine is at
    /// fault, so all engines of the chain are excluded from the next one.
    pub(super) fn abandon(&mut self, chain: ChainGuard) {
        let servers: Vec<ServerName> = chain.chain.servers().cloned().collect();
        self.exclude(servers, BROKEN_EXCLUSION);
        chain.record_failed(None);
    }

    /// Releases a chain and excludes its `unreachable` engines.
    pub(super) fn abandon_unreachable(&mut self, chain: ChainGuard, unreachable: Vec<ServerName>) {
        self.exclude_suspects(unreachable);
        chain.record_failed(None);
    }

    /// Excludes silent engines from the next chain. The send to a chain with such engines counts as
    /// declined and does not count against `max_attempts`.
    pub(super) fn exclude_suspects(&mut self, suspects: Vec<ServerName>) {
        self.sends = self.sends.saturating_sub(1);
        self.declined += 1;
        self.exclude(suspects, BROKEN_EXCLUSION);
    }

    /// Counts the send again that [`DraftRun::exclude_suspects`] discounted, because the draft
    /// stays on that chain.
    pub(super) fn count_kept_chain(&mut self) {
        self.sends += 1;
    }

    fn exclude<S>(&mut self, servers: S, time: Duration)
    where
        S: IntoIterator<Item = ServerName>,
    {
        let until = self.context.clock.now().after(time);
        let servers = servers.into_iter();
        self.excluded
            .extend(servers.map(|server| ExcludedEngine { server, until }));
    }

    fn may_repeat(&self) -> bool {
        self.request.route.kind.may_repeat() && self.sends < self.request.max_attempts()
    }

    fn refusal(&self) -> Refused {
        if let Some(held_back) = self.held_back.as_ref().filter(|_| !self.may_have_run) {
            return held_back.refusal();
        }
        if let Some(request) = self.gate.withheld() {
            return withheld(request, self.may_have_run);
        }
        if let Some(refusal) = self.quarantine.refusal().filter(|_| !self.may_have_run) {
            return refusal;
        }
        let reason = self.quarantine.reason();
        let reason = reason.or_else(|| self.last_failure.as_ref().map(|last| last.reason.clone()));
        let reason = reason.unwrap_or_else(|| "no chain of engines has room".to_owned());
        if !self.may_have_run && self.context.is_cut_off_from(&self.request) {
            return self.forwards.refusal();
        }
        if !self.may_have_run {
            let ticket = self.ticket.as_ref();
            let wait = self.context.return_time(&self.request, ticket);
            let wait = wait.unwrap_or(RETRY_AFTER_NO_CAPACITY);
            return refused(RefusalKind::NotRun, reason).retry_after(wait);
        }
        let is_late =
            self.last_failure.as_ref().map(|failed| failed.outcome) == Some(SendOutcome::TimedOut);
        let kind = if is_late {
            RefusalKind::TimedOut
        } else {
            RefusalKind::UnknownOutcome
        };
        refused(kind, reason)
    }
}

fn log_failed_send(request: &RelayRequest, failed: &FailedSend, culprits: &[ServerName]) {
    let engines: Vec<&str> = culprits.iter().map(ServerName::as_str).collect();
    log::info!(request = request.attempt.as_str(), engines = engines.join(" ").as_str(),
        outcome:% = failed.outcome, reason = failed.reason.as_str(); "sending the draft failed");
}

/// Engines that are at fault for a failed send: the silent ones, the one that the answer names, or
/// the first of the chain.
fn culprits_of(chain: &ReservedChain, failed: &FailedSend) -> Vec<ServerName> {
    if !failed.suspects.is_empty() {
        return failed.suspects.clone();
    }
    let named = failed.culprit.and_then(|address| chain.server_at(address));
    vec![named.unwrap_or(&chain.first).clone()]
}
