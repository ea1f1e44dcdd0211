//! Figures that every process of a fleet has: log lines, link traffic, delay of its loop.

use std::sync::LazyLock;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Count that several threads add to.
pub type SharedCounter = Counter<u64, AtomicU64>;

/// One set of figures for a process.
pub struct ProcessMetrics {
    pub log_lines: SharedCounter,
    pub log_lines_dropped: SharedCounter,
    pub link_frames_sent: SharedCounter,
    pub link_bytes_sent: SharedCounter,
    pub link_frames_received: SharedCounter,
    pub link_bytes_received: SharedCounter,
    /// Time in seconds by which a due timer of the main loop was late.
    pub loop_delay: Histogram,
}

/// Figures of this process.
pub static PROCESS_METRICS: LazyLock<ProcessMetrics> = LazyLock::new(|| ProcessMetrics {
    log_lines: Counter::default(),
    log_lines_dropped: Counter::default(),
    link_frames_sent: Counter::default(),
    link_bytes_sent: Counter::default(),
    link_frames_received: Counter::default(),
    link_bytes_received: Counter::default(),
    // From 1 ms, the accuracy of timers, to 2 s.
    loop_delay: Histogram::new(exponential_buckets(0.001, 2.0, 12)),
});

impl ProcessMetrics {
    /// Notes that a timer which was due at `due` runs at `now`.
    pub fn note_timer(&self, due: Instant, now: Instant) {
        self.loop_delay.observe(now.saturating_duration_since(due).as_secs_f64());
    }

    /// Adds the figures to the metrics page of a role.
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

/// All metrics of `registry` in the OpenMetrics text format.
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    text
}
