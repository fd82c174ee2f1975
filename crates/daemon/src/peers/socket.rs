//! Sends and receives frames over one websocket.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Error as SocketError;
use tokio_tungstenite::tungstenite::error::CapacityError;
use tokio_tungstenite::tungstenite::protocol::{Message, WebSocketConfig};

use super::error::LinkError;
use super::forward_frame::ForwardFrame;
use super::frame::{
    FrameError, PeerFrame, decode_frame, decode_value, encode_frame, encode_value, is_deferrable,
};
use super::queue::FrameQueue;
use super::settings::LinkSettings;
use super::transport::PeerStream;
use crate::work::WorkMeter;

/// Bytes of the read buffer and of the write buffer of a link; the buffers of 400 links must fit
/// into a daemon's memory.
const BUFFER_BYTES: usize = 16 * 1024;

pub(super) type PeerSocket = WebSocketStream<Box<dyn PeerStream>>;

pub(super) fn socket_config(settings: &LinkSettings) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(settings.max_frame_bytes))
        .max_frame_size(Some(settings.max_frame_bytes))
}

/// Sending half of a websocket.
pub(super) struct FrameSender {
    sink: SplitSink<PeerSocket, Message>,
    max_frame_bytes: usize,
    write_timeout: Duration,
    work: Arc<WorkMeter>,
}

/// Receiving half of a websocket.
pub(super) struct FrameReceiver {
    stream: SplitStream<PeerSocket>,
    work: Arc<WorkMeter>,
}

pub(super) fn split_socket(
    socket: PeerSocket,
    settings: &LinkSettings,
    work: &Arc<WorkMeter>,
) -> (FrameSender, FrameReceiver) {
    let (sink, stream) = socket.split();
    let sender = FrameSender {
        sink,
        max_frame_bytes: settings.max_frame_bytes,
        write_timeout: settings.silence_timeout,
        work: Arc::clone(work),
    };
    let work = Arc::clone(work);
    (sender, FrameReceiver { stream, work })
}

impl FrameSender {
    /// Sends one frame.
    ///
    /// # Errors
    /// The frame is too large, the websocket failed, or the write timed out.
    pub(super) async fn send(&mut self, frame: &PeerFrame) -> Result<(), LinkError> {
        let bytes = encode_frame(frame, self.max_frame_bytes).map_err(LinkError::Frame)?;
        self.buffer_frame(bytes).await?;
        self.flush().await
    }

    /// Sends one frame of a forwarding channel. Waits for as long as the peer reads nothing, since
    /// the caller of a forwarded stream may be slow.
    ///
    /// # Errors
    /// The frame is too large, or the websocket failed.
    pub(super) async fn send_forward(&mut self, frame: &ForwardFrame) -> Result<(), LinkError> {
        let bytes = encode_value(frame, self.max_frame_bytes, false).map_err(LinkError::Frame)?;
        let write = self.sink.send(Message::Binary(bytes));
        write.await.map_err(socket_error)
    }

    /// Writes an encoded frame to the write buffer.
    async fn buffer_frame(&mut self, frame: Bytes) -> Result<(), LinkError> {
        let write = self.sink.feed(Message::Binary(frame));
        let write = self.work.track("link-write", write);
        with_timeout("write", self.write_timeout, write).await
    }

    /// Sends all frames of a queue.
    pub(super) async fn send_queued(&mut self, queue: &FrameQueue) -> Result<(), LinkError> {
        while let Some(frame) = queue.pop() {
            self.buffer_frame(frame).await?;
        }
        self.flush().await
    }

    /// Flushes the write buffer.
    async fn flush(&mut self) -> Result<(), LinkError> {
        let flush = self.work.track("link-write", self.sink.flush());
        with_timeout("write", self.write_timeout, flush).await
    }
}

impl FrameReceiver {
    /// Waits for the next frame.
    pub(super) async fn receive(&mut self) -> Result<PeerFrame, LinkError> {
        let bytes = self.receive_bytes().await?;
        let decoded = self.work.measure("frame-decode", || decode_frame(&bytes));
        decoded.map_err(LinkError::Frame)
    }

    /// Waits for the next frame; passes a deferrable one to `defer`, still encoded, and returns `None`.
    pub(super) async fn receive_unless<F>(
        &mut self,
        defer: F,
    ) -> Result<Option<PeerFrame>, LinkError>
    where
        F: FnOnce(Bytes),
    {
        let bytes = self.receive_bytes().await?;
        if is_deferrable(&bytes).map_err(LinkError::Frame)? {
            defer(bytes);
            return Ok(None);
        }
        let decoded = self.work.measure("frame-decode", || decode_frame(&bytes));
        decoded.map(Some).map_err(LinkError::Frame)
    }

    /// Waits for the next frame of a forwarding channel. A cancelled wait loses nothing.
    pub(super) async fn receive_forward(&mut self) -> Result<ForwardFrame, LinkError> {
        let bytes = self.receive_bytes().await?;
        decode_value(&bytes).map_err(LinkError::Frame)
    }

    /// Waits for the next binary message; skips control messages of the websocket.
    async fn receive_bytes(&mut self) -> Result<Bytes, LinkError> {
        loop {
            let next = self.work.track("link-read", self.stream.next());
            let message = next.await.ok_or(LinkError::Closed)?;
            match message.map_err(socket_error)? {
                Message::Binary(bytes) => return Ok(bytes),
                Message::Close(_) => return Err(LinkError::Closed),
                Message::Text(_) => {
                    return Err(LinkError::Unexpected {
                        description: "text message",
                    });
                }
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

/// Runs a step of the websocket library with a timeout.
pub(super) async fn with_timeout<T, F>(
    step: &'static str,
    limit: Duration,
    work: F,
) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, SocketError>>,
{
    let result = timeout(limit, work).await;
    result
        .map_err(|_| LinkError::Timeout { step })?
        .map_err(socket_error)
}

fn socket_error(error: SocketError) -> LinkError {
    match error {
        SocketError::Capacity(CapacityError::MessageTooLong { size, max_size }) => {
            LinkError::Frame(FrameError::TooLarge {
                bytes: size,
                bound: max_size,
            })
        }
        SocketError::ConnectionClosed | SocketError::AlreadyClosed => LinkError::Closed,
        other => LinkError::Socket {
            reason: other.to_string(),
        },
    }
}
