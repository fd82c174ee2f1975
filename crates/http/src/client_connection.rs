//! One HTTP/1.1 connection to a server, and the bytes that are left on it behind an answer.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Sleep, sleep};

use crate::client::ClientError;
use crate::guarded_stream::{GuardedStream, HeadSignal};
use crate::server::BoxedStream;

/// Maximum size of the head of a response, and of the read buffer of a connection, in bytes. A host
/// may have a thousand connections on which bytes come without end.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time for writing the rest of a request whose answer is complete. A server may answer a request that it
/// does not read to its end.
const WRITE_REST_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of bytes behind an answer that are read after its connection has ended.
const MAX_REST_BYTES: usize = 1_024;

type DrivenConnection = Connection<TokioIo<GuardedStream>, Full<Bytes>>;

/// Reason why a request got no response.
pub(crate) enum SendError {
    /// No byte left this host; contains the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have arrived; contains the error text.
    Unknown(String),
}

impl From<SendError> for ClientError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(_) => Self::NotSent {
                reason: "the connection was closed before the request was written".to_owned(),
            },
            SendError::Unknown(reason) => Self::NoAnswer { reason },
        }
    }
}

/// A connection that carries one request at a time. Dropping it closes the connection, so that the server
/// aborts the request.
pub(crate) struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    head_follows: HeadSignal,
    /// Reads and writes the connection.
    task: AbortHandle,
    /// Tells the task to end the connection.
    stop: Arc<Notify>,
    /// Bytes that the task has read behind the last response, once the connection has ended.
    rest: oneshot::Receiver<Bytes>,
    /// Runs while the request of a complete response is still being written.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the connection has ended, or was told to.
    is_ending: bool,
}

impl ClientConnection {
    /// Starts to use `stream`.
    ///
    /// # Errors
    /// Returns the error of the handshake; no byte has been sent.
    pub(crate) async fn open(stream: BoxedStream) -> hyper::Result<Self> {
        let head_follows = HeadSignal::default();
        let stream = GuardedStream::new(stream, head_follows.clone());
        let opening = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = opening.await?;
        let stop = Arc::new(Notify::new());
        let (report, rest) = oneshot::channel();
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            // Without a receiver, nobody needs the bytes.
            let _ = report.send(drive(connection, &stopped).await);
        });
        Ok(Self {
            sender,
            head_follows,
            task: task.abort_handle(),
            stop,
            rest,
            write_timer: None,
            is_ending: false,
        })
    }

    /// Whether the connection can take a request now.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_ending && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_follows.set();
        self.write_timer = None;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::Unknown(error.into_error().to_string())),
            },
        }
    }

    /// Resolves to the bytes that came behind the complete response; `None` if they are unknown, as the
    /// task was aborted.
    ///
    /// The connection then is either ready for the next request, without such bytes, or has ended.
    pub(crate) fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if !self.is_ending {
            match self.sender.poll_ready(context) {
                // The connection has tried to read before it takes the next request.
                Poll::Ready(Ok(())) => return Poll::Ready(Some(Bytes::new())),
                Poll::Ready(Err(_)) => {}
                Poll::Pending => ready!(self.poll_write_rest(context)),
            }
            self.is_ending = true;
        }
        let rest = ready!(Pin::new(&mut self.rest).poll(context));
        Poll::Ready(rest.ok())
    }

    /// Tells the task to end the connection once the request has not been written in time.
    fn poll_write_rest(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(WRITE_REST_TIMEOUT)));
        ready!(timer.as_mut().poll(context));
        self.stop.notify_one();
        Poll::Ready(())
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads and writes `connection` until it ends or is stopped; returns the bytes that belong to no response.
async fn drive(mut connection: DrivenConnection, stop: &Notify) -> Bytes {
    {
        let ending = poll_fn(|context| connection.poll_without_shutdown(context));
        tokio::select! {
            biased;
            ended = ending => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "connection to a server ended");
                }
            }
            () = stop.notified() => {}
        }
    }
    let parts = connection.into_parts();
    if !parts.read_buf.is_empty() {
        return parts.read_buf;
    }
    read_available(parts.io.into_inner()).await
}

/// Reads the bytes that have arrived on `stream`, without waiting for more.
async fn read_available(mut stream: GuardedStream) -> Bytes {
    let mut bytes = vec![0; MAX_REST_BYTES];
    let length = poll_fn(|context| {
        let mut buffer = ReadBuf::new(&mut bytes);
        // An error or the end of the connection leaves the buffer empty.
        let _ = Pin::new(&mut stream).poll_read(context, &mut buffer);
        Poll::Ready(buffer.filled().len())
    });
    let length = length.await;
    bytes.truncate(length);
    bytes.into()
}
