//! Serves requests that other hosts forward because they reach no server.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use pollendrift_coordination::base::ServiceName;
use pollendrift_dialect::RefusalKind;
use pollendrift_http::{BodyMemory, ResponseBody};

use super::context::RelayContext;
use super::meter::RequestMeter;
use super::request::{ForwardOrigin, Refused, refused};
use super::{CallerInput, serve_body};
use crate::lifecycle::LifecycleStep;
use crate::peers::{
    BoxFuture, ForwardHandler, ForwardRefusal, ForwardedAnswer, PeerHub, ReceivedRequest,
};

/// Maximum number of requests of other hosts in progress; further ones are refused at once, so that
/// those hosts turn to others.
const MAX_RUNNING: usize = 256;
/// Retry delay for a request that this host does not take.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(500);

/// Serves requests that other hosts forward.
pub(super) struct PeerRequestHandler {
    pub(super) context: Arc<RelayContext>,
    pub(super) hub: PeerHub,
}

impl ForwardHandler for PeerRequestHandler {
    fn request_memory(&self) -> Option<&BodyMemory> {
        Some(&self.context.request_memory)
    }

    fn serve(&self, request: ReceivedRequest) -> BoxFuture<'static, ForwardedAnswer> {
        let context = Arc::clone(&self.context);
        let running = self.hub.forwarded_count();
        Box::pin(async move {
            let id = request.forwarded.request.clone();
            let from = request.from.clone();
            log::info!(request = id.as_str(), from:% = from, service:% = request.forwarded.service,
                running = running; "forwarded request received");
            let served = serve(&context, request, running).await;
            served.map_err(|refused| {
                log::warn!(request = id.as_str(), from:% = from, kind:% = refused.refusal.kind,
                    reason = refused.refusal.reason.as_str(); "forwarded request refused");
                ForwardRefusal {
                    refusal: refused.refusal,
                    has_arrived: refused.has_arrived,
                }
            })
        })
    }
}

async fn serve(
    context: &Arc<RelayContext>,
    request: ReceivedRequest,
    running: usize,
) -> Result<Response<ResponseBody>, Refused> {
    let forwarded = request.forwarded;
    if let Some(reason) = refusal_reason(context, running, &forwarded.service) {
        return Err(refused(RefusalKind::NotRun, reason).retry_after(RETRY_ELSEWHERE));
    }
    let now = context.clock.now();
    if forwarded.is_unpaid_repeat && !context.spend_retry(now, &forwarded.service) {
        let reason = "the retry budget is used up";
        return Err(refused(RefusalKind::NotRun, reason).retry_after(RETRY_ELSEWHERE));
    }
    let call = context.dialect.callers.read(&request.head);
    let mut call = call.map_err(|error| refused(RefusalKind::Malformed, error.reason))?;
    call.timeout = Some(forwarded.time_left);
    call.resume_after = forwarded.resume_after;
    let input = CallerInput {
        head: request.head,
        body: request.body,
        origin: Some(ForwardOrigin {
            service: forwarded.service,
            tried_servers: forwarded.tried_servers,
        }),
    };
    let meter = RequestMeter::start_forwarded(context);
    serve_body(context, &call, input, &meter).await
}

/// Reason why this host does not take a request for `service`; `None` if it does. `running` is the
/// number of forwarded requests in progress, this one included.
fn refusal_reason(
    context: &RelayContext,
    running: usize,
    service: &ServiceName,
) -> Option<&'static str> {
    if context.lifecycle.step() != LifecycleStep::Serving {
        return Some("this host is stopping as planned");
    }
    if running > MAX_RUNNING {
        return Some("this host serves too many requests of other hosts");
    }
    if context.reachability().is_unreachable(service) {
        return Some("this host reaches no server of the service either");
    }
    None
}
