//! Metrics that every fleet process exports: log lines, link traffic and event-loop delay.

use std::sync::LazyLock;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Counter shared between threads.
pub type SharedCounter = Counter<u64, AtomicU64>;

/// Metrics of one process.
pub struct ProcessMetrics {
    pub log_lines: SharedCounter,
    pub log_lines_dropped: SharedCounter,
    pub link_frames_sent: SharedCounter,
    pub link_bytes_sent: SharedCounter,
    pub link_frames_received: SharedCounter,
    pub link_bytes_received: SharedCounter,
    /// Delay in seconds between the due time of a main-loop timer and its execution.
    pub loop_delay: Histogram,
}

/// Metrics of the current process.
pub static PROCESS_METRICS: LazyLock<ProcessMetrics> = LazyLock::new(|| ProcessMetrics {
    log_lines: Counter::default(),
    log_lines_dropped: Counter::default(),
    link_frames_sent: Counter::default(),
    link_bytes_sent: Counter::default(),
    link_frames_received: Counter::default(),
    link_bytes_received: Counter::default(),
    // From 1 ms, the resolution of timers, to 2 s.
    loop_delay: Histogram::new(exponential_buckets(0.001, 2.0, 12)),
});

impl ProcessMetrics {
    /// Records the delay of a timer that was due at `due` and runs at `now`.
    pub fn record_timer_delay(&self, due: Instant, now: Instant) {
        self.loop_delay.observe(now.saturating_duration_since(due).as_secs_f64());
    }

    /// Registers the metrics on the metrics page of a role.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            ("log_lines", "Log lines that were queued", &self.log_lines),
            ("log_lines_dropped", "Log lines beyond the bound", &self.log_lines_dropped),
            ("link_frames_sent", "Frames sent on links", &self.link_frames_sent),
            ("link_bytes_sent", "Payload bytes sent on links", &self.link_bytes_sent),
            ("link_frames_received", "Frames received on links", &self.link_frames_received),
            ("link_bytes_received", "Payload bytes received on links", &self.link_bytes_received),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let delay = self.loop_delay.clone();
        registry.register("loop_delay_seconds", "Delay of due timers", delay);
    }
}

/// Encodes all metrics of `registry` in the OpenMetrics text format.
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    text
}
