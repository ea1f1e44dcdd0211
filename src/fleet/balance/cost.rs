//! Cost of one more request on a server.

use std::time::{Duration, Instant};

use super::{LATENCY_TIME_CONSTANT, LOAD_TIME_CONSTANT, ServerStats, ServiceBalancer};
use crate::fleet::decay::decay_factor;
use crate::ids::ZoneName;

/// Factor by which a server that is warming up is assumed to be slower.
const WARMUP_FACTOR: f64 = 1.8;

/// Cost of a server outside the availability zone that a request prefers, in units of the usual request
/// duration. Such a server is used if those of the preferred zone turn out to be full.
const OTHER_ZONE_COST: f64 = 0.5;

/// Time constant of a reported slowness. It is short because disturbances by neighbours change
/// quickly.
const SLOWNESS_TIME_CONSTANT: Duration = Duration::from_millis(150);

impl ServiceBalancer {
    /// Expected duration of one more request on the server, relative to the usual duration.
    pub(super) fn expected_factor(&self, now: Instant, stats: &ServerStats) -> f64 {
        let usual_slowness = self.mean_slowness.unwrap_or(1.0);
        let mut slowness = usual_slowness;
        let mut other_requests = 0.0;
        if let Some((report, at, own_requests)) = stats.load_report {
            let age = now.duration_since(at);
            slowness += (f64::from(report.slowdown_percent) / 100.0 - usual_slowness)
                * decay_factor(age, SLOWNESS_TIME_CONSTANT);
            let other_count = report.occupied().saturating_sub(own_requests);
            other_requests = f64::from(other_count) * decay_factor(age, LOAD_TIME_CONSTANT);
        }
        let latency_factor = match (stats.latency, self.mean_latency_ms) {
            (Some((latency, at)), Some(mean)) if mean > 0.0 => {
                let age = now.duration_since(at);
                1.0 + (latency / mean - 1.0).max(-0.3) * decay_factor(age, LATENCY_TIME_CONSTANT)
            }
            _ => 1.0,
        };
        let warmup_factor = if stats.warmup.is_slow(now) { WARMUP_FACTOR } else { 1.0 };
        let slots = f64::from(stats.slots);
        let utilization = (f64::from(stats.in_flight) + other_requests + 1.0) / slots;
        let queue_factor = 1.0 + 0.4 * utilization + 3.0 * (utilization - 0.9).max(0.0);
        slowness / usual_slowness * latency_factor * warmup_factor * queue_factor
    }

    /// Expected duration of one more request on the server, relative to the usual duration, and the cost of
    /// the way to it.
    pub(super) fn cost(
        &self,
        now: Instant,
        stats: &ServerStats,
        preferred: Option<&ZoneName>,
    ) -> f64 {
        let is_preferred =
            preferred.map_or(stats.same_zone, |zone| stats.availability_zone == *zone);
        let zone_cost = if is_preferred { 0.0 } else { OTHER_ZONE_COST };
        self.expected_factor(now, stats) + zone_cost
    }
}
