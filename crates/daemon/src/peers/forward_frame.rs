//! Frames on channels for forwarded requests.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use pollendrift_coordination::base::{RequestId, ServiceName};
use pollendrift_coordination::streams::EventId;
use pollendrift_dialect::RelayRefusal;
use serde::{Deserialize, Serialize};

use super::frame::FrameBytes;

/// Header of a forwarded request or of its answer: name and value.
pub type ForwardHeader = (String, FrameBytes);

/// Head of a request that a host forwards to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedHead {
    /// Identity of the request, as the caller sent it.
    pub request: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers as the caller sent them, its key included: the receiver checks it again.
    pub headers: Vec<ForwardHeader>,
    /// Service that the sender chose for the request.
    pub service: ServiceName,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Servers that may have run the request already. They count against the attempts that its
    /// route allows.
    pub tried_servers: u32,
    /// Whether the request is a repeat that the receiver must take out of its retry budget, because
    /// the budget of the sender is used up.
    pub is_unpaid_repeat: bool,
    /// Last event that the caller has received.
    pub resume_after: Option<EventId>,
    /// Size of the body in bytes; the body follows in [`ForwardFrame::Body`] frames.
    pub body_bytes: u64,
}

/// Refusal of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRefusal {
    /// Refusal as a caller would get it.
    pub refusal: RelayRefusal,
    /// Whether a server may have received the request, run or not. Its next send is a repeat then.
    pub has_arrived: bool,
}

/// One message on a channel for forwarded requests. A channel carries one request at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardFrame {
    /// Begins a request.
    Request(ForwardedHead),
    /// Next part of the request's body. The receiver runs the request only once it has the whole
    /// body.
    Body(FrameBytes),
    /// Head of a backend server's answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<ForwardHeader>,
    },
    /// Next part of the answer's body.
    Data(FrameBytes),
    /// The answer is complete.
    End,
    /// The answer breaks off; its rest will not follow.
    Aborted,
    /// The request gets no answer of a backend server.
    Refused(ForwardRefusal),
    /// The request is still in progress; sent while there is nothing else to send.
    Alive,
}

/// Encodes headers for a frame.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<ForwardHeader> {
    let encoded = headers.iter().map(|(name, value)| {
        let value = FrameBytes::from(value.as_bytes().to_vec());
        (name.as_str().to_owned(), value)
    });
    encoded.collect()
}

/// Decodes the headers of a frame; `None` if one is invalid.
pub(super) fn decode_headers(headers: &[ForwardHeader]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_bytes(&value.0).ok()?);
    }
    Some(map)
}
