//! The `entry` daemon: traffic between callers and servers.

mod accounts;
mod announce;
mod answer;
mod claimed;
mod claims;
mod context;
mod control;
mod exchange;
mod hedge;
mod lease;
mod operator;
mod page;
mod permit;
mod plan;
mod queued_wait;
mod relay;
mod request;
mod runtime;
mod runtime_state;
mod share;
mod traffic;
mod warm;

pub use accounts::{AccountSet, holder_of};
pub use announce::bearer_token;
pub use answer::{FailureReason, RunState, failure_response, malformed_response};
pub use claims::{ClaimCallError, ClaimClient};
pub use context::{ContextParts, EntryContext, ServiceTable};
pub use control::{ControlInput, choose_peers};
pub use lease::{LeaseClient, LeaseInput, RenewalAction};
pub use operator::METRICS_TYPE;
pub use permit::SlotPermit;
pub use runtime::{RuntimeIdentity, ServiceRuntime};
pub use share::{ProcessShare, ShareGuard};
pub use traffic::{ANNOUNCE_PATH, HEALTH_PATH, listen};
pub use warm::{PoolKeeper, WarmTarget};

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_std::task;
use thiserror::Error;

use self::control::EntryControl;
use crate::claim::SettleClaim;
use crate::config::ProcessConfig;
use crate::http::HttpLimits;
use crate::ids::GroupId;
use crate::link::{HelloMessage, LinkConfig, LinkEvent, LinkHub, LinkTarget, ProcessRole};
use crate::timer::TimerService;

/// Number of claim groups. Keys move between groups when it changes, so it is fixed.
pub const CLAIM_GROUPS: GroupId = 4;

/// Inputs that may wait for the control thread.
const INBOX_LENGTH: usize = 16_384;

/// Time over which a dropped claim's settlement is tried.
const LATE_SETTLE_TIME: Duration = Duration::from_secs(30);

/// Settlements tried at once in the background.
const LATE_SETTLERS: usize = 16;

/// Interval at which a stopping process looks whether its requests have ended.
const IDLE_CHECK: Duration = Duration::from_millis(20);

/// Bound listeners of one entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// For callers.
    pub traffic: TcpListener,
    /// For the operator's HTTP interface.
    pub operator: TcpListener,
    /// For links from other processes.
    pub link: TcpListener,
}

/// Why an entry cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the config.
        address: SocketAddr,
        /// Reason given by the operating system.
        error: io::Error,
    },
    /// The config has no address for callers.
    #[error("the config states no traffic address")]
    NoTrafficAddress,
    /// The control thread cannot be started.
    #[error("cannot start the control thread: {0}")]
    Thread(io::Error),
}

/// Running entry.
pub struct EntryProcess {
    context: Arc<EntryContext>,
    hub: LinkHub,
    timers: TimerService,
    shutdown_delay: Duration,
}

impl EntryListeners {
    /// Binds the addresses of a config.
    pub fn bind(config: &ProcessConfig) -> Result<Self, EntryError> {
        let traffic = config.traffic.ok_or(EntryError::NoTrafficAddress)?;
        Ok(Self {
            traffic: bind(traffic)?,
            operator: bind(config.operator)?,
            link: bind(config.link)?,
        })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, EntryError> {
    crate::listen::listen(address).map_err(|error| EntryError::Listen { address, error })
}

impl EntryProcess {
    /// Starts an entry on bound listeners.
    pub fn start(config: &ProcessConfig, listeners: EntryListeners) -> Result<Self, EntryError> {
        let now = Instant::now();
        let (inbox, inputs) = async_channel::bounded(INBOX_LENGTH);
        let hub = LinkHub::new(link_config(config), forward_links(inbox.clone()));
        let controls: Vec<_> = config.control_peers.iter().map(|peer| peer.name.clone()).collect();
        let claims = ClaimClient::new(hub.clone(), controls.clone(), CLAIM_GROUPS);
        let open_connections = config.limits.open_connections as usize;
        let (dropped, settlements) = async_channel::bounded(open_connections.max(1));
        let limits = HttpLimits {
            head_bytes: usize::try_from(config.limits.head_size).unwrap_or(usize::MAX),
            ..HttpLimits::default()
        };
        let context = EntryContext::new(ContextParts {
            name: config.name.clone(),
            region: config.region.clone(),
            availability_zone: config.availability_zone.clone(),
            limits,
            open_connections,
            claims,
            inbox,
            dropped,
            share: ProcessShare::new(open_connections),
            session: start_number(),
        });
        let timers = TimerService::start();
        let control = EntryControl::new(Arc::clone(&context), hub.clone(), controls, now);
        let control_timers = timers.clone();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || task::block_on(control.run(inputs, control_timers)))
            .map_err(EntryError::Thread)?;
        for _ in 0..LATE_SETTLERS {
            task::spawn(settle_dropped(Arc::clone(&context), settlements.clone()));
        }
        hub.listen(listeners.link.into());
        for target in link_targets(config) {
            hub.connect(target);
        }
        operator::serve(Arc::clone(&context), listeners.operator.into());
        traffic::listen(Arc::clone(&context), listeners.traffic.into());
        Ok(Self { context, hub, timers, shutdown_delay: config.shutdown_delay })
    }

    /// Shared state.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Stops without cutting off a request: the health page fails first, requests are served until
    /// the balancer has noticed, then those in flight finish.
    pub async fn stop(&self) {
        self.context.advance("stop");
        if &*self.context.phase() == "lame_duck" {
            task::sleep(self.shutdown_delay).await;
            self.context.advance("delay_over");
        }
        while self.context.open_requests() > 0 {
            task::sleep(IDLE_CHECK).await;
        }
        let (reply, left) = async_channel::bounded(1);
        if self.context.inbox.send(ControlInput::Leave(reply)).await.is_ok() {
            let _ = left.recv().await;
            // Gives the link's writer time to send the message.
            task::sleep(IDLE_CHECK).await;
        }
        self.context.advance("idle");
        self.halt();
    }

    /// Stops at once.
    pub fn halt(&self) {
        self.context.advance("stop_now");
        self.hub.stop();
        self.timers.stop();
    }
}

/// Number that is higher at each start of a process: milliseconds since the Unix epoch, with room
/// for new sessions after a lapsed lease.
fn start_number() -> u64 {
    let millis = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX >> 8) << 8
}

fn link_config(config: &ProcessConfig) -> LinkConfig {
    LinkConfig {
        hello: HelloMessage {
            name: config.name.clone(),
            role: ProcessRole::Entry,
            availability_zone: config.availability_zone.clone(),
            member: None,
        },
        region: config.region.clone(),
    }
}

/// Control processes, and entries with a higher name; those with a lower one connect themselves.
fn link_targets(config: &ProcessConfig) -> Vec<LinkTarget> {
    let mut targets = Vec::new();
    for peer in &config.control_peers {
        targets.push(LinkTarget { name: peer.name.clone(), address: peer.link });
    }
    for peer in &config.entry_peers {
        if peer.name > config.name {
            targets.push(LinkTarget { name: peer.name.clone(), address: peer.link });
        }
    }
    targets
}

/// Passes link events on to the control thread; a full queue slows the links down.
fn forward_links(inbox: Sender<ControlInput>) -> Sender<LinkEvent> {
    let (sender, receiver) = async_channel::bounded(1);
    task::spawn(async move {
        while let Ok(event) = receiver.recv().await {
            if inbox.send(ControlInput::Link(event)).await.is_err() {
                return;
            }
        }
    });
    sender
}

/// Settles claims whose request ended without doing so.
async fn settle_dropped(context: Arc<EntryContext>, settlements: Receiver<SettleClaim>) {
    while let Ok(settle) = settlements.recv().await {
        let until = Instant::now() + LATE_SETTLE_TIME;
        if let Err(error) = context.claims.settle(&settle, until).await {
            log::warn!(claim = settle.number, error:%; "claim not settled");
        }
    }
}
