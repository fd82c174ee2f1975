//! One call on the wire: what is passed on, and the whole answer that comes back.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::Full;
use pollendrift_coordination::base::{RequestId, ServiceName};
use pollendrift_coordination::evidence::{BodyDigest, OutcomeKind};
use pollendrift_http::{ClientError, HttpClient, ResponseBody, full_body};

use crate::entry::SERVICE_PREFIX;
use crate::entry::context::REQUEST_ID_HEADER;
use crate::entry::record::RequestEnding;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// An answer whose whole body has come.
#[derive(Clone, Debug)]
pub(super) struct BufferedAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl BufferedAnswer {
    /// The end of a request that this answers.
    pub(super) fn ending(&self) -> RequestEnding {
        RequestEnding {
            outcome: OutcomeKind::Complete,
            status: self.status,
            reason: "the backend server's whole answer was passed on".into(),
            answer: BodyDigest::of(&self.body),
        }
    }
}

/// Sends a call and reads its whole answer: a body that ends early is no answer.
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

/// The call as the backend server gets it.
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
    // The caller's credential is for this router alone.
    request.headers_mut().remove(header::AUTHORIZATION);
    Ok(request)
}

/// The answer as the caller gets it.
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
        if !HOP_HEADERS.contains(name) {
            into.append(name.clone(), value.clone());
        }
    }
}
