//! Ideal shared queue over the same arrivals and service times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Latencies of requests in one first-in-first-out queue in front of `slots` slots, without any cost
/// of transport.
pub fn latencies(requests: &[(Duration, Duration)], slots: usize) -> Vec<Duration> {
    let mut free = BinaryHeap::new();
    for _ in 0..slots {
        free.push(Reverse(Duration::ZERO));
    }
    let mut latencies = Vec::with_capacity(requests.len());
    for (at, service) in requests {
        let Reverse(next) = free.pop().expect("there is at least one slot");
        let end = next.max(*at) + *service;
        free.push(Reverse(end));
        latencies.push(end - *at);
    }
    latencies
}

/// Value at a quantile from 0 to 1.
pub fn quantile(latencies: &mut [Duration], quantile: f64) -> Duration {
    latencies.sort_unstable();
    let position = (latencies.len() as f64 * quantile).ceil() as usize;
    latencies.get(position.saturating_sub(1)).copied().unwrap_or_default()
}
