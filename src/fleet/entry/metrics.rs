//! Counters and histograms of an entry.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label of a count by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    pub outcome: &'static str,
}

/// What an entry counts.
pub struct EntryMetrics {
    pub requests: Family<OutcomeLabel, Counter<u64, AtomicU64>>,
    pub sends: Family<OutcomeLabel, Counter<u64, AtomicU64>>,
    pub repeated_sends: Counter<u64, AtomicU64>,
    pub opened_connections: Counter<u64, AtomicU64>,
    pub latency: Histogram,
    pub document_version: Gauge,
    registry: Mutex<Registry>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let requests = Family::default();
        let sends = Family::default();
        let repeated_sends = Counter::default();
        let opened_connections = Counter::default();
        // From 5 ms to 10 s.
        let latency = Histogram::new(exponential_buckets(0.005, 2.0, 12));
        let document_version = Gauge::default();
        let mut registry = Registry::with_prefix("entry");
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("sends", "Sends to servers by outcome", sends.clone());
        registry.register("repeated_sends", "Sends beyond the first", repeated_sends.clone());
        let opened = opened_connections.clone();
        registry.register("server_connections", "Connections opened to servers", opened);
        registry.register("latency_seconds", "Time from head to response", latency.clone());
        let version = document_version.clone();
        registry.register("document_version", "Version of the document in force", version);
        Self {
            requests,
            sends,
            repeated_sends,
            opened_connections,
            latency,
            document_version,
            registry: Mutex::new(registry),
        }
    }
}

impl EntryMetrics {
    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &registry);
        text
    }
}
