//! Checks of the head of an answer that the parser leaves to its caller: how the body ends (RFC 9112,
//! section 6).

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
}

/// Reason why the head of an answer is invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum HeadError {
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
        Self {
            is_head_only: request.method() == Method::HEAD,
        }
    }

    /// Checks the head of an answer; returns how its body ends.
    ///
    /// # Errors
    /// The head is invalid. Nothing of the answer is what the server meant then.
    pub(crate) fn body_end<B>(self, answer: &Response<B>) -> Result<BodyEnd, HeadError> {
        let is_chunked = is_chunked(answer.headers())?;
        let has_length = answer.headers().contains_key(header::CONTENT_LENGTH);
        if is_chunked && has_length {
            return Err(HeadError::LengthAndCoding);
        }
        match answer.status() {
            _ if self.is_head_only => Ok(BodyEnd::HeadOnly),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Ok(BodyEnd::Length),
            _ if is_chunked => Ok(BodyEnd::Chunks),
            _ if has_length => Ok(BodyEnd::Length),
            _ => Ok(BodyEnd::Close),
        }
    }
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
