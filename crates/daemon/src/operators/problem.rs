//! Refusals to operators: problem details (RFC 9457) with the outcome of the request.

use http::{HeaderValue, Response, StatusCode, header};
use pollendrift_border::{ProblemReport, ProblemReportOutcome};
use pollendrift_http::{ReadFailure, ResponseBody, json_response};

/// Refusal to an operator, sent as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OperatorProblem {
    pub(super) status: StatusCode,
    pub(super) title: &'static str,
    pub(super) detail: String,
    pub(super) outcome: ProblemReportOutcome,
}

impl OperatorProblem {
    fn not_run(status: StatusCode, title: &'static str, detail: String) -> Self {
        Self {
            status,
            title,
            detail,
            outcome: ProblemReportOutcome::NotRun,
        }
    }

    pub(super) fn unauthorized() -> Self {
        let detail = "a bearer token or certificate of an operator is expected".to_owned();
        Self::not_run(StatusCode::UNAUTHORIZED, "Unknown operator", detail)
    }

    pub(super) fn forbidden() -> Self {
        let detail =
            "only an operator with the role `editor` may change the configuration".to_owned();
        Self::not_run(StatusCode::FORBIDDEN, "Role not sufficient", detail)
    }

    pub(super) fn no_such_path(path: &str) -> Self {
        let detail = format!("`{path}` is no path of the operators' interface");
        Self::not_run(StatusCode::NOT_FOUND, "No such path", detail)
    }

    pub(super) fn not_found(detail: String) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "Not retained", detail)
    }

    pub(super) fn bad_query(detail: String) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "Request not understood", detail)
    }

    pub(super) fn bad_body(failure: &ReadFailure) -> Self {
        Self::not_run(failure.status(), "Body not accepted", failure.to_string())
    }

    pub(super) fn unavailable(detail: String) -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "No keeper answered",
            detail,
        )
    }

    pub(super) fn unknown(detail: String) -> Self {
        let status = StatusCode::GATEWAY_TIMEOUT;
        let title = "The outcome is not known";
        Self {
            status,
            title,
            detail,
            outcome: ProblemReportOutcome::Unknown,
        }
    }

    pub(super) fn response(&self) -> Response<ResponseBody> {
        let report = ProblemReport {
            type_: "urn:pollendrift:problem:operator".to_owned(),
            title: self.title.to_owned(),
            status: self.status.as_u16(),
            detail: self.detail.clone(),
            outcome: self.outcome,
            request_id: String::new(),
            considered: Vec::new(),
        };
        let mut response = json_response(self.status, &report);
        let content_type = HeaderValue::from_static("application/problem+json");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}
