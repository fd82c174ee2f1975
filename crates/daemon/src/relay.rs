//! Relays callers' requests along published routes to servers that run their own pipelines.
//!
//! Callers, operators and backend servers speak a platform's dialect, which an adapter decodes. A
//! chain is the list of engines that run a draft, one per stage; it is the platform's term for a
//! pipeline.
//!
//! This module and `coordination` make the decisions: they select the route, the customer and the
//! server or chain of engines, decide whether to retry a failed send, and choose the response.

mod admission;
mod answer;
mod backpressure;
mod calls;
mod chains;
mod channels;
mod context;
mod control;
mod crashes;
mod draft_forward;
mod draft_search;
mod drafts;
mod engine_estimates;
mod forwarding;
mod guard;
mod heartbeats;
mod leaves;
mod liveness;
mod meter;
mod peer_forward;
mod peer_requests;
mod placer;
mod publish;
mod reachability;
mod request;
mod reroute;
mod routes;
mod start;
mod stream;
mod survey;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use pollendrift_coordination::base::{CustomerName, MonotonicTime};
use pollendrift_coordination::evidence::OutcomeKind;
use pollendrift_coordination::poison::{ContentDigest, RequestContent};
use pollendrift_coordination::routes::{RouteKind, RouteTable, TableError};
use pollendrift_dialect::{CallerRequest, RefusalKind};
use pollendrift_http::{
    HandlerFuture, HttpHandler, ReadFailure, RequestLimits, ResponseBody, full_body, read_request,
};

use crate::lifecycle::LifecycleStep;

pub(crate) use admission::ExportedAdmission;
pub(crate) use context::{RelayContext, RelayParts};
pub(crate) use start::{accept_forwarding, relay_faces, start_relay};

use control::ControlHandler;
use heartbeats::HeartbeatHandler;
use meter::RequestMeter;
use request::{ForwardOrigin, Refused, RelayRequest, refused};

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay for a caller whose request reaches a host that is stopping.
const RETRY_STOPPING: Duration = Duration::from_millis(50);

/// Retry delay for a caller whose body finds no memory: the time in which slow bodies give way.
const RETRY_NO_MEMORY: Duration = Duration::from_secs(1);

/// HTTP handlers for the clients that speak the platform's dialect.
#[derive(Clone, Debug)]
pub struct RelayFaces {
    /// Serves callers.
    pub(crate) callers: Arc<RelayHandler>,
    /// Serves operators and backend servers.
    pub(crate) control: Arc<ControlHandler>,
    /// Receives heartbeats of backend servers on a host without a keeper.
    pub(crate) heartbeats: Arc<HeartbeatHandler>,
}

/// Serves callers' requests.
#[derive(Debug)]
pub(crate) struct RelayHandler {
    context: Arc<RelayContext>,
}

impl RelayHandler {
    /// Creates a handler that serves requests with the state in `context`.
    pub(crate) fn new(context: Arc<RelayContext>) -> Self {
        Self { context }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let context = &self.context;
        let (head, body) = request.into_parts();
        let mut response = match context.dialect.callers.read(&head) {
            Ok(call) => {
                let meter = RequestMeter::start(context);
                let serving = serve(context, &call, head, body, &meter);
                let served = tokio::select! {
                    biased;
                    served = serving => served,
                    () = context.lifecycle.ending() => {
                        let reason = "this host stops before the answer has come";
                        Err(refused(RefusalKind::UnknownOutcome, reason))
                    }
                };
                match served {
                    Ok(response) => response,
                    Err(refused) => {
                        meter.record_refusal(refused.refusal.kind);
                        context.refuse(&refused, Some(&call.attempt))
                    }
                }
            }
            Err(error) => context.refuse(&refused(RefusalKind::Malformed, error.reason), None),
        };
        if context.lifecycle.step() != LifecycleStep::Serving {
            // Makes the caller open its next connection to a host that keeps running.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl HttpHandler for RelayHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }
}

async fn serve(
    context: &Arc<RelayContext>,
    call: &CallerRequest,
    head: Parts,
    body: Incoming,
    meter: &RequestMeter,
) -> Result<Response<ResponseBody>, Refused> {
    let arrived = context.clock.now();
    check_accepts_work(context)?;
    let table = find_table(context, call).await?;
    check_route(&table, call).map_err(table_refusal)?;
    let limits = RequestLimits {
        max_bytes: table.bounds().body_bytes,
        timeout: BODY_TIMEOUT,
        memory: &context.request_memory,
    };
    let body = read_request(&head.extensions, body, limits)
        .await
        .map_err(body_refusal)?;
    // The body may have taken longer than the rest of the notice.
    check_accepts_work(context)?;
    let input = CallerInput {
        head,
        body,
        origin: None,
    };
    serve_at(context, call, input, meter, arrived, &table).await
}

/// Returns an error once this host has stopped to accept work.
fn check_accepts_work(context: &RelayContext) -> Result<(), Refused> {
    if context.lifecycle.accepts_work() {
        return Ok(());
    }
    let stopping = refused(RefusalKind::NotRun, "this host is stopping as planned");
    Err(stopping.retry_after(RETRY_STOPPING))
}

/// A request as its caller sent it, with its complete body.
struct CallerInput {
    head: Parts,
    body: Bytes,
    /// Set if another host forwarded the request.
    origin: Option<ForwardOrigin>,
}

/// Serves a request whose body is complete.
async fn serve_body(
    context: &Arc<RelayContext>,
    call: &CallerRequest,
    input: CallerInput,
    meter: &RequestMeter,
) -> Result<Response<ResponseBody>, Refused> {
    let arrived = context.clock.now();
    let table = find_table(context, call).await?;
    serve_at(context, call, input, meter, arrived, &table).await
}

/// Returns the routes in force, new enough to refuse the request if they lack its route or key.
async fn find_table(
    context: &RelayContext,
    call: &CallerRequest,
) -> Result<Arc<RouteTable>, Refused> {
    let clock = context.clock.as_ref();
    let table = context.routes.wait_for_table(clock).await?;
    if check_route(&table, call).is_err() && context.routes.may_be_stale(clock.now()) {
        return context.routes.catch_up(clock).await;
    }
    Ok(table)
}

async fn serve_at(
    context: &Arc<RelayContext>,
    call: &CallerRequest,
    input: CallerInput,
    meter: &RequestMeter,
    arrived: MonotonicTime,
    table: &RouteTable,
) -> Result<Response<ResponseBody>, Refused> {
    let route = table.route(&call.host, &call.path).map_err(table_refusal)?;
    let customer = table
        .customer(route, call.key.as_deref())
        .map_err(table_refusal)?;
    let chosen = input.origin.as_ref().map(|origin| &origin.service);
    let service = chosen
        .and_then(|service| table.service_of_route(route, service))
        .or_else(|| table.service(route, rand::random()))
        .ok_or_else(|| refused(RefusalKind::NotRun, "the route has no service"))?;
    let content = digest_of(call, &input, customer.map(|customer| &customer.name));
    let request = RelayRequest {
        head: input.head,
        body: input.body,
        attempt: call.attempt.clone(),
        content,
        route: Arc::clone(route),
        service: Arc::clone(service),
        priority: context.priority_of(table, route, service, customer),
        customer: customer.map(|customer| customer.name.clone()),
        draft: call.draft.clone(),
        shared_parts: Arc::clone(&call.shared_parts),
        resume_after: call.resume_after,
        arrived,
        deadline: arrived.after(call.timeout.unwrap_or(route.timeout).min(route.timeout)),
        origin: input.origin,
    };
    match route.kind {
        RouteKind::Stream { .. } => drafts::serve(context, request, meter).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            let response = calls::serve(context, &request).await?;
            meter.record_end(OutcomeKind::Complete);
            Ok(response)
        }
    }
}

/// Digest of what the attempts at one request have in common.
fn digest_of(
    call: &CallerRequest,
    input: &CallerInput,
    customer: Option<&CustomerName>,
) -> ContentDigest {
    let query = input.head.uri.query().unwrap_or_default();
    ContentDigest::of(&RequestContent {
        customer: customer.map_or("", CustomerName::as_str),
        method: input.head.method.as_str(),
        target: &format!("{}{}?{query}", call.host, call.path),
        prompt: &call.prompt,
        body: &input.body,
    })
}

/// Returns an error if the route does not exist or does not accept the request's key.
fn check_route(table: &RouteTable, call: &CallerRequest) -> Result<(), TableError> {
    let route = table.route(&call.host, &call.path)?;
    table.customer(route, call.key.as_deref()).map(drop)
}

fn table_refusal(error: TableError) -> Refused {
    let kind = match error {
        TableError::UnknownRoute => RefusalKind::UnknownRoute,
        TableError::KeyMissing | TableError::KeyUnknown => RefusalKind::UnknownKey,
    };
    refused(kind, error.to_string())
}

fn body_refusal(failure: ReadFailure) -> Refused {
    let kind = match failure {
        ReadFailure::TooLarge { .. } => RefusalKind::BodyTooLarge,
        ReadFailure::TooSlow { .. } => RefusalKind::TooSlow,
        ReadFailure::MemoryUsedUp => {
            let reason = failure.to_string();
            return refused(RefusalKind::NotRun, reason).retry_after(RETRY_NO_MEMORY);
        }
        ReadFailure::EndedEarly { .. } | ReadFailure::Malformed { .. } => RefusalKind::Malformed,
    };
    refused(kind, failure.to_string())
}

impl RelayContext {
    fn refuse(
        &self,
        refused: &Refused,
        attempt: Option<&pollendrift_coordination::base::RequestId>,
    ) -> Response<ResponseBody> {
        let id = attempt.map_or("", |attempt| attempt.as_str());
        let retry_delay = refused.refusal.retry_after.unwrap_or_default().as_millis();
        log::warn!(request = id, kind:% = refused.refusal.kind, reason = refused.refusal.reason.as_str(),
            retry_after_ms = u64::try_from(retry_delay).unwrap_or(u64::MAX); "refused");
        self.dialect
            .callers
            .refuse(&refused.refusal, attempt)
            .map(full_body)
    }
}
