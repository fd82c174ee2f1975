//! Handlers for `POST /v1/completions` and `POST /v1/chat/completions`.

use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pollendrift_border::{ChatMessage, ChatRequest, CompletionRequest};
use pollendrift_coordination::base::{AdapterName, CustomerName, TokenPosition};
use pollendrift_coordination::configuration::{RequestFacts, RequestTarget, SelectorTarget};
use pollendrift_coordination::evidence::BodyDigest;
use pollendrift_coordination::streams::ResumeQuery;
use pollendrift_http::{BodyReservation, ResponseBody, read_json_request};
use serde::de::DeserializeOwned;

use super::context::EntryContext;
use super::draft::{
    DraftJob, draft_digest, estimate_tokens, find_resume, last_position, run_draft,
};
use super::record::{RequestArrival, RunningRequest};
use super::refusal::Refusal;
use super::selection::{ServedRequest, select};
use super::stream::ReplyFormat;

pub(super) const COMPLETIONS_PATH: &str = "/v1/completions";
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// Maximum tokens of an answer if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Handles a completion request.
pub(super) async fn complete(
    context: &Arc<EntryContext>,
    arrival: &RequestArrival,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let DraftBody {
        path,
        last,
        body,
        reservation,
    } = read_body::<CompletionRequest>(context, request).await?;
    let draft = DraftRequest {
        path,
        model: body.model,
        adapter: body.adapter,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        stream: body.stream.unwrap_or(false),
        last,
        format: ReplyFormat::Completion,
        _reservation: reservation,
    };
    start_draft(context, arrival, draft).await
}

/// Handles a chat completion request.
pub(super) async fn chat(
    context: &Arc<EntryContext>,
    arrival: &RequestArrival,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let DraftBody {
        path,
        last,
        body,
        reservation,
    } = read_body::<ChatRequest>(context, request).await?;
    let draft = DraftRequest {
        path,
        model: body.model,
        adapter: body.adapter,
        prompt: chat_prompt(&body.messages),
        max_tokens: body.max_tokens,
        stream: body.stream.unwrap_or(false),
        last,
        format: ReplyFormat::Chat,
        _reservation: reservation,
    };
    start_draft(context, arrival, draft).await
}

/// A draft request with its decoded body.
struct DraftBody<T> {
    path: String,
    last: Option<TokenPosition>,
    body: T,
    reservation: BodyReservation,
}

async fn read_body<T>(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Result<DraftBody<T>, Refusal>
where
    T: DeserializeOwned,
{
    let path = request.uri().path().to_owned();
    let last = last_position(request.headers())?;
    let limits = context.request_limits(context.max_body_bytes);
    let read = read_json_request(request, limits).await;
    let (body, reservation) = read.map_err(|failure| Refusal::bad_body(&failure))?;
    Ok(DraftBody {
        path,
        last,
        body,
        reservation,
    })
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    let line = |message: &ChatMessage| format!("{}: {}", message.role, message.content);
    let lines: Vec<String> = messages.iter().map(line).collect();
    lines.join("\n")
}

/// A draft request in the form common to both paths.
struct DraftRequest {
    path: String,
    model: String,
    adapter: Option<String>,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
    /// Last position that the caller of a resumed stream received.
    last: Option<TokenPosition>,
    format: ReplyFormat,
    /// Memory of the prompt.
    _reservation: BodyReservation,
}

fn draft_facts(customer: CustomerName, draft: &DraftRequest) -> RequestFacts {
    let mut facts = RequestFacts::draft(customer, draft.model.as_str().into());
    facts.path = draft.path.as_str().into();
    if let RequestTarget::Model { adapter, .. } = &mut facts.target {
        *adapter = draft.adapter.as_deref().map(Into::into);
    }
    facts
}

/// Maximum tokens of the answer: the requested number, limited by the labels and by this host.
fn clamp_max_tokens(context: &EntryContext, served: &ServedRequest, requested: Option<u32>) -> u32 {
    let label_limit = served.selected.settings.max_tokens;
    let allowed = label_limit
        .and_then(|limit| u32::try_from(limit).ok())
        .unwrap_or(u32::MAX);
    requested
        .unwrap_or(DEFAULT_MAX_TOKENS)
        .min(allowed)
        .min(context.drafts.ledger.max_tokens)
}

async fn start_draft(
    context: &Arc<EntryContext>,
    arrival: &RequestArrival,
    draft: DraftRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(caller) = arrival.customer.clone() else {
        return Err(Refusal::unauthorized("the request names no customer"));
    };
    let facts = draft_facts(caller.clone(), &draft);
    let served = select(context, &facts)?;
    let SelectorTarget::Model {
        model,
        version,
        adapter,
    } = served.selected.target.clone()
    else {
        let detail = "the selector that serves this request names a plain service".to_owned();
        return Err(Refusal::not_run(
            StatusCode::FORBIDDEN,
            "no-selector",
            "No pipeline",
            detail,
        ));
    };
    let max_tokens = clamp_max_tokens(context, &served, draft.max_tokens);
    let prompt_tokens = estimate_tokens(&draft.prompt);
    let tokens = u64::from(prompt_tokens) + u64::from(max_tokens);
    let deadline = served.deadline(context, arrival.arrived);
    let ticket = served.admit(context, &caller, tokens, deadline).await?;
    let digest = draft_digest(
        model.as_str(),
        adapter.as_ref().map(AdapterName::as_str),
        &draft.prompt,
        max_tokens,
    );
    let resume = match draft.last {
        Some(last) => {
            let query = ResumeQuery {
                customer: caller.clone(),
                digest,
                from: last.next(),
            };
            Some(find_resume(context, &arrival.id, query).await?)
        }
        None => None,
    };
    let body = BodyDigest::of(draft.prompt.as_bytes());
    let record = RunningRequest::begin(context, arrival, None, body, &served, ticket)?;
    let job = DraftJob {
        id: arrival.id.clone(),
        record,
        customer: caller,
        deadline,
        prompt_tokens,
        model,
        digest,
        version: resume
            .as_ref()
            .map(|resume| resume.version.clone())
            .or(version),
        resume,
        adapter,
        prompt: draft.prompt,
        max_tokens,
        stream: draft.stream,
        format: draft.format,
        served,
    };
    run_draft(context, job).await
}
