//! One draft from the first attempt to the last event, over as many pipelines as it takes.
//!
//! Acts on a request that a selector serves. Each attempt asks the first stage of a pipeline for
//! the tokens after those that the caller already holds; the ledger decides what the caller may
//! see. When a stage dies the next attempt goes on from the last confirmed token.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use pollendrift_border::{
    ChainLink as BorderLink, LayerSpan, RouteStage, SequenceEvent, SequenceRequest, TokenEvent,
};
use pollendrift_coordination::base::{
    AdapterName, AttemptNumber, LayerRange, ModelName, RequestId, ServerName, TokenPosition,
    VersionName,
};
use pollendrift_coordination::ledger::{
    ChainLink, FinalEvent, FinalVerdict, GeneratedToken, LedgerSettings, ReleasedToken,
    TokenLedger, TokenResult, TokenVerdict,
};
use pollendrift_http::{BodySender, ClientError, LineReader, ResponseBody, channel_body};
use tokio::sync::oneshot;

use super::context::EntryContext;
use super::refusal::Refusal;
use super::selection::ServedRequest;
use super::stream::{ReplyFormat, ReplyWriter};
use crate::planner::{PipelinePlan, PlanQuery};

/// Path on which a first stage takes sequences.
const SEQUENCE_PATH: &str = "/engine/v1/sequences";
/// Events that wait for a caller that reads slowly; beyond them its engines wait as well.
const EVENT_CAPACITY: usize = 64;

/// How drafts run.
#[derive(Clone, Debug)]
pub struct DraftSettings {
    /// Attempts at one request.
    pub max_attempts: u32,
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
            max_attempts: 5,
            first_event_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_millis(800),
            ledger: LedgerSettings::default(),
        }
    }
}

/// A draft that is to run.
#[derive(Debug)]
pub(super) struct DraftJob {
    pub(super) id: RequestId,
    pub(super) model: ModelName,
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
    let runner = DraftRunner {
        context: Arc::clone(context),
        ledger: None,
        attempt: AttemptNumber(0),
        excluded: BTreeSet::new(),
        may_have_run: false,
        link: CallerLink {
            writer: writer.clone(),
            sender,
            reply: Some(reply),
            stream: job.stream,
        },
        job,
    };
    tokio::spawn(runner.run());
    match answer.await {
        Ok(FirstAnswer::Streaming) => Ok(writer.stream_response(body)),
        Ok(FirstAnswer::Whole(response)) => Ok(response),
        Ok(FirstAnswer::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::unknown(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "The draft stopped",
            "the task that ran this draft ended without an answer".to_owned(),
        )),
    }
}

/// What the handler is told first.
enum FirstAnswer {
    Streaming,
    Whole(Response<ResponseBody>),
    Refused(Refusal),
}

/// The way back to the caller.
struct CallerLink {
    writer: ReplyWriter,
    sender: BodySender,
    /// Taken when the handler has been answered.
    reply: Option<oneshot::Sender<FirstAnswer>>,
    stream: bool,
}

impl CallerLink {
    async fn tokens(&mut self, tokens: &[ReleasedToken]) {
        if !self.stream {
            return;
        }
        self.answer(FirstAnswer::Streaming);
        for token in tokens {
            self.writer.token(&self.sender, token).await;
        }
    }

    async fn finish(mut self, tokens: &[GeneratedToken], reason: &str) {
        if !self.stream {
            let response = self.writer.whole_response(tokens, reason);
            return self.answer(FirstAnswer::Whole(response));
        }
        self.answer(FirstAnswer::Streaming);
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.writer.finish(self.sender, count, reason).await;
    }

    async fn fail(mut self, refusal: Refusal) {
        if self.reply.is_some() {
            return self.answer(FirstAnswer::Refused(refusal));
        }
        let report = refusal.report(&self.writer.id);
        self.writer.fail(self.sender, &report).await;
    }

    fn answer(&mut self, answer: FirstAnswer) {
        if let Some(reply) = self.reply.take() {
            // A handler that is gone has dropped the body too, which ends the run.
            let _ = reply.send(answer);
        }
    }
}

struct DraftRunner {
    context: Arc<EntryContext>,
    job: DraftJob,
    /// Made with the first plan, which fixes the version of the whole answer.
    ledger: Option<TokenLedger>,
    attempt: AttemptNumber,
    excluded: BTreeSet<ServerName>,
    /// Whether any engine may have run a layer; decides between `not-run` and `unknown`.
    may_have_run: bool,
    link: CallerLink,
}

/// How one attempt ended.
enum AttemptEnd {
    /// The caller has the whole answer.
    Complete { reason: String },
    /// The server is not asked again for this request.
    Failed { server: ServerName, reason: String },
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
        match ended {
            Ok(reason) => {
                let tokens = self
                    .ledger
                    .as_ref()
                    .map_or(&[][..], TokenLedger::confirmed_prefix);
                self.link.finish(tokens, &reason).await;
            }
            Err(refusal) => self.link.fail(refusal).await,
        }
    }

    async fn attempts(&mut self) -> Result<String, Refusal> {
        let mut failure = String::new();
        for _ in 0..self.context.drafts.max_attempts {
            let plan = self.plan(&failure)?;
            match self.attempt(&plan).await {
                AttemptEnd::Complete { reason } => return Ok(reason),
                AttemptEnd::Failed { server, reason } => {
                    log::warn!(request:% = self.job.id, server:% = server, reason:% = reason; "attempt failed");
                    failure = format!("{server}: {reason}");
                    self.excluded.insert(server);
                }
            }
        }
        let detail = format!("every attempt failed, the last one at {failure}");
        Err(self.refusal(detail))
    }

    fn plan(&self, failure: &str) -> Result<PipelinePlan, Refusal> {
        let now = self.context.clock.now();
        let version = self
            .ledger
            .as_ref()
            .and_then(|ledger| ledger.route().first().map(|link| link.version.clone()));
        let query = PlanQuery {
            model: self.job.model.clone(),
            version: version.or_else(|| self.job.version.clone()),
            adapter: self.job.adapter.clone(),
            excluded: self.excluded.clone(),
        };
        let servers = self.job.served.engines(&self.context, now);
        self.context
            .planner
            .plan(now, &query, &servers)
            .map_err(|missing| {
                let after = if failure.is_empty() {
                    String::new()
                } else {
                    format!(" after {failure}")
                };
                self.refusal(format!("{missing}{after}"))
            })
    }

    /// The truth about a draft that can't be completed.
    fn refusal(&self, detail: String) -> Refusal {
        if !self.may_have_run {
            return Refusal::no_pipeline(detail);
        }
        let held = self
            .ledger
            .as_ref()
            .map_or(0, |ledger| ledger.confirmed_prefix().len());
        Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "incomplete",
            "The draft could not be completed",
            format!("{detail}; the answer ends after {held} tokens"),
        )
    }

    async fn attempt(&mut self, plan: &PipelinePlan) -> AttemptEnd {
        let head = plan.stages.first().map(|stage| stage.server.clone());
        let Some(head) = head else {
            return failed("planner".into(), "empty pipeline");
        };
        let from = match self.begin(plan) {
            Ok(from) => from,
            Err(reason) => {
                return AttemptEnd::Failed {
                    server: head,
                    reason,
                };
            }
        };
        // Asked again after every wait: a paused process would else use a lease that is over.
        let now = self.context.clock.now();
        let lapsed = plan
            .stages
            .iter()
            .find(|stage| !self.context.fleet.may_take_work(now, &stage.server));
        if let Some(stage) = lapsed {
            return failed(stage.server.clone(), "its lease ran out");
        }
        match self.open(plan, from).await {
            Ok(reader) => self.relay(&head, reader).await,
            Err(error) => AttemptEnd::Failed {
                server: head,
                reason: error.to_string(),
            },
        }
    }

    fn begin(&mut self, plan: &PipelinePlan) -> Result<TokenPosition, String> {
        let ledger = self.ledger.get_or_insert_with(|| {
            TokenLedger::new(
                self.job.id.clone(),
                plan.model_layers,
                plan.version.clone(),
                self.context.drafts.ledger,
            )
        });
        self.attempt = self.attempt.next();
        let link = |stage: &crate::planner::PlannedStage| ChainLink {
            server: stage.server.clone(),
            layers: stage.layers,
            version: plan.version.clone(),
        };
        let route = plan.stages.iter().map(link).collect();
        ledger
            .begin_attempt(self.attempt, route)
            .map_err(|error| error.to_string())
    }

    async fn open(
        &mut self,
        plan: &PipelinePlan,
        _from: TokenPosition,
    ) -> Result<LineReader, ClientError> {
        let address = plan.stages.first().map_or("", |stage| &stage.address);
        let body = self.sequence_request(plan);
        let call = self.context.client.post(address, SEQUENCE_PATH, &body);
        let wait = self.context.drafts.first_event_timeout;
        let answer = tokio::time::timeout(wait, call).await;
        let response = match answer {
            Ok(Err(error @ ClientError::NotSent { .. })) => return Err(error),
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                self.may_have_run = true;
                return Err(error);
            }
            Err(_) => {
                self.may_have_run = true;
                return Err(ClientError::NoAnswer {
                    reason: "no answer in time".to_owned(),
                });
            }
        };
        self.may_have_run = true;
        if response.status() != StatusCode::OK {
            return Err(ClientError::BadAnswer {
                reason: format!("status {}", response.status()),
            });
        }
        Ok(LineReader::new(response))
    }

    fn sequence_request(&self, plan: &PipelinePlan) -> SequenceRequest {
        let confirmed = self
            .ledger
            .as_ref()
            .map_or(&[][..], TokenLedger::confirmed_prefix);
        SequenceRequest {
            request: self.job.id.to_string(),
            attempt: self.attempt.0,
            model: self.job.model.to_string(),
            version: plan.version.to_string(),
            adapter: self.job.adapter.as_ref().map(ToString::to_string),
            priority: self
                .job
                .served
                .selected
                .settings
                .priority
                .map_or(0, i32::from),
            prompt: self.job.prompt.clone(),
            confirmed: confirmed.iter().map(|token| token.id).collect(),
            max_tokens: self.job.max_tokens,
            route: plan.stages.iter().map(route_stage).collect(),
        }
    }

    async fn relay(&mut self, head: &ServerName, mut reader: LineReader) -> AttemptEnd {
        let mut wait = self.context.drafts.first_event_timeout;
        loop {
            let line = match tokio::time::timeout(wait, reader.next_line()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => {
                    return failed(head.clone(), "the stream ended before its last event");
                }
                Ok(Err(error)) => {
                    return AttemptEnd::Failed {
                        server: head.clone(),
                        reason: error.to_string(),
                    };
                }
                Err(_) => return failed(head.clone(), "it fell silent"),
            };
            wait = self.context.drafts.stall_timeout;
            let Ok(event) = serde_json::from_slice::<SequenceEvent>(&line) else {
                return failed(head.clone(), "it sent an event that can't be read");
            };
            if let Some(end) = self.take_event(head, event).await {
                return end;
            }
        }
    }

    async fn take_event(&mut self, head: &ServerName, event: SequenceEvent) -> Option<AttemptEnd> {
        match event {
            SequenceEvent::Token(event) => self.take_token(head, event).await,
            SequenceEvent::Complete(event) => {
                let last = FinalEvent {
                    request: event.request.as_str().into(),
                    attempt: AttemptNumber(event.attempt),
                    count: event.count,
                };
                let ledger = self.ledger.as_mut()?;
                match ledger.complete(&last) {
                    FinalVerdict::Complete => Some(AttemptEnd::Complete {
                        reason: event.finish_reason,
                    }),
                    FinalVerdict::Waiting { next } => Some(failed(
                        head.clone(),
                        &format!("it ended without token {next}"),
                    )),
                    FinalVerdict::Dropped(reason) => {
                        Some(failed(head.clone(), &reason.to_string()))
                    }
                }
            }
            SequenceEvent::Failed(event) => Some(AttemptEnd::Failed {
                server: event.server.as_str().into(),
                reason: event.reason,
            }),
        }
    }

    async fn take_token(&mut self, head: &ServerName, event: TokenEvent) -> Option<AttemptEnd> {
        let ledger = self.ledger.as_mut()?;
        match ledger.accept(token_result(event)) {
            TokenVerdict::Release { tokens, .. } => {
                self.link.tokens(&tokens).await;
                None
            }
            TokenVerdict::Held => None,
            TokenVerdict::Dropped(reason) if reason.ends_attempt() => {
                Some(failed(head.clone(), &reason.to_string()))
            }
            TokenVerdict::Dropped(_) => None,
        }
    }
}

fn failed(server: ServerName, reason: &str) -> AttemptEnd {
    AttemptEnd::Failed {
        server,
        reason: reason.to_owned(),
    }
}

fn route_stage(stage: &crate::planner::PlannedStage) -> RouteStage {
    RouteStage {
        server: stage.server.to_string(),
        address: stage.address.to_string(),
        layers: LayerSpan {
            first: stage.layers.first,
            end: stage.layers.end,
        },
    }
}

fn token_result(event: TokenEvent) -> TokenResult {
    let link = |link: BorderLink| ChainLink {
        server: link.server.into(),
        layers: LayerRange {
            first: link.layers.first,
            end: link.layers.end,
        },
        version: link.version.into(),
    };
    TokenResult {
        request: event.request.into(),
        attempt: AttemptNumber(event.attempt),
        position: TokenPosition(event.position),
        chain: event.chain.into_iter().map(link).collect(),
        token: GeneratedToken {
            id: event.token,
            text: event.text.into(),
        },
    }
}
