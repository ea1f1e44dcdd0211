//! Metrics of the room at services.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::fleet::process_metrics::SharedCounter;

/// Metrics of the room at services, as one entry sees it.
#[derive(Debug, Default)]
pub struct RoomMetrics {
    pub short_services: Gauge,
    pub exhausted_refusals: SharedCounter,
    pub standing_refusals: SharedCounter,
    pub late_refusals: SharedCounter,
    pub withheld_hedges: SharedCounter,
    pub silent_sends: SharedCounter,
}

impl RoomMetrics {
    /// Registers the metrics on the metrics page of an entry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Services whose servers have little room";
        registry.register("room_short_services", help, self.short_services.clone());
        let counters = [
            (
                "room_exhausted_refusals",
                "Requests refused because the latest probes found no room",
                &self.exhausted_refusals,
            ),
            (
                "room_standing_refusals",
                "Requests refused in favor of more urgent ones or of other tenants",
                &self.standing_refusals,
            ),
            (
                "room_late_refusals",
                "Requests refused because too little time is left",
                &self.late_refusals,
            ),
            (
                "room_withheld_hedges",
                "Second sends not started because room is short",
                &self.withheld_hedges,
            ),
            (
                "silent_sends",
                "Sends given up after more time than a response takes",
                &self.silent_sends,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}
