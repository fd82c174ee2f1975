//! Checks of the head of an answer that the parser leaves to its caller: the status, and how the body
//! ends (RFC 9112, section 6).

use derive_more::{Display, Error};
use http::request::Request;
use http::response::Response;
use http::{HeaderMap, Method, StatusCode, header};

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The request asks for a head only.
    HeadOnly,
    /// After a number of bytes, 0 if the status allows no body.
    Length,
    /// With the last chunk.
    Chunks,
    /// With the connection.
    Close,
}

/// What the answer to a request may be, by the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedAnswer {
    is_head_only: bool,
    /// Whether the caller has a copy of the body that may still be valid.
    is_conditional: bool,
}

/// Reason why the head of an answer is invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The status is none of a final answer.
    #[display("{status} is no status of a final answer")]
    NoFinalStatus {
        /// Status of the answer.
        status: u16,
    },
    /// The status refers to a copy that the caller does not have.
    #[display("status 304 without a condition of the request")]
    Unconditional,
    /// The status allows no body, and the head announces one.
    #[display("a body beside status {status}")]
    BodyNotAllowed {
        /// Status of the answer.
        status: u16,
    },
    /// The body is encoded in a way that is not understood.
    #[display("a transfer coding other than chunked")]
    UnknownCoding,
    /// The head tells two different ends of the body.
    #[display("a length beside a transfer coding")]
    LengthAndCoding,
}

impl ExpectedAnswer {
    /// Reads what answers `request` allows.
    pub(crate) fn to<B>(request: &Request<B>) -> Self {
        const CONDITIONS: [header::HeaderName; 5] = [
            header::IF_MATCH,
            header::IF_NONE_MATCH,
            header::IF_MODIFIED_SINCE,
            header::IF_UNMODIFIED_SINCE,
            header::IF_RANGE,
        ];
        let headers = request.headers();
        Self {
            is_head_only: request.method() == Method::HEAD,
            is_conditional: CONDITIONS.iter().any(|name| headers.contains_key(name)),
        }
    }

    /// Checks the head of an answer; returns how its body ends.
    ///
    /// # Errors
    /// The head is invalid. Nothing of the answer is what the server meant then.
    pub(crate) fn body_end<B>(self, answer: &Response<B>) -> Result<BodyEnd, HeadError> {
        let status = answer.status();
        if !is_final_status(status) {
            let status = status.as_u16();
            return Err(HeadError::NoFinalStatus { status });
        }
        let is_chunked = is_chunked(answer.headers())?;
        let has_length = answer.headers().contains_key(header::CONTENT_LENGTH);
        if is_chunked && has_length {
            return Err(HeadError::LengthAndCoding);
        }
        match status {
            StatusCode::NOT_MODIFIED if !self.is_conditional => Err(HeadError::Unconditional),
            StatusCode::NO_CONTENT if is_chunked || announces_bytes(answer.headers()) => {
                Err(HeadError::BodyNotAllowed { status: 204 })
            }
            // Unlike 204, its head tells how the body ends.
            StatusCode::RESET_CONTENT if !has_length || announces_bytes(answer.headers()) => {
                Err(HeadError::BodyNotAllowed { status: 205 })
            }
            _ if self.is_head_only => Ok(BodyEnd::HeadOnly),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Ok(BodyEnd::Length),
            _ if is_chunked => Ok(BodyEnd::Chunks),
            _ if has_length => Ok(BodyEnd::Length),
            _ => Ok(BodyEnd::Close),
        }
    }
}

/// Whether `status` is one of a final answer.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the body is in chunks, and nothing else is done to it.
fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if codings.next().is_some() || !is_chunked {
        return Err(HeadError::UnknownCoding);
    }
    Ok(true)
}

/// Whether the head states a length other than 0.
fn announces_bytes(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    lengths.any(|length| length.as_bytes() != b"0")
}

#[cfg(test)]
mod tests {
    use http::{Request, Response};

    use super::{BodyEnd, ExpectedAnswer, HeadError};

    fn body_end(
        (method, condition): (&str, &'static str),
        status: u16,
        fields: &[(&'static str, &'static str)],
    ) -> Option<Result<BodyEnd, HeadError>> {
        let mut request = Request::builder().method(method);
        if !condition.is_empty() {
            request = request.header(condition, "x");
        }
        let mut answer = Response::builder().status(status);
        for (name, value) in fields {
            answer = answer.header(*name, *value);
        }
        let (request, answer) = (request.body(()).ok()?, answer.body(()).ok()?);
        Some(ExpectedAnswer::to(&request).body_end(&answer))
    }

    // Guards against answers without a body that are refused, and against those that their request does not
    // allow.
    #[test]
    fn the_end_of_a_body_follows_its_request_and_status() {
        let (get, head) = (("GET", ""), ("HEAD", ""));
        let conditional = ("GET", "if-none-match");
        let length = ("content-length", "5");
        let no_bytes = ("content-length", "0");
        let chunked = ("transfer-encoding", "Chunked");
        let not_allowed = |status| Err(HeadError::BodyNotAllowed { status });
        let cases = [
            (get, 200, vec![length], Ok(BodyEnd::Length)),
            (get, 200, vec![chunked], Ok(BodyEnd::Chunks)),
            (get, 200, vec![], Ok(BodyEnd::Close)),
            (
                get,
                200,
                vec![length, chunked],
                Err(HeadError::LengthAndCoding),
            ),
            (
                get,
                200,
                vec![chunked, chunked],
                Err(HeadError::UnknownCoding),
            ),
            (head, 200, vec![length], Ok(BodyEnd::HeadOnly)),
            (head, 200, vec![chunked], Ok(BodyEnd::HeadOnly)),
            (get, 204, vec![], Ok(BodyEnd::Length)),
            (get, 204, vec![no_bytes], Ok(BodyEnd::Length)),
            (get, 204, vec![length], not_allowed(204)),
            (get, 204, vec![chunked], not_allowed(204)),
            (get, 205, vec![no_bytes], Ok(BodyEnd::Length)),
            (get, 205, vec![length], not_allowed(205)),
            (get, 205, vec![chunked], not_allowed(205)),
            (conditional, 304, vec![length], Ok(BodyEnd::Length)),
            (get, 304, vec![], Err(HeadError::Unconditional)),
            (
                get,
                101,
                vec![],
                Err(HeadError::NoFinalStatus { status: 101 }),
            ),
            (get, 599, vec![length], Ok(BodyEnd::Length)),
            (
                get,
                600,
                vec![length],
                Err(HeadError::NoFinalStatus { status: 600 }),
            ),
        ];
        for (request, status, fields, expected) in cases {
            let end = body_end(request, status, &fields);
            assert_eq!(end, Some(expected), "{request:?}, {status}, {fields:?}");
        }
    }
}
