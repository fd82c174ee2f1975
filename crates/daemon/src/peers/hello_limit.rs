//! Limit of the bytes that are read from a peer before its hello is accepted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::transport::PeerStream;

/// Bytes of the handshake and the hello, at most.
const MAX_HELLO_BYTES: usize = 64 << 10;

/// Stream that fails once it has delivered more bytes than a hello takes.
pub(super) struct LimitedStream {
    inner: Box<dyn PeerStream>,
    limit: HelloLimit,
}

/// Bytes that a stream may still deliver.
#[derive(Clone)]
pub(super) struct HelloLimit(Arc<AtomicUsize>);

impl LimitedStream {
    pub(super) fn new(inner: Box<dyn PeerStream>) -> (Self, HelloLimit) {
        let limit = HelloLimit(Arc::new(AtomicUsize::new(MAX_HELLO_BYTES)));
        let stream = Self {
            inner,
            limit: limit.clone(),
        };
        (stream, limit)
    }
}

impl HelloLimit {
    /// Ends the limit, as the hello is accepted.
    pub(super) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.limit.0.load(Ordering::Relaxed);
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if left == usize::MAX {
            return read;
        }
        if count > left {
            let error = io::Error::other("more bytes than a hello takes");
            return Poll::Ready(Err(error));
        }
        self.limit.0.store(left - count, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
