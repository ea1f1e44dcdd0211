//! State that the connections of an entry share on its single thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::timeout_at;

use super::activity::ActiveRequests;
use super::connections::ConnectionPool;
use super::crash_watch::CrashWatch;
use super::metrics::EntryMetrics;
use super::quota_gate::QuotaGate;
use super::request::CallerRequest;
use super::suspect_runs::SuspectRuns;
use crate::fleet::balance::warmup::FleetSize;
use crate::fleet::balance::{ChosenServer, SendOutcome, ServiceBalancer};
use crate::fleet::budget::RetryBudget;
use crate::fleet::config::{EntryConfig, FleetConfig, WarmupLimits};
use crate::fleet::dialect::{ReportedLoad, WireDialect};
use crate::fleet::document::{CallerLimits, Repetition, RouteRule};
use crate::fleet::follow_plan::FOLLOWED_MEMBERS;
use crate::fleet::link::FreshnessNotice;
use crate::fleet::relay::held_bytes::HeldBytes;
use crate::fleet::relay::line::{DueResponse, LinePacer};
use crate::fleet::relay::times::RelayTimes;
use crate::fleet::room::ServiceRoom;
use crate::fleet::routes::RouteTable;
use crate::fleet::statement::{ConditionChange, TargetStatement};
use crate::fleet::tenant::TenantRule;
use crate::fleet::update::{FleetReplica, FleetUpdate, ServerView};
use crate::fleet::zone_balance::CallerTerms;
use crate::http::{RequestHead, ResponseHead};
use crate::ids::{ServerId, ServiceName};
use crate::suspension::{SuspensionWatch, suspended_time};
use crate::{log_info, log_routine};

/// Time before the exit by which a request must be answered. It covers the way of a short response to
/// its caller.
pub const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Phase of an entry's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryPhase {
    Serving,
    /// Requests that can finish before the exit are still served, the others are refused. Each connection
    /// is closed after its next response.
    Stopping,
    /// No connection is accepted, and idle connections are closed.
    Closing,
    /// The entry is about to exit: requests that have not arrived completely are refused.
    Ending,
    /// Requests without a response are answered by the entry, if the exit would cut them off.
    GivingUp,
}

/// Shared state of an entry.
pub struct EntryContext {
    pub name: Box<str>,
    pub availability_zone: Box<str>,
    pub config: EntryConfig,
    pub dialect: Rc<dyn WireDialect>,
    pub phase: watch::Sender<EntryPhase>,
    pub connections: ConnectionPool,
    pub metrics: EntryMetrics,
    /// Requests whose responses have not been written completely.
    pub active_requests: Rc<ActiveRequests>,
    /// Bodies of requests that are being received or processed.
    pub held_bytes: HeldBytes,
    /// Long responses that are held or relayed.
    pub held_responses: HeldBytes,
    pub state: RefCell<FleetReplica>,
    pub crash_watch: CrashWatch,
    pub quota: Rc<QuotaGate>,
    pub suspect_runs: RefCell<SuspectRuns>,
    pub random: RefCell<fastrand::Rng>,
    /// Schedules of long bodies from servers and to callers.
    pub server_pacer: RefCell<LinePacer>,
    pub caller_pacer: RefCell<LinePacer>,
    route_table: watch::Sender<Option<Rc<RouteTable>>>,
    pub(super) balancers: RefCell<BTreeMap<ServiceName, ServiceBalancer>>,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    /// Room of the services of documents, as the balancers.
    pub rooms: RefCell<BTreeMap<ServiceName, ServiceRoom>>,
    entry_count: Cell<u32>,
    /// Limits and number of entries for cold servers.
    pub(super) warmup_limits: WarmupLimits,
    pub(super) fleet_size: Cell<FleetSize>,
    /// Time at which the entry exits, once it is stopping.
    stop_end: Cell<Option<Instant>>,
    pub relay_times: RefCell<RelayTimes>,
    suspension_watch: Cell<SuspensionWatch>,
    /// Whether a member has confirmed the state since the machine was last suspended.
    state_confirmed: watch::Sender<bool>,
}

impl EntryContext {
    pub fn new(
        config: &FleetConfig,
        entry: &EntryConfig,
        dialect: Rc<dyn WireDialect>,
    ) -> Rc<Self> {
        // Only one process at a time listens there, so a later start shows that the earlier one has ended.
        let identity = format!("{}@{}", config.name, entry.traffic).into();
        let quota = QuotaGate::new(identity, config.availability_zone.clone());
        Rc::new(Self {
            name: config.name.clone(),
            availability_zone: config.availability_zone.clone(),
            config: entry.clone(),
            dialect,
            phase: watch::Sender::new(EntryPhase::Serving),
            connections: ConnectionPool::default(),
            metrics: EntryMetrics::new(&quota.metrics),
            active_requests: Rc::default(),
            held_bytes: HeldBytes::of_requests(),
            held_responses: HeldBytes::of_responses(),
            state: RefCell::default(),
            crash_watch: CrashWatch::default(),
            quota,
            suspect_runs: RefCell::default(),
            random: RefCell::new(fastrand::Rng::new()),
            server_pacer: RefCell::new(LinePacer::new(entry.line_mbps)),
            caller_pacer: RefCell::new(LinePacer::new(entry.line_mbps)),
            route_table: watch::Sender::default(),
            balancers: RefCell::default(),
            budgets: RefCell::default(),
            rooms: RefCell::default(),
            // A large fleet is assumed until a member reports the number of entries.
            entry_count: Cell::new(64),
            warmup_limits: config.warmup,
            fleet_size: Cell::new(FleetSize::new(Instant::now())),
            stop_end: Cell::default(),
            relay_times: RefCell::new(RelayTimes::new(entry.line_mbps)),
            suspension_watch: Cell::new(SuspensionWatch::new(suspended_time())),
            state_confirmed: watch::Sender::new(true),
        })
    }

    /// Routes in force; `None` before the first document.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Whether a document is in force.
    pub fn has_route_table(&self) -> bool {
        self.route_table.borrow().is_some()
    }

    /// Waits until the first document is in force, or until `deadline`.
    pub async fn wait_for_route_table(&self, deadline: Instant) {
        if self.has_route_table() {
            return;
        }
        let mut route_table = self.route_table.subscribe();
        // The wait cannot fail: the sender lives as long as the context.
        let _ = timeout_at(deadline.into(), route_table.wait_for(Option::is_some)).await;
    }

    /// Notices a suspension of the machine: servers may have left and routes may have changed while
    /// this entry knew of nothing.
    pub fn check_suspension(&self) {
        let mut watch = self.suspension_watch.get();
        let Some(duration) = watch.check(suspended_time()) else { return };
        self.suspension_watch.set(watch);
        self.state_confirmed.send_replace(false);
        log_info!("machine_suspended", "suspended_ms={}", duration.as_millis());
    }

    /// Time for which the machine has been suspended, as far as noticed.
    pub fn known_suspension(&self) -> Duration {
        self.suspension_watch.get().known()
    }

    /// Records that the state is up to date.
    pub fn confirm_state(&self) {
        self.state_confirmed.send_if_modified(|confirmed| !std::mem::replace(confirmed, true));
    }

    /// Waits until a member has confirmed the state after a suspension, or until `deadline`.
    pub async fn wait_for_confirmed_state(&self, deadline: Instant) {
        let mut confirmed = self.state_confirmed.subscribe();
        if *confirmed.borrow() {
            return;
        }
        // The wait cannot fail: the sender lives as long as the context.
        let _ = timeout_at(deadline.into(), confirmed.wait_for(|confirmed| *confirmed)).await;
    }

    /// Whether the request's route allows it to run more than once.
    pub fn is_idempotent(&self, head: &RequestHead) -> bool {
        let rule = self.route_table().and_then(|table| table.find(&head.host, head.path()));
        rule.is_none_or(|rule| rule.repetition == Repetition::Idempotent)
    }

    /// Limits on callers that are in force.
    pub fn caller_limits(&self) -> CallerLimits {
        self.route_table.borrow().as_ref().map(|route_table| route_table.limits).unwrap_or_default()
    }

    /// Whether the entry has routes and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.has_route_table() && *self.phase.borrow() == EntryPhase::Serving
    }

    /// Starts a planned stop, at the end of which the entry exits.
    pub fn begin_stop(&self, end: Instant) {
        self.stop_end.set(Some(end));
        self.phase.send_replace(EntryPhase::Stopping);
    }

    /// Whether a request of this route with the given deadline is expected to have its whole response
    /// before the entry exits.
    pub fn can_finish(&self, rule: &RouteRule, deadline: Instant) -> bool {
        let relay_time = || self.relay_times.borrow().expected(rule).max(ANSWER_TIME);
        self.stop_end.get().is_none_or(|end| deadline + relay_time() <= end)
    }

    /// Whether a request that was not sent yet is expected to have its whole response before the entry exits,
    /// although its caller may read slowly.
    pub fn can_begin(&self, rule: &RouteRule, deadline: Instant, request: &CallerRequest) -> bool {
        let Some(end) = self.stop_end.get() else { return true };
        let relay_times = self.relay_times.borrow();
        let longest_declared = self.active_requests.longest_declared();
        let declared_bytes =
            |rule: &RouteRule| longest_declared.get(&rule.name).copied().unwrap_or_default();
        let route_bytes =
            |rule: &RouteRule| relay_times.expected_bytes(rule).max(declared_bytes(rule));
        let is_bodiless = &*request.head.method == "HEAD";
        let others = self.active_requests.due_responses(Instant::now(), route_bytes);
        let bytes = if is_bodiless { 0 } else { route_bytes(rule) };
        let response = DueResponse { available_at: deadline, bytes };
        // A route and a caller of which nothing is known do not count as slow.
        let known_bytes = relay_times.known_bytes(rule).max(declared_bytes(rule));
        let caller_bytes = if is_bodiless { 0 } else { known_bytes };
        self.caller_pacer.borrow().latest_end(others, response) + ANSWER_TIME <= end
            && self.can_finish(rule, deadline + request.caller_pace.expected_wait(caller_bytes))
    }

    /// Waits until a stopping entry gives up the request with this deadline. Never completes if the
    /// request ends in time by itself.
    pub async fn wait_for_give_up(&self, deadline: Instant) {
        let mut phase = self.phase.subscribe();
        // The wait cannot fail: the sender lives as long as the context.
        let _ = phase.wait_for(|phase| *phase >= EntryPhase::GivingUp).await;
        if self.stop_end.get().is_some_and(|end| deadline + ANSWER_TIME <= end) {
            std::future::pending().await
        }
    }

    /// Waits until a stopping entry would start no further send of a request. Never completes if one could
    /// finish before the exit.
    pub async fn wait_for_last_send(&self, rule: &RouteRule, deadline: Instant) {
        let mut phase = self.phase.subscribe();
        // The wait cannot fail: the sender lives as long as the context.
        let _ = phase.wait_for(|phase| *phase >= EntryPhase::Stopping).await;
        if self.can_finish(rule, deadline) {
            std::future::pending().await
        }
    }

    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() != EntryPhase::Serving
    }

    /// Estimated number of entries, which share the retry budgets and the servers' connections.
    pub fn entry_count(&self) -> u32 {
        self.entry_count.get()
    }

    pub fn update_entry_count(&self, notice: &FreshnessNotice) {
        // An entry follows only some of the members, so each member sees only some of the entries.
        let members = notice.members.len().max(1) as u32;
        let followed_count = members.min(FOLLOWED_MEMBERS as u32);
        self.entry_count.set((notice.entries * members).div_ceil(followed_count).max(1));
        self.share_cold_servers(self.entry_count());
    }

    /// Calls `operation` with the load balancer of a service.
    pub fn with_balancer<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut ServiceBalancer) -> T,
    ) -> T {
        with_service(&self.balancers, service, ServiceBalancer::default, operation)
    }

    /// Chooses the server with the lowest cost, without a health probe.
    pub fn choose_by_cost(
        &self,
        service: &ServiceName,
        tried: &[ServerId],
        terms: &CallerTerms,
    ) -> Option<ChosenServer> {
        let random = &mut self.random.borrow_mut();
        let now = Instant::now();
        let connected = self.connections.idle_servers(now);
        let (chosen, change) = self.with_balancer(service, |balancer| {
            let change = balancer.update_zones(now);
            (balancer.choose_for(now, tried, &connected, terms, random), change)
        });
        if let Some(change) = change {
            self.metrics.record_zone_change(service, &change);
        }
        chosen
    }

    /// Records the end of a send; returns whether the server is ejected from now on.
    pub fn end_send(
        &self,
        now: Instant,
        service: &ServiceName,
        server: &ServerId,
        outcome: SendOutcome,
        elapsed: Duration,
    ) -> bool {
        let ejected = self
            .with_balancer(service, |balancer| balancer.end_send(now, server, outcome, elapsed));
        if ejected {
            self.metrics.record_ejection(service);
        }
        ejected
    }

    /// Records the load report in `head`, a response of `server`.
    pub fn record_load(
        &self,
        now: Instant,
        service: &ServiceName,
        server: &ServerId,
        head: &ResponseHead,
    ) -> Option<ReportedLoad> {
        let report = ReportedLoad::parse(head.headers.get_str(self.dialect.headers().load)?)?;
        self.with_balancer(service, |balancer| balancer.record_load(now, server, report));
        Some(report)
    }

    /// Records what a server said of itself in `head`, an answer that belongs to the request or probe that
    /// was sent to `chosen`.
    pub fn record_statement(
        &self,
        now: Instant,
        service: &ServiceName,
        chosen: &ChosenServer,
        head: &ResponseHead,
    ) {
        let statement = TargetStatement::parse(self.dialect.headers(), head.status, &head.headers);
        if statement == TargetStatement::default() {
            return;
        }
        let (server, started) = (&chosen.server, chosen.started);
        self.metrics.record_statement(service, statement);
        if statement.is_invalid {
            log_routine!("statement_invalid", "service={service} server={server}");
        }
        let change = self.with_balancer(service, |balancer| {
            balancer.record_statement(now, &self.name, (server, started), statement)
        });
        match change {
            Some(ConditionChange::Left) => {
                log_info!(
                    "server_leaving",
                    "service={service} server={server} started={started} source=answer"
                );
            }
            Some(ConditionChange::Paused(pause)) => {
                log_info!(
                    "server_paused",
                    "service={service} server={server} started={started} source=answer pause_ms={}",
                    pause.as_millis()
                );
            }
            None => {}
        }
    }

    /// Whether the chosen server still wants requests, as far as evacuations and its answers say.
    pub fn accepts(&self, service: &ServiceName, chosen: &ChosenServer) -> bool {
        let now = Instant::now();
        let accepts =
            |balancer: &mut ServiceBalancer| balancer.accepts(now, &chosen.server, chosen.started);
        self.with_balancer(service, accepts)
    }

    /// Numbers of servers that leave and that are paused, by their answers.
    pub fn stated_counts(&self, now: Instant) -> (usize, usize) {
        let balancers = self.balancers.borrow();
        let counts = balancers.values().map(|balancer| balancer.stated_counts(now));
        counts.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
    }

    /// Health-check path of a service, if it has one.
    pub fn health_path(&self, service: &ServiceName) -> Option<Box<str>> {
        let route_table = self.route_table.borrow();
        let rule = route_table.as_ref()?.services.get(service)?;
        rule.health_path.starts_with('/').then(|| rule.health_path.clone())
    }

    /// Calls `operation` with the retry budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        with_service(&self.budgets, service, || RetryBudget::new(self.config.retry), operation)
    }

    /// Installs an update from a control member.
    pub fn install_update(&self, now: Instant, update: FleetUpdate) {
        let document_changed = update.head.is_some() || update.complete;
        let routes_changed = !update.routes.is_empty() || !update.removed_routes.is_empty();
        let tenants_changed =
            update.complete || !update.tenants.is_empty() || !update.removed_tenants.is_empty();
        let servers_changed =
            !update.servers.is_empty() || !update.left.is_empty() || update.complete;
        let quarantined = update.quarantined.clone();
        let mut state = self.state.borrow_mut();
        let evacuated_before = state.evacuated().clone();
        if !state.apply(update) {
            return;
        }
        self.crash_watch.drop_decided(&quarantined);
        if (document_changed || routes_changed || tenants_changed)
            && let Some(document) = state.document()
        {
            log_info!(
                "document_installed",
                "version={} revision={}",
                document.version,
                state.revision()
            );
            self.metrics.document_version.set(document.version as i64);
            self.relay_times.borrow_mut().retain(document.routes.values());
            let is_limited =
                |tenant: &str| document.tenants.get(tenant).is_some_and(TenantRule::is_limited);
            self.quota.retain(is_limited);
            let known = self.route_table().filter(|_| !tenants_changed);
            let table = match known {
                Some(known) => RouteTable::with_tenants(document, Rc::clone(&known.tenants)),
                None => RouteTable::new(document),
            };
            self.metrics.keys.record_table(&table.tenants);
            self.route_table.send_replace(Some(Rc::new(table)));
        }
        let evacuation_changed = *state.evacuated() != evacuated_before;
        if evacuation_changed {
            self.record_evacuation(&evacuated_before, state.evacuated());
        }
        if document_changed {
            self.install_pacing(&state);
        }
        if servers_changed || evacuation_changed {
            self.install_servers(now, &state);
            drop(state);
            self.confirm_pending_crashes(now);
        }
    }

    fn install_servers(&self, now: Instant, state: &FleetReplica) {
        let mut balancers = self.balancers.borrow_mut();
        let service_names = state.servers().values().map(|view| &view.announcement.service);
        for name in service_names {
            if !balancers.contains_key(name) {
                balancers.insert(name.clone(), ServiceBalancer::default());
            }
        }
        let evacuated = Rc::new(state.evacuated().clone());
        for (name, balancer) in balancers.iter_mut() {
            balancer.install_evacuation(&evacuated);
            balancer.install_pacing(self.pacing_of(state, name));
            let views = state.servers().iter();
            let own_views = views.filter(|(_, view)| view.announcement.service == *name);
            let (name, zone) = (&self.name, &self.availability_zone);
            balancer.set_way_prices(self.config.way_prices);
            balancer.update_servers(now, name, zone, self.entry_count(), own_views);
        }
        let is_used = |view: &ServerView| !evacuated.contains(&view.announcement.availability_zone);
        self.connections.retain(|server| state.servers().get(server).is_some_and(is_used));
    }
}

/// Calls `operation` with the item of a service, which is created if there is none.
pub(super) fn with_service<I, T>(
    items: &RefCell<BTreeMap<ServiceName, I>>,
    service: &ServiceName,
    create: impl FnOnce() -> I,
    operation: impl FnOnce(&mut I) -> T,
) -> T {
    let mut items = items.borrow_mut();
    // Most services have an item, and the name need not be copied.
    if let Some(item) = items.get_mut(service) {
        return operation(item);
    }
    operation(items.entry(service.clone()).or_insert_with(create))
}
