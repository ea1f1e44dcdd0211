//! Metrics in the OpenMetrics text format.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::directory::ServiceKey;
use crate::link::LinkTraffic;
use crate::route::MeasureCounters;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0, 600.0,
];

/// Labels of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the team.
    pub team: String,
    /// Name of the service.
    pub service: String,
}

/// Labels of an outcome of a service's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the team.
    pub team: String,
    /// Name of the service.
    pub service: String,
    /// `complete`, `broken`, `caller_gone`, or the code of a failure.
    pub outcome: String,
}

/// Labels of a process-wide event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    /// Name of the event.
    pub event: String,
}

/// Labels of messages on links between processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LinkLabels {
    /// Kind of the message.
    pub kind: String,
    /// `sent` or `received`.
    pub direction: String,
}

type LatencyFamily = Family<ServiceLabels, Histogram, fn() -> Histogram>;

/// Metrics of one process.
pub struct ProcessMetrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from a request's head to the end of its response.
    pub latency: LatencyFamily,
    /// Requests whose head was read and whose response has not ended.
    pub in_flight: Family<ServiceLabels, Gauge>,
    /// Requests that wait for a slot.
    pub queued: Family<ServiceLabels, Gauge>,
    /// Attempts that follow a failed attempt.
    pub retries: Family<ServiceLabels, Counter>,
    /// Second attempts sent while the first attempt was in progress.
    pub hedges: Family<ServiceLabels, Counter>,
    /// Messages between processes for load measurement and credits.
    pub measure_messages: Family<ServiceLabels, Counter>,
    /// Bytes of load measurement and credit messages.
    pub measure_bytes: Family<ServiceLabels, Counter>,
    /// Messages suppressed because the measurement budget was exhausted.
    pub measure_suppressed: Family<ServiceLabels, Counter>,
    /// Messages on links between processes.
    pub link_messages: Family<LinkLabels, Counter>,
    /// Bytes of messages on links, including WebSocket headers.
    pub link_bytes: Family<LinkLabels, Counter>,
    /// Process-wide events, such as malformed requests.
    pub events: Family<EventLabels, Counter>,
    /// Settings revision in force.
    pub settings_revision: Gauge,
    /// Seconds until the settings lease expires; negative after it has expired.
    pub lease_seconds: Gauge<f64, AtomicU64>,
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for ProcessMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ProcessMetrics").finish_non_exhaustive()
    }
}

impl ProcessMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("curranthollow"),
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            in_flight: Family::default(),
            queued: Family::default(),
            retries: Family::default(),
            hedges: Family::default(),
            measure_messages: Family::default(),
            measure_bytes: Family::default(),
            measure_suppressed: Family::default(),
            link_messages: Family::default(),
            link_bytes: Family::default(),
            events: Family::default(),
            settings_revision: Gauge::default(),
            lease_seconds: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register_with_unit(
            "request_latency",
            "Time from a request's head to the end of its response",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("requests_in_flight", "Requests being served", self.in_flight.clone());
        registry.register("requests_queued", "Requests waiting for a slot", self.queued.clone());
        registry.register("retries", "Further attempts after a failure", self.retries.clone());
        registry.register("hedges", "Second attempts beside an open one", self.hedges.clone());
        registry.register(
            "measure_messages",
            "Messages of measuring and credits",
            self.measure_messages.clone(),
        );
        registry.register("measure_bytes", "Bytes of those messages", self.measure_bytes.clone());
        registry.register(
            "measure_suppressed",
            "Messages left out because the measuring budget was spent",
            self.measure_suppressed.clone(),
        );
        registry.register("link_messages", "Messages on links", self.link_messages.clone());
        registry.register(
            "link_bytes",
            "Bytes of those messages with WebSocket headers",
            self.link_bytes.clone(),
        );
        registry.register("events", "Process-wide events", self.events.clone());
        registry.register(
            "settings_revision",
            "Settings revision in force",
            self.settings_revision.clone(),
        );
        registry.register_with_unit(
            "settings_lease",
            "Time until the settings lease ends",
            Unit::Seconds,
            self.lease_seconds.clone(),
        );
    }

    /// Sets the totals of a service's load measurement and credit messages.
    pub fn set_measure_totals(&self, service: &ServiceKey, counters: MeasureCounters) {
        let labels =
            ServiceLabels { team: service.team.to_string(), service: service.service.to_string() };
        let totals = [
            (&self.measure_messages, counters.messages_spent),
            (&self.measure_bytes, counters.bytes_spent),
            (&self.measure_suppressed, counters.messages_suppressed),
        ];
        for (family, total) in totals {
            family.get_or_create(&labels).inner().store(total, Ordering::Relaxed);
        }
    }

    /// Sets the message and byte totals of the links.
    pub fn set_link_totals(&self, traffic: &LinkTraffic) {
        for line in traffic.totals() {
            let labels = LinkLabels { kind: line.kind.into(), direction: line.direction.into() };
            let messages = self.link_messages.get_or_create(&labels);
            messages.inner().store(line.messages, Ordering::Relaxed);
            drop(messages);
            let bytes = self.link_bytes.get_or_create(&labels);
            bytes.inner().store(line.bytes, Ordering::Relaxed);
        }
    }

    /// Counts a process-wide event.
    pub fn count_event(&self, event: &str) {
        self.events.get_or_create(&EventLabels { event: event.to_owned() }).inc();
    }

    /// Records the outcome and the latency of a request.
    pub fn record_request(&self, labels: &ServiceLabels, outcome: &str, elapsed: Duration) {
        let outcome = OutcomeLabels {
            team: labels.team.clone(),
            service: labels.service.clone(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&outcome).inc();
        self.latency.get_or_create(labels).observe(elapsed.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut output = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut output, &self.registry);
        output
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}
