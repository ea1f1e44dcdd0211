//! Decides how much of a service's traffic leaves the entry's availability zone.
//!
//! Traffic between zones takes longer and costs money, yet the servers of one zone are sometimes too
//! few. Each entry decides for itself from what it sees anyway: load reports, unanswered probes and
//! connect times. The decision is pure code; nothing is sent for it.

mod metrics;
mod plan;
mod room;
mod terms;
mod way;

pub use metrics::ZoneMetrics;
pub use plan::{ZoneChange, ZonePlan};
pub use room::{ZoneCapacity, ZoneRoom};
pub use terms::{CallerTerms, Urgency};
pub use way::{UNKNOWN_WAY_COST, WayMeter, WayPrices};

/// Utilisation up to which requests of a zone run at their usual speed. Servers slow down when they are
/// nearly full, and with a mean above this some are.
const CALM_UTILIZATION: f64 = 0.6;

/// Utilisation above which some requests find no server with a free slot.
const CROWDED_UTILIZATION: f64 = 0.8;

/// Expected delay of a request by the load of its zone, relative to the usual duration of a request.
pub fn congestion(utilization: f64) -> f64 {
    (utilization - CALM_UTILIZATION).max(0.0) + 4.0 * (utilization - CROWDED_UTILIZATION).max(0.0)
}
