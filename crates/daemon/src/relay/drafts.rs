//! Drafts: a chain of engines, and its events to the caller as they come.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use pollendrift_coordination::base::{MonotonicTime, ServerName};
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::retries::{SendOutcome, TriedServers};
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::RefusalKind;
use pollendrift_http::{ResponseBody, channel_body};
use tokio::time::sleep;

use super::answer::{FailedSend, OpenAnswer, end_to_end_headers};
use super::chains::ReservedChain;
use super::context::RelayContext;
use super::guard::ChainGuard;
use super::meter::RequestMeter;
use super::request::{Refused, RelayRequest, refused};
use super::reroute::RerouteState;
use super::stream::{StreamRun, run_stream};
use crate::clock::millis;

/// Time that must be left for a send to be of use.
const MIN_LEFT: Duration = Duration::from_millis(50);
/// Advice to a caller for whom no chain had room while it was waited for: about the time in which
/// all drafts that run now have ended.
const RETRY_FULL: Duration = Duration::from_millis(2_500);
/// Time between two looks for room.
pub(super) const CAPACITY_POLL_PERIOD: Duration = Duration::from_millis(40);
/// Events that wait for a caller that reads slowly.
const EVENT_QUEUE: usize = 32;
/// Time for which an engine that declined a draft is left out of its next chains.
const DECLINED_PAUSE: Duration = Duration::from_millis(200);
/// Time for which the engines of a chain that broke by no known fault are left out. Longer, there
/// may be no other whole chain to go on.
const BROKEN_PAUSE: Duration = Duration::from_millis(700);
/// Longer than any draft.
const FOR_GOOD: Duration = Duration::from_secs(3_600);
/// Sends that engines declined before a request is given up; each named another engine at fault.
const MAX_DECLINED: u32 = 6;
/// The same for a draft that the caller holds a part of: its caller waits two seconds for the next
/// event and then leaves, and an engine that declined is asked again after a fifth of one.
const MAX_DECLINED_RESUMED: u32 = 12;

/// A draft on its way: what was tried, and what came of it.
pub(super) struct DraftRun {
    pub(super) context: Arc<RelayContext>,
    pub(super) request: RelayRequest,
    pub(super) meter: RequestMeter,
    /// Engines that failed it, and until when each is left out.
    excluded: Vec<LeftOut>,
    /// First engines of the chains that may have run it.
    places: TriedServers,
    /// Sends that an engine may have begun to run.
    sends: u32,
    declined: u32,
    may_have_run: bool,
    last: Option<FailedSend>,
    pub(super) reroutes: RerouteState,
}

/// An engine that is left out of a draft's next chains.
struct LeftOut {
    server: ServerName,
    until: MonotonicTime,
}

/// A chain that answered.
pub(super) struct RunningDraft {
    pub(super) answer: OpenAnswer,
    pub(super) chain: ChainGuard,
}

/// Serves one draft.
pub(super) async fn serve(
    context: &Arc<RelayContext>,
    request: RelayRequest,
    meter: &RequestMeter,
) -> Result<Response<ResponseBody>, Refused> {
    context.earn_retry_budget(request.arrived, &request.service.name);
    let resume_after = request.resume_after;
    let mut run = DraftRun {
        context: Arc::clone(context),
        request,
        meter: meter.clone(),
        excluded: Vec::new(),
        places: TriedServers::default(),
        sends: 0,
        declined: 0,
        may_have_run: false,
        last: None,
        reroutes: RerouteState::default(),
    };
    let wait_until = context.queue_deadline(context.clock.now(), run.request.arrived);
    let running = match run.open(resume_after, wait_until).await {
        Some(running) => running,
        None => return Err(run.conclude()),
    };
    if !running.answer.parts.status.is_success() {
        let read = running.answer.read().await;
        meter.ended(OutcomeKind::Complete);
        return read.map_err(|failed| refused(RefusalKind::UnknownOutcome, failed.reason));
    }
    let (sender, body) = channel_body(EVENT_QUEUE);
    let mut response = Response::new(body);
    *response.status_mut() = running.answer.parts.status;
    *response.headers_mut() = end_to_end_headers(&running.answer.parts.headers);
    let stream = StreamRun::new(run, running, resume_after);
    tokio::spawn(run_stream(stream, sender));
    Ok(response)
}

impl DraftRun {
    /// Sends the draft until a chain answers it; `None` once no further send is allowed.
    ///
    /// Where no chain has room, it waits for some until `wait_until`: drafts end many times a second,
    /// and a caller that is refused uses up the one retry that it may have.
    pub(super) async fn open(
        &mut self,
        resume_after: Option<EventId>,
        wait_until: MonotonicTime,
    ) -> Option<RunningDraft> {
        let is_resume = self.may_have_run;
        loop {
            let now = self.context.clock.now();
            if self.request.time_left(now) < MIN_LEFT || self.is_over() {
                return None;
            }
            let Some(mut chain) = self.take_chain_in_budget(now, is_resume) else {
                if now >= wait_until {
                    return None;
                }
                sleep(CAPACITY_POLL_PERIOD).await;
                continue;
            };
            chain.log_sent(&self.request, now, self.sends + self.declined + 1);
            self.context.metrics.request_sent();
            match self.send(&mut chain, resume_after).await {
                Ok(answer) => {
                    self.places.record(&chain.chain.first);
                    self.sends += 1;
                    self.may_have_run = true;
                    let is_error = answer.parts.status.is_server_error();
                    if !is_error || !self.may_repeat() {
                        return Some(RunningDraft { answer, chain });
                    }
                    let culprit = chain.chain.first.clone();
                    self.leave_out([culprit.clone()], FOR_GOOD);
                    chain.failed(Some(&culprit));
                }
                Err(failed) => {
                    if !failed.outcome.proof().is_not_run() {
                        self.places.record(&chain.chain.first);
                    }
                    let culprits = blame(&chain.chain, &failed);
                    log_failed_send(&self.request, &failed, &culprits);
                    // One that declined is full, or was a moment ago; there may be no other.
                    let time = match failed.outcome {
                        SendOutcome::Declined => DECLINED_PAUSE,
                        _ => FOR_GOOD,
                    };
                    chain.failed(culprits.first());
                    if failed.outcome == SendOutcome::Declined {
                        self.note_full(&culprits);
                    }
                    self.leave_out(culprits, time);
                    self.note(failed);
                }
            }
        }
    }

    /// A chain, and the retry that it costs if it is not the first.
    ///
    /// The budget pays for a send, not for looking: a draft that paid at each look for room emptied
    /// the host's budget within half a second, and running streams were cut for want of it.
    fn take_chain_in_budget(&self, now: MonotonicTime, is_resume: bool) -> Option<ChainGuard> {
        let service = &self.request.service.name;
        let is_repeat = self.sends + self.declined > 0;
        if is_repeat && !self.context.has_retry_budget(now, service) {
            return None;
        }
        let chain = self.take_chain(now, is_resume, &[])?;
        if is_repeat && !self.context.spend_retry(now, service) {
            chain.failed(None);
            return None;
        }
        Some(chain)
    }

    /// Whether the draft could go on elsewhere if `suspects` were left.
    ///
    /// A silent chain is kept where it could not: its answer may still come, and giving it up would
    /// end the caller's answer for certain.
    pub(super) fn has_alternative(&self, suspects: &[ServerName]) -> bool {
        let now = self.context.clock.now();
        let is_left = self
            .context
            .has_retry_budget(now, &self.request.service.name);
        if self.is_over() || self.declined + 1 >= self.most_declined() || !is_left {
            return false;
        }
        let Some(chain) = self.take_chain(now, true, suspects) else {
            return false;
        };
        chain.failed(None);
        true
    }

    fn take_chain(
        &self,
        now: MonotonicTime,
        is_resume: bool,
        suspects: &[ServerName],
    ) -> Option<ChainGuard> {
        let excluded = self.excluded.iter().filter(|left_out| left_out.until > now);
        let excluded = excluded.map(|left_out| &left_out.server);
        let spent = self.spent_places(now);
        let excluded: Vec<ServerName> = excluded.chain(suspects).chain(&spent).cloned().collect();
        let fleet = &self.context.fleet;
        let may_take_work = |server: &ServerName| fleet.may_take(now, server);
        let health = self.context.health();
        let is_healthy = |server: &ServerName| !health.is_suspected(now, server);
        let taken = self.context.chains().reserve(
            now,
            &self.request,
            &excluded,
            is_resume,
            may_take_work,
            is_healthy,
        );
        drop(health);
        match taken {
            Ok(chain) => Some(ChainGuard::new(&self.context, chain)),
            Err(none) => {
                log::debug!(request = self.request.attempt.as_str(), reasons:% = none; "no chain");
                None
            }
        }
    }

    /// Engines that no chain of this draft may begin with any more.
    fn spent_places(&self, now: MonotonicTime) -> Vec<ServerName> {
        let most = self.request.route.max_attempts;
        if !self.places.has_reached(most) {
            return Vec::new();
        }
        let workers = self.context.fleet.workers(now);
        let health = self.context.health();
        let is_there = |server: &ServerName| workers.iter().any(|worker| worker.server == *server);
        let is_lost = |server: &ServerName| health.is_suspected(now, server) || !is_there(server);
        let Some(allowed) = self.places.allowed(most, is_lost) else {
            return Vec::new();
        };
        let first = workers.iter().filter(|worker| worker.holds_first_layer());
        let spent = first.filter(|worker| !allowed.contains(&&worker.server));
        spent.map(|worker| worker.server.clone()).collect()
    }

    fn note_full(&self, engines: &[ServerName]) {
        let now = self.context.clock.now();
        let mut chains = self.context.chains();
        engines
            .iter()
            .for_each(|engine| chains.record_declined(now, engine));
    }

    fn note(&mut self, failed: FailedSend) {
        let proof = failed.outcome.proof();
        // An engine that is gone does not count among those that a request was sent to.
        if proof.is_not_run() || !failed.suspects.is_empty() {
            self.declined += 1;
        } else {
            self.sends += 1;
        }
        self.may_have_run |= !proof.is_not_run();
        self.last = Some(failed);
    }

    /// Notes how the draft ended.
    pub(super) fn log_end(&self, outcome: OutcomeKind, last: Option<EventId>) {
        self.meter.ended(outcome);
        let request = &self.request;
        let taken = self.context.clock.now().since(request.arrived);
        let times = self.meter.event_times();
        log::info!(request = request.attempt.as_str(), route = &*request.route.name,
            customer = request.customer.as_ref().map_or("", |customer| customer.as_str()),
            outcome:% = outcome, last_event = last.map_or(0, |last| last.0),
            sends = self.sends, declined = self.declined, first_ms = times.first.map(millis),
            pause_ms = millis(times.longest_pause), took_ms = millis(taken); "ended");
    }

    /// Whether no further send is allowed.
    fn is_over(&self) -> bool {
        let may_go_on = !self.may_have_run || self.request.route.kind.may_repeat();
        !may_go_on
            || self.sends >= self.request.route.max_attempts
            || self.declined >= self.most_declined()
    }

    fn most_declined(&self) -> u32 {
        if self.may_have_run {
            return MAX_DECLINED_RESUMED;
        }
        MAX_DECLINED
    }

    /// Gives a chain up that broke after it had begun. That tells nothing of which engine is at
    /// fault, so all of them are left out of the next.
    pub(super) fn abandon(&mut self, chain: ChainGuard) {
        let servers: Vec<ServerName> = chain.chain.servers().cloned().collect();
        self.leave_out(servers, BROKEN_PAUSE);
        chain.failed(None);
    }

    /// Gives a chain up whose engines are gone.
    pub(super) fn abandon_unreachable(&mut self, chain: ChainGuard, gone: Vec<ServerName>) {
        self.exclude_suspects(gone);
        chain.failed(None);
    }

    /// Leaves silent engines out of the next chain. A chain with engines that are gone does not
    /// count among those that the draft was sent to.
    pub(super) fn exclude_suspects(&mut self, suspects: Vec<ServerName>) {
        self.sends = self.sends.saturating_sub(1);
        self.declined += 1;
        self.leave_out(suspects, BROKEN_PAUSE);
    }

    /// The chain whose engines were suspected is kept, and counts again.
    pub(super) fn count_kept_chain(&mut self) {
        self.sends += 1;
    }

    fn leave_out<S>(&mut self, servers: S, time: Duration)
    where
        S: IntoIterator<Item = ServerName>,
    {
        let until = self.context.clock.now().after(time);
        let servers = servers.into_iter();
        self.excluded
            .extend(servers.map(|server| LeftOut { server, until }));
    }

    fn may_repeat(&self) -> bool {
        self.request.route.kind.may_repeat() && self.sends < self.request.route.max_attempts
    }

    fn conclude(&self) -> Refused {
        let reason = self.last.as_ref().map_or_else(
            || "no chain of engines has room".to_owned(),
            |failed| failed.reason.clone(),
        );
        if !self.may_have_run {
            return refused(RefusalKind::NotRun, reason).retry_after(RETRY_FULL);
        }
        let is_late =
            self.last.as_ref().map(|failed| failed.outcome) == Some(SendOutcome::TimedOut);
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
        outcome:? = failed.outcome, reason = failed.reason.as_str(); "send failed");
}

/// The engines that a failed send is laid to.
fn blame(chain: &ReservedChain, failed: &FailedSend) -> Vec<ServerName> {
    if !failed.suspects.is_empty() {
        return failed.suspects.clone();
    }
    let named = failed.culprit.and_then(|address| chain.server_at(address));
    vec![named.unwrap_or(&chain.first).clone()]
}
