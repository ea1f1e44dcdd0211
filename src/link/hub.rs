//! All links of one process.

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

use super::socket::{LinkStream, decode, socket_config, write_frames};
use super::traffic::kind_index;
use super::{FrameError, HelloMessage, LinkTraffic, WIRE_VERSION, WireFrame, WireMessage};
use crate::ids::{ProcessName, RegionName};

/// Frames that may wait on one link; further ones are dropped and must be resent by their owner.
const SEND_BACKLOG: usize = 2048;

/// Time for connect, WebSocket handshake and hello together.
const HANDSHAKE_TIME: Duration = Duration::from_secs(2);

/// Interval of pings on a link.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any pong after which a link is closed.
///
/// Only a pong proves that both directions work; data alone also arrives when the other direction is
/// cut. A pong may be 1.5 s late.
const PONG_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Bounds of the wait between two attempts to connect.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_secs(1);

/// Inbound connections that may exist at once, handshakes included.
const INBOUND_LINKS: usize = 512;

/// What a process is on the link network.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Sent to each peer on connect.
    pub hello: HelloMessage,
    /// Region written into each frame.
    pub region: RegionName,
}

/// Peer to which this process connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkTarget {
    /// Expected name of the peer.
    pub name: ProcessName,
    /// Link address of the peer.
    pub address: SocketAddr,
}

/// What happened on a link.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A link is usable.
    Up(HelloMessage),
    /// The only link to this peer is gone.
    Down(ProcessName),
    /// A message arrived.
    Message(ProcessName, Box<WireMessage>),
}

/// Why a link was closed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Network failure.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// WebSocket failure.
    #[error("websocket failed: {0}")]
    Socket(#[from] tokio_tungstenite::tungstenite::Error),
    /// Frame refused.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Handshake or pong took too long.
    #[error("timeout")]
    Timeout,
    /// The peer closed the link.
    #[error("closed by the peer")]
    Closed,
    /// The first message was not a hello, or it names another process.
    #[error("unexpected hello")]
    UnexpectedHello,
    /// The hub was stopped.
    #[error("stopped")]
    Stopped,
}

/// Accepts, makes and serves links; cheap to clone.
#[derive(Clone)]
pub struct LinkHub {
    shared: Arc<SharedHub>,
}

struct SharedHub {
    config: LinkConfig,
    events: Sender<LinkEvent>,
    /// Closed when the hub is stopped.
    stopping: Receiver<()>,
    /// Keeps `stopping` open until then.
    _stop: Sender<()>,
    traffic: LinkTraffic,
    state: Mutex<HubState>,
}

#[derive(Default)]
struct HubState {
    next_link: u64,
    inbound: usize,
    stopped: bool,
    links: BTreeMap<ProcessName, OpenLink>,
    next_target: u64,
    targets: BTreeMap<ProcessName, DialTarget>,
}

/// Address of a peer; a replaced one has another number even when the address comes back.
#[derive(Clone, Copy, PartialEq, Eq)]
struct DialTarget {
    number: u64,
    address: SocketAddr,
}

struct OpenLink {
    number: u64,
    sender: Sender<Vec<u8>>,
    stream: TcpStream,
    /// This side connected.
    dialled: bool,
}

impl LinkHub {
    /// Creates a hub that reports to `events`.
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
                    // Typically out of file descriptors; a short wait avoids a busy loop.
                    task::sleep(RECONNECT_MIN).await;
                    continue;
                };
                if hub.shared.admit_inbound() {
                    task::spawn(hub.clone().serve_inbound(stream));
                }
            }
        });
    }

    /// Keeps a link to `target` until the hub is stopped or the target is replaced.
    pub fn connect(&self, target: LinkTarget) {
        if let Some(dial) = self.shared.set_target(&target) {
            task::spawn(self.clone().keep_connected(target, dial));
        }
    }

    /// Queues a message for `peer`; returns `false` when there is no link or its queue is full.
    pub fn send(&self, peer: &str, message: WireMessage) -> bool {
        let kind = kind_index(&message);
        let Ok(bytes) = self.shared.frame(message).encode() else {
            return false;
        };
        self.send_encoded(peer, kind, bytes)
    }

    /// Queues one message for several peers and returns for how many it was queued.
    pub fn send_all<'a>(
        &self,
        peers: impl Iterator<Item = &'a str>,
        message: WireMessage,
    ) -> usize {
        let kind = kind_index(&message);
        let Ok(bytes) = self.shared.frame(message).encode() else {
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

    fn send_encoded(&self, peer: &str, kind: usize, bytes: Vec<u8>) -> bool {
        let state = self.shared.lock();
        let Some(link) = state.links.get(peer) else {
            return false;
        };
        let length = bytes.len();
        let queued = link.sender.try_send(bytes).is_ok();
        if queued {
            self.shared.traffic.count_sent(kind, length, link.dialled);
        }
        queued
    }

    /// Messages and bytes since the start.
    pub fn traffic(&self) -> &LinkTraffic {
        &self.shared.traffic
    }

    /// Names of the peers with a usable link.
    pub fn peers(&self) -> Vec<ProcessName> {
        self.shared.lock().links.keys().cloned().collect()
    }

    /// Closes all links and makes no new ones.
    pub fn stop(&self) {
        self.shared.stopping.close();
        let mut state = self.shared.lock();
        state.stopped = true;
        state.targets.clear();
        for link in state.links.values() {
            let _ = link.stream.shutdown(std::net::Shutdown::Both);
        }
    }

    async fn serve_inbound(self, stream: TcpStream) {
        let handshake = async {
            stream.set_nodelay(true)?;
            let socket = tokio_tungstenite::accept_async_with_config(
                stream.clone().compat(),
                Some(socket_config()),
            );
            self.greet(socket.await?, None).await
        };
        match timeout(HANDSHAKE_TIME, handshake).await {
            Ok(Ok((socket, hello))) => self.run_link(socket, stream, hello, false).await,
            Ok(Err(error)) => log_closed("inbound", &error),
            Err(_) => log_closed("inbound", &LinkError::Timeout),
        }
        self.shared.lock().inbound -= 1;
    }

    async fn keep_connected(self, target: LinkTarget, dial: DialTarget) {
        let mut wait = RECONNECT_MIN;
        while self.shared.lock().targets.get(&target.name) == Some(&dial) {
            let started = Instant::now();
            match timeout(HANDSHAKE_TIME, self.dial(&target)).await {
                Ok(Ok((socket, stream, hello))) => self.run_link(socket, stream, hello, true).await,
                Ok(Err(LinkError::Io(_))) | Err(_) => (),
                Ok(Err(error)) => log_closed(&target.name, &error),
            }
            if started.elapsed() > PONG_TIMEOUT {
                wait = RECONNECT_MIN;
            }
            task::sleep(wait).await;
            wait = (wait * 2).min(RECONNECT_MAX);
        }
    }

    async fn dial(
        &self,
        target: &LinkTarget,
    ) -> Result<(LinkStream, TcpStream, HelloMessage), LinkError> {
        let stream = TcpStream::connect(target.address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{}/", target.address);
        let (socket, _) = tokio_tungstenite::client_async_with_config(
            url,
            stream.clone().compat(),
            Some(socket_config()),
        )
        .await?;
        let (socket, hello) = self.greet(socket, Some(&target.name)).await?;
        Ok((socket, stream, hello))
    }

    /// Exchanges hellos.
    async fn greet(
        &self,
        mut socket: LinkStream,
        expected: Option<&str>,
    ) -> Result<(LinkStream, HelloMessage), LinkError> {
        let hello = WireMessage::Hello(self.shared.config.hello.clone());
        let bytes = self.shared.frame(hello).encode()?;
        socket.send(Message::Binary(bytes.into())).await?;
        let frame = match socket.next().await {
            Some(message) => decode(&message?)?.ok_or(LinkError::UnexpectedHello)?,
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

    async fn run_link(
        &self,
        socket: LinkStream,
        stream: TcpStream,
        hello: HelloMessage,
        dialled: bool,
    ) {
        let name = hello.name.clone();
        let (sender, receiver) = async_channel::bounded(SEND_BACKLOG);
        let Some(number) = self.shared.open_link(&name, &sender, &stream, dialled) else {
            return;
        };
        let (sink, source) = socket.split();
        let writer = task::spawn(write_frames(sink, receiver, stream, PONG_TIMEOUT));
        log::info!(peer:% = name, role:% = hello.role.as_str(); "link open");
        if self.shared.events.send(LinkEvent::Up(hello)).await.is_ok() {
            let error = self.read_frames(source, &sender, &name, dialled).await;
            log_closed(&name, &error);
        }
        sender.close();
        writer.await;
        if self.shared.close_link(&name, number) {
            let _ = self.shared.events.send(LinkEvent::Down(name)).await;
        }
    }

    async fn read_frames(
        &self,
        mut source: SplitStream<LinkStream>,
        sender: &Sender<Vec<u8>>,
        name: &ProcessName,
        dialled: bool,
    ) -> LinkError {
        let mut ping_due = Instant::now();
        let mut last_pong = Instant::now();
        loop {
            let now = Instant::now();
            if now >= ping_due {
                ping_due = now + PING_INTERVAL;
                let _ = self.queue(sender, WireMessage::Ping, dialled);
            }
            if now - last_pong > PONG_TIMEOUT {
                return LinkError::Timeout;
            }
            let message = match timeout(ping_due - now, source.next()).await {
                Err(_) => continue,
                Ok(None) => return LinkError::Closed,
                Ok(Some(Err(error))) => return error.into(),
                Ok(Some(Ok(message))) => message,
            };
            let frame = match decode(&message) {
                Ok(Some(frame)) => frame,
                Ok(None) => continue,
                Err(error) => return error.into(),
            };
            let kind = kind_index(&frame.message);
            self.shared.traffic.count_received(kind, message.len(), !dialled);
            match frame.message {
                WireMessage::Ping => {
                    let _ = self.queue(sender, WireMessage::Pong, dialled);
                }
                WireMessage::Pong => last_pong = Instant::now(),
                message => {
                    let event = LinkEvent::Message(name.clone(), Box::new(message));
                    if self.shared.events.send(event).await.is_err() {
                        return LinkError::Stopped;
                    }
                }
            }
        }
    }

    fn queue(
        &self,
        sender: &Sender<Vec<u8>>,
        message: WireMessage,
        dialled: bool,
    ) -> Result<(), FrameError> {
        let kind = kind_index(&message);
        let bytes = self.shared.frame(message).encode()?;
        let length = bytes.len();
        if sender.try_send(bytes).is_ok() {
            self.shared.traffic.count_sent(kind, length, dialled);
        }
        Ok(())
    }
}

impl SharedHub {
    fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().expect("no holder of the hub lock panics")
    }

    fn frame(&self, message: WireMessage) -> WireFrame {
        WireFrame {
            version: WIRE_VERSION,
            region: self.config.region.clone(),
            from: self.config.hello.name.clone(),
            message,
        }
    }

    /// Registers the address of a peer; `None` when it is known already or the hub was stopped.
    fn set_target(&self, target: &LinkTarget) -> Option<DialTarget> {
        let mut state = self.lock();
        let known =
            state.targets.get(&target.name).is_some_and(|dial| dial.address == target.address);
        if known || state.stopped {
            return None;
        }
        state.next_target += 1;
        let dial = DialTarget { number: state.next_target, address: target.address };
        state.targets.insert(target.name.clone(), dial);
        Some(dial)
    }

    fn admit_inbound(&self) -> bool {
        let mut state = self.lock();
        let admitted = state.inbound < INBOUND_LINKS;
        if admitted {
            state.inbound += 1;
        }
        admitted
    }

    /// Registers a link and closes an older one to the same peer.
    fn open_link(
        &self,
        name: &ProcessName,
        sender: &Sender<Vec<u8>>,
        stream: &TcpStream,
        dialled: bool,
    ) -> Option<u64> {
        let mut state = self.lock();
        if state.stopped {
            return None;
        }
        state.next_link += 1;
        let number = state.next_link;
        let (sender, stream) = (sender.clone(), stream.clone());
        let link = OpenLink { number, sender, stream, dialled };
        if let Some(older) = state.links.insert(name.clone(), link) {
            let _ = older.stream.shutdown(std::net::Shutdown::Both);
        }
        Some(number)
    }

    /// Removes the link unless a newer one has taken its place.
    fn close_link(&self, name: &str, number: u64) -> bool {
        let mut state = self.lock();
        let current = state.links.get(name).is_some_and(|link| link.number == number);
        if current {
            state.links.remove(name);
        }
        current
    }
}

fn log_closed(peer: &str, error: &LinkError) {
    log::warn!(peer, error:%; "link closed");
}
