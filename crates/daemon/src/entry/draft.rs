//! Runs one draft from its first attempt to its last event.
//!
//! Handles requests that a selector serves. Each attempt requests the tokens after the confirmed
//! prefix from the first stage of a pipeline. The ledger decides which tokens are released to the
//! caller. When a stage fails, the next attempt continues after the last confirmed token on a
//! pipeline without the failed server.

mod attempt;
mod caller_link;
mod copies;
mod flight_guard;
mod progress;
mod resume;
mod wire;

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use pollendrift_coordination::base::{
    AdapterName, AttemptNumber, CustomerName, ModelName, RequestId, ServerName, ServiceName,
    TokenPosition, VersionName,
};
use pollendrift_coordination::evidence::{BodyDigest, OutcomeKind};
use pollendrift_coordination::ledger::{GeneratedToken, LedgerSettings, TokenLedger};
use pollendrift_coordination::poison::{RequestContent, SendEnd};
use pollendrift_coordination::retries::{CallDeadline, CallKind, SendOutcome};
use pollendrift_coordination::routing::RoutePriority;
use pollendrift_coordination::streams::DraftDigest;
use pollendrift_http::{ResponseBody, channel_body};
use tokio::sync::oneshot;

use caller_link::{CallerLink, FirstAnswer};
use copies::CopyQueue;
use flight_guard::FlightGuard;
pub(super) use resume::{ResumePoint, draft_digest, find_resume, last_position};

use super::context::EntryContext;
use super::ends::{send_gate, withheld_refusal};
use super::record::{RequestEnding, RunningRequest};
use super::refusal::Refusal;
use super::selection::ServedRequest;
use super::stream::{ReplyFormat, ReplyWriter};
use crate::admission::MIN_URGENT_PRIORITY;
use crate::fleet::{DraftQuery, DraftRoute};
use crate::poison::{SendGate, TrackedSend};
use crate::resend::ResendQuery;

/// Path to which sequence requests are posted on the first stage of a pipeline.
const SEQUENCE_PATH: &str = "/engine/v1/sequences";
/// Capacity of the event buffer for a caller that reads slowly. A full buffer stops the reading
/// from the first stage, so that the engines wait as well.
const EVENT_QUEUE_LENGTH: usize = 64;

/// Timeouts and ledger limits of drafts.
#[derive(Clone, Debug)]
pub struct DraftSettings {
    /// Longest wait for the first event of an attempt.
    pub first_event_timeout: Duration,
    /// Longest time between two events of an attempt.
    pub stall_timeout: Duration,
    /// Limits of one request's ledger.
    pub ledger: LedgerSettings,
}

impl Default for DraftSettings {
    fn default() -> Self {
        Self {
            first_event_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_millis(800),
            ledger: LedgerSettings::default(),
        }
    }
}

/// An admitted draft request, ready to run.
pub(super) struct DraftJob {
    pub(super) id: RequestId,
    pub(super) record: RunningRequest,
    pub(super) customer: CustomerName,
    pub(super) deadline: CallDeadline,
    /// Estimated from the text; no engine has counted the prompt's tokens yet.
    pub(super) prompt_tokens: u32,
    pub(super) model: ModelName,
    pub(super) digest: DraftDigest,
    /// Position from which an interrupted stream continues.
    pub(super) resume: Option<ResumePoint>,
    pub(super) version: Option<VersionName>,
    pub(super) adapter: Option<AdapterName>,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) format: ReplyFormat,
    pub(super) served: ServedRequest,
}

/// Runs a draft in a task of its own.
///
/// Returns the response once a stream has its first token or a buffered answer is complete.
///
/// # Errors
/// Refuses the draft if it fails before the response starts.
pub(super) async fn run_draft(
    context: &Arc<EntryContext>,
    job: DraftJob,
) -> Result<Response<ResponseBody>, Refusal> {
    // This future owns the body until the response starts. A caller that disconnects drops the
    // body before or after that, and the runner then stops and frees the engines.
    let (sender, body) = channel_body(EVENT_QUEUE_LENGTH);
    let (reply, answer) = oneshot::channel();
    let writer = ReplyWriter {
        id: job.id.clone(),
        model: job.model.to_string(),
        format: job.format,
    };
    let ledger = job
        .resume
        .as_ref()
        .map(|resume| resumed_ledger(context, &job, resume));
    let attempt = job
        .resume
        .as_ref()
        .map_or(AttemptNumber(0), |resume| resume.attempt);
    let gate = draft_gate(context, &job);
    let runner = DraftRunner {
        context: Arc::clone(context),
        gate,
        ledger,
        attempt,
        excluded: Vec::new(),
        attempts_since_progress: 0,
        copies: CopyQueue::new(job.resume.is_none()),
        may_have_run: false,
        link: CallerLink {
            writer: writer.clone(),
            sender,
            reply: Some(reply),
            stream: job.stream,
        },
        job,
    };
    context.tasks.spawn(runner.run());
    match answer.await {
        Ok(FirstAnswer::Streaming) => Ok(writer.stream_response(body)),
        Ok(FirstAnswer::Buffered(response)) => Ok(response),
        Ok(FirstAnswer::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::unknown(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "The draft stopped",
            "the task that ran this draft ended without an answer".to_owned(),
        )),
    }
}

/// Creates a ledger that contains the tokens released by the entry that served the stream before.
fn resumed_ledger(context: &EntryContext, job: &DraftJob, resume: &ResumePoint) -> TokenLedger {
    TokenLedger::resume(
        job.id.clone(),
        resume.model_layers,
        resume.version.clone(),
        context.drafts.ledger,
        resume.tokens.clone(),
    )
}

/// Gate of the sends of a draft, which its caller may repeat or resume at any entry.
fn draft_gate(context: &Arc<EntryContext>, job: &DraftJob) -> SendGate {
    let content = RequestContent {
        customer: job.customer.as_str(),
        method: "draft",
        target: job.model.as_str(),
        prompt: &job.prompt,
        body: &job.digest,
    };
    send_gate(context, &content)
}

struct DraftRunner {
    context: Arc<EntryContext>,
    job: DraftJob,
    /// Decides whether the draft may be sent, by the servers that ended under it.
    gate: SendGate,
    /// Created with the first route, which fixes the model version of the complete answer.
    ledger: Option<TokenLedger>,
    attempt: AttemptNumber,
    excluded: Vec<ServerName>,
    /// Failed attempts since the last one that produced a token, that one included.
    ///
    /// Many stages may fail during a long answer. Counted over the complete answer, the attempt
    /// limit ended drafts that lost a stage occasionally and made progress in between.
    attempts_since_progress: u32,
    /// Released tokens that the caller gets once their copy is confirmed.
    copies: CopyQueue,
    /// Whether any engine may have run a layer; a refusal is then `unknown` instead of `not-run`.
    may_have_run: bool,
    link: CallerLink,
}

/// Result of one attempt.
enum AttemptEnd {
    /// The ledger has released every token of the answer.
    Complete { reason: String },
    /// The attempt failed; `server` is excluded from further attempts of this request.
    Failed {
        server: ServerName,
        reason: String,
        /// False only if it is proved that no layer ran.
        started: bool,
    },
}

impl DraftRunner {
    async fn run(mut self) {
        let watch = self.link.sender.watch();
        let ended = tokio::select! {
            ended = self.run_attempts() => ended,
            () = watch.closed() => {
                log::info!(request:% = self.job.id; "caller disconnected; draft cancelled");
                return;
            }
        };
        drop(watch);
        let Self {
            job, ledger, link, ..
        } = self;
        let tokens = ledger
            .as_ref()
            .map_or(&[][..], TokenLedger::released_prefix);
        let answer = answer_digest(tokens);
        match ended {
            Ok(reason) => {
                let ending = RequestEnding {
                    outcome: OutcomeKind::Complete,
                    status: StatusCode::OK,
                    reason: "every token's layers ran once, in order, in one version".into(),
                    answer,
                };
                job.record.finish(ending).await;
                link.finish(tokens, &reason).await;
            }
            Err(refusal) => {
                let ending = RequestEnding::of_refusal(&refusal, link.has_begun());
                job.record.finish(RequestEnding { answer, ..ending }).await;
                link.fail(refusal.mark_recorded()).await;
            }
        }
    }

    async fn run_attempts(&mut self) -> Result<String, Refusal> {
        let mut failure = String::new();
        if let Some(finish) = self.send_resumed().await {
            return Ok(finish);
        }
        loop {
            if !self.gate.admit().await {
                return Err(withheld_refusal(&self.gate, self.may_have_run));
            }
            let route = self.plan_route(&failure)?;
            let mut flight = FlightGuard::new(&self.context, route.flight);
            let sent = self.begin_send(&route);
            if !sent.await_turn().await {
                sent.end(SendEnd::NotTaken);
                continue;
            }
            let from = self.next_position();
            let end = self.run_attempt(&route, &mut flight).await;
            let trace = self.trace(&route, from, &end);
            self.job.record.record_attempt(trace);
            match end {
                AttemptEnd::Complete { reason } => {
                    // A resume without the finish reason generates it again, so nothing waits.
                    drop(self.copy(&[], Some(reason.clone())));
                    sent.end(SendEnd::Answered);
                    return Ok(reason);
                }
                AttemptEnd::Failed {
                    server,
                    reason,
                    started,
                } => {
                    self.may_have_run |= started;
                    log::warn!(request:% = self.job.id, server:% = server, reason:% = reason; "attempt failed");
                    flight.fail(&server);
                    if started {
                        drop(sent);
                        let service = ServiceName::from(self.job.model.as_str());
                        self.context.check_server(&server, &service).await;
                    } else {
                        sent.end(SendEnd::NotTaken);
                    }
                    failure = format!("{server}: {reason}");
                    self.excluded.push(server);
                }
            }
            drop(flight);
            self.attempts_since_progress = if self.next_position() > from {
                1
            } else {
                self.attempts_since_progress + 1
            };
            self.wait_for_resend(&failure).await?;
        }
    }

    /// Waits for the back-off before the next attempt; fails if the resend policy allows none.
    async fn wait_for_resend(&self, failure: &str) -> Result<(), Refusal> {
        // A draft has no effect outside its engines, and the ledger releases each token once.
        let query = ResendQuery {
            customer: &self.job.customer,
            kind: CallKind::Idempotent,
            outcome: SendOutcome::IncompleteAnswer,
            attempts: self.attempts_since_progress,
            deadline: self.job.deadline,
        };
        match self.context.resends.next_delay(query) {
            Ok(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            Err(reason) => Err(self.refusal(format!("{failure}; not tried again: {reason}"))),
        }
    }

    fn plan_route(&self, failure: &str) -> Result<DraftRoute, Refusal> {
        let now = self.context.clock.now();
        let Some(selector) = self.job.served.selector() else {
            return Err(self.refusal("the selector is gone from its configuration".to_owned()));
        };
        let route = self.ledger.as_ref().map_or(&[][..], TokenLedger::route);
        let version = route
            .first()
            .map(|link| &link.version)
            .or(self.job.version.as_ref());
        let confirmed = self
            .ledger
            .as_ref()
            .map_or(0, |ledger| ledger.next_position().0);
        let query = DraftQuery {
            configuration: &self.job.served.configuration,
            selector,
            model: &self.job.model,
            version,
            adapter: self.job.adapter.as_ref(),
            excluded: &self.excluded,
            prompt_tokens: self.job.prompt_tokens.saturating_add(confirmed),
            expected_tokens: self.job.max_tokens.saturating_sub(confirmed),
            deadline: Some(self.job.deadline.0),
            priority: self.route_priority(),
        };
        self.context.fleet.route(now, &query).map_err(|error| {
            let after = if failure.is_empty() {
                String::new()
            } else {
                format!(" after {failure}")
            };
            self.refusal(format!("{error}{after}"))
        })
    }

    fn route_priority(&self) -> RoutePriority {
        match self.job.served.selected.settings.priority {
            Some(priority) if priority >= MIN_URGENT_PRIORITY => RoutePriority::Urgent,
            _ => RoutePriority::Normal,
        }
    }

    /// Records that the draft is about to be sent to the engines of `route`.
    fn begin_send(&self, route: &DraftRoute) -> TrackedSend {
        let servers = route.stages.iter();
        let servers = servers.filter_map(|stage| self.context.loss_id(&stage.server));
        self.gate.begin(servers.collect())
    }

    fn next_position(&self) -> TokenPosition {
        self.ledger
            .as_ref()
            .map_or(TokenPosition(0), TokenLedger::next_position)
    }

    /// Refusal of a draft that can't be completed: `not-run` only if no engine may have run it.
    fn refusal(&self, detail: String) -> Refusal {
        if !self.may_have_run {
            return Refusal::no_pipeline(detail);
        }
        let confirmed = self
            .ledger
            .as_ref()
            .map_or(0, |ledger| ledger.released_prefix().len());
        Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "incomplete",
            "The draft could not be completed",
            format!("{detail}; the answer ends after {confirmed} tokens"),
        )
    }
}

/// Estimates the tokens of a text as its words plus a third for punctuation; at least 1.
pub(super) fn estimate_tokens(text: &str) -> u32 {
    let words = u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX);
    words.saturating_add(words / 3).max(1)
}

/// Length and digest of the confirmed text.
fn answer_digest(tokens: &[GeneratedToken]) -> BodyDigest {
    let text: String = tokens.iter().map(|token| token.text.as_ref()).collect();
    BodyDigest::of(text.as_bytes())
}
