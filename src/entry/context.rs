//! What all requests of one entry share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Instant;

use async_channel::{Receiver, Sender};

use super::claims::ClaimClient;
use super::control::ControlInput;
use super::runtime::ServiceRuntime;
use super::share::ProcessShare;
use crate::claim::guard::DroppedClaims;
use crate::claim::{HolderSession, SettleClaim};
use crate::http::{ConnectionPool, HttpLimits};
use crate::ids::{ProcessName, RegionName, ServiceName, TeamName, ZoneName};
use crate::life_cycle::StateChart;
use crate::metrics::ProcessMetrics;
use crate::settings::{SettingsTree, StalePolicy};

/// Snapshot of settings and services, replaced as a whole by the control thread.
#[derive(Clone, Default)]
pub struct ServiceTable {
    /// Settings in force; `None` before the first ones arrive.
    pub tree: Option<Arc<SettingsTree>>,
    /// Running state of each service.
    pub runtimes: BTreeMap<TeamName, BTreeMap<ServiceName, Arc<ServiceRuntime>>>,
}

impl ServiceTable {
    /// Running state of one service.
    pub fn runtime(&self, team: &str, service: &str) -> Option<Arc<ServiceRuntime>> {
        self.runtimes.get(team)?.get(service).cloned()
    }

    /// Running states of all services.
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
    /// Bounds of caller connections.
    pub limits: HttpLimits,
    /// Caller connections that may be open at once.
    pub open_connections: usize,
    /// Connections to servers.
    pub pool: ConnectionPool,
    /// Shares of the teams in the limits of the process.
    pub share: Arc<ProcessShare>,
    /// Metrics of the process.
    pub metrics: ProcessMetrics,
    /// Claim requests.
    pub claims: Arc<ClaimClient>,
    /// Queue of the control thread.
    pub inbox: Sender<ControlInput>,
    dropped: DroppedClaims,
    table: RwLock<Arc<ServiceTable>>,
    lease_until: Mutex<Option<Instant>>,
    session: AtomicU64,
    phase: Mutex<Box<str>>,
    stopping: AtomicBool,
    /// Closes when idle caller connections must end.
    finishing: (Sender<()>, Receiver<()>),
    open_requests: AtomicUsize,
    /// Those of `open_requests` that are for servers.
    server_requests: AtomicUsize,
    /// The control thread ticks at a low rate and is to be woken by the next request.
    is_resting: AtomicBool,
    next_request: AtomicU64,
}

/// Parts of an [`EntryContext`] that its owner provides.
pub struct ContextParts {
    /// Name of the process.
    pub name: ProcessName,
    /// Region of the process.
    pub region: RegionName,
    /// Availability zone of the process.
    pub availability_zone: ZoneName,
    /// Bounds of caller connections.
    pub limits: HttpLimits,
    /// Caller connections that may be open at once.
    pub open_connections: usize,
    /// Claim requests.
    pub claims: Arc<ClaimClient>,
    /// Queue of the control thread.
    pub inbox: Sender<ControlInput>,
    /// Receives claims that were dropped without settlement.
    pub dropped: DroppedClaims,
    /// Shares of the teams in the limits of the process.
    pub share: Arc<ProcessShare>,
    /// First session number; a later start of the same entry has a higher one.
    pub session: u64,
}

impl EntryContext {
    /// Creates the context of a starting entry.
    pub fn new(parts: ContextParts) -> Arc<Self> {
        Arc::new(Self {
            pool: ConnectionPool::new(parts.limits.clone()),
            metrics: ProcessMetrics::new(),
            name: parts.name,
            region: parts.region,
            availability_zone: parts.availability_zone,
            limits: parts.limits,
            open_connections: parts.open_connections,
            claims: parts.claims,
            inbox: parts.inbox,
            dropped: parts.dropped,
            share: parts.share,
            table: RwLock::default(),
            lease_until: Mutex::new(None),
            session: AtomicU64::new(parts.session),
            phase: Mutex::new(StateChart::process().initial().into()),
            stopping: AtomicBool::new(false),
            finishing: async_channel::bounded(1),
            open_requests: AtomicUsize::new(0),
            server_requests: AtomicUsize::new(0),
            is_resting: AtomicBool::new(false),
            next_request: AtomicU64::new(0),
        })
    }

    /// Current settings and services.
    pub fn table(&self) -> Arc<ServiceTable> {
        Arc::clone(&self.table.read().expect("no holder of the table lock panics"))
    }

    /// Replaces settings and services.
    pub fn publish(&self, table: ServiceTable) {
        let teams: Vec<TeamName> = table.runtimes.keys().cloned().collect();
        self.share.set_teams(&teams);
        *self.table.write().expect("no holder of the table lock panics") = Arc::new(table);
    }

    /// Records the end of the settings lease.
    pub fn set_lease(&self, until: Option<Instant>) {
        *self.lease_until.lock().expect("no holder of the lease lock panics") = until;
    }

    /// Whether the settings lease is live.
    pub fn has_lease(&self, now: Instant) -> bool {
        let until = *self.lease_until.lock().expect("no holder of the lease lock panics");
        until.is_some_and(|until| now < until)
    }

    /// Whether a new request may be served under the settings at hand.
    pub fn may_serve(&self, now: Instant) -> bool {
        if self.has_lease(now) {
            return true;
        }
        match &self.table().tree {
            Some(tree) => tree.root.stale_policy == StalePolicy::Serve,
            None => false,
        }
    }

    /// Moves the process through its life cycle; returns whether the state changed.
    pub fn advance(&self, event: &str) -> bool {
        let mut phase = self.phase.lock().expect("no holder of the phase lock panics");
        let Some(next) = StateChart::process().next_state(&phase, event) else {
            return false;
        };
        log::info!(from:% = phase, to:% = next, event; "process state");
        *phase = next.into();
        self.stopping.store(!matches!(next, "starting" | "serving"), Ordering::Relaxed);
        if matches!(next, "finishing" | "stopped") {
            self.finishing.0.close();
        }
        true
    }

    /// Resolves when idle caller connections must end.
    pub async fn finishing(&self) {
        let _ = self.finishing.1.recv().await;
    }

    /// Whether idle caller connections must end.
    pub fn is_finishing(&self) -> bool {
        self.finishing.0.is_closed()
    }

    /// Current state of the process's life cycle.
    pub fn phase(&self) -> Box<str> {
        self.phase.lock().expect("no holder of the phase lock panics").clone()
    }

    /// Whether the process is on its way to a stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the platform's balancer should send requests here.
    pub fn is_healthy(&self, now: Instant) -> bool {
        &*self.phase() == "serving" && self.has_lease(now)
    }

    /// Counts a request from head to response; the count drops with the returned value.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest { context: Arc::clone(self) }
    }

    /// Number of requests between head and response.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Counts a request for a server until the returned value is dropped, and wakes a resting control
    /// thread.
    pub fn start_request(self: &Arc<Self>) -> ServerRequest {
        // Ordered against `rest`: either this sees the flag, or that sees the request.
        self.server_requests.fetch_add(1, Ordering::SeqCst);
        if self.is_resting.load(Ordering::SeqCst) && self.is_resting.swap(false, Ordering::SeqCst) {
            let _ = self.inbox.try_send(ControlInput::Wake);
        }
        ServerRequest { context: Arc::clone(self) }
    }

    /// Number of open requests for servers.
    pub fn server_requests(&self) -> usize {
        self.server_requests.load(Ordering::SeqCst)
    }

    /// Asks for a `Wake` at the next request; `false` when a request is open already.
    pub fn rest(&self) -> bool {
        self.is_resting.store(true, Ordering::SeqCst);
        let is_idle = self.server_requests() == 0;
        if !is_idle {
            self.is_resting.store(false, Ordering::SeqCst);
        }
        is_idle
    }

    /// Makes a request id that is unique in the system.
    pub fn next_request_id(&self) -> Box<str> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let session = self.session.load(Ordering::Relaxed);
        format!("{}-{session:x}-{number:x}", self.name).into()
    }

    /// Session under which claims are opened now.
    pub fn holder_session(&self) -> HolderSession {
        HolderSession { holder: self.name.clone(), session: self.session() }
    }

    /// Number of the current session.
    pub fn session(&self) -> u64 {
        self.session.load(Ordering::Relaxed)
    }

    /// Starts a new session after a lapse of the lease, whose claims may have become unknown.
    pub fn renew_session(&self) -> u64 {
        self.session.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Channel for claims that are dropped without settlement.
    pub fn dropped_claims(&self) -> DroppedClaims {
        self.dropped.clone()
    }

    /// Settles a claim in the background.
    pub fn settle_later(&self, settle: SettleClaim) {
        let _ = self.dropped.try_send(settle);
    }

    /// Random number for ids.
    pub fn random(&self) -> u64 {
        fastrand::u64(..)
    }
}

/// Count of one open request.
pub struct OpenRequest {
    context: Arc<EntryContext>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.context.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Count of one open request for a server.
pub struct ServerRequest {
    context: Arc<EntryContext>,
}

impl Drop for ServerRequest {
    fn drop(&mut self) {
        self.context.server_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
