//! Outgoing links to other control members.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

use crate::fleet::link::{self, LinkError, LinkFrame, LinkMessage};
use crate::ids::ProcessName;
use crate::{log_info, log_warn};

/// Messages that may wait for one peer; consensus repeats what is dropped.
const QUEUE_FRAMES: usize = 256;

/// A peer that leaves a ping unanswered for this long is dialled again.
const PONG_TIMEOUT: Duration = Duration::from_millis(900);

/// Shortest time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// A link without messages is closed; it is dialled again with the next one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed dial.
const REDIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Links by address. A link is dialled when it has something to send.
pub struct PeerLinks {
    hello: LinkFrame,
    queues: RefCell<BTreeMap<SocketAddr, Sender<LinkFrame>>>,
}

impl PeerLinks {
    pub fn new(name: ProcessName) -> Rc<Self> {
        let hello = link::encode(&LinkMessage::Member { name });
        Rc::new(Self { hello, queues: RefCell::default() })
    }

    /// Queues a message; it is dropped when the queue is full or the peer cannot be reached.
    pub fn send(&self, to: SocketAddr, message: &LinkMessage) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = channel(QUEUE_FRAMES);
            tokio::task::spawn_local(run_link(to, self.hello.clone(), receiver));
            sender
        });
        let _ = queue.try_send(link::encode(message));
    }
}

async fn run_link(address: SocketAddr, hello: LinkFrame, mut queue: Receiver<LinkFrame>) {
    let mut connected_before = true;
    while let Some(first) = queue.recv().await {
        let started = Instant::now();
        let error = match serve_link(address, &hello, first, &mut queue).await {
            Ok(()) => continue,
            Err(error) => error,
        };
        let failed_dial = matches!(error, LinkError::ConnectTimeout | LinkError::Io(_));
        if connected_before || !failed_dial {
            log_warn!(
                "member_link_lost",
                "peer={address} after_ms={} error=\"{error}\"",
                started.elapsed().as_millis()
            );
        }
        connected_before = !failed_dial;
        while queue.try_recv().is_ok() {}
        sleep(REDIAL_INTERVAL).await;
    }
}

/// Sends from the queue until the link fails; returns `Ok` when it was idle.
async fn serve_link(
    address: SocketAddr,
    hello: &LinkFrame,
    first: LinkFrame,
    queue: &mut Receiver<LinkFrame>,
) -> Result<(), LinkError> {
    let (mut writer, mut reader) = link::dial(address).await?;
    writer.send(hello.clone()).await?;
    log_info!("member_link_open", "peer={address}");
    let ping = link::encode(&LinkMessage::Ping);
    let mut next = Some(first);
    let mut pinged: Option<Instant> = None;
    let mut last_ping: Option<Instant> = None;
    loop {
        if let Some(frame) = next.take() {
            let due = last_ping.is_none_or(|last| last.elapsed() >= PING_INTERVAL);
            if pinged.is_none() && due {
                writer.send(ping.clone()).await?;
                pinged = Some(Instant::now());
                last_ping = pinged;
            }
            timeout(PONG_TIMEOUT, writer.send(frame)).await.map_err(|_| LinkError::Silent)??;
        }
        let wait = match pinged {
            Some(at) => PONG_TIMEOUT.saturating_sub(at.elapsed()),
            None => IDLE_TIMEOUT,
        };
        tokio::select! {
            frame = queue.recv() => match frame {
                Some(frame) => next = Some(frame),
                None => return Ok(()),
            },
            message = reader.receive() => {
                message?;
                pinged = None;
            }
            () = sleep(wait) => match pinged {
                Some(_) => return Err(LinkError::Silent),
                None => return Ok(()),
            },
        }
    }
}
