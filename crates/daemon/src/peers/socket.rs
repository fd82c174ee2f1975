//! Frames over one websocket.

use std::future::Future;
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
use super::frame::{FrameError, PeerFrame, decode_frame, encode_frame};
use super::queue::FrameQueue;
use super::settings::LinkSettings;
use super::transport::PeerStream;

/// Bytes that a link reads ahead; 400 links must fit into a daemon's memory.
const READ_AHEAD: usize = 16 * 1024;

pub(super) type PeerSocket = WebSocketStream<Box<dyn PeerStream>>;

pub(super) fn socket_config(settings: &LinkSettings) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_AHEAD)
        .write_buffer_size(READ_AHEAD)
        .max_message_size(Some(settings.max_frame_bytes))
        .max_frame_size(Some(settings.max_frame_bytes))
}

/// Sending half.
pub(super) struct FrameSender {
    sink: SplitSink<PeerSocket, Message>,
    bound: usize,
    patience: Duration,
}

/// Receiving half.
pub(super) struct FrameReceiver {
    stream: SplitStream<PeerSocket>,
}

pub(super) fn split_socket(
    socket: PeerSocket,
    settings: &LinkSettings,
) -> (FrameSender, FrameReceiver) {
    let (sink, stream) = socket.split();
    let sender = FrameSender {
        sink,
        bound: settings.max_frame_bytes,
        patience: settings.silence_timeout,
    };
    (sender, FrameReceiver { stream })
}

impl FrameSender {
    /// Sends one frame; a peer that takes no bytes in time is gone.
    pub(super) async fn send(&mut self, frame: &PeerFrame) -> Result<(), LinkError> {
        let bytes = encode_frame(frame, self.bound).map_err(LinkError::Frame)?;
        self.feed(bytes).await?;
        self.flush().await
    }

    /// Puts an encoded frame into the write buffer.
    async fn feed(&mut self, frame: Bytes) -> Result<(), LinkError> {
        let sending = self.sink.feed(Message::Binary(frame));
        with_timeout("a write", self.patience, sending).await
    }

    /// Sends all that waits in a queue.
    pub(super) async fn send_queued(&mut self, queue: &FrameQueue) -> Result<(), LinkError> {
        while let Some(frame) = queue.pop() {
            self.feed(frame).await?;
        }
        self.flush().await
    }

    /// Writes the buffer out.
    async fn flush(&mut self) -> Result<(), LinkError> {
        with_timeout("a write", self.patience, self.sink.flush()).await
    }
}

impl FrameReceiver {
    /// The next frame.
    pub(super) async fn receive(&mut self) -> Result<PeerFrame, LinkError> {
        loop {
            let message = self.stream.next().await.ok_or(LinkError::Closed)?;
            match message.map_err(socket_error)? {
                Message::Binary(bytes) => return decode_frame(&bytes).map_err(LinkError::Frame),
                Message::Close(_) => return Err(LinkError::Closed),
                Message::Text(_) => return Err(LinkError::Unexpected { what: "text" }),
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

/// Runs a step of the websocket library within `patience`.
pub(super) async fn with_timeout<T, F>(
    step: &'static str,
    patience: Duration,
    work: F,
) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, SocketError>>,
{
    let result = timeout(patience, work).await;
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
