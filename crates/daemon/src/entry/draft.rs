//! One draft from the first attempt to the last event, over as many pipelines as it takes.
//!
//! Acts on a request that a selector serves. Each attempt asks the first stage of a pipeline for
//! the tokens after those that the caller already holds; the ledger decides what the caller may
//! see. When a stage dies the next attempt goes on from the last confirmed token.

mod attempt;
mod caller_link;
mod flight_guard;
mod progress;
mod resume;
mod wire;

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use pollendrift_coordination::base::{
    AdapterName, AttemptNumber, CustomerName, ModelName, RequestId, ServerName, TokenPosition,
    VersionName,
};
use pollendrift_coordination::evidence::{BodyDigest, OutcomeKind};
use pollendrift_coordination::ledger::{GeneratedToken, LedgerSettings, TokenLedger};
use pollendrift_coordination::retries::{CallDeadline, CallKind, SendOutcome};
use pollendrift_coordination::routing::RoutePriority;
use pollendrift_coordination::streams::DraftDigest;
use pollendrift_http::{ResponseBody, channel_body};
use tokio::sync::oneshot;

use caller_link::{CallerLink, FirstAnswer};
use flight_guard::FlightGuard;
pub(super) use resume::{ResumePoint, draft_digest, find_resume, last_position};

use super::context::EntryContext;
use super::record::{RequestEnding, RunningRequest};
use super::refusal::Refusal;
use super::selection::ServedRequest;
use super::stream::{ReplyFormat, ReplyWriter};
use crate::admission::MIN_URGENT_LABEL;
use crate::fleet::{DraftQuery, DraftRoute};
use crate::resend::ResendQuery;

/// Path on which a first stage takes sequences.
const SEQUENCE_PATH: &str = "/engine/v1/sequences";
/// Events that wait for a caller that reads slowly; beyond them its engines wait as well.
const EVENT_CAPACITY: usize = 64;

/// How drafts run.
#[derive(Clone, Debug)]
pub struct DraftSettings {
    /// Longest wait for the first event of an attempt.
    pub first_event_timeout: Duration,
    /// Longest silence between two events of an attempt.
    pub stall_timeout: Duration,
    /// Bounds of one request's ledger.
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

/// A draft that is to run.
pub(super) struct DraftJob {
    pub(super) id: RequestId,
    pub(super) record: RunningRequest,
    pub(super) customer: CustomerName,
    pub(super) deadline: CallDeadline,
    /// Estimate, until an engine has counted them.
    pub(super) prompt_tokens: u32,
    pub(super) model: ModelName,
    pub(super) digest: DraftDigest,
    /// Where a lost stream goes on.
    pub(super) resume: Option<ResumePoint>,
    pub(super) version: Option<VersionName>,
    pub(super) adapter: Option<AdapterName>,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) format: ReplyFormat,
    pub(super) served: ServedRequest,
}

/// Runs a draft; answers as soon as its first token or its refusal is known.
pub(super) async fn run_draft(
    context: &Arc<EntryContext>,
    job: DraftJob,
) -> Result<Response<ResponseBody>, Refusal> {
    // The body stays in this future until the answer begins: a caller that goes away drops it in
    // either case, and the runner sees its reader gone and frees the engines.
    let (sender, body) = channel_body(EVENT_CAPACITY);
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
    let runner = DraftRunner {
        context: Arc::clone(context),
        ledger,
        attempt,
        excluded: Vec::new(),
        fruitless: 0,
        has_replicated: false,
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

/// A ledger of an answer of which the caller holds a part from another entry.
fn resumed_ledger(context: &EntryContext, job: &DraftJob, resume: &ResumePoint) -> TokenLedger {
    TokenLedger::resume(
        job.id.clone(),
        resume.model_layers,
        resume.version.clone(),
        context.drafts.ledger,
        resume.tokens.clone(),
    )
}

struct DraftRunner {
    context: Arc<EntryContext>,
    job: DraftJob,
    /// Made with the first plan, which fixes the version of the whole answer.
    ledger: Option<TokenLedger>,
    attempt: AttemptNumber,
    excluded: Vec<ServerName>,
    /// Failed attempts since the caller last got a token, the one that brought it included.
    ///
    /// A long answer may outlive many stages. Counted over the whole answer, the bound on attempts
    /// ended drafts that lost a stage now and then and went on well in between.
    fruitless: u32,
    /// Whether another host was told of the stream.
    has_replicated: bool,
    /// Whether any engine may have run a layer; decides between `not-run` and `unknown`.
    may_have_run: bool,
    link: CallerLink,
}

/// How one attempt ended.
enum AttemptEnd {
    /// The caller has the whole answer.
    Complete { reason: String },
    /// The server is not asked again for this request.
    Failed {
        server: ServerName,
        reason: String,
        /// False only where it is proved that no layer ran.
        started: bool,
    },
}

impl DraftRunner {
    async fn run(mut self) {
        let watch = self.link.sender.watch();
        let ended = tokio::select! {
            ended = self.attempts() => ended,
            () = watch.gone() => {
                log::info!(request:% = self.job.id; "caller went away");
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

    async fn attempts(&mut self) -> Result<String, Refusal> {
        let mut failure = String::new();
        if let Some(finish) = self.send_resumed().await {
            return Ok(finish);
        }
        loop {
            let route = self.route(&failure)?;
            let mut flight = FlightGuard::new(&self.context, route.flight);
            let from = self.next_position();
            let end = self.attempt(&route, &mut flight).await;
            let trace = self.trace(&route, from, &end);
            self.job.record.attempt(trace);
            match end {
                AttemptEnd::Complete { reason } => {
                    self.replicate_tokens(&[], Some(reason.clone()));
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
                    failure = format!("{server}: {reason}");
                    self.excluded.push(server);
                }
            }
            drop(flight);
            self.fruitless = if self.next_position() > from {
                1
            } else {
                self.fruitless + 1
            };
            self.wait_for_resend(&failure).await?;
        }
    }

    /// Waits before the next attempt, or says why there is none.
    async fn wait_for_resend(&self, failure: &str) -> Result<(), Refusal> {
        // A draft runs no effect outside its engines, and the ledger lets each token out once.
        let query = ResendQuery {
            customer: &self.job.customer,
            kind: CallKind::Idempotent,
            outcome: SendOutcome::IncompleteAnswer,
            attempts: self.fruitless,
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

    fn route(&self, failure: &str) -> Result<DraftRoute, Refusal> {
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
        self.context.fleet.route(now, &query).map_err(|missing| {
            let after = if failure.is_empty() {
                String::new()
            } else {
                format!(" after {failure}")
            };
            self.refusal(format!("{missing}{after}"))
        })
    }

    fn route_priority(&self) -> RoutePriority {
        match self.job.served.selected.settings.priority {
            Some(priority) if priority >= MIN_URGENT_LABEL => RoutePriority::Urgent,
            _ => RoutePriority::Normal,
        }
    }

    fn next_position(&self) -> TokenPosition {
        self.ledger
            .as_ref()
            .map_or(TokenPosition(0), TokenLedger::next_position)
    }

    /// The truth about a draft that can't be completed.
    fn refusal(&self, detail: String) -> Refusal {
        if !self.may_have_run {
            return Refusal::no_pipeline(detail);
        }
        let held = self
            .ledger
            .as_ref()
            .map_or(0, |ledger| ledger.released_prefix().len());
        Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "incomplete",
            "The draft could not be completed",
            format!("{detail}; the answer ends after {held} tokens"),
        )
    }
}

/// Tokens of a text before any engine has counted them: words, with a third for punctuation.
pub(super) fn estimate_tokens(text: &str) -> u32 {
    let words = u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX);
    words.saturating_add(words / 3).max(1)
}

/// Length and digest of the text that went to the caller.
fn answer_digest(tokens: &[GeneratedToken]) -> BodyDigest {
    let text: String = tokens.iter().map(|token| token.text.as_ref()).collect();
    BodyDigest::of(text.as_bytes())
}
