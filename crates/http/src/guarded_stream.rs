//! Byte stream of a client's connection that checks the line breaks of heads.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::server::BoxedStream;

/// Position of the first digit of the status in a status line.
const STATUS_POSITION: usize = b"HTTP/1.1 ".len();

/// Byte stream whose heads break their lines with a carriage return and a line feed.
///
/// The parser also takes a line feed alone for a line break, so that one in place of another byte may end
/// a head early: the rest of the head would be read as the body.
pub(crate) struct GuardedStream {
    inner: BoxedStream,
    head_follows: HeadSignal,
    scan: HeadScan,
}

/// Tells a [`GuardedStream`] that the next bytes begin a head.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadSignal(Arc<AtomicBool>);

impl HeadSignal {
    /// Expects a head, as a request is sent.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Position in a head.
#[derive(Debug, Default)]
struct HeadScan {
    is_in_head: bool,
    /// Lines before the current one.
    lines: usize,
    /// Bytes of the current line, without its line break.
    length: usize,
    last: u8,
    /// Whether another head follows.
    is_interim: bool,
}

impl HeadScan {
    fn at_start() -> Self {
        Self {
            is_in_head: true,
            ..Self::default()
        }
    }

    /// Reads on; returns false if a line ends without a carriage return.
    fn read(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if !self.is_in_head {
                return true;
            }
            let last = std::mem::replace(&mut self.last, *byte);
            match byte {
                b'\n' if last != b'\r' => return false,
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => {
                    if self.lines == 0 && self.length == STATUS_POSITION {
                        self.is_interim = *byte == b'1';
                    }
                    self.length += 1;
                }
            }
        }
        true
    }

    fn end_line(&mut self) {
        // The parser skips empty lines before a status line.
        let is_end = self.length == 0 && self.lines > 0;
        if is_end && self.is_interim {
            *self = Self::at_start();
        } else if is_end {
            self.is_in_head = false;
        } else if self.length > 0 {
            self.lines += 1;
            self.length = 0;
        }
    }
}

impl GuardedStream {
    /// Creates a stream that checks a head whenever `head_follows` was set.
    pub(crate) fn new(inner: BoxedStream, head_follows: HeadSignal) -> Self {
        Self {
            inner,
            head_follows,
            scan: HeadScan::default(),
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if self.head_follows.0.swap(false, Ordering::Acquire) {
            self.scan = HeadScan::at_start();
        }
        if self.scan.read(&buffer.filled()[before..]) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a line of the head ends without a carriage return",
        )))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
