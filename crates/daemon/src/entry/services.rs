//! Calls of plain services: requests of any method under `/services/{service}/`.
//!
//! A call is resent only if it is proved that it did not run, or if it is idempotent. A
//! non-idempotent call with a key runs under a claim, see [`claimed`].

mod claimed;
mod proxy;
mod settling;

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, request};
use hyper::body::Incoming;
use pollendrift_coordination::base::{
    AttemptNumber, ClaimKey, CustomerName, RequestId, ServiceName, TokenPosition,
};
use pollendrift_coordination::claims::{ClaimScope, KnownClaim};
use pollendrift_coordination::configuration::RequestFacts;
use pollendrift_coordination::evidence::{AttemptTrace, BodyDigest, TracedStage};
use pollendrift_coordination::poison::{RequestContent, SendEnd};
use pollendrift_coordination::retries::{CallDeadline, CallKind};
use pollendrift_http::{ClientError, ResponseBody, read_request};

pub(crate) use settling::SettlingClaims;

use super::SERVICE_PREFIX;
use super::context::EntryContext;
use super::ends::{send_gate, withheld_refusal};
use super::record::{RequestArrival, RequestEnding, RunningRequest};
use super::refusal::Refusal;
use super::selection::{ServedRequest, select};
use crate::fleet::ServerView;
use crate::poison::SendGate;
use crate::resend::{ResendQuery, send_outcome};

use claimed::call_digest;
use proxy::BufferedAnswer;

/// Header that contains the idempotency key of a call; a resend contains the same key.
const KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;

/// An admitted call, ready to be sent.
struct ServiceCall {
    context: Arc<EntryContext>,
    id: RequestId,
    customer: CustomerName,
    service: ServiceName,
    head: request::Parts,
    body: Bytes,
    served: ServedRequest,
    deadline: CallDeadline,
}

/// Handles a call of a plain service.
///
/// # Errors
/// Refuses the call if it is invalid or not admitted, or if no answer was received.
pub(super) async fn call(
    context: &Arc<EntryContext>,
    arrival: &RequestArrival,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let service = service_name(request.uri().path())?;
    let Some(customer) = arrival.customer.clone() else {
        return Err(Refusal::unauthorized("the request names no customer"));
    };
    let key = call_key(&request)?;
    let mut facts = RequestFacts::call(customer.clone(), service.clone());
    facts.path = request.uri().path().into();
    let known = key.as_deref().and_then(|key| {
        let scope = ClaimScope {
            customer: customer.clone(),
            service: service.clone(),
            key: key.into(),
        };
        known_claim(context, &scope)
    });
    let (head, body) = request.into_parts();
    let Some(known) = known else {
        let served = select(context, &facts)?;
        let body = read_body(context, &head, body).await?;
        let received = ReceivedCall {
            customer,
            service,
            key,
            head,
            body,
        };
        return received.admit(context, arrival, served).await;
    };
    // Only the body tells whether this is a resend of the known call, so it is read first.
    let body = read_body(context, &head, body).await?;
    let is_resend = known.digest == call_digest(&head, &body);
    let received = ReceivedCall {
        customer,
        service,
        key,
        head,
        body,
    };
    let result = match select(context, &facts) {
        Ok(served) => received.admit(context, arrival, served).await,
        Err(refusal) => Err(refusal),
    };
    result.map_err(|refusal| {
        if is_resend {
            with_earlier_arrival(refusal, &known)
        } else {
            refusal
        }
    })
}

/// A call with its whole body, before it is admitted.
struct ReceivedCall {
    customer: CustomerName,
    service: ServiceName,
    key: Option<String>,
    head: request::Parts,
    body: Bytes,
}

impl ReceivedCall {
    async fn admit(
        self,
        context: &Arc<EntryContext>,
        arrival: &RequestArrival,
        served: ServedRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let claim = self.key.as_deref().map(ClaimKey::from);
        let digest = BodyDigest::of(&self.body);
        let deadline = served.deadline(context, arrival.arrived);
        let ticket = served.admit(context, &self.customer, 0, deadline).await?;
        let record = RunningRequest::begin(context, arrival, claim, digest, &served, ticket)?;
        let call = ServiceCall {
            context: Arc::clone(context),
            id: arrival.id.clone(),
            customer: self.customer,
            service: self.service,
            head: self.head,
            body: self.body,
            served,
            deadline,
        };
        match self.key {
            Some(key) if !call.is_idempotent() => claimed::run(call, record, key).await,
            _ => call.run(record).await,
        }
    }
}

/// Reads the complete body, before anything is sent: a call that is aborted here did not run.
async fn read_body(
    context: &EntryContext,
    head: &request::Parts,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let limits = context.request_limits(context.max_body_bytes);
    read_request(&head.extensions, body, limits)
        .await
        .map_err(|failure| Refusal::bad_body(&failure))
}

/// Claim of a key that this host knows without a question to the keepers.
fn known_claim(context: &EntryContext, scope: &ClaimScope) -> Option<KnownClaim> {
    let own = context.settling.known(scope);
    own.or_else(|| context.agreed.known_claim(scope))
}

/// Adds to a temporary refusal of a resend that an earlier arrival claimed its key.
///
/// A resend that is told `not-run` without this, for example while its host can't confirm its
/// configuration, reads as if the call of its key had not run.
fn with_earlier_arrival(refusal: Refusal, known: &KnownClaim) -> Refusal {
    // The outcome of a recorded refusal is in the evidence already. It comes from the claim itself.
    if refusal.recorded || !refusal.is_temporary() {
        return refusal;
    }
    refusal.with_earlier_arrival(&known.request)
}

impl ServiceCall {
    async fn run(&self, mut record: RunningRequest) -> Result<Response<ResponseBody>, Refusal> {
        if !self.is_idempotent() {
            // Without a claim, the start record is the only trace of the call if this entry crashes
            // after sending it.
            record.wait_until_stored().await;
        }
        let result = self.run_attempts(&mut record).await;
        let ending = match &result {
            Ok(answer) => answer.ending(),
            Err(refusal) => RequestEnding::of_refusal(refusal, false),
        };
        // The end record is stored after the start record, and the answer is sent after both.
        record.finish(ending).await;
        result
            .map(|answer| proxy::response(answer, &self.id))
            .map_err(Refusal::mark_recorded)
    }

    async fn run_attempts(&self, record: &mut RunningRequest) -> Result<BufferedAnswer, Refusal> {
        let mut refusal = self.no_server_refusal();
        let mut lost = None;
        let mut gate = self.gate();
        for (index, server) in self.servers().iter().enumerate() {
            if !gate.admit().await {
                refusal = withheld_refusal(&gate, lost.is_some());
                lost = None;
                break;
            }
            let result = self.send_tracked(&gate, server).await;
            record.record_attempt(self.trace(index, server, &result));
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            match &error {
                ClientError::NotSent { reason } => {
                    refusal = Refusal::no_pipeline(format!("{}: {reason}", server.facts.name));
                }
                // The call may have run, whatever the results of later attempts are.
                error => lost = Some(Refusal::lost_answer(&server.facts.name, error)),
            }
            if !self.may_resend(index, &error).await {
                break;
            }
        }
        Err(lost.unwrap_or(refusal))
    }

    /// Waits for the back-off before the next attempt; returns false if no resend is allowed.
    async fn may_resend(&self, index: usize, error: &ClientError) -> bool {
        let kind = if self.is_idempotent() {
            CallKind::Idempotent
        } else {
            CallKind::NonIdempotent
        };
        let query = ResendQuery {
            customer: &self.customer,
            kind,
            outcome: send_outcome(error),
            attempts: u32::try_from(index).unwrap_or(u32::MAX).saturating_add(1),
            deadline: self.deadline,
        };
        match self.context.resends.next_delay(query) {
            Ok(wait) => {
                tokio::time::sleep(wait).await;
                true
            }
            Err(_) => false,
        }
    }

    /// Builds the evidence record of one attempt; `index` counts from 0.
    fn trace(
        &self,
        index: usize,
        server: &ServerView,
        result: &Result<BufferedAnswer, ClientError>,
    ) -> AttemptTrace {
        let ending = match result {
            Ok(answer) => format!("answered with status {}", answer.status.as_u16()),
            Err(error) => error.to_string(),
        };
        AttemptTrace {
            attempt: AttemptNumber(u32::try_from(index).unwrap_or(u32::MAX).saturating_add(1)),
            model: None,
            version: None,
            adapter: None,
            stages: vec![TracedStage {
                server: server.facts.name.clone(),
                layers: None,
            }],
            from: TokenPosition(0),
            tokens: 0,
            ending: ending.into(),
        }
    }

    /// Servers that may receive the call, the least loaded first.
    fn servers(&self) -> Vec<Arc<ServerView>> {
        let fleet = &self.context.fleet;
        let now = self.context.clock.now();
        let mut servers = self
            .served
            .allowed(fleet.serving_service(now, &self.service));
        servers.sort_by_key(|server| server.load.running);
        servers
    }

    /// Gate of the sends of this call, which its caller may repeat at any entry.
    fn gate(&self) -> SendGate {
        let target = self.head.uri.path_and_query();
        let content = RequestContent {
            customer: self.customer.as_str(),
            method: self.head.method.as_str(),
            target: target.map_or("", |target| target.as_str()),
            prompt: "",
            body: &self.body,
        };
        send_gate(&self.context, &content)
    }

    /// Sends the call to one server, and finds out whether the server ended under it.
    async fn send_tracked(
        &self,
        gate: &SendGate,
        server: &ServerView,
    ) -> Result<BufferedAnswer, ClientError> {
        let name = &server.facts.name;
        let sent = gate.begin(self.context.loss_id(name).into_iter().collect());
        if !sent.await_turn().await {
            sent.end(SendEnd::NotTaken);
            return Err(ClientError::NotSent {
                reason: "other hosts send the same call now".to_owned(),
            });
        }
        let result = self.send(server).await;
        match &result {
            Ok(_) => sent.end(SendEnd::Answered),
            Err(ClientError::NotSent { .. }) => sent.end(SendEnd::NotTaken),
            Err(_) => {
                drop(sent);
                self.context.check_server(name, &self.service).await;
            }
        }
        result
    }

    /// Sends the call to one server if its lease is still valid.
    async fn send(&self, server: &ServerView) -> Result<BufferedAnswer, ClientError> {
        // Checked immediately before the send: leases may expire while earlier servers are tried.
        if !self
            .context
            .fleet
            .may_take_work(self.context.clock.now(), &server.facts.name)
        {
            return Err(ClientError::NotSent {
                reason: "its lease ran out".to_owned(),
            });
        }
        let request =
            proxy::upstream_request(&self.head, &self.service, &self.body, &server.address)?;
        let deadline = self.deadline.remaining(self.context.clock.now());
        let answer =
            tokio::time::timeout(deadline, proxy::send(&self.context.client, request)).await;
        let timed_out = || ClientError::NoAnswer {
            reason: "no whole answer before the deadline".to_owned(),
        };
        answer.unwrap_or_else(|_| Err(timed_out()))
    }

    fn is_idempotent(&self) -> bool {
        let label = self.served.selected.settings.idempotent;
        label.unwrap_or_else(|| self.head.method.is_idempotent())
    }

    fn no_server_refusal(&self) -> Refusal {
        Refusal::no_pipeline(format!(
            "no backend server offers service {} now",
            self.service
        ))
    }
}

fn call_key(request: &Request<Incoming>) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or("");
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Refusal::bad_key(MAX_KEY_BYTES));
    }
    Ok(Some(key.to_owned()))
}

fn service_name(path: &str) -> Result<ServiceName, Refusal> {
    let rest = path.strip_prefix(SERVICE_PREFIX).unwrap_or("");
    let name = rest.split('/').next().unwrap_or("");
    if name.is_empty() {
        return Err(Refusal::no_such_path(path));
    }
    Ok(name.into())
}
