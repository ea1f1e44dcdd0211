//! State that the connections of an entry share on its one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;
use tokio::time::timeout_at;

use super::connections::ConnectionStore;
use super::follow::FOLLOWED_MEMBERS;
use super::metrics::EntryMetrics;
use crate::fleet::balance::{ChosenServer, SendOutcome, ServiceBalance};
use crate::fleet::budget::RetryBudget;
use crate::fleet::config::{EntryConfig, FleetConfig};
use crate::fleet::dialect::{ReportedLoad, WireDialect};
use crate::fleet::document::CallerLimits;
use crate::fleet::link::FreshnessNotice;
use crate::fleet::routes::RouteTable;
use crate::fleet::update::{FleetReplica, FleetUpdate};
use crate::http::ResponseHead;
use crate::ids::{ServerId, ServiceName};
use crate::log_info;

/// Phase of an entry's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    Serving,
    /// Requests are served, connections end between requests.
    Stopping,
}

/// Shared state of an entry.
pub struct EntryContext {
    pub name: Box<str>,
    pub availability_zone: Box<str>,
    pub config: EntryConfig,
    pub dialect: Rc<dyn WireDialect>,
    pub phase: watch::Sender<EntryPhase>,
    pub connections: ConnectionStore,
    pub metrics: EntryMetrics,
    /// Requests whose answers have not left yet.
    pub active_requests: Gauge,
    pub state: RefCell<FleetReplica>,
    pub random: RefCell<fastrand::Rng>,
    table: watch::Sender<Option<Rc<RouteTable>>>,
    services: RefCell<BTreeMap<ServiceName, ServiceBalance>>,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    entries: Cell<u32>,
}

impl EntryContext {
    pub fn new(
        config: &FleetConfig,
        entry: &EntryConfig,
        dialect: Rc<dyn WireDialect>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name: config.name.clone(),
            availability_zone: config.availability_zone.clone(),
            config: entry.clone(),
            dialect,
            phase: watch::Sender::new(EntryPhase::Serving),
            connections: ConnectionStore::default(),
            metrics: EntryMetrics::default(),
            active_requests: Gauge::default(),
            state: RefCell::default(),
            random: RefCell::new(fastrand::Rng::new()),
            table: watch::Sender::default(),
            services: RefCell::default(),
            budgets: RefCell::default(),
            // Before a member tells the number, a share of a large fleet is assumed.
            entries: Cell::new(64),
        })
    }

    /// Routes in force; `None` before the first document.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether a document is in force.
    pub fn has_table(&self) -> bool {
        self.table.borrow().is_some()
    }

    /// Waits until the first document is in force, or until `end`.
    pub async fn wait_for_table(&self, end: Instant) {
        let mut table = self.table.subscribe();
        // The sender lives as long as the context.
        let _ = timeout_at(end.into(), table.wait_for(Option::is_some)).await;
    }

    /// Limits on callers that are in force.
    pub fn caller_limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map(|table| table.limits).unwrap_or_default()
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.has_table() && *self.phase.borrow() == EntryPhase::Serving
    }

    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() == EntryPhase::Stopping
    }

    /// Entries that share the budgets and the servers' connections.
    pub fn entries(&self) -> u32 {
        self.entries.get()
    }

    pub fn note_fresh(&self, notice: &FreshnessNotice) {
        // Each entry follows some of the members, so a member sees a part of the entries.
        let members = notice.members.len().max(1) as u32;
        let followed = members.min(FOLLOWED_MEMBERS as u32);
        self.entries.set((notice.entries * members).div_ceil(followed).max(1));
    }

    /// Runs `use_it` with the servers of a service.
    pub fn with_service<T>(
        &self,
        service: &ServiceName,
        use_it: impl FnOnce(&mut ServiceBalance) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        if let Some(balance) = services.get_mut(service) {
            return use_it(balance);
        }
        use_it(services.entry(service.clone()).or_default())
    }

    /// Chooses a server by what is known.
    pub fn choose(&self, service: &ServiceName, tried: &[ServerId]) -> Option<ChosenServer> {
        let random = &mut self.random.borrow_mut();
        let now = Instant::now();
        let connected = |server: &ServerId| self.connections.has_idle(now, server);
        self.with_service(service, |balance| balance.choose(now, tried, connected, random))
    }

    /// Counts the end of a send; returns whether the server is left alone from now on.
    pub fn end_send(
        &self,
        now: Instant,
        service: &ServiceName,
        server: &ServerId,
        outcome: SendOutcome,
        elapsed: Duration,
    ) -> bool {
        let closed =
            self.with_service(service, |balance| balance.end(now, server, outcome, elapsed));
        if closed {
            self.metrics.note_closure(service);
        }
        closed
    }

    /// Notes the load that `head`, a response of `server`, tells.
    pub fn note_load(
        &self,
        now: Instant,
        service: &ServiceName,
        server: &ServerId,
        head: &ResponseHead,
    ) -> Option<ReportedLoad> {
        let told = ReportedLoad::parse(head.headers.get_str(self.dialect.headers().load)?)?;
        self.with_service(service, |balance| balance.note_load(now, server, told));
        Some(told)
    }

    /// Path of the health page of a service.
    pub fn health_path(&self, service: &ServiceName) -> Option<Box<str>> {
        let table = self.table.borrow();
        let rule = table.as_ref()?.services.get(service)?;
        rule.health_path.starts_with('/').then(|| rule.health_path.clone())
    }

    /// Runs `use_it` with the budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        use_it: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            return use_it(budget);
        }
        let limits = self.config.retry;
        use_it(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits)))
    }

    /// Installs an update from a control member.
    pub fn install(&self, now: Instant, update: FleetUpdate) {
        let documents = update.head.is_some() || update.complete;
        let routes = !update.routes.is_empty() || !update.removed_routes.is_empty();
        let servers = !update.servers.is_empty() || !update.left.is_empty() || update.complete;
        let mut state = self.state.borrow_mut();
        if !state.apply(update) {
            return;
        }
        if (documents || routes)
            && let Some(document) = state.document()
        {
            log_info!(
                "document_installed",
                "version={} revision={}",
                document.version,
                state.revision()
            );
            self.metrics.document_version.set(document.version as i64);
            self.table.send_replace(Some(Rc::new(RouteTable::of(document))));
        }
        if servers {
            self.install_servers(now, &state);
        }
    }

    fn install_servers(&self, now: Instant, state: &FleetReplica) {
        let mut services = self.services.borrow_mut();
        let names = state.servers().values().map(|view| &view.announcement.service);
        for name in names {
            if !services.contains_key(name) {
                services.insert(name.clone(), ServiceBalance::default());
            }
        }
        for (name, balance) in services.iter_mut() {
            let views = state.servers().iter();
            let own = views.filter(|(_, view)| view.announcement.service == *name);
            balance.update(now, &self.name, &self.availability_zone, own);
        }
        self.connections.retain(|server| state.servers().contains_key(server));
    }
}
