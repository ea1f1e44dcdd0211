//! Prometheus metrics of an entry: counters, gauges and histograms.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::fleet::balance::metrics::WithheldMetrics;
use crate::fleet::process_metrics::{self, PROCESS_METRICS, SharedCounter};
use crate::fleet::quota::metrics::QuotaMetrics;
use crate::fleet::room::RoomMetrics;
use crate::fleet::statement::TargetStatement;
use crate::fleet::tenant::KeyMetrics;
use crate::fleet::zone_balance::{ZoneChange, ZoneMetrics};
use crate::log_routine;

/// Maximum number of services with series of their own; the others share the label `other`.
const MAX_SERVICES: usize = 32;

/// Label value of requests that match no service.
const NO_SERVICE: &str = "none";

/// Labels of a metric by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    pub service: Box<str>,
}

/// Labels of a metric by service and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    pub service: Box<str>,
    pub outcome: &'static str,
}

/// Increments a gauge for as long as the guard exists.
pub struct GaugeGuard(Gauge);

impl GaugeGuard {
    pub fn new(gauge: Gauge) -> Self {
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Metrics of an entry.
pub struct EntryMetrics {
    requests: Family<OutcomeLabel, SharedCounter>,
    sends: Family<OutcomeLabel, SharedCounter>,
    latency: Family<ServiceLabel, Histogram>,
    in_flight: Family<ServiceLabel, Gauge>,
    repeated_sends: Family<ServiceLabel, SharedCounter>,
    budget_exhausted: Family<ServiceLabel, SharedCounter>,
    server_closures: Family<ServiceLabel, SharedCounter>,
    opened_connections: Family<ServiceLabel, SharedCounter>,
    server_statements: Family<OutcomeLabel, SharedCounter>,
    pub keys: KeyMetrics,
    pub crashes_reported: SharedCounter,
    pub quarantined_requests: SharedCounter,
    pub held_requests: SharedCounter,
    pub suspect_requests: Gauge,
    pub held_suspects: Gauge,
    pub idle_connections: Gauge,
    pub caller_connections: Gauge,
    /// Connections that are closed as soon as their callers have read everything.
    pub closing_connections: Gauge,
    pub held_body_bytes: Gauge,
    pub held_response_bytes: Gauge,
    pub leaving_servers: Gauge,
    pub paused_servers: Gauge,
    pub document_version: Gauge,
    pub revision: Gauge,
    pub fresh_members: Gauge,
    pub room: RoomMetrics,
    zones: ZoneMetrics,
    pub withheld: WithheldMetrics,
    services: Mutex<BTreeSet<Box<str>>>,
    registry: Registry,
}

fn latency_histogram() -> Histogram {
    // From 5 ms to 10 s.
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            requests: Family::default(),
            sends: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            in_flight: Family::default(),
            repeated_sends: Family::default(),
            budget_exhausted: Family::default(),
            server_closures: Family::default(),
            opened_connections: Family::default(),
            server_statements: Family::default(),
            keys: KeyMetrics::default(),
            crashes_reported: SharedCounter::default(),
            quarantined_requests: SharedCounter::default(),
            held_requests: SharedCounter::default(),
            suspect_requests: Gauge::default(),
            held_suspects: Gauge::default(),
            idle_connections: Gauge::default(),
            caller_connections: Gauge::default(),
            closing_connections: Gauge::default(),
            held_body_bytes: Gauge::default(),
            held_response_bytes: Gauge::default(),
            leaving_servers: Gauge::default(),
            paused_servers: Gauge::default(),
            document_version: Gauge::default(),
            revision: Gauge::default(),
            fresh_members: Gauge::default(),
            room: RoomMetrics::default(),
            zones: ZoneMetrics::default(),
            withheld: WithheldMetrics::default(),
            services: Mutex::default(),
            registry: Registry::with_prefix("entry"),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    /// Creates the metrics of an entry with those of its parts.
    pub fn new(quota: &QuotaMetrics) -> Self {
        let mut metrics = Self::default();
        quota.register(&mut metrics.registry);
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        PROCESS_METRICS.register(registry);
        self.room.register(registry);
        self.keys.register(registry);
        self.zones.register(registry);
        self.withheld.register(registry);
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("sends", "Sends to servers by outcome", self.sends.clone());
        registry.register("latency_seconds", "Time from head to response", self.latency.clone());
        registry.register("in_flight", "Requests in process", self.in_flight.clone());
        let repeated = self.repeated_sends.clone();
        registry.register("repeated_sends", "Sends beyond the first", repeated);
        let exhausted = self.budget_exhausted.clone();
        registry.register("budget_exhausted", "Repeated sends without budget", exhausted);
        let closures = self.server_closures.clone();
        registry.register("server_closures", "Servers left alone after failures", closures);
        let opened = self.opened_connections.clone();
        registry.register("server_connections", "Connections opened to servers", opened);
        let crashes = self.crashes_reported.clone();
        registry.register("crashes_reported", "Crashes of servers under a request", crashes);
        let quarantined = self.quarantined_requests.clone();
        registry.register("quarantined_requests", "Requests in quarantine", quarantined);
        let held = self.held_requests.clone();
        registry.register("held_requests", "Refusals until control decides on a suspect", held);
        let statements = self.server_statements.clone();
        registry.register(
            "server_statements",
            "Answers in which a server spoke of itself",
            statements,
        );
        let gauges = [
            ("suspect_requests", "Requests with evidence of a crash", &self.suspect_requests),
            ("held_suspects", "Suspects on which control has not decided", &self.held_suspects),
            ("idle_connections", "Idle connections to servers", &self.idle_connections),
            ("caller_connections", "Connections of callers", &self.caller_connections),
            (
                "closing_connections",
                "Connections whose callers still read the last response",
                &self.closing_connections,
            ),
            ("held_body_bytes", "Bytes of request bodies in memory", &self.held_body_bytes),
            ("held_response_bytes", "Bytes reserved for long responses", &self.held_response_bytes),
            ("leaving_servers", "Servers whose answers say that they leave", &self.leaving_servers),
            ("paused_servers", "Servers that asked for a pause", &self.paused_servers),
            ("document_version", "Version of the document in force", &self.document_version),
            ("revision", "Revision of the state that is followed", &self.revision),
            ("fresh_members", "Links to members that are up to date", &self.fresh_members),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Returns the label value of a service; at most [`MAX_SERVICES`] have one of their own.
    fn service_name(&self, service: Option<&str>) -> Box<str> {
        let Some(service) = service else { return NO_SERVICE.into() };
        let mut services = self.services.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if services.contains(service) {
            return service.into();
        }
        if services.len() >= MAX_SERVICES {
            return "other".into();
        }
        services.insert(service.into());
        service.into()
    }

    /// Records a finished request.
    pub fn record_request(&self, service: Option<&str>, outcome: &'static str, elapsed: Duration) {
        let service = self.service_name(service);
        let label = ServiceLabel { service: service.clone() };
        self.latency.get_or_create(&label).observe(elapsed.as_secs_f64());
        self.requests.get_or_create(&OutcomeLabel { service, outcome }).inc();
    }

    /// Records a send to a server, or a health probe.
    pub fn record_send(&self, service: &str, outcome: &'static str) {
        let service = self.service_name(Some(service));
        self.sends.get_or_create(&OutcomeLabel { service, outcome }).inc();
    }

    /// Records a retry that the budget allowed or denied.
    pub fn record_retry(&self, service: &str, allowed: bool) {
        let counter = if allowed { &self.repeated_sends } else { &self.budget_exhausted };
        counter.get_or_create(&self.service_label(service)).inc();
    }

    pub fn record_ejection(&self, service: &str) {
        self.server_closures.get_or_create(&self.service_label(service)).inc();
    }

    pub fn record_opened_connection(&self, service: &str) {
        self.opened_connections.get_or_create(&self.service_label(service)).inc();
    }

    /// Records a change of the share that leaves the zone. Only its begin and its end are logged.
    pub fn record_zone_change(&self, service: &str, change: &ZoneChange) {
        self.zones.record(&self.service_name(Some(service)), change);
        if change.is_turn {
            log_routine!("zone_share_changed", "service={service} {change}");
        }
    }

    /// Records what a server said of itself.
    pub fn record_statement(&self, service: &str, statement: TargetStatement) {
        let TargetStatement { is_leaving, pause, is_invalid } = statement;
        let kinds = [("leaving", is_leaving), ("pause", pause.is_some()), ("invalid", is_invalid)];
        for (outcome, _) in kinds.into_iter().filter(|(_, is_said)| *is_said) {
            let service = self.service_name(Some(service));
            self.server_statements.get_or_create(&OutcomeLabel { service, outcome }).inc();
        }
    }

    /// Gauge of the requests of a service that are in progress.
    pub fn in_flight(&self, service: &str) -> Gauge {
        self.in_flight.get_or_create(&self.service_label(service)).clone()
    }

    fn service_label(&self, service: &str) -> ServiceLabel {
        ServiceLabel { service: self.service_name(Some(service)) }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        process_metrics::encode(&self.registry)
    }
}
