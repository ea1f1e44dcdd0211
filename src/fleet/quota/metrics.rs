//! Metrics of an entry about quotas.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::fleet::process_metrics::SharedCounter;

/// Metrics of an entry about quotas.
#[derive(Debug, Default, Clone)]
pub struct QuotaMetrics {
    /// Requests refused because the limit of their tenant was used up.
    pub refused: SharedCounter,
    /// Requests refused because no holder answered.
    pub unknown: SharedCounter,
    /// Requests that waited for a token.
    pub waits: SharedCounter,
    pub asks: SharedCounter,
    pub grants: SharedCounter,
    pub given_back: SharedCounter,
    pub leases: Gauge,
}

impl QuotaMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            ("quota_refused", "Requests over the limit of their tenant", &self.refused),
            ("quota_unknown", "Requests refused without an answer of the holder", &self.unknown),
            ("quota_waits", "Requests that waited for a token", &self.waits),
            ("quota_asks", "Asks sent to the holder", &self.asks),
            ("quota_grants", "Answers of the holder", &self.grants),
            ("quota_given_back", "Tokens of requests that were not sent", &self.given_back),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("quota_leases", "Leases with a standing rate", self.leases.clone());
    }
}
