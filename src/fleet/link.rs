//! Links between fleet processes: CBOR messages in WebSocket frames.

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
use super::crash::CrashReport;
use super::process_metrics::PROCESS_METRICS;
use super::quota::message::{QuotaAsk, QuotaGrant, RelayedAsk, RelayedGrant};
use super::update::{CompactUpdate, FleetUpdate};
use crate::consensus::message::RaftMessage;
use crate::ids::{LogIndex, MemberId, ProcessName, RequestDigest, ServerId, ZoneName};

/// Maximum frame size, and maximum size of an update that is sent in parts. Snapshots and large
/// documents are well below it.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Size of a part of an update: 16 ms of a line of 2 Mbit/s.
const UPDATE_PART_BYTES: usize = 4 << 10;

/// Value of `TCP_USER_TIMEOUT` for links and connections to servers. Without it, a severed network
/// path would not be noticed.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for connecting and the handshake. The first packet to a VM that is still powered off is
/// lost, and TCP retransmits it only after a second, so a new connection attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Call that a control member forwards to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardCall {
    Propose(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Requests a log index that covers every change acknowledged before the request.
    ReadIndex,
}

/// Outcome of a forwarded call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    Done {
        index: LogIndex,
    },
    /// The change did not and will not take effect.
    Refused,
    /// The change may or may not take effect.
    Unknown,
}

/// Periodic status notice from a member to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessNotice {
    /// Time since a quorum was last known to follow a leader that has committed an entry of its term;
    /// `None` if the member has known no such leader.
    pub leader_age: Option<Duration>,
    /// Link addresses of the voters.
    pub members: Vec<SocketAddr>,
    /// Number of entries connected to this member.
    pub entries: u32,
    /// Availability zone of the member; empty if it is of an older version.
    #[serde(default)]
    pub zone: ZoneName,
    /// Revision of the member's state.
    #[serde(default)]
    pub revision: LogIndex,
    /// Whether the member accepts [`LinkMessage::Crashes`] and [`LinkMessage::Served`]; a member of an
    /// older version closes the link on them.
    #[serde(default)]
    pub accepts_crashes: bool,
    /// Whether the member accepts [`LinkMessage::QuotaAsk`].
    #[serde(default)]
    pub accepts_quota_asks: bool,
    /// Whether the member leads, and so answers asks for quotas itself.
    #[serde(default)]
    pub leads: bool,
}

/// What an entry wants to receive on a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowMode {
    /// Each update in one message; entries of older versions expect this.
    #[default]
    WholeUpdates,
    /// Updates in parts, each of which shows that the link works.
    UpdateParts,
    /// Notices only.
    NoticesOnly,
}

/// Message sent over a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LinkMessage {
    /// First message of an entry; sent again to change the mode.
    Follow {
        name: ProcessName,
        revision: LogIndex,
        #[serde(default)]
        mode: FollowMode,
    },
    /// First message of a control member.
    Member {
        name: ProcessName,
    },
    Raft(RaftMessage),
    /// Join request of a member that is not in the member list or has no leader; followers forward it
    /// to the leader.
    Join {
        name: ProcessName,
        member: MemberId,
        /// Index from which on the sender's own member list names `member`.
        #[serde(default)]
        listed_at: Option<LogIndex>,
    },
    /// Answer to a join request: `member` was removed, and its process needs a new id.
    Removed {
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
    /// Servers from which the sender received heartbeats.
    Seen(Vec<(ServerId, IncarnationStart)>),
    /// Crashes that an entry saw; followers forward them to the leader.
    Crashes(Vec<CrashReport>),
    /// Requests that an entry suspected and a server has completed since; forwarded likewise.
    Served(Vec<RequestDigest>),
    /// Request of an entry for tokens of tenants with a limit.
    QuotaAsk(QuotaAsk),
    QuotaGrant(QuotaGrant),
    /// The same between members.
    RelayedAsk(RelayedAsk),
    RelayedGrant(RelayedGrant),
    Update(FleetUpdate),
    /// Part of an encoded [`super::update::CompactUpdate`].
    UpdatePart {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        is_last: bool,
    },
    /// The member has reached a revision, sent in the mode [`FollowMode::NoticesOnly`].
    Revision(LogIndex),
    Fresh(FreshnessNotice),
    Ping,
    Pong,
}

/// Errors that close a link.
#[derive(Debug, Error)]
pub enum LinkError {
    #[error("connection timed out after {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("WebSocket error: {0}")]
    Socket(Box<tokio_tungstenite::tungstenite::Error>),
    #[error("the peer closed the link")]
    Closed,
    #[error("cannot decode a received frame")]
    Malformed,
    #[error("the peer did not respond in time")]
    Silent,
    #[error("the machine was suspended")]
    Suspended,
}

impl From<tokio_tungstenite::tungstenite::Error> for LinkError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// Encoded message, cheap to clone for several recipients.
pub type LinkFrame = Bytes;

/// Sending half of a link.
pub struct LinkWriter(SplitSink<WebSocketStream<TcpStream>, Message>);

/// Receiving half of a link.
pub struct LinkReader(SplitStream<WebSocketStream<TcpStream>>);

pub fn encode(message: &LinkMessage) -> LinkFrame {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to memory does not fail");
    bytes.into()
}

/// Encodes an update in parts.
pub fn encode_parts(update: &CompactUpdate) -> Vec<LinkFrame> {
    let mut encoded = Vec::new();
    ciborium::into_writer(update, &mut encoded).expect("writing to memory does not fail");
    let part_count = encoded.len().div_ceil(UPDATE_PART_BYTES);
    let parts = encoded.chunks(UPDATE_PART_BYTES).enumerate();
    let message = |(number, bytes): (usize, &[u8])| {
        let is_last = number + 1 == part_count;
        encode(&LinkMessage::UpdatePart { bytes: bytes.to_vec(), is_last })
    };
    parts.map(message).collect()
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(4 << 10)
        .write_buffer_size(0)
}

/// Sets the socket options used for every connection of a fleet process. The connection fails when
/// sent data stays unacknowledged for `user_timeout`.
pub fn prepare_socket(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout))
}

fn split(socket: WebSocketStream<TcpStream>) -> (LinkWriter, LinkReader) {
    let (writer, reader) = socket.split();
    (LinkWriter(writer), LinkReader(reader))
}

/// Opens a link to `address`.
pub async fn connect(address: SocketAddr) -> Result<(LinkWriter, LinkReader), LinkError> {
    let handshake = async {
        let stream = TcpStream::connect(address).await?;
        prepare_socket(&stream, USER_TIMEOUT)?;
        let url = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
        Ok(split(socket))
    };
    timeout(CONNECT_TIMEOUT, handshake).await.map_err(|_| LinkError::ConnectTimeout)?
}

/// Completes the WebSocket handshake of an accepted connection.
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
    /// Waits for the next message. Cancel-safe.
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
