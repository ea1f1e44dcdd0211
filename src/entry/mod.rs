//! The `entry` daemon, which proxies requests from callers to servers.

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

pub use accounts::{AccountSet, choose_account_holder};
pub use announce::bearer_token;
pub use answer::{FailureReason, RunState, failure_response, malformed_response};
pub use claims::{ClaimCallError, ClaimClient};
pub use context::{ContextParts, EntryContext, ServiceTable};
pub use control::{ControlInput, choose_peers_to_ask};
pub use exchange::EXCHANGE_HEADER;
pub use lease::{LeaseClient, LeaseInput, RenewalAction};
pub use operator::METRICS_CONTENT_TYPE;
pub use permit::SlotPermit;
pub use runtime::{RuntimeIdentity, ServiceRuntime};
pub use share::{ProcessShare, ShareGuard};
pub use traffic::{ANNOUNCE_PATH, HEALTH_PATH, listen};
pub use warm::{PoolMaintainer, WarmTarget};

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_std::task::{self, JoinHandle};
use thiserror::Error;

use self::control::EntryControl;
use crate::admin::AdminServer;
use crate::claim::SettleClaim;
use crate::config::ProcessConfig;
use crate::deadline::with_timeout;
use crate::http::HttpLimits;
use crate::ids::GroupId;
use crate::link::{HelloMessage, LinkConfig, LinkEvent, LinkHub, LinkTarget, ProcessRole};
use crate::timer::TimerService;

/// Number of claim groups. It must not change, because keys would move to other groups.
pub const CLAIM_GROUP_COUNT: GroupId = 4;

/// Capacity of the input queue of the control thread.
const INBOX_CAPACITY: usize = 16_384;

/// Time for which the settlement of a dropped claim is retried.
const LATE_SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of tasks that settle dropped claims in the background.
const LATE_SETTLE_TASKS: usize = 16;

/// Interval at which a stopping process checks whether its callers' connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait of a stopping process for the responses to operators' calls.
pub const OPERATOR_STOP_LIMIT: Duration = Duration::from_secs(2);

/// Time before the end of the stop at which requests in progress are answered. It covers the way of the
/// responses to callers on slow lines, and the steps after the last response.
const ENDING_TIME: Duration = Duration::from_secs(1);

/// Longest wait of a stopping process for its message to the control leader.
const LEAVE_TIME: Duration = Duration::from_millis(500);

/// Bound listeners of an entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// Listener for callers.
    pub traffic: TcpListener,
    /// Listener for the operator's HTTP interface.
    pub operator: TcpListener,
    /// Listener for links from other processes.
    pub link: TcpListener,
}

/// Reason for which an entry cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address from the config.
        address: SocketAddr,
        /// Reason given by the operating system.
        error: io::Error,
    },
    /// The config has no traffic address.
    #[error("the config states no traffic address")]
    NoTrafficAddress,
    /// The control thread could not be started.
    #[error("cannot start the control thread: {0}")]
    Thread(io::Error),
}

/// What was still active at one moment of a stop.
#[derive(Clone, Copy, Debug)]
pub struct ActiveCounts {
    /// Requests that are being served.
    pub requests: usize,
    /// Requests of which only a part of the head has arrived.
    pub partial_requests: usize,
    /// Callers' connections.
    pub connections: usize,
}

/// A running entry.
pub struct EntryProcess {
    context: Arc<EntryContext>,
    hub: LinkHub,
    timers: TimerService,
    operator: AdminServer,
    /// Task that accepts callers; taken by the first stop.
    accept_task: Mutex<Option<JoinHandle<()>>>,
    shutdown_delay: Duration,
    shutdown_limit: Duration,
}

impl EntryListeners {
    /// Binds the addresses of the config.
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
        let (inbox, inputs) = async_channel::bounded(INBOX_CAPACITY);
        let hub = LinkHub::new(link_config(config), forward_link_events(inbox.clone()));
        let controls: Vec<_> = config.control_peers.iter().map(|peer| peer.name.clone()).collect();
        let claims = ClaimClient::new(hub.clone(), controls.clone(), CLAIM_GROUP_COUNT);
        let max_caller_connections = config.limits.open_connections as usize;
        let (dropped, settlements) = async_channel::bounded(max_caller_connections.max(1));
        let limits = HttpLimits {
            head_bytes: usize::try_from(config.limits.head_size).unwrap_or(usize::MAX),
            ..HttpLimits::default()
        };
        let context = EntryContext::new(ContextParts {
            name: config.name.clone(),
            region: config.region.clone(),
            availability_zone: config.availability_zone.clone(),
            limits,
            max_caller_connections,
            claims,
            inbox,
            dropped,
            share: ProcessShare::new(max_caller_connections),
            session: initial_session(),
        });
        let timers = TimerService::start();
        let control = EntryControl::new(Arc::clone(&context), hub.clone(), controls, now);
        let control_timers = timers.clone();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || task::block_on(control.run(inputs, control_timers)))
            .map_err(EntryError::Thread)?;
        for _ in 0..LATE_SETTLE_TASKS {
            task::spawn(settle_dropped(Arc::clone(&context), settlements.clone()));
        }
        hub.listen(listeners.link.into());
        for target in link_targets(config) {
            hub.connect(target);
        }
        let operator = operator::serve(Arc::clone(&context), listeners.operator.into());
        let accept_task = traffic::listen(Arc::clone(&context), listeners.traffic);
        let accept_task = Mutex::new(Some(accept_task));
        let (shutdown_delay, shutdown_limit) = (config.shutdown_delay, config.shutdown_limit);
        Ok(Self { context, hub, timers, operator, accept_task, shutdown_delay, shutdown_limit })
    }

    /// Returns the shared state of the entry.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Shuts down gracefully. The health check fails first, and requests are served for the
    /// shutdown delay, so that the load balancer can react; then the requests in flight finish, and
    /// the process waits until all callers' connections are closed. Requests that are still in progress
    /// shortly before the end of the shutdown limit are answered as interrupted.
    pub async fn stop(&self) {
        let started = Instant::now();
        self.context.advance("stop");
        if &*self.context.process_state() == "lame_duck" {
            task::sleep(self.shutdown_delay).await;
            self.context.advance("delay_over");
        }
        let accept_task = self.accept_task.lock().expect("task lock is not poisoned").take();
        if let Some(accept_task) = accept_task {
            accept_task.await;
        }
        self.log_active("waiting for callers", started);
        let end = started + self.shutdown_limit;
        self.wait_for_callers(end - ENDING_TIME).await;
        if self.context.open_connections() > 0 {
            self.log_active("answering requests in progress", started);
            self.context.begin_ending();
            self.wait_for_callers(end).await;
        }
        let _ = with_timeout(LEAVE_TIME, self.send_leave()).await;
        self.operator.stop();
        self.operator.finish(OPERATOR_STOP_LIMIT).await;
        self.context.advance("idle");
        self.halt();
        self.log_active("entry stopped", started);
    }

    /// Waits until all callers' connections are closed, or until `end`.
    async fn wait_for_callers(&self, end: Instant) {
        while self.context.open_connections() > 0 && Instant::now() < end {
            task::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Tells the control leader that this entry leaves.
    async fn send_leave(&self) {
        let (reply, leave_sent) = async_channel::bounded(1);
        if self.context.inbox.send(ControlInput::Leave(reply)).await.is_ok() {
            let _ = leave_sent.recv().await;
            // Gives the link's writer time to send the message to the control leader.
            task::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    fn log_active(&self, event: &str, started: Instant) {
        let ActiveCounts { requests, partial_requests, connections } = self.context.active_counts();
        let after_ms = started.elapsed().as_millis() as u64;
        log::info!(name:% = self.context.name, requests, partial_requests, connections, after_ms; "{event}");
    }

    /// Stops immediately, without waiting for requests in flight.
    pub fn halt(&self) {
        self.context.advance("stop_now");
        self.hub.stop();
        self.timers.stop();
    }
}

/// Returns a session number that increases with each start of the process: milliseconds since the
/// Unix epoch, shifted by 8 bits to leave room for new sessions after a lapsed lease.
fn initial_session() -> u64 {
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

/// Returns the link targets: all control processes, and the entries with a higher name. Entries
/// with a lower name connect to this one.
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

/// Forwards link events to the control thread; a full queue applies backpressure to the links.
fn forward_link_events(inbox: Sender<ControlInput>) -> Sender<LinkEvent> {
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

/// Settles claims that were dropped without settlement.
async fn settle_dropped(context: Arc<EntryContext>, settlements: Receiver<SettleClaim>) {
    while let Ok(settle) = settlements.recv().await {
        let deadline = Instant::now() + LATE_SETTLE_TIMEOUT;
        if let Err(error) = context.claims.settle(&settle, deadline).await {
            log::warn!(claim = settle.number, error:%; "dropped claim could not be settled");
        }
    }
}
