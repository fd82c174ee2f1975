//! Body of an answer that ends as complete only if it is known to be whole.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::answer_head::{BodyEnd, ExpectedAnswer};
use crate::client::ClientError;
use crate::client_connection::ClientConnection;
use crate::pool::ReservedPlace;
use crate::server::BoxedStream;
use crate::start_probe::{BodyStart, StartProbe, begins_head};

/// Body of an answer, and the connection that delivers it. Dropping it closes the connection, so that the
/// server aborts the request.
///
/// A body with a length is followed by nothing, or by another answer. Other bytes behind it show that the
/// length is wrong, so that the body ends with an error. A body without framing begins with no chunk and no
/// head, and one in chunks ends with the fields that its head announces, if any.
pub struct CheckedBody {
    incoming: Incoming,
    connection: ClientConnection,
    /// Place of the connection in its pool; `None` if it serves this request only.
    place: Option<ReservedPlace>,
    end: BodyEnd,
    /// Whether the head announces fields behind the last chunk.
    has_trailers: bool,
    /// Checks the start of a body without framing; `None` once that is known.
    probe: Option<StartProbe>,
    progress: BodyProgress,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyProgress {
    Reading,
    /// The body was read, and the bytes behind it are not known.
    Ended,
    Complete,
    Failed,
}

impl std::fmt::Debug for CheckedBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CheckedBody")
            .field("end", &self.end)
            .field("progress", &self.progress)
            .finish_non_exhaustive()
    }
}

/// Sends a request on `stream`, which serves no other one, and waits for the head of the response. The
/// request is sent unchanged.
///
/// # Errors
/// Returns [`ClientError::NotSent`] only if no byte of the request left this host,
/// [`ClientError::BadAnswer`] if the head is invalid, and otherwise [`ClientError::NoAnswer`].
pub async fn send_once(
    stream: BoxedStream,
    request: Request<Full<Bytes>>,
) -> Result<Response<CheckedBody>, ClientError> {
    let expected = ExpectedAnswer::to(&request);
    let opening = ClientConnection::open(stream).await;
    let mut connection = opening.map_err(|error| ClientError::NotSent {
        reason: error.to_string(),
    })?;
    let response = connection.send(request).await?;
    CheckedBody::check(expected, response, connection, None)
}

impl CheckedBody {
    /// Checks the head of a response.
    ///
    /// # Errors
    /// Returns [`ClientError::BadAnswer`] if it is invalid, and closes the connection.
    pub(crate) fn check(
        expected: ExpectedAnswer,
        response: Response<Incoming>,
        connection: ClientConnection,
        place: Option<ReservedPlace>,
    ) -> Result<Response<Self>, ClientError> {
        let end = expected.body_end(&response)?;
        let has_trailers = response.headers().contains_key(header::TRAILER);
        Ok(response.map(|incoming| Self {
            incoming,
            connection,
            place,
            end,
            has_trailers,
            probe: (end == BodyEnd::Close).then(StartProbe::default),
            progress: BodyProgress::Reading,
        }))
    }

    /// Returns the connection to its pool for reuse, unless the body is not complete or the headers of
    /// its answer announce the end of the connection.
    pub fn return_to_pool(self, headers: &HeaderMap) {
        if let Some(place) = self.place
            && self.progress == BodyProgress::Complete
        {
            place.return_connection(self.connection, headers);
        }
    }

    /// Reads the next part of the body, without its framing.
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Frame<Bytes>>, ClientError>> {
        while self.progress == BodyProgress::Reading {
            let part = match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
                // Events or lines behind a size that is 0 by mistake read as fields.
                Some(Ok(frame)) if frame.is_trailers() && !self.has_trailers => {
                    let reason = "fields behind the body that its head does not announce";
                    return Poll::Ready(Err(bad_answer(reason)));
                }
                Some(Ok(frame)) => self.check_start(frame)?,
                Some(Err(error)) => {
                    let reason = error.to_string();
                    return Poll::Ready(Err(ClientError::NoAnswer { reason }));
                }
                None => {
                    self.progress = BodyProgress::Ended;
                    let held = self.probe.take().map(|mut probe| probe.take());
                    held.filter(|held| !held.is_empty()).map(Frame::data)
                }
            };
            if part.is_some() {
                return Poll::Ready(Ok(part));
            }
        }
        Poll::Ready(Ok(None))
    }

    /// Holds back the start of a body without framing; returns what may be passed on.
    fn check_start(&mut self, frame: Frame<Bytes>) -> Result<Option<Frame<Bytes>>, ClientError> {
        let Some(probe) = &mut self.probe else {
            return Ok(Some(frame));
        };
        let Ok(data) = frame.into_data() else {
            return Ok(None);
        };
        match probe.push(&data) {
            BodyStart::Undecided => Ok(None),
            BodyStart::Chunk => Err(bad_answer(
                "the body is in chunks, and its head names no coding",
            )),
            BodyStart::Head => Err(bad_answer(
                "the body begins with another head, and its own head names no framing",
            )),
            BodyStart::Bytes(bytes) => {
                self.probe = None;
                Ok(Some(Frame::data(bytes)))
            }
        }
    }

    /// Finds out whether the body that was read is whole.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ClientError>> {
        if self.end != BodyEnd::Length {
            return Poll::Ready(Ok(()));
        }
        let rest = ready!(self.connection.poll_rest(context));
        let rest = rest.ok_or_else(|| ClientError::NoAnswer {
            reason: "the connection was aborted".to_owned(),
        })?;
        if rest.is_empty() || begins_head(&rest) == Some(true) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(bad_answer("the body is longer than its length")))
    }
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = ClientError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ClientError>>> {
        let part = ready!(self.poll_part(context));
        let checked = match part {
            Ok(Some(part)) => return Poll::Ready(Some(Ok(part))),
            Ok(None) if self.progress == BodyProgress::Ended => ready!(self.poll_end(context)),
            Ok(None) => return Poll::Ready(None),
            Err(error) => Err(error),
        };
        self.progress = match checked {
            Ok(()) => BodyProgress::Complete,
            Err(_) => BodyProgress::Failed,
        };
        Poll::Ready(checked.err().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.progress == BodyProgress::Complete
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

fn bad_answer(reason: &str) -> ClientError {
    ClientError::BadAnswer {
        reason: reason.to_owned(),
    }
}
