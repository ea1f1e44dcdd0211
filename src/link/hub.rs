//! Links of one process: accepting, connecting, sending and receiving.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::future::{Either, select};
use futures_util::stream::SplitStream;
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::socket::{LinkStream, decode_message, websocket_config, write_frames};
use super::traffic::kind_index;
use super::{FrameError, HelloMessage, LinkTraffic, WIRE_VERSION, WireFrame, WireMessage};
use crate::ids::{ProcessName, RegionName};

/// Capacity of a link's send queue in frames. Further frames are dropped, and the component that
/// sent them must resend.
const SEND_QUEUE_FRAMES: usize = 2048;

/// Maximum time for TCP connect, WebSocket handshake and hello exchange together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of pings on a link.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a pong after which a link is closed.
///
/// Only a pong proves that both directions work: other messages also arrive while the opposite
/// direction is interrupted. At one ping per second, a pong may be 1.5 s late.
const PONG_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Bounds of the exponential backoff between connection attempts.
const RECONNECT_BACKOFF_MIN: Duration = Duration::from_millis(50);
const RECONNECT_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Maximum number of inbound connections, including those in the handshake.
const MAX_INBOUND_LINKS: usize = 512;

/// Identity of this process towards its peers.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// First message to each peer.
    pub hello: HelloMessage,
    /// Region of this process.
    pub region: RegionName,
}

/// Peer to which this process keeps a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkTarget {
    /// Expected name of the peer.
    pub name: ProcessName,
    /// Link address of the peer.
    pub address: SocketAddr,
}

/// Event on a link.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A link to the peer that sent this hello is open.
    Up(HelloMessage),
    /// The link to this peer was closed and no newer one has replaced it.
    Down(ProcessName),
    /// A message arrived.
    Message(ProcessName, Box<WireMessage>),
}

/// Why a link was closed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// TCP failure.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// WebSocket failure.
    #[error("websocket failed: {0}")]
    WebSocket(#[from] tokio_tungstenite::tungstenite::Error),
    /// A frame could not be encoded or decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The handshake did not finish or no pong arrived in time.
    #[error("timeout")]
    Timeout,
    /// The peer closed the link.
    #[error("connection closed by the peer")]
    Closed,
    /// The first message was not a hello, or it came from another process than expected.
    #[error("first message was not the expected hello")]
    UnexpectedHello,
    /// The receiver of link events no longer exists.
    #[error("event receiver was dropped")]
    EventsClosed,
}

/// Manages all links of a process. Clones share the same state.
#[derive(Clone)]
pub struct LinkHub {
    shared: Arc<SharedHub>,
}

struct SharedHub {
    config: LinkConfig,
    events: Sender<LinkEvent>,
    /// Channel that is closed when the hub is stopped.
    stopping: Receiver<()>,
    /// Sender that keeps `stopping` open while the hub runs.
    _stop: Sender<()>,
    traffic: LinkTraffic,
    state: Mutex<HubState>,
}

#[derive(Default)]
struct HubState {
    last_link_number: u64,
    inbound_count: usize,
    stopped: bool,
    links: BTreeMap<ProcessName, OpenLink>,
    last_target_number: u64,
    targets: BTreeMap<ProcessName, RegisteredTarget>,
}

/// Registered address of a peer.
///
/// The number tells registrations apart: when an address is replaced and later set again, the task
/// of its first registration ends.
#[derive(Clone, Copy, PartialEq, Eq)]
struct RegisteredTarget {
    number: u64,
    address: SocketAddr,
}

struct OpenLink {
    number: u64,
    send_queue: Sender<Vec<u8>>,
    stream: TcpStream,
    /// This process opened the connection.
    outbound: bool,
}

impl LinkHub {
    /// Creates a hub without links; it sends link events to `events`.
    pub fn new(config: LinkConfig, events: Sender<LinkEvent>) -> Self {
        let (stop, stopping) = async_channel::bounded(1);
        let shared = SharedHub {
            config,
            events,
            stopping,
            _stop: stop,
            traffic: LinkTraffic::default(),
            state: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Accepts links on `listener` until the hub is stopped.
    pub fn listen(&self, listener: TcpListener) {
        let hub = self.clone();
        task::spawn(async move {
            loop {
                let stopping = hub.shared.stopping.recv();
                let Either::Left((accepted, _)) =
                    select(pin!(listener.accept()), pin!(stopping)).await
                else {
                    return;
                };
                let Ok((stream, _)) = accepted else {
                    // Accepting fails mostly for lack of file descriptors; the pause prevents a
                    // busy loop.
                    task::sleep(RECONNECT_BACKOFF_MIN).await;
                    continue;
                };
                if hub.shared.reserve_inbound() {
                    task::spawn(hub.clone().serve_inbound(stream));
                }
            }
        });
    }

    /// Connects to `target`, and reconnects after each failure until the hub is stopped or another
    /// address is set for this peer.
    pub fn connect(&self, target: LinkTarget) {
        if let Some(registration) = self.shared.register_target(&target) {
            task::spawn(self.clone().keep_connected(target, registration));
        }
    }

    /// Queues a message for `peer`; returns `false` when there is no link, its queue is full or the
    /// message is too large.
    pub fn send(&self, peer: &str, message: WireMessage) -> bool {
        let kind = kind_index(&message);
        let Ok(bytes) = self.shared.new_frame(message).encode() else {
            return false;
        };
        self.send_encoded(peer, kind, bytes)
    }

    /// Queues a message for several peers; returns the number of peers for which it was queued.
    pub fn send_all<'a>(
        &self,
        peers: impl Iterator<Item = &'a str>,
        message: WireMessage,
    ) -> usize {
        let kind = kind_index(&message);
        let Ok(bytes) = self.shared.new_frame(message).encode() else {
            return 0;
        };
        let mut sent = 0;
        for peer in peers {
            if self.send_encoded(peer, kind, bytes.clone()) {
                sent += 1;
            }
        }
        sent
    }

    /// Queues an encoded frame for `peer`; returns `false` when there is no link or its queue is full.
    fn send_encoded(&self, peer: &str, kind: usize, bytes: Vec<u8>) -> bool {
        let state = self.shared.lock();
        let Some(link) = state.links.get(peer) else {
            return false;
        };
        let length = bytes.len();
        let queued = link.send_queue.try_send(bytes).is_ok();
        if queued {
            self.shared.traffic.count_sent(kind, length, link.outbound);
        }
        queued
    }

    /// Counters of messages and bytes on all links.
    pub fn traffic(&self) -> &LinkTraffic {
        &self.shared.traffic
    }

    /// Names of the peers with an open link.
    pub fn peers(&self) -> Vec<ProcessName> {
        self.shared.lock().links.keys().cloned().collect()
    }

    /// Closes all links and the listener, and opens no further links.
    pub fn stop(&self) {
        self.shared.stopping.close();
        let mut state = self.shared.lock();
        state.stopped = true;
        state.targets.clear();
        for link in state.links.values() {
            let _ = link.stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Performs the handshake of an accepted connection and serves its link.
    async fn serve_inbound(self, stream: TcpStream) {
        let handshake = async {
            stream.set_nodelay(true)?;
            let socket = tokio_tungstenite::accept_async_with_config(
                stream.clone().compat(),
                Some(websocket_config()),
            );
            self.exchange_hello(socket.await?, None).await
        };
        match timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok((socket, hello))) => self.run_link(socket, stream, hello, false).await,
            Ok(Err(error)) => log_closed("inbound", &error),
            Err(_) => log_closed("inbound", &LinkError::Timeout),
        }
        self.shared.lock().inbound_count -= 1;
    }

    /// Connects and reconnects to `target` while `registration` is its current one.
    async fn keep_connected(self, target: LinkTarget, registration: RegisteredTarget) {
        let mut backoff = RECONNECT_BACKOFF_MIN;
        while self.shared.lock().targets.get(&target.name) == Some(&registration) {
            let started = Instant::now();
            match timeout(HANDSHAKE_TIMEOUT, self.connect_once(&target)).await {
                Ok(Ok((socket, stream, hello))) => self.run_link(socket, stream, hello, true).await,
                Ok(Err(LinkError::Io(_))) | Err(_) => (),
                Ok(Err(error)) => log_closed(&target.name, &error),
            }
            if started.elapsed() > PONG_TIMEOUT {
                backoff = RECONNECT_BACKOFF_MIN;
            }
            task::sleep(backoff).await;
            backoff = (backoff * 2).min(RECONNECT_BACKOFF_MAX);
        }
    }

    /// Opens one connection to `target`, up to and including the exchange of hellos.
    async fn connect_once(
        &self,
        target: &LinkTarget,
    ) -> Result<(LinkStream, TcpStream, HelloMessage), LinkError> {
        let stream = TcpStream::connect(target.address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{}/", target.address);
        let (socket, _) = tokio_tungstenite::client_async_with_config(
            url,
            stream.clone().compat(),
            Some(websocket_config()),
        )
        .await?;
        let (socket, hello) = self.exchange_hello(socket, Some(&target.name)).await?;
        Ok((socket, stream, hello))
    }

    /// Sends the own hello and waits for that of the peer, whose name must be `expected` if given.
    async fn exchange_hello(
        &self,
        mut socket: LinkStream,
        expected: Option<&str>,
    ) -> Result<(LinkStream, HelloMessage), LinkError> {
        let hello = WireMessage::Hello(self.shared.config.hello.clone());
        let bytes = self.shared.new_frame(hello).encode()?;
        socket.send(Message::Binary(bytes.into())).await?;
        let frame = match socket.next().await {
            Some(message) => decode_message(&message?)?.ok_or(LinkError::UnexpectedHello)?,
            None => return Err(LinkError::Closed),
        };
        let WireMessage::Hello(hello) = frame.message else {
            return Err(LinkError::UnexpectedHello);
        };
        if expected.is_some_and(|name| name != &*hello.name) {
            return Err(LinkError::UnexpectedHello);
        }
        Ok((socket, hello))
    }

    /// Serves an open link until it fails, and reports its start and end as events.
    async fn run_link(
        &self,
        socket: LinkStream,
        stream: TcpStream,
        hello: HelloMessage,
        outbound: bool,
    ) {
        let name = hello.name.clone();
        let (send_queue, receiver) = async_channel::bounded(SEND_QUEUE_FRAMES);
        let Some(number) = self.shared.register_link(&name, &send_queue, &stream, outbound) else {
            return;
        };
        let (sink, source) = socket.split();
        let writer = task::spawn(write_frames(sink, receiver, stream, PONG_TIMEOUT));
        log::info!(peer:% = name, role:% = hello.role.as_str(); "link open");
        if self.shared.events.send(LinkEvent::Up(hello)).await.is_ok() {
            let error = self.read_frames(source, &send_queue, &name, outbound).await;
            log_closed(&name, &error);
        }
        send_queue.close();
        writer.await;
        if self.shared.remove_link(&name, number) {
            let _ = self.shared.events.send(LinkEvent::Down(name)).await;
        }
    }

    /// Receives messages and sends pings until the link fails; returns the reason.
    async fn read_frames(
        &self,
        mut source: SplitStream<LinkStream>,
        send_queue: &Sender<Vec<u8>>,
        name: &ProcessName,
        outbound: bool,
    ) -> LinkError {
        let mut next_ping = Instant::now();
        let mut last_pong = Instant::now();
        loop {
            let now = Instant::now();
            if now >= next_ping {
                next_ping = now + PING_INTERVAL;
                let _ = self.queue_frame(send_queue, WireMessage::Ping, outbound);
            }
            if now - last_pong > PONG_TIMEOUT {
                return LinkError::Timeout;
            }
            let message = match timeout(next_ping - now, source.next()).await {
                Err(_) => continue,
                Ok(None) => return LinkError::Closed,
                Ok(Some(Err(error))) => return error.into(),
                Ok(Some(Ok(message))) => message,
            };
            let frame = match decode_message(&message) {
                Ok(Some(frame)) => frame,
                Ok(None) => continue,
                Err(error) => return error.into(),
            };
            let kind = kind_index(&frame.message);
            self.shared.traffic.count_received(kind, message.len(), !outbound);
            match frame.message {
                WireMessage::Ping => {
                    let _ = self.queue_frame(send_queue, WireMessage::Pong, outbound);
                }
                WireMessage::Pong => last_pong = Instant::now(),
                message => {
                    let event = LinkEvent::Message(name.clone(), Box::new(message));
                    if self.shared.events.send(event).await.is_err() {
                        return LinkError::EventsClosed;
                    }
                }
            }
        }
    }

    /// Queues a message on `send_queue`; drops it when the queue is full.
    fn queue_frame(
        &self,
        send_queue: &Sender<Vec<u8>>,
        message: WireMessage,
        outbound: bool,
    ) -> Result<(), FrameError> {
        let kind = kind_index(&message);
        let bytes = self.shared.new_frame(message).encode()?;
        let length = bytes.len();
        if send_queue.try_send(bytes).is_ok() {
            self.shared.traffic.count_sent(kind, length, outbound);
        }
        Ok(())
    }
}

impl SharedHub {
    fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().expect("no holder of the hub lock panics")
    }

    /// Wraps a message in a frame from this process.
    fn new_frame(&self, message: WireMessage) -> WireFrame {
        WireFrame {
            version: WIRE_VERSION,
            region: self.config.region.clone(),
            from: self.config.hello.name.clone(),
            message,
        }
    }

    /// Registers the address of a peer; `None` when it is registered already or the hub was
    /// stopped.
    fn register_target(&self, target: &LinkTarget) -> Option<RegisteredTarget> {
        let mut state = self.lock();
        let is_registered = state
            .targets
            .get(&target.name)
            .is_some_and(|registration| registration.address == target.address);
        if is_registered || state.stopped {
            return None;
        }
        state.last_target_number += 1;
        let registration =
            RegisteredTarget { number: state.last_target_number, address: target.address };
        state.targets.insert(target.name.clone(), registration);
        Some(registration)
    }

    /// Counts a new inbound connection; `false` when the limit is reached.
    fn reserve_inbound(&self) -> bool {
        let mut state = self.lock();
        let admitted = state.inbound_count < MAX_INBOUND_LINKS;
        if admitted {
            state.inbound_count += 1;
        }
        admitted
    }

    /// Registers a link under a new number and closes an older link to the same peer; `None` when
    /// the hub was stopped.
    fn register_link(
        &self,
        name: &ProcessName,
        send_queue: &Sender<Vec<u8>>,
        stream: &TcpStream,
        outbound: bool,
    ) -> Option<u64> {
        let mut state = self.lock();
        if state.stopped {
            return None;
        }
        state.last_link_number += 1;
        let number = state.last_link_number;
        let (send_queue, stream) = (send_queue.clone(), stream.clone());
        let link = OpenLink { number, send_queue, stream, outbound };
        if let Some(older) = state.links.insert(name.clone(), link) {
            let _ = older.stream.shutdown(std::net::Shutdown::Both);
        }
        Some(number)
    }

    /// Removes the link unless a newer one has replaced it; returns whether it was removed.
    fn remove_link(&self, name: &str, number: u64) -> bool {
        let mut state = self.lock();
        let is_current = state.links.get(name).is_some_and(|link| link.number == number);
        if is_current {
            state.links.remove(name);
        }
        is_current
    }
}

fn log_closed(peer: &str, error: &LinkError) {
    log::warn!(peer, error:%; "link closed");
}
