//! Frames on one WebSocket connection.

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

use super::{FRAME_BYTES, FrameError, WireFrame};

/// WebSocket connection over an async-std stream.
pub(super) type LinkStream = WebSocketStream<Compat<TcpStream>>;

/// Sends queued frames; frames that wait together share one flush. Ends when a flush takes longer
/// than `limit`.
pub(super) async fn write_frames(
    mut sink: SplitSink<LinkStream, Message>,
    receiver: Receiver<Vec<u8>>,
    stream: TcpStream,
    limit: Duration,
) {
    while let Ok(bytes) = receiver.recv().await {
        let batch = async {
            sink.feed(Message::Binary(bytes.into())).await?;
            while let Ok(bytes) = receiver.try_recv() {
                sink.feed(Message::Binary(bytes.into())).await?;
            }
            sink.flush().await
        };
        if !matches!(timeout(limit, batch).await, Ok(Ok(()))) {
            break;
        }
    }
    // Ends the reader as well.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Bounds of a WebSocket connection.
pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(FRAME_BYTES)).max_frame_size(Some(FRAME_BYTES))
}

/// Decodes a binary message; control messages of WebSocket yield nothing.
pub(super) fn decode(message: &Message) -> Result<Option<WireFrame>, FrameError> {
    match message {
        Message::Binary(bytes) => WireFrame::decode(bytes).map(Some),
        Message::Text(_) => Err(FrameError::Malformed("text message".into())),
        _ => Ok(None),
    }
}
