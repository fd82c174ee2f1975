//! Any method under `/services/{service}/`: calls of plain services.
//!
//! A call is resent only where it is proved that it did not run, or where its method is
//! idempotent.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, header, request};
use http_body_util::Full;
use hyper::body::Incoming;
use pollendrift_coordination::base::{CustomerName, RequestId, ServiceName};
use pollendrift_coordination::configuration::RequestFacts;
use pollendrift_http::{ClientError, ResponseBody, full_body, read_bounded};

use super::SERVICE_PREFIX;
use super::context::EntryContext;
use super::refusal::Refusal;
use super::selection::{ServedRequest, select};
use crate::fleet::ServerView;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
];

/// Acts on a call of a plain service.
pub(super) async fn call(
    context: &Arc<EntryContext>,
    customer: CustomerName,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let service = service_name(request.uri().path())?;
    let mut facts = RequestFacts::call(customer, service.clone());
    facts.path = request.uri().path().into();
    let served = select(context, &facts)?;
    let (head, body) = request.into_parts();
    // Read whole before anything is sent: a caller that breaks off here is truly not run.
    let body = read_bounded(body, context.max_body_bytes)
        .await
        .map_err(|failure| Refusal::bad_body(&failure))?;
    let call = ServiceCall {
        id,
        service,
        head,
        body,
        served,
    };
    call.run(context).await
}

struct ServiceCall<'call> {
    id: &'call RequestId,
    service: ServiceName,
    head: request::Parts,
    body: Bytes,
    served: ServedRequest,
}

impl ServiceCall<'_> {
    async fn run(&self, context: &EntryContext) -> Result<Response<ResponseBody>, Refusal> {
        let now = context.clock.now();
        let mut servers = self
            .served
            .allowed(context.fleet.serving_service(now, &self.service));
        servers.sort_by_key(|server| server.load.running);
        let mut refusal = Refusal::no_pipeline(format!(
            "no backend server offers service {} now",
            self.service
        ));
        for server in servers {
            if !context
                .fleet
                .may_take_work(context.clock.now(), &server.facts.name)
            {
                continue;
            }
            match self.send(context, &server).await {
                Ok(response) => return Ok(response),
                Err(ClientError::NotSent { reason }) => {
                    refusal = Refusal::no_pipeline(format!("{}: {reason}", server.facts.name));
                }
                Err(error) => {
                    refusal = self.lost_answer(&server, &error);
                    if !is_idempotent(&self.head.method) {
                        return Err(refusal);
                    }
                }
            }
        }
        Err(refusal)
    }

    async fn send(
        &self,
        context: &EntryContext,
        server: &ServerView,
    ) -> Result<Response<ResponseBody>, ClientError> {
        let response = context.client.send(self.outgoing(server)?).await?;
        let status = response.status();
        let headers = response.headers().clone();
        // Read whole before it is passed on: a body that ends early is no answer.
        let body = context.client.read(response).await?;
        let mut answer = Response::new(full_body(body));
        *answer.status_mut() = status;
        copy_headers(&headers, answer.headers_mut());
        if let Ok(value) = http::HeaderValue::from_str(self.id.as_str()) {
            answer
                .headers_mut()
                .insert(super::context::REQUEST_ID_HEADER, value);
        }
        Ok(answer)
    }

    fn outgoing(&self, server: &ServerView) -> Result<Request<Full<Bytes>>, ClientError> {
        let path = self
            .head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let prefix = format!("{SERVICE_PREFIX}{}", self.service);
        let rest = path
            .strip_prefix(prefix.as_str())
            .filter(|rest| !rest.is_empty())
            .unwrap_or("/");
        let mut request = Request::builder()
            .method(self.head.method.clone())
            .uri(format!("http://{}{rest}", server.address))
            .body(Full::new(self.body.clone()))
            .map_err(|error| ClientError::NotSent {
                reason: error.to_string(),
            })?;
        copy_headers(&self.head.headers, request.headers_mut());
        // The caller's credential is for this router alone.
        request.headers_mut().remove(header::AUTHORIZATION);
        Ok(request)
    }

    fn lost_answer(&self, server: &ServerView, error: &ClientError) -> Refusal {
        let detail = format!(
            "{}: {error}; whether the call ran is not known, so ask the service before sending it again",
            server.facts.name
        );
        Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "lost-answer",
            "The answer was lost",
            detail,
        )
    }
}

fn service_name(path: &str) -> Result<ServiceName, Refusal> {
    let rest = path.strip_prefix(SERVICE_PREFIX).unwrap_or("");
    let name = rest.split('/').next().unwrap_or("");
    if name.is_empty() {
        return Err(Refusal::no_such_path(path));
    }
    Ok(name.into())
}

fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

fn copy_headers(from: &HeaderMap, into: &mut HeaderMap) {
    for (name, value) in from {
        if HOP_HEADERS.contains(name) || name == header::CONTENT_LENGTH {
            continue;
        }
        into.append(name.clone(), value.clone());
    }
}
