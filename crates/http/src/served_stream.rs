//! Byte stream of a server's connection: follows its use, and limits waits for the client.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep, sleep};

use crate::connections::ConnectionHandle;
use crate::server::BoxedStream;

/// Time for which a client may read nothing of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which bytes are read on after an answer to an incomplete request.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are read and dropped at a time.
const LINGER_BUFFER: usize = 8 << 10;

/// Byte stream of a connection of a server.
///
/// After an answer to a request whose body is not complete, the stream drops what the client still sends
/// before the connection is closed: closing a connection with unread bytes resets it, and the client
/// would lose the answer.
pub(crate) struct ServedStream {
    inner: BoxedStream,
    handle: ConnectionHandle,
    /// Permits for streams that read on.
    lingerers: Arc<Semaphore>,
    /// Runs while the client reads nothing.
    write_timer: Option<Pin<Box<Sleep>>>,
    closing: ClosingState,
}

enum ClosingState {
    Open,
    Lingering {
        timer: Pin<Box<Sleep>>,
        bytes_left: usize,
        _permit: OwnedSemaphorePermit,
    },
    Closed,
}

impl ServedStream {
    pub(crate) fn new(
        inner: BoxedStream,
        handle: ConnectionHandle,
        lingerers: Arc<Semaphore>,
    ) -> Self {
        Self {
            inner,
            handle,
            lingerers,
            write_timer: None,
            closing: ClosingState::Open,
        }
    }

    /// Ends the wait for the client when bytes were written, and starts it when none could be.
    fn check_write<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.write_timer.take().is_some() {
                self.handle.record_written(Instant::now());
            }
            return written;
        }
        let handle = &self.handle;
        let timer = self.write_timer.get_or_insert_with(|| {
            handle.record_blocked(Instant::now());
            Box::pin(sleep(WRITE_TIMEOUT))
        });
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the client does not read",
        )))
    }

    fn state_after_shutdown(&self) -> ClosingState {
        if !self.handle.may_be_sending(Instant::now()) {
            return ClosingState::Closed;
        }
        match Arc::clone(&self.lingerers).try_acquire_owned() {
            Ok(permit) => ClosingState::Lingering {
                timer: Box::pin(sleep(LINGER_TIMEOUT)),
                bytes_left: self.handle.linger_bytes(),
                _permit: permit,
            },
            Err(_) => ClosingState::Closed,
        }
    }

    /// Reads on until the client has closed its side, or a limit is reached.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let ClosingState::Lingering {
            timer, bytes_left, ..
        } = &mut self.closing
        else {
            return Poll::Ready(());
        };
        let mut bytes = [0; LINGER_BUFFER];
        loop {
            if timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer));
            let count = buffer.filled().len();
            if read.is_err() || count == 0 || count >= *bytes_left {
                return Poll::Ready(());
            }
            *bytes_left -= count;
        }
    }
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.handle.record_read(Instant::now());
        }
        read
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.check_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.check_write(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.closing, ClosingState::Open) {
            ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
            self.closing = self.state_after_shutdown();
        }
        ready!(self.poll_linger(context));
        self.closing = ClosingState::Closed;
        Poll::Ready(Ok(()))
    }
}
