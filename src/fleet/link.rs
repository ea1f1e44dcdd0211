//! Links between processes of a fleet: CBOR messages in WebSocket frames.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use super::announcement::IncarnationStart;
use super::process_metrics::PROCESS_METRICS;
use super::update::FleetUpdate;
use crate::consensus::message::RaftMessage;
use crate::ids::{LogIndex, MemberId, ProcessName, ServerId};

/// Longest frame; snapshots and large documents stay well below it.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Unacknowledged data older than this ends a link or a connection to a server, because a cut
/// connection reports nothing.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest time for a connection and its handshake. The first packet to a machine that has no power
/// yet is lost and repeated after a second only, so a new dial is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Call that a control member passes to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardCall {
    Propose(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Asks for an index up to which everything acknowledged before the question is committed.
    ReadIndex,
}

/// Outcome of a forwarded call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    Done {
        index: LogIndex,
    },
    /// Nothing was changed, and nothing will be.
    Refused,
    /// The change may or may not take effect.
    Unknown,
}

/// What a member tells the entries at intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshNotice {
    /// Time since a leader with a majority was heard; `None` when there is none.
    pub leader_age: Option<Duration>,
    /// Link addresses of the voters.
    pub members: Vec<SocketAddr>,
    /// Entries that follow this member.
    pub entries: u32,
}

/// Message on a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LinkMessage {
    /// First message of an entry.
    Follow {
        name: ProcessName,
        revision: LogIndex,
    },
    /// First message of a control member.
    Member {
        name: ProcessName,
    },
    Raft(RaftMessage),
    /// A member with a new data folder asks to be taken in; followers pass it to the leader.
    Join {
        name: ProcessName,
        member: MemberId,
    },
    Forward {
        request: u64,
        call: ForwardCall,
    },
    Reply {
        request: u64,
        outcome: CallOutcome,
    },
    /// Servers whose heartbeats arrived at the sender.
    Seen(Vec<(ServerId, IncarnationStart)>),
    Update(FleetUpdate),
    Fresh(FreshNotice),
    Ping,
    Pong,
}

/// Why a link ended.
#[derive(Debug, Error)]
pub enum LinkError {
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("web socket failed: {0}")]
    Socket(Box<tokio_tungstenite::tungstenite::Error>),
    #[error("the peer closed the link")]
    Closed,
    #[error("a frame cannot be decoded")]
    Malformed,
    #[error("the peer did not answer in time")]
    Silent,
}

impl From<tokio_tungstenite::tungstenite::Error> for LinkError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// Encoded message, cheap to send to many.
pub type LinkFrame = Bytes;

/// Sending half.
pub struct LinkWriter(SplitSink<WebSocketStream<TcpStream>, Message>);

/// Receiving half.
pub struct LinkReader(SplitStream<WebSocketStream<TcpStream>>);

pub fn encode(message: &LinkMessage) -> LinkFrame {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to memory does not fail");
    bytes.into()
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(4 << 10)
        .write_buffer_size(0)
}

/// Sets the options that every connection of a fleet process has. Data that is not acknowledged for
/// `user_timeout` ends the connection.
pub fn prepare_socket(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout))
}

fn split(socket: WebSocketStream<TcpStream>) -> (LinkWriter, LinkReader) {
    let (writer, reader) = socket.split();
    (LinkWriter(writer), LinkReader(reader))
}

/// Opens a link to `address`.
pub async fn dial(address: SocketAddr) -> Result<(LinkWriter, LinkReader), LinkError> {
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        prepare_socket(&stream, USER_TIMEOUT)?;
        let url = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
        Ok(split(socket))
    };
    timeout(CONNECT_TIMEOUT, connect).await.map_err(|_| LinkError::ConnectTimeout)?
}

/// Completes the handshake of an accepted connection.
pub async fn accept(stream: TcpStream) -> Result<(LinkWriter, LinkReader), LinkError> {
    prepare_socket(&stream, USER_TIMEOUT)?;
    let handshake = accept_async_with_config(stream, Some(socket_config()));
    let socket =
        timeout(CONNECT_TIMEOUT, handshake).await.map_err(|_| LinkError::ConnectTimeout)?;
    Ok(split(socket?))
}

impl LinkWriter {
    pub async fn send(&mut self, frame: LinkFrame) -> Result<(), LinkError> {
        PROCESS_METRICS.link_frames_sent.inc();
        PROCESS_METRICS.link_bytes_sent.inc_by(frame.len() as u64);
        Ok(self.0.send(Message::Binary(frame)).await?)
    }
}

impl LinkReader {
    /// Waits for the next message. Cancelling the wait loses nothing.
    pub async fn receive(&mut self) -> Result<LinkMessage, LinkError> {
        loop {
            let Some(message) = self.0.next().await else { return Err(LinkError::Closed) };
            let Message::Binary(bytes) = message? else { continue };
            PROCESS_METRICS.link_frames_received.inc();
            PROCESS_METRICS.link_bytes_received.inc_by(bytes.len() as u64);
            return ciborium::from_reader(&bytes[..]).map_err(|_| LinkError::Malformed);
        }
    }
}
