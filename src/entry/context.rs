//! State shared by all requests of one entry.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Instant;

use async_channel::{Receiver, Sender};

use super::ActiveCounts;
use super::claims::ClaimClient;
use super::control::ControlInput;
use super::runtime::ServiceRuntime;
use super::share::ProcessShare;
use crate::claim::guard::SettlementSender;
use crate::claim::{HolderSession, SettleClaim};
use crate::http::{ConnectionPool, HttpLimits};
use crate::ids::{ProcessName, RegionName, ServiceName, TeamName, ZoneName};
use crate::life_cycle::StateChart;
use crate::metrics::ProcessMetrics;
use crate::settings::{SettingsTree, StalePolicy};
use crate::suspension::{SuspensionDeadline, suspended_time};

/// Immutable snapshot of settings and services, replaced as a whole by the control thread.
#[derive(Clone, Default)]
pub struct ServiceTable {
    /// Settings in force; `None` before the first ones arrive.
    pub tree: Option<Arc<SettingsTree>>,
    /// Runtime of each service.
    pub runtimes: BTreeMap<TeamName, BTreeMap<ServiceName, Arc<ServiceRuntime>>>,
}

impl ServiceTable {
    /// Returns the runtime of one service.
    pub fn runtime(&self, team: &str, service: &str) -> Option<Arc<ServiceRuntime>> {
        self.runtimes.get(team)?.get(service).cloned()
    }

    /// Iterates over the runtimes of all services.
    pub fn all(&self) -> impl Iterator<Item = &Arc<ServiceRuntime>> {
        self.runtimes.values().flat_map(BTreeMap::values)
    }
}

/// Shared state of one entry.
pub struct EntryContext {
    /// Name of the process.
    pub name: ProcessName,
    /// Region of the process.
    pub region: RegionName,
    /// Availability zone of the process.
    pub availability_zone: ZoneName,
    /// HTTP limits of caller connections.
    pub limits: HttpLimits,
    /// Maximum number of caller connections open at once.
    pub max_caller_connections: usize,
    /// Pool of connections to servers.
    pub pool: ConnectionPool,
    /// Per-team shares of the process limits.
    pub share: Arc<ProcessShare>,
    /// Metrics of the process.
    pub metrics: ProcessMetrics,
    /// Client for the claim groups.
    pub claims: Arc<ClaimClient>,
    /// Input queue of the control thread.
    pub inbox: Sender<ControlInput>,
    dropped: SettlementSender,
    table: RwLock<Arc<ServiceTable>>,
    lease: Mutex<Option<SuspensionDeadline>>,
    session: AtomicU64,
    process_state: Mutex<Box<str>>,
    stopping: AtomicBool,
    /// Closed when idle caller connections must be closed.
    finishing: (Sender<()>, Receiver<()>),
    /// Closed when requests in progress must be answered, because the process is about to exit.
    ending: (Sender<()>, Receiver<()>),
    open_connections: AtomicUsize,
    open_requests: AtomicUsize,
    /// Subset of `open_requests` of which only a part of the head has arrived.
    partial_requests: AtomicUsize,
    /// Subset of `open_requests` that is forwarded to servers.
    server_requests: AtomicUsize,
    /// The control thread ticks at its idle rate; the next request must wake it.
    is_control_idle: AtomicBool,
    next_request: AtomicU64,
}

/// Arguments of [`EntryContext::new`].
pub struct ContextParts {
    /// Name of the process.
    pub name: ProcessName,
    /// Region of the process.
    pub region: RegionName,
    /// Availability zone of the process.
    pub availability_zone: ZoneName,
    /// HTTP limits of caller connections.
    pub limits: HttpLimits,
    /// Maximum number of caller connections open at once.
    pub max_caller_connections: usize,
    /// Client for the claim groups.
    pub claims: Arc<ClaimClient>,
    /// Input queue of the control thread.
    pub inbox: Sender<ControlInput>,
    /// Channel for claims that were dropped without settlement.
    pub dropped: SettlementSender,
    /// Per-team shares of the process limits.
    pub share: Arc<ProcessShare>,
    /// Initial session number; must increase with each start of the same entry.
    pub session: u64,
}

impl EntryContext {
    /// Creates the context of an entry that is starting.
    pub fn new(parts: ContextParts) -> Arc<Self> {
        Arc::new(Self {
            pool: ConnectionPool::new(parts.limits.clone()),
            metrics: ProcessMetrics::new(),
            name: parts.name,
            region: parts.region,
            availability_zone: parts.availability_zone,
            limits: parts.limits,
            max_caller_connections: parts.max_caller_connections,
            claims: parts.claims,
            inbox: parts.inbox,
            dropped: parts.dropped,
            share: parts.share,
            table: RwLock::default(),
            lease: Mutex::new(None),
            session: AtomicU64::new(parts.session),
            process_state: Mutex::new(StateChart::process().initial().into()),
            stopping: AtomicBool::new(false),
            finishing: async_channel::bounded(1),
            ending: async_channel::bounded(1),
            open_connections: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            partial_requests: AtomicUsize::new(0),
            server_requests: AtomicUsize::new(0),
            is_control_idle: AtomicBool::new(false),
            next_request: AtomicU64::new(0),
        })
    }

    /// Returns the current settings and services.
    pub fn table(&self) -> Arc<ServiceTable> {
        Arc::clone(&self.table.read().expect("service table lock is not poisoned"))
    }

    /// Replaces the settings and services.
    pub fn publish(&self, table: ServiceTable) {
        let teams: Vec<TeamName> = table.runtimes.keys().cloned().collect();
        self.share.set_teams(&teams);
        *self.table.write().expect("service table lock is not poisoned") = Arc::new(table);
    }

    /// Sets the expiry of the settings lease; `None` if there is no lease.
    pub fn set_lease(&self, expiry: Option<SuspensionDeadline>) {
        *self.lease.lock().expect("lease lock is not poisoned") = expiry;
    }

    /// Whether the settings lease is valid.
    pub fn has_lease(&self, now: Instant) -> bool {
        let expiry = *self.lease.lock().expect("lease lock is not poisoned");
        expiry.is_some_and(|expiry| !expiry.is_over(now, suspended_time()))
    }

    /// Whether new requests may be served: the lease is valid, or the stale policy allows it.
    pub fn may_serve(&self, now: Instant) -> bool {
        if self.has_lease(now) {
            return true;
        }
        match &self.table().tree {
            Some(tree) => tree.root.stale_policy == StalePolicy::Serve,
            None => false,
        }
    }

    /// Applies an event to the life cycle of the process; returns whether the state changed.
    pub fn advance(&self, event: &str) -> bool {
        let mut process_state =
            self.process_state.lock().expect("process state lock is not poisoned");
        let Some(next) = StateChart::process().next_state(&process_state, event) else {
            return false;
        };
        log::info!(from:% = process_state, to:% = next, event; "process state");
        *process_state = next.into();
        self.stopping.store(!matches!(next, "starting" | "serving"), Ordering::Relaxed);
        if matches!(next, "finishing" | "stopped") {
            self.finishing.0.close();
        }
        true
    }

    /// Waits until idle caller connections must be closed.
    pub async fn wait_until_finishing(&self) {
        let _ = self.finishing.1.recv().await;
    }

    /// Makes all requests in progress end with a response now.
    pub fn begin_ending(&self) {
        self.ending.0.close();
    }

    /// Waits until requests in progress must be answered.
    pub async fn wait_until_ending(&self) {
        let _ = self.ending.1.recv().await;
    }

    /// Current life-cycle state of the process.
    pub fn process_state(&self) -> Box<str> {
        self.process_state.lock().expect("process state lock is not poisoned").clone()
    }

    /// Whether the process is stopping or has stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the load balancer should route requests to this entry.
    pub fn is_healthy(&self, now: Instant) -> bool {
        &*self.process_state() == "serving" && self.has_lease(now)
    }

    /// Counts a caller connection as open until the returned guard is dropped.
    pub fn count_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard { context: Arc::clone(self) }
    }

    /// Number of caller connections, including those that are being closed.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn count_open_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequestGuard { context: Arc::clone(self) }
    }

    /// Number of requests from their first byte to the end of the response.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Number of requests and connections that are active now.
    pub fn active_counts(&self) -> ActiveCounts {
        let open_requests = self.open_requests();
        let partial_requests = self.partial_requests.load(Ordering::Relaxed);
        ActiveCounts {
            requests: open_requests.saturating_sub(partial_requests),
            partial_requests,
            connections: self.open_connections(),
        }
    }

    /// Counts a request as partial until the returned guard is dropped.
    pub fn count_partial_request(self: &Arc<Self>) -> PartialRequestGuard {
        self.partial_requests.fetch_add(1, Ordering::Relaxed);
        PartialRequestGuard { context: Arc::clone(self) }
    }

    /// Counts a request for a server until the returned guard is dropped, and wakes the control
    /// thread if it is idle.
    pub fn count_server_request(self: &Arc<Self>) -> ServerRequestGuard {
        // Pairs with `enter_idle_mode`: either this call sees the flag, or that one sees the
        // request.
        self.server_requests.fetch_add(1, Ordering::SeqCst);
        if self.is_control_idle.load(Ordering::SeqCst)
            && self.is_control_idle.swap(false, Ordering::SeqCst)
        {
            let _ = self.inbox.try_send(ControlInput::Wake);
        }
        ServerRequestGuard { context: Arc::clone(self) }
    }

    /// Number of open requests for servers.
    pub fn server_requests(&self) -> usize {
        self.server_requests.load(Ordering::SeqCst)
    }

    /// Requests a [`ControlInput::Wake`] at the next server request; returns false if one is open
    /// now.
    pub fn enter_idle_mode(&self) -> bool {
        self.is_control_idle.store(true, Ordering::SeqCst);
        let is_idle = self.server_requests() == 0;
        if !is_idle {
            self.is_control_idle.store(false, Ordering::SeqCst);
        }
        is_idle
    }

    /// Generates a request id that is unique in the system.
    pub fn next_request_id(&self) -> Box<str> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let session = self.session.load(Ordering::Relaxed);
        format!("{}-{session:x}-{number:x}", self.name).into()
    }

    /// Holder and session under which claims are opened.
    pub fn holder_session(&self) -> HolderSession {
        HolderSession { holder: self.name.clone(), session: self.session() }
    }

    /// Number of the current session.
    pub fn session(&self) -> u64 {
        self.session.load(Ordering::Relaxed)
    }

    /// Starts a new session after the lease has lapsed, because claims of the old session may have
    /// been marked unknown. Returns its number.
    pub fn start_new_session(&self) -> u64 {
        self.session.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Channel for claims that are dropped without settlement.
    pub fn dropped_claims(&self) -> SettlementSender {
        self.dropped.clone()
    }

    /// Settles a claim in the background.
    pub fn settle_in_background(&self, settle: SettleClaim) {
        let _ = self.dropped.try_send(settle);
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        fastrand::u64(..)
    }
}

/// Guard that counts one caller connection.
pub struct ConnectionGuard {
    context: Arc<EntryContext>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.context.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that counts one partial request.
pub struct PartialRequestGuard {
    context: Arc<EntryContext>,
}

impl Drop for PartialRequestGuard {
    fn drop(&mut self) {
        self.context.partial_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that counts one open request.
pub struct OpenRequestGuard {
    context: Arc<EntryContext>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.context.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that counts one open request for a server.
pub struct ServerRequestGuard {
    context: Arc<EntryContext>,
}

impl Drop for ServerRequestGuard {
    fn drop(&mut self) {
        self.context.server_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
