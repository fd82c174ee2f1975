//! Serving side of the channels on which hosts forward requests to this one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use pollendrift_coordination::base::HostName;
use pollendrift_dialect::{RefusalKind, RelayRefusal};
use pollendrift_http::{BodyBuffer, BodyMemory, ReadFailure, ResponseBody};
use tokio::sync::watch;
use tokio::time::{Instant, interval_at, timeout};

use super::error::LinkError;
use super::forward_frame::{
    ForwardFrame, ForwardRefusal, ForwardedHead, decode_headers, encode_headers,
};
use super::frame::FrameBytes;
use super::socket::{FrameReceiver, FrameSender};
use super::transport::BoxFuture;

/// Time without a frame to the requester after which [`ForwardFrame::Alive`] is sent.
pub(super) const ALIVE_PERIOD: Duration = Duration::from_millis(400);
/// Time for which a channel without a request stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of a forwarded request, in bytes: more than operators let callers send.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Retry delay for a request whose body finds no memory.
const RETRY_NO_MEMORY: Duration = Duration::from_secs(1);

/// A forwarded request, complete with its body.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Host whose caller sent the request.
    pub from: HostName,
    /// Request as the caller sent it.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
    /// What the forwarding host states about the request.
    pub forwarded: ForwardedHead,
}

/// Answer of a backend server to a forwarded request, or its refusal.
pub type ForwardedAnswer = Result<Response<ResponseBody>, ForwardRefusal>;

/// Serves requests that other hosts forward.
pub trait ForwardHandler: Send + Sync {
    /// Memory that the bodies of forwarded requests share with others; `None` if it is not limited.
    fn request_memory(&self) -> Option<&BodyMemory> {
        None
    }

    /// Serves a request. Dropping the future, or the body of the answer, ends the request.
    fn serve(&self, request: ReceivedRequest) -> BoxFuture<'static, ForwardedAnswer>;
}

/// Number of forwarded requests in progress at this host.
pub(super) type RunningCount = watch::Sender<usize>;

/// Counts one forwarded request as in progress until dropped.
struct RunningGuard<'count>(&'count RunningCount);

impl<'count> RunningGuard<'count> {
    fn new(count: &'count RunningCount) -> Self {
        count.send_modify(|running| *running += 1);
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0
            .send_modify(|running| *running = running.saturating_sub(1));
    }
}

/// Serves the requests of one channel, one after the other, and returns the error that ended it.
pub(super) async fn serve_channel(
    from: &HostName,
    handler: &Arc<dyn ForwardHandler>,
    running: &RunningCount,
    mut sender: FrameSender,
    mut receiver: FrameReceiver,
) -> LinkError {
    loop {
        let memory = handler.request_memory();
        let request = match receive_request(from, &mut receiver, memory).await {
            Ok(Ok(request)) => request,
            Ok(Err(refusal)) => {
                let refused = ForwardFrame::Refused(refusal);
                if let Err(error) = sender.send_forward(&refused).await {
                    return error;
                }
                continue;
            }
            Err(error) => return error,
        };
        let _guard = RunningGuard::new(running);
        let step = tokio::select! {
            served = serve_request(handler, request, &mut sender) => served,
            // The requester sends nothing while its request is in progress; a closed channel means
            // that its caller has left.
            received = receiver.receive_forward() => Err(match received {
                Ok(_) => LinkError::Unexpected { description: "a second request in progress" },
                Err(error) => error,
            }),
        };
        if let Err(error) = step {
            return error;
        }
    }
}

/// Receives a request; one whose body finds no memory is received to its end and refused.
async fn receive_request(
    from: &HostName,
    receiver: &mut FrameReceiver,
    memory: Option<&BodyMemory>,
) -> Result<Result<ReceivedRequest, ForwardRefusal>, LinkError> {
    let unexpected = |description| LinkError::Unexpected { description };
    let first = timeout(IDLE_TIMEOUT, receiver.receive_forward()).await;
    let first = first.map_err(|_| LinkError::Closed)??;
    let ForwardFrame::Request(forwarded) = first else {
        return Err(unexpected("no forwarded request"));
    };
    if forwarded.body_bytes > MAX_BODY_BYTES as u64 {
        return Err(unexpected("body of a forwarded request is too large"));
    }
    let body = timeout(
        BODY_TIMEOUT,
        receive_body(forwarded.body_bytes, receiver, memory),
    );
    let body = body
        .await
        .map_err(|_| LinkError::Timeout { step: "body" })??;
    let body = match body {
        Ok(body) => body,
        Err(failure) => return Ok(Err(body_refusal(&failure))),
    };
    let head = decode_head(&forwarded).ok_or(unexpected("invalid head of a request"))?;
    Ok(Ok(ReceivedRequest {
        from: from.clone(),
        head,
        body,
        forwarded,
    }))
}

fn body_refusal(failure: &ReadFailure) -> ForwardRefusal {
    ForwardRefusal {
        refusal: RelayRefusal {
            kind: RefusalKind::NotRun,
            reason: failure.to_string(),
            retry_after: Some(RETRY_NO_MEMORY),
        },
        has_arrived: false,
    }
}

async fn receive_body(
    body_bytes: u64,
    receiver: &mut FrameReceiver,
    memory: Option<&BodyMemory>,
) -> Result<Result<Bytes, ReadFailure>, LinkError> {
    let reservation = memory.map(|memory| memory.reserve(Instant::now()));
    let reserved = reservation.as_ref();
    let mut buffer = BodyBuffer::new(Instant::now(), body_bytes, MAX_BODY_BYTES, reserved);
    let mut received = 0;
    while received < body_bytes {
        let ForwardFrame::Body(part) = receiver.receive_forward().await? else {
            return Err(LinkError::Unexpected {
                description: "no part of a request's body",
            });
        };
        received += u64::try_from(part.0.len()).unwrap_or(u64::MAX);
        if let Ok(buffered) = &mut buffer
            && let Err(failure) = buffered.push(Instant::now(), &part.0)
        {
            buffer = Err(failure);
        }
    }
    let bytes = buffer.map(BodyBuffer::finish);
    Ok(match reservation {
        Some(reservation) => bytes.map(|bytes| {
            reservation.hold();
            reservation.keep_with(bytes)
        }),
        None => bytes,
    })
}

fn decode_head(forwarded: &ForwardedHead) -> Option<Parts> {
    let request = Request::builder()
        .method(forwarded.method.as_str())
        .uri(forwarded.target.as_str())
        .body(())
        .ok()?;
    let mut head = request.into_parts().0;
    head.headers = decode_headers(&forwarded.headers)?;
    Some(head)
}

async fn serve_request(
    handler: &Arc<dyn ForwardHandler>,
    request: ReceivedRequest,
    sender: &mut FrameSender,
) -> Result<(), LinkError> {
    let mut alive = interval_at(Instant::now() + ALIVE_PERIOD, ALIVE_PERIOD);
    let mut serving = handler.serve(request);
    let answer = loop {
        tokio::select! {
            answer = &mut serving => break answer,
            _ = alive.tick() => sender.send_forward(&ForwardFrame::Alive).await?,
        }
    };
    let response = match answer {
        Ok(response) => response,
        Err(refusal) => return sender.send_forward(&ForwardFrame::Refused(refusal)).await,
    };
    let (parts, mut body) = response.into_parts();
    let head = ForwardFrame::Answer {
        status: parts.status.as_u16(),
        headers: encode_headers(&parts.headers),
    };
    sender.send_forward(&head).await?;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            _ = alive.tick() => {
                sender.send_forward(&ForwardFrame::Alive).await?;
                continue;
            }
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return sender.send_forward(&ForwardFrame::Aborted).await,
            None => return sender.send_forward(&ForwardFrame::End).await,
        };
        if let Ok(data) = frame.into_data() {
            let data = ForwardFrame::Data(FrameBytes(data));
            sender.send_forward(&data).await?;
            alive.reset();
        }
    }
}
