//! Conversion of one call to the upstream request, and of the complete answer to the response.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::Full;
use pollendrift_coordination::base::{RequestId, ServiceName};
use pollendrift_coordination::evidence::{BodyDigest, OutcomeKind};
use pollendrift_http::{ClientError, HttpClient, ResponseBody, full_body};

use crate::entry::SERVICE_PREFIX;
use crate::entry::context::REQUEST_ID_HEADER;
use crate::entry::record::RequestEnding;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// An answer whose body was received completely.
#[derive(Clone, Debug)]
pub(super) struct BufferedAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl BufferedAnswer {
    /// Ending of the request that received this answer.
    pub(super) fn ending(&self) -> RequestEnding {
        RequestEnding {
            outcome: OutcomeKind::Complete,
            status: self.status,
            reason: "the backend server's whole answer was passed on".into(),
            answer: BodyDigest::of(&self.body),
        }
    }
}

/// Sends a call and reads its complete answer.
///
/// # Errors
/// Fails if no answer was received or its body ended early.
pub(super) async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<BufferedAnswer, ClientError> {
    let response = client.send(request).await?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = client.read(response).await?;
    Ok(BufferedAnswer {
        status,
        headers,
        body,
    })
}

/// Builds the request to the backend server at `address`.
pub(super) fn upstream_request(
    head: &request::Parts,
    service: &ServiceName,
    body: &Bytes,
    address: &str,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = format!("{SERVICE_PREFIX}{service}");
    let rest = path
        .strip_prefix(prefix.as_str())
        .filter(|rest| !rest.is_empty())
        .unwrap_or("/");
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(format!("http://{address}{rest}"))
        .body(Full::new(body.clone()))
        .map_err(|error| ClientError::NotSent {
            reason: error.to_string(),
        })?;
    copy_headers(&head.headers, request.headers_mut());
    // The caller's credential is meant for this router only.
    request.headers_mut().remove(header::AUTHORIZATION);
    Ok(request)
}

/// Builds the response to the caller of request `id`.
pub(super) fn response(answer: BufferedAnswer, id: &RequestId) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    copy_headers(&answer.headers, response.headers_mut());
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn copy_headers(from: &HeaderMap, into: &mut HeaderMap) {
    for (name, value) in from {
        if !HOP_BY_HOP_HEADERS.contains(name) {
            into.append(name.clone(), value.clone());
        }
    }
}
