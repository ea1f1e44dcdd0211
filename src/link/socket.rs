//! Sending and decoding of frames on a WebSocket connection.

use std::time::Duration;

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_util::SinkExt;
use futures_util::stream::SplitSink;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;

use super::{FrameError, MAX_FRAME_BYTES, WireFrame};

/// WebSocket connection over an async-std TCP stream.
pub(super) type LinkStream = WebSocketStream<Compat<TcpStream>>;

/// Sends queued frames until the queue is closed, sending fails or a batch takes longer than
/// `batch_timeout`; then shuts the connection down. All frames that are queued at the same time
/// share one flush.
pub(super) async fn write_frames(
    mut sink: SplitSink<LinkStream, Message>,
    frame_queue: Receiver<Vec<u8>>,
    stream: TcpStream,
    batch_timeout: Duration,
) {
    while let Ok(bytes) = frame_queue.recv().await {
        let batch = async {
            sink.feed(Message::Binary(bytes.into())).await?;
            while let Ok(bytes) = frame_queue.try_recv() {
                sink.feed(Message::Binary(bytes.into())).await?;
            }
            sink.flush().await
        };
        if !matches!(timeout(batch_timeout, batch).await, Ok(Ok(()))) {
            break;
        }
    }
    // Makes the reader of this connection end as well.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// WebSocket settings that limit messages to the maximum frame size.
pub(super) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Decodes a binary message; returns `None` for WebSocket control messages.
pub(super) fn decode_message(message: &Message) -> Result<Option<WireFrame>, FrameError> {
    match message {
        Message::Binary(bytes) => WireFrame::decode(bytes).map(Some),
        Message::Text(_) => Err(FrameError::Malformed("text message".into())),
        _ => Ok(None),
    }
}
