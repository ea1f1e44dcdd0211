//! Outgoing links to other control members.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

use super::peer_retry::{FrameBacklog, QueuedFrame, RetryDelay};
use crate::fleet::link::{self, LinkError, LinkFrame, LinkMessage};
use crate::ids::ProcessName;
use crate::{log_info, log_warn};

/// Maximum number of frames queued for one peer. Raft sends dropped messages again.
const MAX_QUEUED_FRAMES: usize = 256;

/// Time after which a link with an unanswered ping is closed.
const PONG_TIMEOUT: Duration = Duration::from_millis(900);

/// Minimum time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a link without messages is closed. The next message opens a new one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Outgoing links by address. A link is opened when there is a message to send.
pub struct PeerLinks {
    hello: LinkFrame,
    queues: RefCell<BTreeMap<SocketAddr, PeerQueue>>,
}

/// Queue of one link.
struct PeerQueue {
    frames: Sender<QueuedFrame>,
    /// Ends the delay before the next attempt to open the link.
    wake: Rc<Notify>,
    /// Whether the link failed and was not opened again.
    is_lost: Rc<Cell<bool>>,
}

impl PeerLinks {
    pub fn new(name: ProcessName) -> Rc<Self> {
        let hello = link::encode(&LinkMessage::Member { name });
        Rc::new(Self { hello, queues: RefCell::default() })
    }

    /// Queues a message. It is dropped if the queue is full or the peer cannot be reached for a while.
    pub fn send(&self, to: SocketAddr, message: &LinkMessage) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(to).or_insert_with(|| {
            let (frames, receiver) = channel(MAX_QUEUED_FRAMES);
            let wake = Rc::new(Notify::new());
            let is_lost = Rc::new(Cell::new(false));
            let link = PeerLink {
                address: to,
                hello: self.hello.clone(),
                wake: Rc::clone(&wake),
                is_lost: Rc::clone(&is_lost),
            };
            tokio::task::spawn_local(link.run(receiver));
            PeerQueue { frames, wake, is_lost }
        });
        let frame = QueuedFrame { frame: link::encode(message), queued_at: Instant::now() };
        let _ = queue.frames.try_send(frame);
    }

    /// Whether the link to `peer` has failed and is not open again.
    pub fn is_lost(&self, peer: SocketAddr) -> bool {
        self.queues.borrow().get(&peer).is_some_and(|queue| queue.is_lost.get())
    }

    /// Opens the link to `peer` without further delay, because the peer can be reached again.
    pub fn wake(&self, peer: SocketAddr) {
        if let Some(queue) = self.queues.borrow().get(&peer) {
            queue.wake.notify_waiters();
        }
    }
}

/// Outgoing link to one member.
struct PeerLink {
    address: SocketAddr,
    hello: LinkFrame,
    wake: Rc<Notify>,
    is_lost: Rc<Cell<bool>>,
}

impl PeerLink {
    async fn run(self, mut queue: Receiver<QueuedFrame>) {
        let address = self.address;
        let mut was_connected = true;
        let mut backlog = FrameBacklog::default();
        let mut retry = RetryDelay::default();
        loop {
            if backlog.is_empty() {
                let Some(frame) = queue.recv().await else { return };
                backlog.push(frame);
            }
            let started = Instant::now();
            let error = match self.serve(&mut backlog, &mut queue).await {
                Ok(()) => continue,
                Err(error) => error,
            };
            self.is_lost.set(true);
            let connect_failed = matches!(error, LinkError::ConnectTimeout | LinkError::Io(_));
            if was_connected || !connect_failed {
                log_warn!(
                    "member_link_lost",
                    "peer={address} after_ms={} error=\"{error}\"",
                    started.elapsed().as_millis()
                );
            }
            was_connected = !connect_failed;
            let delay = retry.after_failure(was_connected.then(|| started.elapsed()));
            tokio::select! {
                () = sleep(delay) => {}
                () = self.wake.notified() => {}
            }
            while let Ok(frame) = queue.try_recv() {
                backlog.push(frame);
            }
            backlog.drop_old(Instant::now());
        }
    }

    /// Opens a link and sends frames from the backlog and the queue; returns `Ok` when the link was idle or
    /// the queue was closed.
    async fn serve(
        &self,
        backlog: &mut FrameBacklog,
        queue: &mut Receiver<QueuedFrame>,
    ) -> Result<(), LinkError> {
        let (mut writer, mut reader) = link::connect(self.address).await?;
        writer.send(self.hello.clone()).await?;
        self.is_lost.set(false);
        log_info!("member_link_open", "peer={}", self.address);
        let ping = link::encode(&LinkMessage::Ping);
        let mut unanswered_ping_at: Option<Instant> = None;
        let mut last_ping_at: Option<Instant> = None;
        loop {
            if let Some(frame) = backlog.pop() {
                let due = last_ping_at.is_none_or(|last| last.elapsed() >= PING_INTERVAL);
                if unanswered_ping_at.is_none() && due {
                    writer.send(ping.clone()).await?;
                    unanswered_ping_at = Some(Instant::now());
                    last_ping_at = unanswered_ping_at;
                }
                timeout(PONG_TIMEOUT, writer.send(frame))
                    .await
                    .map_err(|_| LinkError::Silent)??;
                if !backlog.is_empty() {
                    continue;
                }
            }
            let wait = match unanswered_ping_at {
                Some(sent_at) => PONG_TIMEOUT.saturating_sub(sent_at.elapsed()),
                None => IDLE_TIMEOUT,
            };
            tokio::select! {
                frame = queue.recv() => match frame {
                    Some(frame) => backlog.push(frame),
                    None => return Ok(()),
                },
                message = reader.receive() => {
                    message?;
                    unanswered_ping_at = None;
                }
                () = sleep(wait) => match unanswered_ping_at {
                    Some(_) => return Err(LinkError::Silent),
                    None => return Ok(()),
                },
            }
        }
    }
}
