//! A caller of plain services that sends an idempotency key with each call.

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use pollendrift_border::{ProblemReport, ProblemReportOutcome};
use pollendrift_http::{ClientError, HttpClient};

use crate::caller::REQUEST_ID_HEADER;
use crate::service::KEY_HEADER;

const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Outcome of one call as the caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call ran; the body of the answer.
    Answered(String),
    /// The call did not run; the detail of the report.
    NotRun(String),
    /// The entry was unreachable; the error.
    NotSent(String),
    /// The connection broke, so the call may have run; the error.
    Broken(String),
    /// The call may have run; the detail of the report.
    Unknown(String),
}

/// Client that sends service calls to one entry as one customer.
#[derive(Clone, Debug)]
pub struct ServiceCaller {
    client: HttpClient,
    entry: String,
    token: String,
    request_id: Option<String>,
}

impl ServiceCaller {
    /// Creates a caller of `entry` (`ip:port`) with a bearer token.
    pub fn new(entry: &str, token: &str) -> Self {
        Self {
            client: HttpClient::new(MAX_ANSWER_BYTES),
            entry: entry.to_owned(),
            token: token.to_owned(),
            request_id: None,
        }
    }

    /// Sets the `x-request-id` of all calls.
    pub fn with_request_id(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Posts one attestation, a non-idempotent call, under `key`.
    pub async fn post_attestation(&self, service: &str, key: &str) -> CallOutcome {
        self.post(service, "attestations", key, "attestation").await
    }

    /// Posts `body` to a path of `service` under `key`; an empty key sends no key header.
    pub async fn post(&self, service: &str, path: &str, key: &str, body: &str) -> CallOutcome {
        let mut request = Request::post(format!("http://{}/services/{service}/{path}", self.entry))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if !key.is_empty() {
            request = request.header(KEY_HEADER, key);
        }
        if let Some(id) = &self.request_id {
            request = request.header(REQUEST_ID_HEADER, id);
        }
        match request.body(Full::new(Bytes::from(body.to_owned()))) {
            Ok(request) => self.send(request).await,
            Err(error) => CallOutcome::NotSent(error.to_string()),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> CallOutcome {
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(error @ ClientError::NotSent { .. }) => {
                return CallOutcome::NotSent(error.to_string());
            }
            Err(error) => return CallOutcome::Broken(error.to_string()),
        };
        let status = response.status();
        match self.client.read(response).await {
            Ok(body) => outcome_of_answer(status, &body),
            Err(error) => CallOutcome::Broken(error.to_string()),
        }
    }
}

fn outcome_of_answer(status: StatusCode, body: &[u8]) -> CallOutcome {
    match serde_json::from_slice::<ProblemReport>(body) {
        Ok(report) if report.outcome == ProblemReportOutcome::NotRun => {
            CallOutcome::NotRun(report.detail)
        }
        Ok(report) => CallOutcome::Unknown(report.detail),
        Err(_) if status.is_success() => {
            CallOutcome::Answered(String::from_utf8_lossy(body).into_owned())
        }
        Err(_) => CallOutcome::Unknown(format!("status {status}")),
    }
}
