//! Requesting side of the channels on which a host forwards requests to another.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::request::Parts;
use http::{StatusCode, response};
use pollendrift_coordination::base::{HostName, MonotonicTime, RequestId, ServiceName};
use pollendrift_coordination::forwarding::ForwardHost;
use pollendrift_coordination::streams::EventId;
use pollendrift_http::is_final_status;
use tokio::time::timeout;

use super::error::LinkError;
use super::forward_frame::{
    ForwardFrame, ForwardRefusal, ForwardedHead, decode_headers, encode_headers,
};
use super::frame::{FrameBytes, PeerFrame};
use super::hub::PeerHub;
use super::outbound::exchange_hello;
use super::socket::{FrameReceiver, FrameSender};

/// Timeout for opening a channel: one new connection within a region and two round trips.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a frame after which the receiver of a request counts as lost. It sends a frame every
/// [`super::forward_service::ALIVE_PERIOD`] at least.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of the parts of a request's body, in bytes.
const BODY_PART_BYTES: usize = 64 * 1024;

/// Earlier sends of a request to forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwardedHistory {
    /// Servers that may have run the request already.
    pub tried_servers: u32,
    /// Whether the request is a repeat that the sender's retry budget did not cover.
    pub is_unpaid_repeat: bool,
}

/// A request to forward.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedRequest<'request> {
    /// Identity of the request.
    pub request: &'request RequestId,
    /// Head as the caller sent it.
    pub head: &'request Parts,
    /// Complete body.
    pub body: &'request Bytes,
    /// Service that was chosen for the request.
    pub service: &'request ServiceName,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// What the sender states about earlier sends of the request.
    pub history: ForwardedHistory,
    /// Last event that the caller has received.
    pub resume_after: Option<EventId>,
}

/// Reason why a forwarded request has no answer.
#[derive(Debug)]
pub enum ForwardError {
    /// The other host has not got the whole request and never will, so that it has not run.
    NotSent(LinkError),
    /// The other host may have run the request.
    Lost(LinkError),
    /// The other host refused the request, or got no answer to it.
    Refused(ForwardRefusal),
}

/// Next part of an answer's body.
#[derive(Debug, PartialEq, Eq)]
pub enum ForwardedPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A channel to another host, which carries one request at a time. Dropping it while a request is
/// in progress ends that request at the other host.
pub struct ForwardChannel {
    host: HostName,
    sender: FrameSender,
    receiver: FrameReceiver,
    /// Time of the last frame of a finished request.
    idle_since: MonotonicTime,
}

impl PeerHub {
    /// Opens a channel for forwarded requests to `target`.
    ///
    /// # Errors
    /// The host can't be reached, or does not accept forwarded requests.
    pub async fn open_forwarding(&self, target: &ForwardHost) -> Result<ForwardChannel, LinkError> {
        let opening = exchange_hello(
            self,
            &target.host,
            target.address,
            PeerFrame::OpenForwarding(self.own_hello()),
        );
        let (hello, sender, receiver) = timeout(OPEN_TIMEOUT, opening)
            .await
            .map_err(|_| LinkError::Timeout { step: "handshake" })??;
        if hello.host != target.host {
            return Err(LinkError::WrongHost {
                found: hello.host,
                expected: target.host.clone(),
            });
        }
        Ok(ForwardChannel {
            host: hello.host,
            sender,
            receiver,
            idle_since: MonotonicTime::START,
        })
    }
}

impl ForwardChannel {
    /// Host at the other end.
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Records that the channel carries no request from `now` on.
    pub fn mark_idle(&mut self, now: MonotonicTime) {
        self.idle_since = now;
    }

    /// Whether the channel has been idle for less than `max_idle` and the other host has not closed
    /// it.
    pub fn is_reusable(&mut self, now: MonotonicTime, max_idle: Duration) -> bool {
        let is_closed = self.receiver.receive_forward().now_or_never().is_some();
        !is_closed && now.since(self.idle_since) < max_idle
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// The request was not sent, was refused, or its answer is lost.
    pub async fn send(
        &mut self,
        request: ForwardedRequest<'_>,
    ) -> Result<response::Parts, ForwardError> {
        self.send_request(request).await?;
        match self.receive().await.map_err(ForwardError::Lost)? {
            ForwardFrame::Answer { status, headers } => {
                let invalid = || {
                    ForwardError::Lost(LinkError::Unexpected {
                        description: "invalid head of an answer",
                    })
                };
                let mut response = http::Response::new(());
                let status = StatusCode::from_u16(status).ok();
                let status = status.filter(|status| is_final_status(*status));
                *response.status_mut() = status.ok_or_else(invalid)?;
                *response.headers_mut() = decode_headers(&headers).ok_or_else(invalid)?;
                Ok(response.into_parts().0)
            }
            ForwardFrame::Refused(refusal) => Err(ForwardError::Refused(refusal)),
            _ => Err(ForwardError::Lost(LinkError::Unexpected {
                description: "no head of an answer",
            })),
        }
    }

    /// Waits for the next part of the answer's body. A cancelled wait loses nothing.
    ///
    /// # Errors
    /// The answer breaks off, or the other host is lost.
    pub async fn next_part(&mut self) -> Result<ForwardedPart, LinkError> {
        match self.receive().await? {
            ForwardFrame::Data(bytes) => Ok(ForwardedPart::Data(bytes.0)),
            ForwardFrame::End => Ok(ForwardedPart::End),
            ForwardFrame::Aborted => Err(LinkError::Closed),
            _ => Err(LinkError::Unexpected {
                description: "no part of an answer",
            }),
        }
    }

    async fn send_request(&mut self, request: ForwardedRequest<'_>) -> Result<(), ForwardError> {
        let head = ForwardedHead {
            request: request.request.clone(),
            method: request.head.method.to_string(),
            target: request.head.uri.to_string(),
            headers: encode_headers(&request.head.headers),
            service: request.service.clone(),
            time_left: request.time_left,
            tried_servers: request.history.tried_servers,
            is_unpaid_repeat: request.history.is_unpaid_repeat,
            resume_after: request.resume_after,
            body_bytes: u64::try_from(request.body.len()).unwrap_or(u64::MAX),
        };
        let mut rest = request.body.clone();
        let mut frame = ForwardFrame::Request(head);
        loop {
            let is_last = rest.is_empty();
            let sending = timeout(SILENCE_TIMEOUT, self.sender.send_forward(&frame));
            let sent = sending.await;
            match sent.unwrap_or(Err(LinkError::Timeout { step: "write" })) {
                Ok(()) if is_last => return Ok(()),
                Ok(()) => {}
                Err(error) if is_last => return Err(ForwardError::Lost(error)),
                Err(error) => return Err(ForwardError::NotSent(error)),
            }
            let part = rest.split_to(rest.len().min(BODY_PART_BYTES));
            frame = ForwardFrame::Body(FrameBytes(part));
        }
    }

    /// Waits for the next frame but [`ForwardFrame::Alive`].
    async fn receive(&mut self) -> Result<ForwardFrame, LinkError> {
        loop {
            let frame = timeout(SILENCE_TIMEOUT, self.receiver.receive_forward())
                .await
                .map_err(|_| LinkError::Silent)??;
            if frame != ForwardFrame::Alive {
                return Ok(frame);
            }
        }
    }
}
