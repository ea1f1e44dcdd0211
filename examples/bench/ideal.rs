//! Reference model: one ideal queue in front of all slots, for the same arrivals and service times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Returns the latencies of requests, given as pairs of arrival and service time, in one
/// first-in-first-out queue in front of `slots` slots, without any network delay.
pub fn latencies(requests: &[(Duration, Duration)], slots: usize) -> Vec<Duration> {
    let mut slot_free_times = BinaryHeap::new();
    for _ in 0..slots {
        slot_free_times.push(Reverse(Duration::ZERO));
    }
    let mut latencies = Vec::with_capacity(requests.len());
    for (arrival, service_time) in requests {
        let Reverse(free_at) = slot_free_times.pop().expect("there is at least one slot");
        let finish = free_at.max(*arrival) + *service_time;
        slot_free_times.push(Reverse(finish));
        latencies.push(finish - *arrival);
    }
    latencies
}

/// Returns the latency at a quantile from 0 to 1, after sorting `latencies`.
pub fn quantile(latencies: &mut [Duration], quantile: f64) -> Duration {
    latencies.sort_unstable();
    let rank = (latencies.len() as f64 * quantile).ceil() as usize;
    latencies.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}
