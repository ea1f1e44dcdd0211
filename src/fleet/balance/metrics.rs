//! Metrics of servers that are kept from requests by an evacuation or a warm-up.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::fleet::process_metrics::SharedCounter;

/// Metrics of an entry about evacuated and cold servers.
#[derive(Debug, Default)]
pub struct WithheldMetrics {
    pub evacuated_zones: Gauge,
    pub cold_servers: Gauge,
    /// Sends that were withdrawn at the last moment.
    pub withdrawn_sends: SharedCounter,
    pub evacuated_refusals: SharedCounter,
}

impl WithheldMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let zones = self.evacuated_zones.clone();
        registry.register("evacuated_zones", "Evacuated availability zones", zones);
        let cold = self.cold_servers.clone();
        registry.register("cold_servers", "Servers with the limit for cold servers", cold);
        let withdrawn = self.withdrawn_sends.clone();
        registry.register("withdrawn_sends", "Sends withdrawn right before the send", withdrawn);
        let refusals = self.evacuated_refusals.clone();
        registry.register(
            "evacuated_refusals",
            "Refusals because all servers of the service are evacuated",
            refusals,
        );
    }
}
